#include "snipeturn/entry/rollouts.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "snipeturn/base/hash.h"
#include "snipeturn/base/timers.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/cells.h"
#include "snipeturn/entry/dispatch.h"
#include "snipeturn/entry/load.h"
#include "snipeturn/entry/migration.h"
#include "snipeturn/entry/placement.h"
#include "snipeturn/rollout/progress.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// Time between two reviews: a small part of the time that a rollback may take.
constexpr std::chrono::milliseconds kReviewInterval{100};
/// A host whose tables don't come for this long isn't waited for as the writer.
constexpr std::chrono::milliseconds kPeerTimeout{3200};
/// Time that a host has to write the status before the next one by rank does.
constexpr std::chrono::milliseconds kWriterTurn{1000};
/// Time after which a read or write of the status that got no result is repeated.
constexpr std::chrono::milliseconds kStepTimeout{1000};
/// No final state is written sooner after the order. One that is read sooner belongs to an earlier
/// order.
constexpr std::chrono::milliseconds kMinFinalAge{1000};
/// Time for which load tables report a roll-out that has ended.
constexpr std::chrono::milliseconds kReportEnded{30000};

const ServiceVersions* FindVersions(const State& state, const std::string& service) {
  if (!state.options.rollouts_enabled) {
    return nullptr;
  }
  const auto found = state.rollouts.find(service);
  return found == state.rollouts.end() ? nullptr : &found->second;
}

/// Tells whether a version may be used beside the target of an order, or without an order.
bool IsOldVersion(const ServiceVersions& versions, const std::string& version, TimePoint now) {
  if (versions.only) {
    return version == *versions.only;
  }
  if (versions.barred.count(version) > 0) {
    return false;
  }
  const auto seen = versions.seen.find(version);
  return seen == versions.seen.end() || seen->second.allowed_from <= now;
}

/// Tells whether a service has an upstream in service on one side.
bool IsServing(const State& state,
               const std::string& service,
               const Rollout& rollout,
               bool target) {
  return std::any_of(state.upstreams.begin(), state.upstreams.end(), [&](const auto& item) {
    const Upstream& upstream = item.second;
    return upstream.entry.service == service &&
           (upstream.entry.version == rollout.order.target) == target &&
           entry::IsServing(state, upstream);
  });
}

/// Tells whether this host hears neither from the store nor from peers, so that the roll-out may
/// have been rolled back without its knowledge.
bool IsCutOff(const State& state, TimePoint now) {
  const auto limit = state.options.bounds.config_apply;
  const bool has_read = now - state.store.read_at < limit ||
                        (state.store.confirmed && now - *state.store.confirmed < limit);
  return !has_read && std::none_of(state.peers.begin(), state.peers.end(),
                                   [&](const auto& peer) { return now - peer.second.at < limit; });
}

VersionUse UseOfTarget(const State& state,
                       const Request& request,
                       const Rollout& rollout,
                       TimePoint now) {
  switch (rollout.phase) {
    case rollout::Phase::kRolledBack:
      return VersionUse::kBarred;
    case rollout::Phase::kSucceeded:
      return VersionUse::kAllowed;
    case rollout::Phase::kCanary:
    case rollout::Phase::kPromoting:
      break;
  }
  if (!rollout.is_status_known || IsCutOff(state, now)) {
    // Without old upstreams the target has taken over.
    return IsServing(state, request.service, rollout, false) ? VersionUse::kBarred
                                                             : VersionUse::kAllowed;
  }
  if (rollout.phase == rollout::Phase::kPromoting) {
    return VersionUse::kPreferred;
  }
  // A stream that is moved was charged to the old version, and stays there during the canary.
  const bool is_moved = request.phase == RequestPhase::kStreaming;
  return !is_moved && rollout::MayUseTarget(rollout.exposure, state.options.bounds.canary_share)
             ? VersionUse::kPreferred
             : VersionUse::kBarred;
}

/// Position of this host among the live ones in the order in which they write the status.
int WriterRank(const EventScope& scope, const Rollout& rollout) {
  const State& state = scope.state;
  const std::string key =
      fmt::format("{}/{}/{}", rollout.order.service, rollout.order.target, rollout.order.offset);
  const std::uint64_t own = RendezvousWeight(key, state.options.host);
  return static_cast<int>(
      std::count_if(state.peers.begin(), state.peers.end(), [&](const auto& item) {
        return scope.now - item.second.at < kPeerTimeout && !item.second.is_stopping &&
               item.first != state.options.host && RendezvousWeight(key, item.first) > own;
      }));
}

