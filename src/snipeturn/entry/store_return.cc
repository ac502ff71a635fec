#include "snipeturn/entry/store_return.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "snipeturn/base/timers.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/rollouts.h"
#include "snipeturn/entry/store_updates.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// Time for which the copy takes nothing out of force. By then the servers have written their
/// entries again, and the store has dropped those of servers that are silent, which takes three of
/// their heartbeats.
constexpr std::chrono::milliseconds kCopyHold{5000};
/// A host that lacks a version that its peers have goes on without it after this time: the operator
/// hasn't written it again, and no other host has it either once those that had it have restarted.
constexpr std::chrono::milliseconds kMaxBehindPeers{30000};
/// Time for which the copy changes no evacuation. Operators write by hand, later than the servers.
constexpr std::chrono::milliseconds kOperatorHold{10000};
/// A host that has just heard of a new version has usually read it within this time.
constexpr std::chrono::milliseconds kUsualDelay{1000};
/// Time for which a host waits for its peers' versions. Some of the peers may be gone.
constexpr std::chrono::milliseconds kMaxReadDelay{300};
/// Time for which a host that has just started, and finds no other host listed in the store, waits
/// for a peer's table: a little longer than the time between two tables.
constexpr std::chrono::milliseconds kMaxSilence{600};
/// Time between two requests to a peer that hasn't replied. Hosts that start together may not
/// listen yet when they are asked.
constexpr std::chrono::milliseconds kAskInterval{50};
/// Number of peers that a host asks for their version. Some may be gone, and some may not have read
/// the newest version.
constexpr std::size_t kAskedPeers = 6;
/// Peers that have sent no table for this long are not asked.
constexpr std::chrono::milliseconds kPeerTimeout{4000};

std::int64_t OwnVersion(const State& state) noexcept {
  return state.desired ? state.desired->version : 0;
}

/// Asks the hosts that haven't replied for their versions, and looks again after a while.
void AskAwaitedHosts(EventScope& scope) {
  const StoreView& store = scope.state.store;
  for (const std::string& host : *store.awaited_versions) {
    scope.effects.push_back(RequestConfirmation{host, scope.now});
  }
  Schedule(scope.state.timers, {TimerKind::kEntryDeferredRead, 0}, scope.now + kAskInterval);
}

/// Asks some hosts for their versions.
/// @param hosts Names of hosts in their order.
void AskForVersions(EventScope& scope, const std::vector<std::string>& hosts) {
  std::set<std::string> asked;
  // The names of a zone's hosts are alike, so that a step spreads the requests over the zones.
  const std::size_t step = std::max<std::size_t>(1, hosts.size() / kAskedPeers);
  for (std::size_t index = 0; index < hosts.size() && asked.size() < kAskedPeers; index += step) {
    asked.insert(hosts[index]);
  }
  scope.state.store.awaited_versions = std::move(asked);
  AskAwaitedHosts(scope);
  ReviewDeferredRead(scope);
}

/// Keeps the next reads back until the peers have stated their versions anew.
void AwaitVersions(EventScope& scope) {
  StoreView& store = scope.state.store;
  store.awaits_versions = true;
  store.awaited_versions.reset();
  store.has_unknown_peers = false;
  store.deferred_until.reset();
  std::vector<std::string> hosts;
  for (const auto& [host, peer] : scope.state.peers) {
    if (scope.now - peer.at < kPeerTimeout) {
      hosts.push_back(host);
    }
  }
  AskForVersions(scope, hosts);
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
  store.copy_held_until = scope.now + kCopyHold;
  store.copy_list_end.reset();
  Schedule(scope.state.timers, {TimerKind::kEntryCopyHold, 0}, *store.copy_held_until);
  scope.effects.push_back(ReadSnapshots{});
  RepublishRollouts(scope);
  AwaitVersions(scope);
}

void EndCopyHold(EventScope& scope) {
  StoreView& store = scope.state.store;
  store.copy_held_until.reset();
  store.copy_list_end.reset();
  Log(scope, log_events::kCopyHoldEnded,
      fmt::format("era={} version={}", store.era.value_or(0), OwnVersion(scope.state)));
  scope.effects.push_back(ReadSnapshots{});
}

bool HoldsEvacuation(EventScope& scope, const std::string& zone) {
  State& state = scope.state;
  if (IsCopyHeld(state, scope.now)) {
    state.held_evacuations[zone] = scope.now + kOperatorHold;
    return true;
  }
  const auto held = state.held_evacuations.find(zone);
  if (held == state.held_evacuations.end() || scope.now >= held->second) {
    return false;
  }
  // What the store lists is read anew when the hold ends.
  Schedule(state.timers, {TimerKind::kEntryCopyHold, 0}, held->second);
  return true;
}

