#include "snipeturn/entry/peers.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#include "snipeturn/base/timers.h"
#include "snipeturn/entry/cells.h"
#include "snipeturn/entry/confirmation.h"
#include "snipeturn/entry/dispatch.h"
#include "snipeturn/entry/readers.h"
#include "snipeturn/entry/store_return.h"
#include "snipeturn/entry/store_updates.h"
#include "snipeturn/entry/upstream_signals.h"

namespace snipeturn::entry::internal {
namespace {

/// A response to this host that is at most this old outweighs a peer's failed connection.
constexpr std::chrono::milliseconds kRecentResponseAge{400};
constexpr std::chrono::milliseconds kAvoidTime{700};
/// A host whose last load table is older than this is not counted as alive.
constexpr std::chrono::milliseconds kPeerTimeout{4000};
/// A peer's read that is younger than the first value shows that the store is back, provided that
/// the peer's previous read was older than the second: where only this host can't reach the store,
/// reads by others must not make it retry more often.
constexpr std::chrono::milliseconds kRecentReadAge{1000};
constexpr std::chrono::milliseconds kOutdatedReadAge{2000};

/// Within this time a forwarded table may arrive after a newer one, if the forwarding host was
/// paused. A restarted host, whose clock begins anew, is silent for longer.
constexpr std::chrono::milliseconds kReorderWindow{3000};

/// Tells whether the peer's reads of the configuration succeed again, or its tables arrive again,
/// after an interruption.
bool HasResumedReading(const PeerLoad& before, const PeerLoadReceived& event, TimePoint now) {
  const bool was_away = now - before.at > kOutdatedReadAge || !before.configuration_confirmed ||
                        before.at - *before.configuration_confirmed > kOutdatedReadAge;
  return was_away && event.configuration_age && *event.configuration_age < kRecentReadAge;
}

/// Newest era of the store that a table shows.
StoreEra NewestEra(const PeerLoadReceived& event) {
  StoreEra era = event.configuration_position.era;
  for (const PeerUpdate& update : event.recent_updates) {
    era = std::max(
        era, std::visit([](const auto& notice) { return notice.position.era; }, update.notice));
  }
  return era;
}

void ApplyUpdate(EventScope& scope, const PeerUpdate& update) {
  std::visit(
      [&scope](const auto& notice) {
        if constexpr (std::is_same_v<std::decay_t<decltype(notice)>, UpstreamListed>) {
          ListUpstream(scope, notice);
        } else {
          UnlistUpstream(scope, notice);
        }
      },
      update.notice);
}

/// Prefers other upstreams for a moment to one that a peer fails to connect to, unless this host
/// has just had a response from it.
void AvoidUnreachable(EventScope& scope, const UpstreamId& id) {
  const auto found = scope.state.upstreams.find(id);
  if (found == scope.state.upstreams.end()) {
    return;
  }
  Upstream& upstream = found->second;
  if (!upstream.last_response_at || scope.now - *upstream.last_response_at > kRecentResponseAge) {
    upstream.peer_connect_failed_at = scope.now;
    upstream.avoid_until = std::max(upstream.avoid_until, scope.now + kAvoidTime);
  }
}

}  // namespace

void HandlePeerLoad(EventScope& scope, const PeerLoadReceived& event) {
  State& state = scope.state;
  PeerLoad& peer = state.peers[event.host];
  if (event.is_forwarded && event.broadcast_at <= peer.broadcast_at &&
      scope.now - peer.at < kReorderWindow) {
    return;
  }
  peer.broadcast_at = event.broadcast_at;
  LearnEra(scope, NewestEra(event), "peer");
  // The number is lower after a restart of the host.
  const bool has_reported = std::exchange(peer.has_reported, true);
  std::uint64_t known = peer.last_update;
  bool has_gap = has_reported && event.last_update < known;  // The host has restarted.
  for (const PeerUpdate& update : event.recent_updates) {
    if (update.number <= known && !has_gap) {
      continue;
    }
    has_gap = has_gap || (has_reported && update.number > known + 1);
    known = update.number;
    ApplyUpdate(scope, update);
  }
  has_gap = has_gap || (has_reported && event.last_update > known);
  const bool is_store_back = HasResumedReading(peer, event, scope.now);
  peer.at = scope.now;
  peer.era = event.configuration_position.era;
  peer.zone = event.zone;
  peer.cell = event.cell;
  peer.is_stopping = event.is_stopping;
  peer.last_update = event.last_update;
  peer.list_confirmed =
      event.list_age ? std::optional<TimePoint>(scope.now - *event.list_age) : std::nullopt;
  peer.configuration_confirmed =
      event.configuration_age ? std::optional<TimePoint>(scope.now - *event.configuration_age)
                              : std::nullopt;
  peer.load = event.load;
  peer.demand = event.demand;
  peer.outcomes = event.outcomes;
  for (auto& [id, count] : peer.outcomes) {
    count.at = scope.now;
  }
  AdoptReportedLimits(scope, event.limits);
  AdoptReportedLeavings(scope, event.leaving);
  for (const UpstreamId& id : event.unreachable_upstreams) {
    AvoidUnreachable(scope, id);
  }
  // A new host counts at once in this host's shares of the limits, before the store lists it.
  const auto live_peers = std::count_if(
      state.peers.begin(), state.peers.end(),
      [&scope](const auto& entry) { return scope.now - entry.second.at < kPeerTimeout; });
  state.hosts = std::max(state.hosts, static_cast<int>(live_peers) + 1);
  // The readers of the list broadcast all changes, including those that another host saw first, so
  // only gaps in their updates matter.
  const bool is_relied_on = !HasCells(state) || event.list_age;
  if (has_gap && is_relied_on) {
    scope.effects.push_back(ReadList{});
  }
  // While the store is unreachable for this host it is read again as soon as a peer reaches it
  // again, otherwise after the backoff that follows a failed read.
  if (state.store.is_reachable ? event.configuration_position > state.store.position
                               : is_store_back) {
    scope.effects.push_back(ReadConfiguration{});
  }
  const bool is_for_cell = HasCells(state) && !event.cell.empty() && event.cell != state.cell;
  if (is_for_cell && !event.is_forwarded) {
    scope.effects.push_back(ForwardLoad{event});
  }
  if (!IsScheduled(state.timers, {TimerKind::kEntryCrashSync, 0})) {
    Schedule(state.timers, {TimerKind::kEntryCrashSync, 0}, scope.now);
  }
  if (event.configuration_version) {
    LearnPeerVersion(scope, *event.configuration_version);
  }
  CountVersionReply(scope, event.host);
  RequestConfirmationIfOld(scope);
  DispatchQueue(scope);
}

}  // namespace snipeturn::entry::internal
