#include "snipeturn/entry/store_updates.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "snipeturn/base/timers.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/configuration_difference.h"
#include "snipeturn/entry/dispatch.h"
#include "snipeturn/entry/migration.h"
#include "snipeturn/entry/readers.h"
#include "snipeturn/entry/rollouts.h"
#include "snipeturn/entry/store_return.h"
#include "snipeturn/entry/upstream_signals.h"

namespace snipeturn::entry::internal {
namespace {

/// Entries that expired during an outage of the store reappear within two seconds of its return.
constexpr std::chrono::milliseconds kMissingEntryGrace{2000};
/// An entry that vanishes within this time of a failed read may have expired because of the outage.
constexpr std::chrono::milliseconds kOutageWindow{2500};
/// A leaving upstream without work of this host is removed after this time.
constexpr std::chrono::milliseconds kRemoveAfter{5000};
constexpr std::chrono::milliseconds kReviewInterval{250};
/// Updates are repeated for this long, at least with the next two load tables. Their number is
/// limited as each takes about 110 bytes of a datagram. A host that misses one reads the whole
/// list, so there is room for the case that a sixth of several hundred upstreams leaves at once and
/// is replaced.
constexpr std::chrono::milliseconds kUpdateRepeatTime{1200};
constexpr std::size_t kMaxRecentUpdates = 96;
/// Their estimated bytes are limited too, since names may be long: a third of the largest datagram.
constexpr std::size_t kMaxRecentUpdateBytes = 12288;
/// Time between two reads of an engine's report: an engine that is being reclaimed has about two
/// seconds left.
constexpr std::chrono::milliseconds kReportInterval{300};
/// Records of removed upstreams are kept, so that a late message about one doesn't add it again.
/// They are dropped when the table of records exceeds this size.
constexpr std::size_t kMaxRecords = 4096;

bool IsStoreOutage(const EventScope& scope) {
  const StoreView& store = scope.state.store;
  return store.failed && scope.now - *store.failed < kOutageWindow;
}

/// Tells whether the last known record of an upstream was written since the store can be read
/// again. An entry expires after several heartbeats of silence, so that a removal which follows
/// within the outage window isn't due to the outage.
bool IsWrittenSinceOutage(const State& state, const UpstreamId& id) {
  const auto known = state.list_records.find(id);
  return state.store.list_regained && known != state.list_records.end() &&
         !(known->second.position < *state.store.list_regained);
}

/// Tells whether a server wrote the first record before the second one, by its own count. A record
/// may be delayed on its way to the store, or come from a copy of it.
/// @tparam First, Second Records with the start and the count of the server: entries of the list,
/// or
///     what is kept of them.
template <typename First, typename Second>
bool IsWrittenBefore(const First& first, const Second& second) noexcept {
  return first.start_time_ms != 0 && second.start_time_ms != 0 &&
         std::tie(first.start_time_ms, first.sequence) <
             std::tie(second.start_time_ms, second.sequence);
}

/// Estimates the bytes of a name in a datagram, where other bytes than ASCII take up to six.
std::size_t EncodedBytes(std::string_view name) {
  constexpr std::size_t kEscapeBytes = 5;
  const auto escaped = std::count_if(name.begin(), name.end(), [](unsigned char byte) {
    return byte < ' ' || byte >= 0x7f || byte == '"' || byte == '\\';
  });
  return name.size() + kEscapeBytes * static_cast<std::size_t>(escaped);
}

std::size_t EncodedBytes(const UpstreamUnlisted& notice) {
  constexpr std::size_t kNumberBytes = 40;
  return kNumberBytes + EncodedBytes(notice.id);
}

std::size_t EncodedBytes(const UpstreamListed& notice) {
  constexpr std::size_t kNumberBytes = 80;
  const UpstreamEntry& entry = notice.entry;
  return kNumberBytes + EncodedBytes(entry.id) + EncodedBytes(entry.service) +
         EncodedBytes(entry.zone) + EncodedBytes(entry.endpoint.address);
}

std::size_t RecentUpdateBytes(const State& state) {
  std::size_t bytes = 0;
  for (const State::RecentUpdate& recent : state.recent_updates) {
    bytes +=
        std::visit([](const auto& notice) { return EncodedBytes(notice); }, recent.update.notice);
  }
  return bytes;
}

/// Queues an update for the next load tables.
template <typename Notice>
void QueueUpdate(EventScope& scope, Notice notice) {
  State& state = scope.state;
  while (!state.recent_updates.empty() &&
         (scope.now - state.recent_updates.front().at > kUpdateRepeatTime ||
          state.recent_updates.size() >= kMaxRecentUpdates ||
          RecentUpdateBytes(state) + EncodedBytes(notice) > kMaxRecentUpdateBytes)) {
    state.recent_updates.pop_front();
  }
  notice.source = UpdateSource::kPeer;  // The receivers learn of it from a peer.
  state.recent_updates.push_back({scope.now, {++state.last_update, std::move(notice)}});
}

/// Drops the records of removed upstreams when the table gets too large.
void LimitListRecords(State& state) {
  auto& records = state.list_records;
  if (records.size() <= kMaxRecords) {
    return;
  }
  for (auto record = records.begin(); record != records.end();) {
    record = state.upstreams.count(record->first) > 0 ? std::next(record) : records.erase(record);
  }
}

/// Notes that a record of the copy from which the store came back was not taken over what is known.
void IgnoreOlderRecord(EventScope& scope, std::string_view kind, const std::string& name) {
  IncrementCounter(scope, kCopyIgnored, kind);
  Log(scope, log_events::kOlderRecordIgnored,
      fmt::format("kind={} name={} era={}", kind, name, scope.state.store.era.value_or(0)));
}

/// Records an entry of the list; returns false when a newer record of the upstream is known.
bool AcceptEntry(EventScope& scope, const UpstreamListed& event) {
  State& state = scope.state;
  LimitListRecords(state);
  const UpstreamEntry& entry = event.entry;
  const auto known = state.list_records.find(entry.id);
  State::ListedRecord record{event.position, entry.start_time_ms, entry.sequence};
  if (MayBeOfCopy(state, event.position, scope.now)) {
    if (known != state.list_records.end() && !IsWrittenBefore(known->second, entry)) {
      const auto upstream = state.upstreams.find(entry.id);
      if (upstream == state.upstreams.end() || upstream->second.phase != UpstreamPhase::kServing) {
        IgnoreOlderRecord(scope, "entry", entry.id);
      }
      return false;
    }
    // Gives way to what a peer has read of the upstream before the store came back.
    record.position = StorePosition();
  } else if (known != state.list_records.end() &&
             (known->second.position > event.position || IsWrittenBefore(entry, known->second))) {
    return false;
  }
  state.list_records[entry.id] = record;
  return true;
}

/// Records the removal of an entry; returns false when a newer record of the upstream is known.
bool AcceptRemoval(EventScope& scope, const UpstreamUnlisted& event) {
  State& state = scope.state;
  LimitListRecords(state);
  const auto known = state.list_records.find(event.id);
  if (MayBeOfCopy(state, event.position, scope.now) ||
      (known != state.list_records.end() && known->second.position > event.position)) {
    return false;
  }
  // The last entry stays known: a copy of it is not taken for a new one.
  state.list_records[event.id].position = event.position;
  return true;
}

/// Marks an upstream that the copy from which the store came back doesn't list. It may have started
/// later, and writes its entry again.
void MissFromCopy(EventScope& scope, Upstream& upstream) {
  if (upstream.phase != UpstreamPhase::kServing) {
    return;
  }
  upstream.phase = UpstreamPhase::kMissing;
  upstream.phase_since = scope.now;
  upstream.is_missing_from_copy = true;
  Log(scope, log_events::kUpstreamLapsed,
      fmt::format("upstream={} service={} reason=not_in_copy", upstream.entry.id,
                  upstream.entry.service));
  ScheduleUpstreamReview(scope);
}

std::set<UpstreamId> UpstreamsInUse(const State& state) {
  std::set<UpstreamId> used;
  for (const auto& [key, request] : state.requests) {
    for (const Attempt& attempt : request.attempts) {
      used.insert(attempt.upstream);
    }
    if (request.migration) {
      used.insert(request.migration->source);
      used.insert(request.migration->target);
    }
  }
  return used;
}

}  // namespace

void ScheduleUpstreamReview(EventScope& scope) {
  const TimerKey key{TimerKind::kEntryUpstream, 0};
  if (!IsScheduled(scope.state.timers, key)) {
    Schedule(scope.state.timers, key, scope.now + kReviewInterval);
  }
}

void StartLeaving(EventScope& scope, Upstream& upstream, std::string_view reason) {
  if (upstream.phase == UpstreamPhase::kLeaving) {
    return;
  }
  upstream.phase = UpstreamPhase::kLeaving;
  upstream.phase_since = scope.now;
  Log(scope, log_events::kUpstreamLeaving,
      fmt::format("upstream={} service={} reason={}", upstream.entry.id, upstream.entry.service,
                  reason));
  ScheduleMigrationsFrom(scope, upstream);
  ReplaceTargets(scope);
  ScheduleUpstreamReview(scope);
}

void AdoptDesiredState(EventScope& scope, const DesiredStateRead& event) {
  State& state = scope.state;
  if (state.desired && !IsNewerVersion(*state.desired, event.desired)) {
    return;
  }
  state.desired = event.desired;
  for (auto times = state.service_times.begin(); times != state.service_times.end();) {
    const bool is_configured = state.desired->services.count(times->first) > 0;
    times = is_configured ? std::next(times) : state.service_times.erase(times);
  }
  Log(scope, log_events::kDesiredState,
      fmt::format("version={} routes={} services={} keys={}", event.desired.version,
                  event.desired.routes.size(), event.desired.services.size(),
                  event.desired.organisation_by_key.size()));
  DispatchQueue(scope);
}

void AdoptEvacuation(EventScope& scope, const EvacuationRead& event) {
  const bool was_evacuated = scope.state.evacuated_zones.count(event.zone) > 0;
  scope.state.held_evacuations.erase(event.zone);
  if (event.evacuated) {
    scope.state.evacuation_positions[event.zone] = event.position;
  }
  if (was_evacuated == event.evacuated) {
    return;
  }
  if (event.evacuated) {
    scope.state.evacuated_zones.insert(event.zone);
  } else {
    scope.state.evacuated_zones.erase(event.zone);
    // The upstreams of the zone may be cold when it returns to service.
    for (auto& [id, upstream] : scope.state.upstreams) {
      const auto service = scope.state.desired
                               ? scope.state.desired->services.find(upstream.entry.service)
                               : decltype(scope.state.desired->services.end()){};
      if (upstream.entry.zone == event.zone && scope.state.desired &&
          service != scope.state.desired->services.end()) {
        upstream.cold_until = std::max(upstream.cold_until, scope.now + service->second.cold_time);
      }
    }
  }
  Log(scope, log_events::kEvacuation,
      fmt::format("zone={} evacuated={}", event.zone, event.evacuated));
  ReplaceTargets(scope);
  DispatchQueue(scope);
}

void AdoptEvacuations(EventScope& scope, const EvacuationsRead& event) {
  State& state = scope.state;
  std::set<std::string> ended = state.evacuated_zones;
  for (const EvacuationRead& evacuation : event.evacuations) {
    ended.erase(evacuation.zone);
    // The copy holds the records of the former log at their offsets.
    const auto known = state.evacuation_positions.find(evacuation.zone);
    const bool has_ended = state.evacuated_zones.count(evacuation.zone) == 0 &&
                           known != state.evacuation_positions.end() &&
                           known->second.offset == evacuation.position.offset;
    if (has_ended && HoldsEvacuation(scope, evacuation.zone)) {
      IgnoreOlderRecord(scope, "evacuation", evacuation.zone);
    } else {
      AdoptEvacuation(scope, evacuation);
    }
  }
  for (const std::string& zone : ended) {
    if (HoldsEvacuation(scope, zone)) {
      IgnoreOlderRecord(scope, "evacuation_missing", zone);
    } else {
      AdoptEvacuation(scope, {zone, false, {}});
    }
  }
}

void ListUpstream(EventScope& scope, const UpstreamListed& event) {
  const UpstreamEntry& entry = event.entry;
  State& state = scope.state;
  if (!AcceptEntry(scope, event)) {
    return;
  }
  NoteVersion(scope, entry);
  auto found = state.upstreams.find(entry.id);
  const bool is_new_incarnation =
      found == state.upstreams.end() ||
      (found->second.entry.start_time_ms != entry.start_time_ms && entry.start_time_ms != 0);
  if (is_new_incarnation) {
    if (found != state.upstreams.end()) {
      scope.effects.push_back(ForgetUpstream{entry.id});
    }
    Upstream new_upstream;
    new_upstream.entry = entry;
    new_upstream.known_since = scope.now;
    new_upstream.phase_since = scope.now;
    const auto left = state.left_upstreams.find(entry.id);
    if (left != state.left_upstreams.end() && left->second.start_time_ms == entry.start_time_ms) {
      new_upstream.said_leaving_at = left->second.said_at;
    }
    found = state.upstreams.insert_or_assign(entry.id, new_upstream).first;
    Log(scope, log_events::kUpstreamListed,
        fmt::format("upstream={} service={} address={}:{} zone={} slots={} cold_ms={} born={}",
                    entry.id, entry.service, entry.endpoint.address, entry.endpoint.port,
                    entry.zone, entry.slots, entry.cold_left.count(), entry.start_time_ms));
  }
  Upstream& upstream = found->second;
  if (!(upstream.entry.endpoint == entry.endpoint)) {
    scope.effects.push_back(ForgetUpstream{entry.id});
  }
  const bool is_update = is_new_incarnation || upstream.entry.leaving != entry.leaving ||
                         upstream.phase == UpstreamPhase::kMissing;
  // Each host reads the copy itself, and knows which of its records are older.
  if (is_update && event.source == UpdateSource::kStore &&
      !MayBeOfCopy(state, event.position, scope.now)) {
    QueueUpdate(scope, event);
  }
  upstream.entry = entry;
  upstream.is_missing_from_copy = false;
  if (entry.cold_left.count() > 0) {
    upstream.cold_until = scope.now + entry.cold_left;
  }
  if (entry.leaving) {
    StartLeaving(scope, upstream, "told");
  } else if (!IsLeavingOutdated(upstream, scope.now)) {
    AdoptLeaving(scope, upstream, "said", false);
  } else if (upstream.phase == UpstreamPhase::kMissing || upstream.was_unlisted ||
             upstream.said_leaving_at) {
    upstream.was_unlisted = false;
    upstream.said_leaving_at.reset();
    upstream.said_leaving_here = false;
    upstream.phase = UpstreamPhase::kServing;
    upstream.phase_since = scope.now;
    Log(scope, log_events::kUpstreamListed,
        fmt::format("upstream={} service={} reason=back", entry.id, entry.service));
  }
  DispatchQueue(scope);
}

void UnlistUpstream(EventScope& scope, const UpstreamUnlisted& event) {
  const bool is_written_since_outage = IsWrittenSinceOutage(scope.state, event.id);
  if (!AcceptRemoval(scope, event)) {
    return;
  }
  const auto found = scope.state.upstreams.find(event.id);
  if (found == scope.state.upstreams.end() || found->second.phase == UpstreamPhase::kLeaving) {
    return;
  }
  UpstreamUnlisted update = event;
  update.may_have_expired =
      event.may_have_expired && IsStoreOutage(scope) && !is_written_since_outage;
  if (event.source == UpdateSource::kStore) {
    QueueUpdate(scope, update);
  }
  Upstream& upstream = found->second;
  upstream.is_missing_from_copy = false;
  if (!update.may_have_expired) {
    upstream.was_unlisted = true;
    StartLeaving(scope, upstream, "entry_removed");
    return;
  }
  if (upstream.phase == UpstreamPhase::kServing) {
    upstream.phase = UpstreamPhase::kMissing;
    upstream.phase_since = scope.now;
    Log(scope, log_events::kUpstreamLapsed,
        fmt::format("upstream={} service={}", event.id, upstream.entry.service));
    ScheduleUpstreamReview(scope);
  }
}

void AdoptUpstreamList(EventScope& scope, const UpstreamListRead& event) {
  State& state = scope.state;
  StoreView& store = state.store;
  if (event.end.era < store.era.value_or(0)) {
    return;  // A peer has told meanwhile that the store came back from a copy.
  }
  std::set<UpstreamId> listed;
  for (const UpstreamListed& item : event.entries) {
    listed.insert(item.entry.id);
    ListUpstream(scope, item);
  }
  std::vector<UpstreamId> missing;
  for (const auto& [id, upstream] : state.upstreams) {
    if (listed.count(id) == 0) {
      missing.push_back(id);
    }
  }
  for (const UpstreamId& id : missing) {
    const StorePosition known = state.list_records[id].position;
    const bool is_written_again =
        known.era == event.end.era && !MayBeOfCopy(state, known, scope.now);
    if (IsCopyHeld(state, scope.now) && !is_written_again) {
      MissFromCopy(scope, state.upstreams.at(id));
    } else {
      UnlistUpstream(scope, {id, event.end, UpdateSource::kStore});
    }
  }
  if (!store.copy_list_end && IsCopyHeld(state, scope.now)) {
    store.copy_list_end = event.end;
  }
}

void HandleReport(EventScope& scope, const UpstreamReported& event) {
  const auto found = scope.state.upstreams.find(event.id);
  if (found == scope.state.upstreams.end() || !event.leaving) {
    return;
  }
  const std::int64_t start_time_ms = found->second.entry.start_time_ms;
  const bool is_other_incarnation =
      event.start_time_ms != 0 && start_time_ms != 0 && event.start_time_ms != start_time_ms;
  if (!is_other_incarnation) {
    AdoptLeaving(scope, found->second, "reported", true);
  }
}

void ReadReports(EventScope& scope) {
  State& state = scope.state;
  Schedule(state.timers, {TimerKind::kEntryReports, 0}, scope.now + kReportInterval);
  const bool is_list_fresh = IsUpstreamListFresh(state, scope.now);
  std::set<UpstreamId> requested;
  for (const auto& [key, request] : state.requests) {
    if (request.kind != RouteKind::kStream) {
      continue;
    }
    for (const Attempt& attempt : request.attempts) {
      const auto upstream = state.upstreams.find(attempt.upstream);
      // Whether an upstream without an entry is leaving is known only from its report.
      const bool is_needed =
          upstream != state.upstreams.end() &&
          (upstream->second.phase == UpstreamPhase::kMissing ||
           (upstream->second.phase == UpstreamPhase::kServing && !is_list_fresh)) &&
          !backpressure::IsPaused(upstream->second.pause, scope.now);
      if (is_needed && requested.insert(attempt.upstream).second) {
        scope.effects.push_back(ReadReport{attempt.upstream, upstream->second.entry.endpoint});
      }
    }
  }
}

void ReviewUpstreams(EventScope& scope) {
  State& state = scope.state;
  const std::set<UpstreamId> used = UpstreamsInUse(state);
  std::vector<UpstreamId> removed;
  bool is_pending = false;
  for (auto& [id, upstream] : state.upstreams) {
    EndExpiredLimit(scope, upstream);
    LogPauseEnd(scope, upstream);
    is_pending = is_pending || upstream.rate_limit.requests_per_second || upstream.logged_pause_end;
    if (upstream.phase == UpstreamPhase::kMissing) {
      // The list can't be read while the store is unreachable; the grace period starts when it is
      // back.
      const bool is_copy_held = upstream.is_missing_from_copy && IsCopyHeld(state, scope.now);
      if (!state.store.is_reachable || is_copy_held) {
        upstream.phase_since = scope.now;
      } else if (scope.now - upstream.phase_since >= kMissingEntryGrace) {
        upstream.was_unlisted = true;
        StartLeaving(scope, upstream, "entry_not_back");
      }
      is_pending = true;
    } else if (upstream.phase == UpstreamPhase::kLeaving) {
      if (used.count(id) == 0 && scope.now - upstream.phase_since >= kRemoveAfter) {
        removed.push_back(id);
      } else {
        is_pending = true;
      }
    }
  }
  for (const UpstreamId& id : removed) {
    RememberLeaving(scope, state.upstreams.at(id));
    state.upstreams.erase(id);
    scope.effects.push_back(ForgetUpstream{id});
    Log(scope, log_events::kUpstreamGone, fmt::format("upstream={}", id));
  }
  if (is_pending) {
    ScheduleUpstreamReview(scope);
  }
}

void ConfirmList(EventScope& scope, const ListConfirmed& event) {
  StoreView& store = scope.state.store;
  if (event.position.era < store.era.value_or(0)) {
    return;
  }
  scope.state.list_confirmed = event.began;
  if (store.failed && event.began >= *store.failed && !store.list_regained) {
    store.list_regained = event.position;
  }
}

void ConfirmStore(EventScope& scope, const StoreConfirmed& event) {
  StoreView& store = scope.state.store;
  if (event.position.era < store.era.value_or(0)) {
    return;  // A peer has told meanwhile that the store came back from a copy.
  }
  store.read_at = scope.now;
  if (store.position < event.position) {
    store.position = event.position;
    // Makes the next load table, which carries the position, due at once.
    scope.state.load_changes += 1;
  }
  if (!store.is_reachable) {
    store.is_reachable = true;
    Log(scope, log_events::kStoreRegained, "");
  }
  if (DeferRead(scope, event) || IsBehindPeers(scope)) {
    return;
  }
  if (!store.confirmed || *store.confirmed < event.began) {
    store.confirmed = event.began;
  }
}

void HandleStoreFailure(EventScope& scope, const StoreReadFailed& event) {
  StoreView& store = scope.state.store;
  store.failed = scope.now;
  store.list_regained.reset();
  if (store.is_reachable) {
    store.is_reachable = false;
    Log(scope, log_events::kStoreLost, fmt::format("reason={}", event.reason));
  }
}

}  // namespace snipeturn::entry::internal