void LearnPeerVersion(EventScope& scope, std::int64_t version) {
  StoreView& store = scope.state.store;
  store.peers_version = std::max(store.peers_version, version);
}

bool IsBehindPeers(EventScope& scope) {
  StoreView& store = scope.state.store;
  const std::int64_t own = OwnVersion(scope.state);
  if (store.peers_version <= own) {
    store.behind_since.reset();
    store.has_logged_behind = false;
    return false;
  }
  if (!store.behind_since) {
    store.behind_since = scope.now;
  }
  const auto since = scope.now - *store.behind_since;
  if (since >= kUsualDelay && !std::exchange(store.has_logged_behind, true)) {
    Log(scope, log_events::kBehindPeers,
        fmt::format("version={} peers_version={} era={} offset={} is_new_host={}", own,
                    store.peers_version, store.era.value_or(0), store.position.offset,
                    !store.confirmed));
  }
  return since < kMaxBehindPeers;
}

bool DeferRead(EventScope& scope, const StoreConfirmed& event) {
  StoreView& store = scope.state.store;
  if (!store.awaits_versions) {
    return false;
  }
  if (!store.deferred_until) {
    store.deferred_until = scope.now + (store.has_unknown_peers ? kMaxSilence : kMaxReadDelay);
    Schedule(scope.state.timers, {TimerKind::kEntryDeferredRead, 0}, scope.now + kAskInterval);
  }
  const bool have_replied =
      store.awaited_versions && store.awaited_versions->empty() && !store.has_unknown_peers;
  if (have_replied || scope.now >= *store.deferred_until) {
    store.awaits_versions = false;
    store.deferred_read.reset();
    return false;
  }
  store.deferred_read = event;
  return true;
}

void AskListedPeers(EventScope& scope, const HostsRead& event) {
  const StoreView& store = scope.state.store;
  if (!store.awaits_versions || store.awaited_versions) {
    return;
  }
  std::vector<std::string> hosts;
  for (const auto& [host, zone] : event.zones) {
    hosts.push_back(host);
  }
  // The copy may lack the records of all other hosts, whose tables come without being asked for.
  scope.state.store.has_unknown_peers = hosts.empty();
  if (hosts.empty() && scope.state.store.deferred_until) {
    // The configuration was read before the list, and waits only for the replies of listed hosts.
    *scope.state.store.deferred_until += kMaxSilence - kMaxReadDelay;
  }
  AskForVersions(scope, hosts);
}

void CountVersionReply(EventScope& scope, const std::string& host) {
  StoreView& store = scope.state.store;
  if (!store.awaits_versions || !store.awaited_versions) {
    return;
  }
  store.awaited_versions->erase(host);
  store.has_unknown_peers = false;
  if (store.awaited_versions->empty()) {
    ReviewDeferredRead(scope);
  }
}

void ReviewAwaitedVersions(EventScope& scope) {
  const StoreView& store = scope.state.store;
  ReviewDeferredRead(scope);
  if (!store.awaits_versions || !store.deferred_read) {
    return;
  }
  if (store.awaited_versions) {
    AskAwaitedHosts(scope);
  } else {
    Schedule(scope.state.timers, {TimerKind::kEntryDeferredRead, 0}, scope.now + kAskInterval);
  }
}

void ReviewDeferredRead(EventScope& scope) {
  if (const auto read = std::exchange(scope.state.store.deferred_read, std::nullopt)) {
    ConfirmStore(scope, *read);
  }
}

}  // namespace internal

bool IsCopyHeld(const State& state, TimePoint now) noexcept {
  return state.store.copy_held_until && now < *state.store.copy_held_until;
}

std::int64_t NewestKnownVersion(const State& state, TimePoint now) noexcept {
  const StoreView& store = state.store;
  const std::int64_t own = internal::OwnVersion(state);
  const bool is_waiting =
      !store.behind_since || now - *store.behind_since < internal::kMaxBehindPeers;
  return is_waiting ? std::max(own, store.peers_version) : own;
}

bool MayBeOfCopy(const State& state, const StorePosition& position, TimePoint now) noexcept {
  const StoreView& store = state.store;
  return IsCopyHeld(state, now) && store.era && position.era == *store.era &&
         (!store.copy_list_end || position < *store.copy_list_end);
}

}  // namespace snipeturn::entry
