#include "snipeturn/entry/migration.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

#include "snipeturn/base/timers.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/continuation.h"
#include "snipeturn/entry/forecast.h"
#include "snipeturn/entry/lifecycle.h"
#include "snipeturn/entry/load.h"
#include "snipeturn/entry/outcome.h"
#include "snipeturn/entry/placement.h"
#include "snipeturn/entry/rollouts.h"

namespace snipeturn::entry::internal {
namespace {

/// A copy round that took no longer leaves so little memory to copy, and found the links so idle,
/// that the pause for the final round isn't noticed.
constexpr std::chrono::milliseconds kShortCopyRound{90};
/// Concurrent copies that this host requests from one engine; the engine sends them one by one.
constexpr int kMaxCopiesPerSource = 2;
/// A generation that is expected to end sooner is not migrated.
constexpr std::chrono::milliseconds kMinRemainingDuration{500};
/// Delay before a migration is retried: without a target, and while the source is busy or after a
/// refused copy.
constexpr std::chrono::milliseconds kRetryDelay{60};
constexpr std::chrono::milliseconds kBusyRetryDelay{20};
/// Calls in a row that may fail before the delay until the next one doubles with each, and the most
/// doublings: hundreds of hosts may call an engine in trouble for many streams each.
constexpr int kQuickRetries = 4;
constexpr int kMaxRetryDoublings = 4;
/// Maximum wait for the last events of a stopped generation.
constexpr std::chrono::milliseconds kLastEventsTimeout{60};
/// A generation is assumed to have at least this fraction (1/n) of its output so far still to come.
/// Lengths vary by factors, so one that has exceeded its forecast may continue for long.
constexpr std::uint64_t kMinRemainingDivisor = 4;
/// Assumed time between events before the first sample of an upstream.
constexpr double kDefaultEventIntervalSeconds = 0.04;
/// Resume attempts that engines may refuse before the migration is given up.
constexpr int kMaxRefusedResumes = 3;
/// An engine that sent a response or an event within this time is considered alive.
constexpr std::chrono::milliseconds kLivenessWindow{1000};

const Attempt* RunningAttempt(const Request& request) {
  return request.attempts.empty() ? nullptr : &request.attempts.back();
}

int CountCopiesFrom(const State& state, const UpstreamId& source) {
  int copies = 0;
  for (const auto& [key, request] : state.requests) {
    copies += request.migration && request.migration->source == source &&
                      request.migration->step != MigrationStep::kResuming
                  ? 1
                  : 0;
  }
  return copies;
}

/// Returns how many tokens a generation is assumed to have still to come; none once it has had the
/// most that its caller allows.
std::uint64_t RemainingTokens(const Request& request) {
  const std::uint64_t produced = OutputTokens(request);
  const std::uint64_t forecast =
      request.expected_output_tokens > produced ? request.expected_output_tokens - produced : 0;
  const std::uint64_t remaining = std::max(forecast, produced / kMinRemainingDivisor);
  const std::uint64_t maximum = request.head.max_output_tokens;
  return maximum == 0 ? remaining : std::min(remaining, maximum - std::min(maximum, produced));
}

std::chrono::milliseconds RemainingDuration(const Request& request, const Upstream& upstream) {
  const double interval =
      upstream.event_interval_s > 0 ? upstream.event_interval_s : kDefaultEventIntervalSeconds;
  const double events =
      static_cast<double>(RemainingTokens(request)) / static_cast<double>(request.tokens_per_event);
  return std::chrono::milliseconds(static_cast<std::int64_t>(events * interval * 1000));
}

/// Attempt at the source of a migration; null once its connection has ended.
Attempt* SourceAttempt(Request& request) {
  const auto found = std::find_if(
      request.attempts.begin(), request.attempts.end(),
      [&](const Attempt& attempt) { return attempt.upstream == request.migration->source; });
  return found == request.attempts.end() ? nullptr : &*found;
}

void StartCopyRound(EventScope& scope, Request& request, bool final) {
  Migration& migration = *request.migration;
  if (Attempt* attempt = SourceAttempt(request); final && attempt != nullptr) {
    attempt->stop_calls += 1;
  }
  migration.copy = scope.state.next_copy++;
  migration.call_began = scope.now;
  migration.rounds += 1;
  migration.step = final ? MigrationStep::kStopping : MigrationStep::kCopying;
  scope.effects.push_back(StartCopy{
      request.key, migration.copy, migration.source, migration.source_endpoint,
      migration.target_endpoint, final,
      migration.evidence.unanswered_calls > 0 || migration.evidence.has_connection_ended});
}

/// Marks a target that reported no room as unreachable, unless it was alive just now: the source
/// reports the same status if it can't reach the target. Other migrations then prefer other
/// targets.
void MarkTargetUnreachable(EventScope& scope, const UpstreamId& id) {
  const auto target = scope.state.upstreams.find(id);
  if (target == scope.state.upstreams.end()) {
    return;
  }
  Upstream& upstream = target->second;
  if (!upstream.last_response_at || scope.now - *upstream.last_response_at > kLivenessWindow) {
    upstream.connect_failed_at = scope.now;
    scope.state.load_changes += 1;  // Triggers an immediate broadcast.
  }
}

/// Gives up the copy of a running generation at a target that wants no new work any more, if
/// another engine has room. Returns whether it did.
bool ReplaceTarget(EventScope& scope, Request& request) {
  const Migration& migration = *request.migration;
  const auto target = scope.state.upstreams.find(migration.target);
  const auto source = scope.state.upstreams.find(migration.source);
  const bool wants_work = target != scope.state.upstreams.end() &&
                          IsServing(scope.state, target->second) &&
                          !IsVersionClosed(scope.state, target->second) &&
                          !backpressure::IsPaused(target->second.pause, scope.now);
  if (wants_work || migration.step != MigrationStep::kCopying ||
      migration.evidence.has_connection_ended || source == scope.state.upstreams.end() ||
      PlaceMigration(scope.state, request, source->second, scope.now).result !=
          PlacementResult::kPlaced) {
    return false;
  }
  Log(scope, log_events::kMoveFailed,
      fmt::format("id={} source={} target={} reason=target_leaves rounds={} events={}",
                  request.head.id, migration.source, migration.target, migration.rounds,
                  request.events));
  IncrementCounter(scope, kEntryMoves, "target_leaves");
  ReleaseCopy(scope, request);
  request.migration.reset();
  ScheduleMigration(scope, request, std::chrono::milliseconds{0});
  return true;
}

Migration MakeMigration(const EventScope& scope, const Upstream& source, const Upstream& target) {
  Migration migration;
  migration.source = source.entry.id;
  migration.source_endpoint = source.entry.endpoint;
  migration.target = target.entry.id;
  migration.target_endpoint = target.entry.endpoint;
  migration.began = scope.now;
  return migration;
}

/// Returns the engine to which the memory of a lost stream is to go: one with room, else any other.
/// Without room there the run is stopped all the same.
const Upstream* FindTarget(const EventScope& scope,
                           const Request& request,
                           const Upstream& source) {
  const State& state = scope.state;
  const Placement placement = PlaceMigration(state, request, source, scope.now);
  if (placement.result == PlacementResult::kPlaced) {
    return &state.upstreams.at(placement.upstream);
  }
  const auto found =
      std::find_if(state.upstreams.begin(), state.upstreams.end(), [&](const auto& candidate) {
        return candidate.second.entry.service == request.service &&
               candidate.first != source.entry.id && IsServing(state, candidate.second);
      });
  return found == state.upstreams.end() ? nullptr : &found->second;
}

/// Calls the engine of a lost stream to stop its run. Returns false if it has no such call, or no
/// other engine could go on with the stream.
bool StopLostRun(EventScope& scope, Request& request, const Attempt& attempt) {
  const State& state = scope.state;
  // A new configuration may have dropped the service.
  const auto service = state.desired->services.find(request.service);
  const auto source = state.upstreams.find(attempt.upstream);
  if (service == state.desired->services.end() || !service->second.engine ||
      !service->second.engine->supports_migration || source == state.upstreams.end()) {
    return false;
  }
  const Upstream* target = FindTarget(scope, request, source->second);
  if (target == nullptr) {
    return false;
  }
  Migration migration = MakeMigration(scope, source->second, *target);
  migration.evidence.has_connection_ended = true;
  request.migration = migration;
  scope.state.load_changes += 1;
  Log(scope, log_events::kMoveStarted,
      fmt::format("id={} source={} target={} reason=stream_lost events={}", request.head.id,
                  migration.source, migration.target, request.events));
  StartCopyRound(scope, request, true);
  return true;
}

/// Delay until a call is made again.
std::chrono::milliseconds RetryDelayAfter(CopyStatus status, int failed_calls) noexcept {
  if (status == CopyStatus::kCopied) {
    return std::chrono::milliseconds{0};
  }
  const bool is_unsent = IsUnanswered(status) && status != CopyStatus::kNoAnswer;
  const int doublings = std::clamp(failed_calls - kQuickRetries, 0, kMaxRetryDoublings);
  return (is_unsent ? kRetryDelay : kBusyRetryDelay) * (1 << doublings);
}

/// Continues a generation that has stopped as a call ended: at once if no event is still to come,
/// else when its connection ends or the last events are overdue.
void HandleStop(EventScope& scope, Request& request, const CopyEnded& event, RunState state) {
  Migration& migration = *request.migration;
  migration.is_complete = event.status == CopyStatus::kCopied;
  const bool has_last_events =
      event.status == CopyStatus::kCopied && request.events >= event.events;
  const bool awaits_events =
      !migration.evidence.has_connection_ended && !has_last_events &&
      (event.status == CopyStatus::kCopied || event.status == CopyStatus::kUnknownRun);
  if (awaits_events) {
    migration.step = MigrationStep::kStopping;
    ScheduleMigration(scope, request, kLastEventsTimeout);
  } else {
    ContinueStopped(scope, request, state);
  }
}

}  // namespace

void ReleaseCopy(EventScope& scope, const Request& request) {
  if (!request.migration) {
    return;
  }
  const Migration& migration = *request.migration;
  if (migration.step != MigrationStep::kResuming && migration.copy != 0) {
    scope.state.orphan_copies[migration.copy] = {migration.source, migration.source_endpoint};
  }
  if (!migration.handle.empty()) {
    scope.effects.push_back(
        DropCopy{migration.source, migration.source_endpoint, migration.handle});
  }
}

void ScheduleMigration(EventScope& scope, const Request& request, std::chrono::milliseconds delay) {
  Schedule(scope.state.timers, {TimerKind::kEntryMove, request.key}, scope.now + delay);
}

void ScheduleMigrationsFrom(EventScope& scope, const Upstream& upstream) {
  struct Candidate {
    std::uint64_t tokens;
    RequestKey key;
  };
  std::vector<Candidate> candidates;
  for (const auto& [key, request] : scope.state.requests) {
    const Attempt* attempt = RunningAttempt(request);
    if (request.phase == RequestPhase::kStreaming && attempt != nullptr &&
        attempt->upstream == upstream.entry.id) {
      candidates.push_back({request.head.prompt_tokens + OutputTokens(request), key});
    }
  }
  // Smallest first: this saves the most generations in the time that the source's link has.
  std::sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& left, const Candidate& right) { return left.tokens < right.tokens; });
  std::chrono::microseconds rank{0};
  for (const Candidate& candidate : candidates) {
    Schedule(scope.state.timers, {TimerKind::kEntryMove, candidate.key}, scope.now + rank);
    rank += std::chrono::microseconds{1};
  }
}

