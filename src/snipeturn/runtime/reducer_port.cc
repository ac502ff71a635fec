#include <memory>
#include <utility>

#include "snipeturn/reducer/reducer.h"
#include "snipeturn/runtime/runtime.h"

namespace snipeturn {
namespace internal {
namespace {

std::vector<LoadTarget> LoadTargets(const Catalog& catalog) {
  std::vector<LoadTarget> targets;
  for (const auto& [name, upstream] : catalog.upstreams) {
    targets.emplace_back(name, upstream.endpoint);
  }
  return targets;
}

}  // namespace
}  // namespace internal

ReducerPort MakeReducerPort(const Options& options) {
  const auto state = std::make_shared<State>(MakeState(options));
  ReducerPort port;
  port.reduce = [state](const Event& event, const Now& now) { return Reduce(*state, event, now); };
  port.next_due = [state] { return NextDue(*state); };
  port.is_draining = [state] { return state->draining; };
  port.changed_targets = [state, last_applied = std::optional<LogOffset>{}]() mutable {
    std::optional<std::vector<LoadTarget>> targets;
    if (state->settings.ready && last_applied != state->settings.applied) {
      last_applied = state->settings.applied;
      targets = internal::LoadTargets(state->settings.catalog);
    }
    return targets;
  };
  return port;
}

}  // namespace snipeturn
