#include "snipeturn/entry/store_return.h"

#include <fmt/format.h>

#include "snipeturn/entry/catalogue.h"

namespace snipeturn::entry::internal {
namespace {

std::int64_t OwnVersion(const State& state) noexcept {
  return state.desired ? state.desired->version : 0;
}

}  // namespace

void LearnEra(EventScope& scope, StoreEra era, std::string_view source) {
  StoreView& store = scope.state.store;
  const StoreEra known = store.era.value_or(0);
  if (era <= known) {
    return;
  }
  store.era = era;
  if (store.read_at == TimePoint{} && scope.state.upstreams.empty()) {
    return;  // Nothing is known yet that a copy could take out of force.
  }
  IncrementCounter(scope, kStoreReturns, source);
  Log(scope, log_events::kStoreReturned,
      fmt::format("era={} before={} source={} offset={} version={} upstreams={} evacuated={}", era,
                  known, source, store.position.offset, OwnVersion(scope.state),
                  scope.state.upstreams.size(), scope.state.evacuated_zones.size()));
  scope.effects.push_back(ReadSnapshots{});
}

}  // namespace snipeturn::entry::internal