void ReplaceTargets(EventScope& scope) {
  for (auto& [key, request] : scope.state.requests) {
    if (request.migration) {
      static_cast<void>(ReplaceTarget(scope, request));
    }
  }
}

void AdvanceMigration(EventScope& scope, Request& request) {
  if (request.phase != RequestPhase::kStreaming) {
    return;
  }
  if (request.migration) {
    if (request.migration->step == MigrationStep::kResuming) {
      return;  // A target that leaves meanwhile is moved from once it sends events.
    }
    const RunState state = JudgeRun(CollectEvidence(scope, request));
    if (state != RunState::kMayRun) {
      ContinueStopped(scope, request, state);
    } else if (request.migration->copy == 0) {
      // An engine may work on when its connection ends.
      StartCopyRound(scope, request,
                     request.migration->step == MigrationStep::kStopping ||
                         request.migration->evidence.has_connection_ended);
    }
    return;
  }
  const Attempt* attempt = RunningAttempt(request);
  if (attempt == nullptr) {
    return;
  }
  const auto source = scope.state.upstreams.find(attempt->upstream);
  if (source == scope.state.upstreams.end() || (source->second.phase != UpstreamPhase::kLeaving &&
                                                !MustLeaveVersion(scope.state, source->second))) {
    return;
  }
  const Service& service = scope.state.desired->services[request.service];
  if (!service.engine || !service.engine->supports_migration) {
    return;
  }
  if (RemainingDuration(request, source->second) < kMinRemainingDuration) {
    ScheduleMigration(scope, request, kMinRemainingDuration / 2);
    return;
  }
  if (CountCopiesFrom(scope.state, attempt->upstream) >= kMaxCopiesPerSource) {
    ScheduleMigration(scope, request, kBusyRetryDelay);
    return;
  }
  const Placement placement = PlaceMigration(scope.state, request, source->second, scope.now);
  if (placement.result != PlacementResult::kPlaced) {
    Log(scope, log_events::kMoveFailed,
        fmt::format("id={} source={} reason=no_target events={}", request.head.id,
                    attempt->upstream, request.events));
    ScheduleMigration(scope, request, kRetryDelay);
    return;
  }
  const Migration migration =
      MakeMigration(scope, source->second, scope.state.upstreams.at(placement.upstream));
  request.migration = migration;
  scope.state.load_changes += 1;
  Log(scope, log_events::kMoveStarted,
      fmt::format("id={} source={} target={} use={:.2f} tokens={} notice_ms={}", request.head.id,
                  migration.source, migration.target, placement.utilisation,
                  request.head.prompt_tokens + OutputTokens(request),
                  ToMilliseconds(scope.now - source->second.phase_since).count()));
  StartCopyRound(scope, request, false);
}

