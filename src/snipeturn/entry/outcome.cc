#include "snipeturn/entry/outcome.h"

#include <fmt/format.h>

#include <algorithm>

#include "snipeturn/base/timers.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/crash_reports.h"
#include "snipeturn/entry/dispatch.h"
#include "snipeturn/entry/health.h"
#include "snipeturn/entry/learned_capacity.h"
#include "snipeturn/entry/lifecycle.h"
#include "snipeturn/entry/migration.h"
#include "snipeturn/entry/placement.h"
#include "snipeturn/entry/rollout_evidence.h"
#include "snipeturn/entry/rollouts.h"
#include "snipeturn/entry/service_times.h"
#include "snipeturn/entry/shutdown.h"
#include "snipeturn/quarantine/part_set.h"

namespace snipeturn::entry::internal {
namespace {

/// Backoff after a failure, during which an upstream is chosen last; doubles with each further
/// failure in a row.
constexpr std::chrono::milliseconds kBackoffBase{250};
constexpr std::chrono::milliseconds kMaxBackoff{4000};
constexpr int kMaxBackoffDoublings = 4;
/// Minimum time between two immediate broadcasts of an upstream's failures.
constexpr std::chrono::milliseconds kMinFailureBroadcastInterval{500};
/// Weight of the newest sample in the moving mean of the time between events.
constexpr double kEventIntervalSmoothing = 0.05;
/// Maximum attempts of one request, whatever their results. Bounds the loop over upstreams that
/// refuse it.
constexpr int kMaxAttempts = 4;
/// Maximum attempts if the connection failed. Such attempts cost about a millisecond each, and many
/// upstreams fail this way when a zone goes down.
constexpr int kMaxUnsentAttempts = 10;
constexpr int kFirstNonSuccessStatus = 300;
/// Retry-After of a request that no upstream executed.
constexpr std::chrono::milliseconds kNotExecutedRetryAfter{300};

bool DidNotRun(AttemptResult result) noexcept {
  return result == AttemptResult::kUnsent || result == AttemptResult::kNotExecuted ||
         result == AttemptResult::kWrongUpstream;
}

std::string_view ReasonOf(AttemptResult result) noexcept {
  switch (result) {
    case AttemptResult::kUnsent:
      return "connect_failed";
    case AttemptResult::kNotExecuted:
      return "upstream_refused";
    case AttemptResult::kWrongUpstream:
      return "wrong_upstream";
    case AttemptResult::kAnswered:
      return "upstream_error";
    case AttemptResult::kStreamFinished:
      return "finished";
    case AttemptResult::kBroken:
      return "broken";
  }
  return "";
}

/// Updates failure counts, backoff and connection state of the upstream from the result of an
/// attempt.
void UpdateUpstreamHealth(EventScope& scope, const Attempt& attempt, const AttemptEnded& event) {
  const auto found = scope.state.upstreams.find(attempt.upstream);
  if (found == scope.state.upstreams.end()) {
    return;
  }
  Upstream& upstream = found->second;
  const bool is_server_error = event.result == AttemptResult::kAnswered && event.status >= 500;
  const bool has_failed = event.result == AttemptResult::kUnsent ||
                          event.result == AttemptResult::kBroken ||
                          event.result == AttemptResult::kNotExecuted;
  const bool counts_as_failure = has_failed || is_server_error;
  const bool got_no_response = event.result == AttemptResult::kUnsent ||
                               (event.result == AttemptResult::kBroken && event.status == 0);
  const SendOutcome failure_outcome =
      got_no_response ? SendOutcome::kNoAnswer : SendOutcome::kError;
  CountOutcome(upstream.outcomes, counts_as_failure ? failure_outcome : SendOutcome::kAnswered,
               scope.now);
  if (counts_as_failure &&
      scope.now - upstream.failure_broadcast_at > kMinFailureBroadcastInterval) {
    upstream.failure_broadcast_at = scope.now;
    scope.state.load_changes += 1;  // Triggers an immediate broadcast.
  }
  if (event.result == AttemptResult::kWrongUpstream) {
    upstream.phase = UpstreamPhase::kLeaving;
    upstream.phase_since = scope.now;
    return;
  }
  if (event.result == AttemptResult::kUnsent) {
    upstream.connect_failed_at = scope.now;
  } else if (event.result == AttemptResult::kBroken) {
    upstream.connection_broken_at = scope.now;
  } else {
    upstream.last_response_at = scope.now;
  }
  if (!has_failed) {
    upstream.failures = 0;
    return;
  }
  upstream.avoid_until =
      scope.now + std::min(kMaxBackoff,
                           kBackoffBase * (1 << std::min(upstream.failures, kMaxBackoffDoublings)));
  upstream.failures += 1;
  Log(scope, log_events::kUpstreamAvoided,
      fmt::format("upstream={} failures={} recent={:.1f} for_ms={} reason={}", attempt.upstream,
                  upstream.failures, upstream.outcomes.failures,
                  ToMilliseconds(upstream.avoid_until - scope.now).count(), event.reason));
}

Attempt RemoveAttempt(EventScope& scope, Request& request, AttemptKey key) {
  const auto found = std::find_if(request.attempts.begin(), request.attempts.end(),
                                  [key](const Attempt& attempt) { return attempt.key == key; });
  const Attempt attempt = *found;
  request.attempts.erase(found);
  scope.state.request_by_attempt.erase(key);
  return attempt;
}

/// Tells whether a stream without a length ended because its generation was stopped for a
/// migration: the engine then closes the connection in order before the last event.
bool IsStoppedForMigration(const Attempt& attempt, const AttemptEnded& event) noexcept {
  return event.result == AttemptResult::kStreamFinished && event.ends_with_connection &&
         attempt.stop_calls > 0;
}

/// Retries a request if that is allowed. Returns true if it was sent or queued.
bool RetryRequest(EventScope& scope, Request& request, AttemptResult result) {
  const int max_attempts = result == AttemptResult::kUnsent ? kMaxUnsentAttempts : kMaxAttempts;
  // A resume that didn't run may follow as many runs as are allowed.
  const bool is_allowed =
      request.runs < request.max_upstreams &&
      (DidNotRun(result) ? request.sends < max_attempts
                         : IsRepeatable(request) && request.sends < kMaxAttempts);
  if (!is_allowed || !MayRetryPrompt(scope.state, request) || WouldOutliveProcess(scope, request)) {
    return false;
  }
  // A response that can be relayed is not discarded for a place in the queue.
  const bool may_wait = DidNotRun(result) || request.is_started;
  const PlacementResult place = PlaceRequest(scope.state, request, scope.now).result;
  const bool must_wait = place == PlacementResult::kNoRoom || place == PlacementResult::kDeferred;
  if (place == PlacementResult::kNoUpstream || (must_wait && !may_wait)) {
    return false;
  }
  // A failed connection put no load on the service, so it isn't charged to the retry budget.
  if (result != AttemptResult::kUnsent &&
      !TryConsumeRetry(scope.state.retry_budgets[request.service], scope.state.options.bounds,
                       scope.state.hosts, scope.now)) {
    request.last_reason = "retry_budget_spent";
    return false;
  }
  IncrementCounter(scope, kRetries, ReasonOf(result));
  request.phase = RequestPhase::kQueued;
  DispatchOrEnqueue(scope, request);
  return true;
}

}  // namespace

void RetryOrBreakStream(EventScope& scope,
                        Request& request,
                        AttemptResult result,
                        std::string_view reason) {
  if (request.is_resumable && RetryRequest(scope, request, result)) {
    IncrementCounter(scope, kEntryStreams, "resumed_anew");
    return;
  }
  BreakRequest(scope, request, reason);
}

void RelayStream(EventScope& scope, Request& request, const Attempt& attempt) {
  const bool is_first_of_response = !request.is_started;
  request.is_started = true;
  scope.effects.push_back(RelayEvents{request.key, attempt.key});
  if (is_first_of_response) {
    scope.effects.push_back(RecordSample{Distribution::kFirstToken, scope.now - request.arrived});
    Log(scope, log_events::kStreamStarted,
        fmt::format("id={} upstream={} after_ms={} events={}", request.head.id, attempt.upstream,
                    ToMilliseconds(scope.now - request.arrived).count(), request.events));
  }
}

void HandleAttemptEnd(EventScope& scope, const AttemptEnded& received) {
  const auto key = scope.state.request_by_attempt.find(received.attempt);
  if (key == scope.state.request_by_attempt.end()) {
    return;
  }
  Request& request = scope.state.requests.at(key->second);
  const Attempt attempt = RemoveAttempt(scope, request, received.attempt);
  AttemptEnded event = received;
  if (IsStoppedForMigration(attempt, event)) {
    event.result = AttemptResult::kBroken;
    event.reason = "stopped for migration";
  }
  const bool continues = event.result == AttemptResult::kStreamFinished || request.is_resumable ||
                         request.migration || attempt.is_resume;
  if (HoldsEvents(request) && continues) {
    // The end of the attempt drops the events that haven't been passed on.
    RelayStream(scope, request, attempt);
  }
  RecordLostAttempt(scope, request, attempt, event);
  RecordAttemptEvidence(scope, request, attempt, event);
  UpdateUpstreamHealth(scope, attempt, event);
  if (DidNotRun(event.result) && !attempt.is_resume) {
    request.runs -= 1;
  }
  const bool is_answer = event.result == AttemptResult::kAnswered && event.relayable;
  if (attempt.is_reading_prompt && (is_answer || event.result == AttemptResult::kStreamFinished)) {
    RecordBegunAnswer(scope, request);
  }
  // An error often comes sooner than a result.
  if (is_answer && event.status < kFirstNonSuccessStatus && request.kind != RouteKind::kStream) {
    Record(scope.state.service_times[request.service].response, scope.now - attempt.sent_at,
           scope.now);
    ObserveCall(scope, request, attempt);
  }
  if (event.result == AttemptResult::kStreamFinished) {
    CompleteStream(scope, request, event.attempt);
    return;
  }
  const bool is_acceptable = event.result == AttemptResult::kAnswered && event.relayable &&
                             (event.status < 500 || !IsRepeatable(request));
  if (!is_acceptable) {
    request.last_reason = event.reason.empty() ? std::string(ReasonOf(event.result)) : event.reason;
    Log(scope, log_events::kAttemptFailed,
        fmt::format("id={} upstream={} result={} status={} reason={} after_ms={} events={} "
                    "disconnected={} parts={}",
                    request.head.id, attempt.upstream, ReasonOf(event.result), event.status,
                    event.reason, ToMilliseconds(scope.now - attempt.sent_at).count(),
                    request.events, event.is_disconnected,
                    quarantine::FormatParts(request.head.prompt_parts)));
  }
  if (request.migration || attempt.is_resume) {
    HandleMigratingAttemptEnd(scope, request, attempt, event);
    return;
  }
  if (request.is_started) {
    // Includes a response that isn't a stream: it can't follow events that the caller already has.
    request.excluded.insert(attempt.upstream);
    ContinueLostStream(scope, request, attempt, event.result, "upstream_lost");
    return;
  }
  if (is_acceptable) {
    RecordOverdueEvidence(scope, request, attempt.sent_at);
    ForwardResponse(scope, request, event.attempt, event.status);
    return;
  }
  if (!request.attempts.empty()) {
    return;  // The other attempt may still succeed.
  }
  request.excluded.insert(attempt.upstream);
  if (RetryRequest(scope, request, event.result)) {
    return;
  }
  if (event.result == AttemptResult::kAnswered && event.relayable) {
    ForwardResponse(scope, request, event.attempt, event.status);
  } else if (request.runs > 0 || !DidNotRun(event.result)) {
    RefuseRequest(scope, request, 502, "outcome_unknown");
  } else {
    const auto retry_after =
        WouldOutliveProcess(scope, request)
            ? RetryAfterShutdown(scope)
            : std::min(kNotExecutedRetryAfter, ToMilliseconds(request.deadline - scope.now) / 3);
    RefuseRequest(scope, request, 503, ReasonOf(event.result), retry_after);
  }
}

void HandleStreamProgress(EventScope& scope, const StreamProgressed& event) {
  const auto key = scope.state.request_by_attempt.find(event.attempt);
  if (key == scope.state.request_by_attempt.end()) {
    return;
  }
  Request& request = scope.state.requests.at(key->second);
  const auto attempt =
      std::find_if(request.attempts.begin(), request.attempts.end(),
                   [&event](const Attempt& item) { return item.key == event.attempt; });
  const auto upstream = scope.state.upstreams.find(attempt->upstream);
  const bool is_first = request.phase != RequestPhase::kStreaming;
  if (upstream != scope.state.upstreams.end()) {
    if (!is_first) {
      const double interval =
          std::chrono::duration<double>(scope.now - request.last_event_at).count();
      double& mean = upstream->second.event_interval_s;
      mean += kEventIntervalSmoothing * (interval - mean);
    }
    upstream->second.failures = 0;
    upstream->second.last_response_at = scope.now;
  }
  if (attempt->is_reading_prompt) {
    RecordBegunAnswer(scope, request);
    RecordFirstEventEvidence(scope, request, *attempt);
    RecordFirstEvent(scope.state.service_times[request.service], request,
                     scope.now - attempt->sent_at, scope.now);
    ObserveFirstEvent(scope, request, *attempt);
  }
  ObservePace(scope, request, *attempt, event.events);
  request.phase = RequestPhase::kStreaming;
  scope.state.load_decreases += attempt->is_reading_prompt ? 1 : 0;
  attempt->is_reading_prompt = false;
  request.events = std::max(request.events, event.events);
  if (!request.first_event_at) {
    request.first_event_at = scope.now;
    request.first_event = request.events;
  }
  request.last_event_at = scope.now;
  if (request.migration && attempt->upstream == request.migration->source) {
    RecordEvent(request.migration->evidence);
  }
  if (!MustArriveWhole(scope, request)) {
    RelayStream(scope, request, *attempt);
  } else if (is_first) {
    Log(scope, log_events::kStreamHeld,
        fmt::format("id={} upstream={} after_ms={}{}", request.head.id, attempt->upstream,
                    ToMilliseconds(scope.now - request.arrived).count(),
                    DescribeShutdown(scope, request)));
  }
  if (is_first) {
    DispatchQueue(scope);
  }
  if (upstream == scope.state.upstreams.end()) {
    return;
  }
  if (request.migration && request.migration->step == MigrationStep::kResuming) {
    FinishMigration(scope, request);
  }
  if (is_first && (upstream->second.phase == UpstreamPhase::kLeaving ||
                   MustLeaveVersion(scope.state, upstream->second))) {
    ScheduleMigration(scope, request, std::chrono::milliseconds{0});
  }
}

}  // namespace snipeturn::entry::internal