RolloutState StateToPublish(const Rollout& rollout) noexcept {
  if (rollout.phase == rollout::Phase::kRolledBack) {
    return RolloutState::kRolledBack;
  }
  const bool has_succeeded = rollout.is_success_due || rollout.phase == rollout::Phase::kSucceeded;
  return has_succeeded ? RolloutState::kSucceeded : RolloutState::kRunning;
}

bool IsOldInUse(const State& state, const Rollout& rollout, TimePoint now) {
  const LoadTable load = TotalLoad(state, now);
  return std::any_of(load.begin(), load.end(), [&](const auto& item) {
    const auto upstream = state.upstreams.find(item.first);
    return item.second.requests > 0 && upstream != state.upstreams.end() &&
           upstream->second.entry.service == rollout.order.service &&
           upstream->second.entry.version != rollout.order.target;
  });
}

rollout::MergedEvidence MergeEvidence(const Rollout& rollout) {
  rollout::MergedEvidence merged;
  merged.rows = rollout.own;
  for (const auto& [source, rows] : rollout.reported) {
    for (const auto& [key, row] : rows) {
      rollout::AddRow(merged.rows, row);
    }
  }
  return merged;
}

/// Judges the evidence and changes the phase accordingly.
void Advance(EventScope& scope, ServiceVersions& versions) {
  Rollout& active = *versions.active;
  if (rollout::IsFinal(active.phase)) {
    return;
  }
  active.judgement = rollout::Judge(MergeEvidence(active));
  rollout::ProgressInputs inputs;
  inputs.age = RolloutAge(active, scope.now);
  inputs.duration = active.order.duration;
  inputs.judgement = active.judgement;
  inputs.is_old_in_use =
      active.phase == rollout::Phase::kPromoting && IsOldInUse(scope.state, active, scope.now);
  const rollout::Phase next = rollout::NextPhase(active.phase, inputs);
  if (next == rollout::Phase::kSucceeded) {
    active.is_success_due = true;  // The platform then stops the old upstreams at once.
  } else if (next != active.phase) {
    ChangePhase(scope, versions, next, ToString(active.judgement.verdict));
  }
}

ReportedRollout MakeReport(const Rollout& rollout, TimePoint now) {
  ReportedRollout report;
  report.service = rollout.order.service;
  report.target = rollout.order.target;
  report.order = StorePosition(rollout.order.era, rollout.order.offset);
  report.age = RolloutAge(rollout, now);
  report.duration = rollout.order.duration;
  report.phase = rollout.phase;
  report.published = rollout.published;
  return report;
}

/// Tells whether load tables report a roll-out.
bool IsReported(const Rollout& rollout, TimePoint now) {
  return rollout.is_status_known &&
         (!rollout::IsFinal(rollout.phase) || now - rollout.phase_since < kReportEnded);
}

void AddRows(ReportedRollout& report, const rollout::EvidenceRows& rows) {
  for (const auto& [key, row] : rows) {
    report.rows.push_back(row);
  }
}

std::string DescribeJudgement(const Rollout& rollout) {
  const rollout::Judgement& judgement = rollout.judgement;
  return fmt::format(
      "verdict={} score={:.1f} fault={} route={} old={}/{} target={}/{} slowdown={:.2f} "
      "groups={}/{} share={}/{}",
      ToString(judgement.verdict), judgement.score, ToString(judgement.fault),
      judgement.route.empty() ? "all" : judgement.route, judgement.old_counts.failures,
      judgement.old_counts.responses, judgement.target_counts.failures,
      judgement.target_counts.responses, judgement.slowdown, judgement.faulty_groups,
      judgement.target_groups, rollout.exposure.target_sends, rollout.exposure.sends);
}

}  // namespace

std::chrono::milliseconds RolloutAge(const Rollout& rollout, TimePoint now) {
  return ToMilliseconds(now - rollout.ordered_at);
}

void ScheduleRolloutReview(EventScope& scope) {
  const TimerKey key{TimerKind::kEntryRollout, 0};
  if (!IsScheduled(scope.state.timers, key)) {
    Schedule(scope.state.timers, key, scope.now + kReviewInterval);
  }
}