void HandleCopyEnd(EventScope& scope, const CopyEnded& event) {
  State& state = scope.state;
  const auto orphan = state.orphan_copies.find(event.copy);
  if (orphan != state.orphan_copies.end()) {
    if (!event.handle.empty()) {
      scope.effects.push_back(
          DropCopy{orphan->second.source, orphan->second.endpoint, event.handle});
    }
    state.orphan_copies.erase(orphan);
    return;
  }
  const auto found = state.requests.find(event.request);
  if (found == state.requests.end() || !found->second.migration ||
      found->second.migration->copy != event.copy) {
    return;
  }
  Request& request = found->second;
  Migration& migration = *request.migration;
  const auto duration = ToMilliseconds(scope.now - migration.call_began);
  if (!event.handle.empty()) {
    migration.handle = event.handle;
  }
  Log(scope, log_events::kMoveCopied,
      fmt::format("id={} source={} target={} round={} final={} status={} took_ms={} copied={} "
                  "events={}",
                  request.head.id, migration.source, migration.target, migration.rounds,
                  migration.step == MigrationStep::kStopping, ToString(event.status),
                  duration.count(), event.events, request.events));
  migration.copy = 0;
  const bool is_stop = migration.step == MigrationStep::kStopping;
  const bool has_stopped_nothing =
      event.status == CopyStatus::kBusy || event.status == CopyStatus::kUnknownRun ||
      (IsUnanswered(event.status) && event.status != CopyStatus::kNoAnswer);
  if (Attempt* attempt = SourceAttempt(request);
      is_stop && has_stopped_nothing && attempt != nullptr) {
    attempt->stop_calls -= 1;
  }
  migration.failed_calls = event.status == CopyStatus::kCopied ? 0 : migration.failed_calls + 1;
  RecordCallEnd(migration.evidence, event, is_stop);
  const RunState run_state = JudgeRun(migration.evidence);
  const bool is_source_open = !migration.evidence.has_connection_ended;
  if (run_state != RunState::kMayRun && (!migration.handle.empty() || !is_source_open)) {
    HandleStop(scope, request, event, run_state);
    return;
  }
  // A copy that got no response is made again, as the target has that of an earlier round.
  const bool is_repeated = IsUnanswered(event.status) && !migration.handle.empty();
  if (is_stop || !is_source_open || is_repeated) {
    ScheduleMigration(scope, request, RetryDelayAfter(event.status, migration.failed_calls));
    return;
  }
  if (event.status == CopyStatus::kBusy) {
    ScheduleMigration(scope, request, kBusyRetryDelay);
    return;
  }
  if (event.status != CopyStatus::kCopied) {
    if (event.status == CopyStatus::kNoRoom) {
      request.excluded.insert(migration.target);
      MarkTargetUnreachable(scope, migration.target);
    }
    AbortMigration(scope, request, "copy_refused");
    if (state.requests.count(event.request) > 0) {
      ScheduleMigration(scope, request, kBusyRetryDelay);
    }
    return;
  }
  if (ReplaceTarget(scope, request)) {
    return;
  }
  if (RemainingTokens(request) == 0) {
    // Stopped now, it would leave its target nothing to send.
    ScheduleMigration(scope, request, kMinRemainingDuration / 2);
    return;
  }
  // While the links are busy the generation isn't stopped, since it would wait behind other copies.
  // If its engine ends first, the target recomputes what the last round lacks.
  StartCopyRound(scope, request, duration <= kShortCopyRound);
}

