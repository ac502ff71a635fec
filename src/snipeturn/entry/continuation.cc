#include "snipeturn/entry/continuation.h"

#include <fmt/format.h>

#include <algorithm>

#include "snipeturn/base/timers.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/dispatch.h"
#include "snipeturn/entry/lifecycle.h"
#include "snipeturn/entry/migration.h"
#include "snipeturn/entry/outcome.h"
#include "snipeturn/entry/placement.h"
#include "snipeturn/entry/rollouts.h"

namespace snipeturn::entry::internal {
namespace {

/// Maximum time for a request to reach the engine.
constexpr std::chrono::milliseconds kMaxDeliveryDelay{150};

}  // namespace

RunEvidence CollectEvidence(const EventScope& scope, const Request& request) {
  const Migration& migration = *request.migration;
  RunEvidence evidence = migration.evidence;
  evidence.silence =
      ToMilliseconds(scope.now - std::max(request.last_event_at, request.migration->began));
  const auto source = scope.state.upstreams.find(migration.source);
  evidence.is_listed = source != scope.state.upstreams.end() && !source->second.was_unlisted;
  return evidence;
}

bool MayResumeAt(const EventScope& scope, const UpstreamId& id) {
  const auto found = scope.state.upstreams.find(id);
  return found != scope.state.upstreams.end() &&
         scope.state.evacuated_zones.count(found->second.entry.zone) == 0 &&
         !IsVersionClosed(scope.state, found->second) &&
         (found->second.phase != UpstreamPhase::kLeaving ||
          scope.now - found->second.phase_since <
              scope.state.options.bounds.drain - kMaxDeliveryDelay);
}

void ResumeAt(EventScope& scope, Request& request, UpstreamId id) {
  if (!MayResumeAt(scope, id) && request.migration->is_complete) {
    id = request.migration->source;
  }
  if (!MayResumeAt(scope, id)) {
    DropMigration(scope, request);
    RetryOrBreakStream(scope, request, AttemptResult::kBroken, "move_target_gone");
    return;
  }
  const auto found = scope.state.upstreams.find(id);
  if (HoldsEvents(request) && !request.attempts.empty()) {
    RelayStream(scope, request, request.attempts.back());
  }
  Migration& migration = *request.migration;
  migration.step = MigrationStep::kResuming;
  CancelAttempts(scope, request);
  Cancel(scope.state.timers, {TimerKind::kEntryMove, request.key});
  RecordColdStart(found->second, scope.now);
  StartAttempt(scope, request, found->second,
               Resume{migration.source_endpoint, migration.handle, request.events});
}

void ContinueStopped(EventScope& scope, Request& request, RunState state) {
  const Migration& migration = *request.migration;
  const RunEvidence evidence = CollectEvidence(scope, request);
  Log(scope, log_events::kRunStopped,
      fmt::format("id={} source={} state={} disconnected={} unanswered={} silence_ms={} listed={}",
                  request.head.id, migration.source, ToString(state), evidence.has_connection_ended,
                  evidence.unanswered_calls, evidence.silence.count(), evidence.is_listed));
  if (migration.handle.empty()) {
    AbortMigration(scope, request, "source_lost");
    return;
  }
  // An engine that stopped the generation without room at the target still has its memory.
  const bool is_at_source = evidence.answer == RunAnswer::kStopped && !migration.is_complete;
  ResumeAt(
      scope, request,
      is_at_source && MayResumeAt(scope, migration.source) ? migration.source : migration.target);
}

void ContinueOrStop(EventScope& scope, Request& request, std::chrono::milliseconds delay) {
  const RunState state = JudgeRun(CollectEvidence(scope, request));
  if (state == RunState::kMayRun) {
    ScheduleMigration(scope, request, delay);
  } else {
    ContinueStopped(scope, request, state);
  }
}

void DropMigration(EventScope& scope, Request& request) {
  CancelAttempts(scope, request);
  ReleaseCopy(scope, request);
  request.migration.reset();
}

void AbortMigration(EventScope& scope, Request& request, std::string_view reason) {
  Log(scope, log_events::kMoveFailed,
      fmt::format("id={} source={} target={} reason={} rounds={} events={}", request.head.id,
                  request.migration->source, request.migration->target, reason,
                  request.migration->rounds, request.events));
  IncrementCounter(scope, kEntryMoves, reason);
  const bool has_source_ended = request.migration->evidence.has_connection_ended;
  if (!request.migration->handle.empty() && !has_source_ended) {
    scope.effects.push_back(DropCopy{request.migration->source, request.migration->source_endpoint,
                                     request.migration->handle});
  }
  request.migration.reset();
  if (request.attempts.empty()) {
    RetryOrBreakStream(scope, request, AttemptResult::kBroken, "upstream_lost");
  }
}

}  // namespace snipeturn::entry::internal
