#include "snipeturn/entry/confirmation.h"

#include <fmt/format.h>

#include <optional>
#include <string>

#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/readers.h"
#include "snipeturn/entry/store_return.h"

namespace snipeturn::entry::internal {
namespace {

/// A host requests a confirmation when its own is older than this share of the time after which
/// keys expire. Even when the reply comes from a reader that waits at the store for a second, the
/// confirmation stays younger than the age at which the host reads the store itself.
constexpr double kRequestAgeShare = 0.28;
/// Age in the reply of a host that has confirmed nothing: more than any that counts.
constexpr std::chrono::milliseconds kUnconfirmedAge{std::chrono::hours{1}};
/// Minimum time between two requests; a reply takes a few milliseconds.
constexpr std::chrono::milliseconds kMinRequestInterval{250};

/// Returns the peer that reported the most recent read of the configuration.
std::optional<std::string> MostRecentReader(const State& state, TimePoint now) {
  std::optional<std::string> most_recent;
  TimePoint read_at{};
  for (const auto& [host, peer] : state.peers) {
    if (IsActiveConfigurationReader(state, peer, now) &&
        (!most_recent || *peer.configuration_confirmed > read_at)) {
      most_recent = host;
      read_at = *peer.configuration_confirmed;
    }
  }
  return most_recent;
}

}  // namespace

void RequestConfirmationIfOld(EventScope& scope) {
  State& state = scope.state;
  StoreView& store = state.store;
  const auto limit = std::chrono::duration_cast<std::chrono::microseconds>(
      state.options.bounds.revoke * kRequestAgeShare);
  const bool is_recent = !store.confirmed || scope.now - *store.confirmed < limit;
  const bool has_open_request =
      store.requested_at && scope.now - *store.requested_at < kMinRequestInterval;
  if (is_recent || has_open_request || IsConfigurationReader(state, scope.now)) {
    return;
  }
  if (auto reader = MostRecentReader(state, scope.now)) {
    store.requested_at = scope.now;
    scope.effects.push_back(RequestConfirmation{std::move(*reader), scope.now});
  }
}

void HandleConfirmationRequest(EventScope& scope, const ConfirmationRequested& event) {
  const StoreView& store = scope.state.store;
  // Hosts that start together answer one another, so that none waits for the others' first read.
  const std::chrono::milliseconds age =
      store.confirmed ? std::chrono::ceil<std::chrono::milliseconds>(scope.now - *store.confirmed)
                      : kUnconfirmedAge;
  scope.effects.push_back(SendConfirmation{event.host, event.requested_at, store.position,
                                           NewestKnownVersion(scope.state, scope.now), age});
}

void HandleConfirmation(EventScope& scope, const ConfirmationReceived& event) {
  State& state = scope.state;
  StoreView& store = state.store;
  LearnEra(scope, event.position.era, "peer");
  if (event.version) {
    LearnPeerVersion(scope, *event.version);
  }
  CountVersionReply(scope, event.host);
  // A reply to a request that this host sent before a restart or has replaced by a later one.
  if (!store.requested_at || *store.requested_at != event.requested_at) {
    return;
  }
  // The other host's log is another one if the store came back from a copy that only one of them
  // has read. Then the version tells whether this host has all that the other one has.
  const bool is_other_log = event.position.era != store.position.era;
  const bool has_version =
      state.desired && event.version && *event.version <= state.desired->version;
  if (event.position > store.position && store.is_reachable) {
    scope.effects.push_back(ReadConfiguration{});
  }
  const bool is_covered = is_other_log ? has_version && event.position.era > store.position.era
                                       : !(event.position > store.position);
  if (!is_covered || IsBehindPeers(scope)) {
    if (is_other_log) {
      Log(scope, log_events::kConfirmationIgnored,
          fmt::format("era={} offset={} peer_era={} peer_offset={} peer_version={}",
                      store.position.era, store.position.offset, event.position.era,
                      event.position.offset, event.version.value_or(-1)));
    }
    return;
  }
  const TimePoint began = event.requested_at - event.age;
  if (store.confirmed && *store.confirmed < began) {
    store.confirmed = began;
  }
}

}  // namespace snipeturn::entry::internal
