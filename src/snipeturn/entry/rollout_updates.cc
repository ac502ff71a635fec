#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/cells.h"
#include "snipeturn/entry/dispatch.h"
#include "snipeturn/entry/rollouts.h"
#include "snipeturn/entry/store_return.h"

namespace snipeturn::entry::internal {
namespace {

/// Versions that are listed within this time of one another came with the same read of the list,
/// whose order says nothing about which is the older one.
constexpr std::chrono::milliseconds kSameRead{500};
/// Delay before the status is read again after a write whose result is unknown, or was refused.
constexpr std::chrono::milliseconds kUnknownDelay{200};
constexpr std::chrono::milliseconds kRefusedDelay{1000};

/// Tells whether an order is the one of a roll-out. A store that came back from a copy lists it in
/// a later era, at the same offset.
bool IsSameOrder(const Rollout& rollout, const std::string& target, const StorePosition& position) {
  return rollout.order.target == target && rollout.order.offset == position.offset;
}

Rollout MakeRollout(EventScope& scope,
                    const std::string& service,
                    const std::string& target,
                    std::chrono::milliseconds duration,
                    const StorePosition& position) {
  Rollout rollout;
  rollout.order = {service, target, duration, position.offset, position.era};
  rollout.ordered_at = scope.now;
  rollout.phase_since = scope.now;
  return rollout;
}

/// Ends the roll-out in force without a verdict, unless it has one.
void EndRollout(EventScope& scope, ServiceVersions& versions, std::string_view reason) {
  if (!versions.active) {
    return;
  }
  const Rollout& active = *versions.active;
  if (!rollout::IsFinal(active.phase)) {
    versions.barred.insert(active.order.target);
    IncrementCounter(scope, kRolloutPhases, reason);
  }
  Log(scope, log_events::kRolloutEnded,
      fmt::format("service={} target={} offset={} reason={} phase={}", active.order.service,
                  active.order.target, active.order.offset, reason, ToString(active.phase)));
  versions.active.reset();
}

void Withdraw(EventScope& scope, ServiceVersions& versions) {
  versions.pending.reset();
  EndRollout(scope, versions, "withdrawn");
  DispatchQueue(scope);
}

bool HasUpstream(const State& state, const std::string& service, const std::string& version) {
  return std::any_of(state.upstreams.begin(), state.upstreams.end(), [&](const auto& item) {
    return item.second.entry.service == service && item.second.entry.version == version;
  });
}

/// Tells whether the target serves all requests already, so that there is nothing to compare.
bool IsAlone(const State& state, const ServiceVersions& versions, const rollout::Order& order) {
  if (versions.only) {
    return *versions.only == order.target;
  }
  return versions.barred.count(order.target) == 0 &&
         std::none_of(state.upstreams.begin(), state.upstreams.end(), [&](const auto& item) {
           return item.second.entry.service == order.service &&
                  item.second.entry.version != order.target;
         });
}

constexpr rollout::Phase FinalPhase(RolloutState state) noexcept {
  return state == RolloutState::kSucceeded ? rollout::Phase::kSucceeded
                                           : rollout::Phase::kRolledBack;
}

/// Tells whether a peer knows more of the order's state than this host. An end stands, also when
/// the store has lost it; a later era only tells that the store holds it still.
bool IsNewer(const RecordedState& reported, const std::optional<RecordedState>& known) noexcept {
  const auto rank = [](const RecordedState& recorded) {
    return std::pair(recorded.state != RolloutState::kRunning, recorded.era);
  };
  return !known || rank(*known) < rank(reported);
}

/// Notes what a peer knows of the order that is pending or in force here.
void AdoptReport(EventScope& scope,
                 ServiceVersions& versions,
                 const std::string& source,
                 const ReportedRollout& report) {
  Rollout& active = *versions.active;
  active.ordered_at = std::min<TimePoint>(active.ordered_at, scope.now - report.age);
  active.is_fresh = active.is_fresh || !rollout::IsFinal(report.phase);
  active.is_status_known = true;
  active.order.era = std::max(active.order.era, report.order.era);
  if (report.published && IsNewer(*report.published, active.published)) {
    active.published = report.published;
    const RolloutState state = report.published->state;
    if (state != RolloutState::kRunning && FinalPhase(state) != active.phase) {
      ChangePhase(scope, versions, FinalPhase(state), source);
    }
  }
  if (!rollout::IsFinal(active.phase)) {
    rollout::AdoptRows(active.reported, {source, report.incarnation}, report.rows);
    if (report.phase > active.phase && report.phase != rollout::Phase::kSucceeded) {
      ChangePhase(scope, versions, report.phase, source);
    }
  }
}

void AdoptReportedRollout(EventScope& scope,
                          const std::string& source,
                          const ReportedRollout& report) {
  ServiceVersions& versions = scope.state.rollouts[report.service];
  const auto is_same = [&report](const std::optional<Rollout>& rollout) {
    return rollout && IsSameOrder(*rollout, report.target, report.order);
  };
  if (!is_same(versions.active) && !is_same(versions.pending)) {
    if (versions.newest && !(*versions.newest < report.order)) {
      return;
    }
    versions.newest = report.order;
    versions.pending =
        MakeRollout(scope, report.service, report.target, report.duration, report.order);
    versions.pending->ordered_at = scope.now - report.age;
    versions.pending->is_status_known = true;
    Log(scope, log_events::kRolloutOrdered,
        fmt::format("service={} target={} offset={} era={} duration_ms={} source={}",
                    report.service, report.target, report.order.offset, report.order.era,
                    report.duration.count(), source));
  }
  if (is_same(versions.pending)) {
    ActivateRollout(scope, versions);
  }
  if (is_same(versions.active)) {
    AdoptReport(scope, versions, source, report);
  }
  ScheduleRolloutReview(scope);
}

}  // namespace

void NoteVersion(EventScope& scope, const UpstreamEntry& entry) {
  if (!scope.state.options.rollouts_enabled) {
    return;
  }
  ServiceVersions& versions = scope.state.rollouts[entry.service];
  const auto known = versions.seen.find(entry.version);
  if (known != versions.seen.end()) {
    auto& start = known->second.start_time_ms;
    start = std::min(start, entry.start_time_ms);
    return;
  }
  ServiceVersions::Seen seen{scope.now, scope.now, entry.start_time_ms};
  const TimePoint later = scope.now + scope.state.options.bounds.config_apply;
  const bool is_oldest =
      std::all_of(versions.seen.begin(), versions.seen.end(), [&](const auto& other) {
        return scope.now - other.second.first_seen < kSameRead &&
               entry.start_time_ms < other.second.start_time_ms;
      });
  if (is_oldest) {
    for (auto& [version, other] : versions.seen) {
      other.allowed_from = later;
    }
  } else {
    seen.allowed_from = later;
    Log(scope, log_events::kVersionHeld,
        fmt::format("service={} version={} upstream={} for_ms={}", entry.service, entry.version,
                    entry.id, scope.state.options.bounds.config_apply.count()));
  }
  versions.seen.emplace(entry.version, seen);
  if (versions.pending) {
    ScheduleRolloutReview(scope);
  }
}

void ActivateRollout(EventScope& scope, ServiceVersions& versions) {
  Rollout& pending = *versions.pending;
  const rollout::Order& order = pending.order;
  if (!HasUpstream(scope.state, order.service, order.target)) {
    const bool is_overdue =
        RolloutAge(pending, scope.now) > scope.state.options.bounds.config_apply;
    if (is_overdue && !std::exchange(pending.has_logged_unknown_version, true)) {
      Log(scope, log_events::kRecordUnreadable,
          fmt::format("key=rollout/{} offset={} reason=unknown_version target={}", order.service,
                      order.offset, order.target));
    }
    return;
  }
  EndRollout(scope, versions, "replaced");
  versions.active = std::move(versions.pending);
  versions.pending.reset();
  Rollout& active = *versions.active;
  // A host that has just started may not have read the whole list.
  if (active.is_fresh && IsAlone(scope.state, versions, active.order)) {
    active.phase = rollout::Phase::kPromoting;
  }
  versions.barred.erase(active.order.target);
  versions.broken_at.clear();
  if (!active.is_status_known) {
    active.step_at = scope.now;
    scope.effects.push_back(ReadRolloutStatus{active.order.service});
  }
  DispatchQueue(scope);
}

void AdoptRolloutOrder(EventScope& scope, const RolloutOrderRead& event) {
  State& state = scope.state;
  if (!state.options.rollouts_enabled) {
    return;
  }
  if (!event.is_deleted && (event.target.empty() || event.duration.count() <= 0)) {
    Log(scope, log_events::kRecordUnreadable,
        fmt::format("key=rollout/{} offset={} reason=no_target_or_duration", event.service,
                    event.position.offset));
    return;
  }
  ServiceVersions& versions = state.rollouts[event.service];
  for (std::optional<Rollout>* rollout : {&versions.active, &versions.pending}) {
    if (!event.is_deleted && *rollout && IsSameOrder(**rollout, event.target, event.position)) {
      (*rollout)->order.era = std::max((*rollout)->order.era, event.position.era);
      versions.newest = std::max(versions.newest.value_or(event.position), event.position);
      return;
    }
  }
  const bool is_older =
      versions.newest &&
      (!(*versions.newest < event.position) ||
       (IsCopyHeld(state, scope.now) && event.position.offset <= versions.newest->offset));
  if (is_older) {
    return;
  }
  versions.newest = event.position;
  if (event.is_deleted) {
    Withdraw(scope, versions);
    return;
  }
  Rollout rollout = MakeRollout(scope, event.service, event.target, event.duration, event.position);
  rollout.ordered_at -= event.age;
  // A host that starts, or that couldn't read for long, may find an order that has ended already.
  rollout.is_fresh =
      state.store.confirmed && scope.now - std::max(*state.store.confirmed, state.store.read_at) <
                                   state.options.bounds.config_apply;
  rollout.is_status_known = rollout.is_fresh;
  Log(scope, log_events::kRolloutOrdered,
      fmt::format("service={} target={} offset={} era={} duration_ms={} source=store fresh={}",
                  event.service, event.target, event.position.offset, event.position.era,
                  event.duration.count(), rollout.is_fresh));
  versions.pending = std::move(rollout);
  ActivateRollout(scope, versions);
  ScheduleRolloutReview(scope);
}

void AdoptRolloutOrders(EventScope& scope, const RolloutOrdersRead& event) {
  State& state = scope.state;
  if (!state.options.rollouts_enabled) {
    return;
  }
  for (const RolloutOrderRead& order : event.orders) {
    AdoptRolloutOrder(scope, order);
  }
  if (IsCopyHeld(state, scope.now)) {
    return;  // The copy may lack the newest orders; the list is read anew when the hold ends.
  }
  for (auto& [service, versions] : state.rollouts) {
    const bool is_listed = std::any_of(event.orders.begin(), event.orders.end(),
                                       [&name = service](const RolloutOrderRead& order) {
                                         return order.service == name && !order.is_deleted;
                                       });
    if (!is_listed && (versions.active || versions.pending)) {
      Withdraw(scope, versions);
    }
  }
}

void HandleRolloutStatusWritten(EventScope& scope, const RolloutStatusWritten& event) {
  const auto found = scope.state.rollouts.find(event.service);
  IncrementCounter(scope, kRolloutWrites, ToString(event.result));
  Log(scope,
      event.result == StatusWriteResult::kWritten ? log_events::kRolloutStatusWritten
                                                  : log_events::kRolloutStatusNotWritten,
      fmt::format("service={} target={} state={} result={}", event.service, event.status.target,
                  ToString(event.status.state), ToString(event.result)));
  if (found == scope.state.rollouts.end() || !found->second.active) {
    return;
  }
  Rollout& active = *found->second.active;
  if (active.order.target != event.status.target || active.step != StatusStep::kWriting) {
    return;
  }
  active.step = StatusStep::kIdle;
  active.step_at = scope.now;
  switch (event.result) {
    case StatusWriteResult::kWritten:
      active.published = RecordedState{event.status.state, event.era};
      if (event.status.state != RolloutState::kRunning &&
          FinalPhase(event.status.state) != active.phase) {
        ChangePhase(scope, found->second, FinalPhase(event.status.state), "written");
      }
      scope.state.load_changes += 1;  // Triggers an immediate broadcast.
      break;
    case StatusWriteResult::kConflict:
      break;
    case StatusWriteResult::kUnknown:
      active.step_at = scope.now + kUnknownDelay;
      break;
    case StatusWriteResult::kRefused:
      active.step_at = scope.now + kRefusedDelay;
      break;
  }
  PublishRollout(scope, active);
  ScheduleRolloutReview(scope);
}

void RepublishRollouts(EventScope& scope) {
  if (!scope.state.rollouts.empty()) {
    ScheduleRolloutReview(scope);
  }
}

void AdoptReportedRollouts(EventScope& scope,
                           const std::string& source,
                           const std::vector<ReportedRollout>& rollouts) {
  if (!scope.state.options.rollouts_enabled) {
    return;
  }
  for (const ReportedRollout& report : rollouts) {
    AdoptReportedRollout(scope, source, report);
  }
}

}  // namespace snipeturn::entry::internal