void HandleMigratingAttemptEnd(EventScope& scope,
                               Request& request,
                               const Attempt& attempt,
                               const AttemptEnded& event) {
  if (!request.migration) {
    request.excluded.insert(attempt.upstream);
    ContinueLostStream(scope, request, attempt, event.result, "upstream_lost");
    return;
  }
  Migration& migration = *request.migration;
  if (!attempt.is_resume || migration.step != MigrationStep::kResuming) {
    migration.evidence.has_connection_ended = true;
    if (migration.copy == 0) {
      ContinueOrStop(scope, request, std::chrono::milliseconds{0});
    }
    return;
  }
  migration.refused_resumes += 1;
  const bool did_not_run = event.result == AttemptResult::kUnsent ||
                           event.result == AttemptResult::kNotExecuted ||
                           event.result == AttemptResult::kWrongUpstream;
  if (!did_not_run || migration.refused_resumes >= kMaxRefusedResumes) {
    request.excluded.insert(attempt.upstream);
    DropMigration(scope, request);
    ContinueLostStream(scope, request, attempt, event.result, "resume_failed");
    return;
  }
  const bool was_target = attempt.upstream == migration.target;
  const bool returns_to_source = was_target && event.result != AttemptResult::kUnsent &&
                                 migration.evidence.answer == RunAnswer::kStopped &&
                                 MayResumeAt(scope, migration.source);
  ResumeAt(scope, request, returns_to_source ? migration.source : migration.target);
}