void ChangePhase(EventScope& scope,
                 ServiceVersions& versions,
                 rollout::Phase phase,
                 std::string_view reason) {
  Rollout& active = *versions.active;
  const std::string& target = active.order.target;
  const rollout::Phase before = std::exchange(active.phase, phase);
  active.phase_since = scope.now;
  if (phase == rollout::Phase::kSucceeded) {
    versions.only = target;
    versions.barred.clear();
  } else if (phase == rollout::Phase::kRolledBack) {
    versions.barred.insert(target);
    active.is_success_due = false;
  }
  scope.state.load_changes += 1;  // Triggers an immediate broadcast.
  IncrementCounter(scope, kRolloutPhases, ToString(phase));
  Log(scope, log_events::kRolloutPhase,
      fmt::format("service={} target={} offset={} phase={} before={} reason={} after_ms={} {}",
                  active.order.service, target, active.order.offset, ToString(phase),
                  ToString(before), reason, RolloutAge(active, scope.now).count(),
                  DescribeJudgement(active)));
  if (phase == rollout::Phase::kPromoting) {
    for (const auto& [id, upstream] : scope.state.upstreams) {
      if (MustLeaveVersion(scope.state, upstream)) {
        ScheduleMigrationsFrom(scope, upstream);
      }
    }
  }
  ReplaceTargets(scope);
  DispatchQueue(scope);
}

std::optional<RolloutState> StateInStore(const State& state, const Rollout& rollout) {
  const bool is_current =
      rollout.published && rollout.published->era >= state.store.era.value_or(0);
  return is_current ? std::optional(rollout.published->state) : std::nullopt;
}

void PublishRollout(EventScope& scope, Rollout& rollout) {
  const RolloutState wanted = StateToPublish(rollout);
  const bool is_final = wanted != RolloutState::kRunning;
  const auto in_store = StateInStore(scope.state, rollout);
  if (!rollout.is_status_known || in_store == wanted || (in_store && !is_final)) {
    rollout.wanted.reset();
    return;
  }
  if (rollout.wanted != wanted) {
    rollout.wanted = wanted;
    rollout.wanted_since = scope.now;
  }
  if (is_final && RolloutAge(rollout, scope.now) < kMinFinalAge) {
    return;
  }
  const bool is_busy = rollout.step != StatusStep::kIdle;
  if (scope.now < rollout.step_at + (is_busy ? kStepTimeout : std::chrono::milliseconds{0}) ||
      scope.now - rollout.wanted_since < kWriterTurn * WriterRank(scope, rollout)) {
    return;
  }
  rollout.step = StatusStep::kReading;
  rollout.step_at = scope.now;
  scope.effects.push_back(ReadRolloutStatus{rollout.order.service});
}

void HandleRolloutStatus(EventScope& scope, const RolloutStatusRead& event) {
  const auto found = scope.state.rollouts.find(event.service);
  if (found == scope.state.rollouts.end() || !found->second.active) {
    return;
  }
  Rollout& active = *found->second.active;
  const bool was_known = std::exchange(active.is_status_known, true);
  const StatusStep step = std::exchange(active.step, StatusStep::kIdle);
  const bool is_same = event.status && event.status->target == active.order.target;
  const bool has_ended = is_same && event.status->state != RolloutState::kRunning;
  // Statuses of other writers don't name their order.
  const bool may_be_ours =
      event.status && event.status->order
          ? *event.status->order == active.order.offset
          : active.published || !active.is_fresh || RolloutAge(active, scope.now) >= kMinFinalAge;
  if (has_ended && may_be_ours) {
    active.published = RecordedState{event.status->state, event.end.era};
    const auto phase = event.status->state == RolloutState::kSucceeded
                           ? rollout::Phase::kSucceeded
                           : rollout::Phase::kRolledBack;
    if (phase != active.phase) {
      ChangePhase(scope, found->second, phase, "status_in_store");
    }
    return;
  }
  if (!was_known) {
    DispatchQueue(scope);
  }
  if (is_same && !has_ended && active.wanted == RolloutState::kRunning) {
    active.published = RecordedState{RolloutState::kRunning, event.end.era};
  } else if (step == StatusStep::kReading && active.wanted) {
    active.step = StatusStep::kWriting;
    active.step_at = scope.now;
    scope.effects.push_back(WriteRolloutStatus{
        event.service, {active.order.target, *active.wanted, active.order.offset}, event.end});
  }
}