void ContinueLostStream(EventScope& scope,
                        Request& request,
                        const Attempt& attempt,
                        AttemptResult result,
                        std::string_view reason) {
  // Before its first event a stream doesn't go on: its request is repeated where its route allows.
  const bool may_run = result == AttemptResult::kBroken && !attempt.is_reading_prompt;
  if (!may_run || !StopLostRun(scope, request, attempt)) {
    RetryOrBreakStream(scope, request, result, reason);
  }
}

void FinishMigration(EventScope& scope, Request& request) {
  const Migration& migration = *request.migration;
  Log(scope, log_events::kMoveResumed,
      fmt::format("id={} source={} target={} rounds={} took_ms={} stopped_ms={} events={}",
                  request.head.id, migration.source, migration.target, migration.rounds,
                  ToMilliseconds(scope.now - migration.began).count(),
                  ToMilliseconds(scope.now - migration.call_began).count(), request.events));
  IncrementCounter(scope, kEntryMoves, "resumed");
  request.migration.reset();
  request.excluded.clear();
  const Attempt* attempt = RunningAttempt(request);
  const auto upstream = scope.state.upstreams.find(attempt->upstream);
  if (upstream != scope.state.upstreams.end() &&
      upstream->second.phase == UpstreamPhase::kLeaving) {
    ScheduleMigration(scope, request, std::chrono::milliseconds{0});
  }
}

}  // namespace snipeturn::entry::internal