void ReviewRollouts(EventScope& scope) {
  bool is_needed = false;
  for (auto& [service, versions] : scope.state.rollouts) {
    if (versions.pending) {
      ActivateRollout(scope, versions);
    }
    is_needed = is_needed || versions.pending;
    if (!versions.active) {
      continue;
    }
    Rollout& active = *versions.active;
    if (!active.is_status_known) {
      // Hosts that can't read the store learn the phase from peers.
      if (scope.now >= active.step_at + kStepTimeout) {
        active.step_at = scope.now;
        scope.effects.push_back(ReadRolloutStatus{service});
      }
      is_needed = true;
      continue;
    }
    Advance(scope, versions);
    PublishRollout(scope, active);
    is_needed = is_needed || !rollout::IsFinal(active.phase) || active.wanted;
  }
  if (is_needed) {
    ScheduleRolloutReview(scope);
  }
}

}  // namespace internal

VersionUse UseOfVersion(const State& state,
                        const Request& request,
                        const Upstream& upstream,
                        TimePoint now) {
  const ServiceVersions* versions = internal::FindVersions(state, request.service);
  if (versions == nullptr) {
    return VersionUse::kAllowed;
  }
  const std::string& version = upstream.entry.version;
  const Rollout* active = versions->active ? &*versions->active : nullptr;
  if (active != nullptr && version == active->order.target) {
    return internal::UseOfTarget(state, request, *active, now);
  }
  const bool has_moved =
      active != nullptr && active->phase == rollout::Phase::kPromoting &&
      !rollout::MayFallBack(internal::RolloutAge(*active, now), active->order.duration) &&
      internal::IsServing(state, request.service, *active, true) && !internal::IsCutOff(state, now);
  return !has_moved && internal::IsOldVersion(*versions, version, now) ? VersionUse::kAllowed
                                                                       : VersionUse::kBarred;
}

bool MayUseVersion(const State& state,
                   const Request& request,
                   const Upstream& upstream,
                   TimePoint now) {
  return UseOfVersion(state, request, upstream, now) != VersionUse::kBarred;
}

bool IsVersionClosed(const State& state, const Upstream& upstream) {
  const ServiceVersions* versions = internal::FindVersions(state, upstream.entry.service);
  if (versions == nullptr || !versions->active) {
    return false;
  }
  const bool is_target = upstream.entry.version == versions->active->order.target;
  return is_target ? versions->active->phase == rollout::Phase::kRolledBack
                   : versions->active->phase == rollout::Phase::kSucceeded;
}

bool MustLeaveVersion(const State& state, const Upstream& upstream) {
  const ServiceVersions* versions = internal::FindVersions(state, upstream.entry.service);
  return versions != nullptr && versions->active &&
         versions->active->phase == rollout::Phase::kPromoting &&
         upstream.entry.version != versions->active->order.target;
}

std::vector<ReportedRollout> ReportedRollouts(const State& state, TimePoint now) {
  std::vector<ReportedRollout> reports;
  for (const auto& [service, versions] : state.rollouts) {
    if (versions.active && internal::IsReported(*versions.active, now)) {
      ReportedRollout report = internal::MakeReport(*versions.active, now);
      report.incarnation = state.options.incarnation;
      if (!rollout::IsFinal(report.phase)) {
        internal::AddRows(report, versions.active->own);
      }
      reports.push_back(std::move(report));
    }
  }
  return reports;
}

std::vector<ReportedRollout> CellRollouts(const State& state, TimePoint now) {
  std::vector<ReportedRollout> reports;
  for (const auto& [service, versions] : state.rollouts) {
    if (!versions.active || !internal::IsReported(*versions.active, now)) {
      continue;
    }
    ReportedRollout report = internal::MakeReport(*versions.active, now);
    if (!rollout::IsFinal(report.phase)) {
      rollout::EvidenceRows sum = versions.active->own;
      for (const auto& [source, rows] : versions.active->reported) {
        if (state.cells.count(source.first) == 0) {
          for (const auto& [key, row] : rows) {
            rollout::AddRow(sum, row);
          }
        }
      }
      internal::AddRows(report, sum);
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace snipeturn::entry
