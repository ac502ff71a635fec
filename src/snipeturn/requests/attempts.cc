#include "snipeturn/requests/attempts.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "snipeturn/base/log_catalogue.h"
#include "snipeturn/requests/fairness.h"
#include "snipeturn/requests/lifecycle.h"
#include "snipeturn/requests/queue.h"

namespace snipeturn::internal {

using std::chrono::milliseconds;

/// Backoff before the second retry in a row; it doubles up to kMaxBackoff.
constexpr milliseconds kInitialBackoff{200};
constexpr milliseconds kMaxBackoff{2000};
/// How long a retried request waits for a slot or a loan at an upstream that has not failed it.
constexpr milliseconds kAvoidFailedTime{1000};
/// Retries that are allowed in each window, however few requests it has.
constexpr std::uint64_t kMinRetries = 10;
/// How long after the deadline the response to a non-idempotent call is still awaited, because it
/// decides the outcome that retries of the caller get.
constexpr std::chrono::seconds kLateResponseTime = kCleanUpTime;

/// An engine that responds to a resume with misplaced tokens still has the generation, so the
/// stream is resumed for at least this long without a token, regardless of the number of resumes.
/// The value is the default of caller_grace, for which a generation is kept for a disconnected
/// caller.
constexpr milliseconds kMisplacedTokensTime{5000};

milliseconds BackoffBefore(int failures) noexcept {
  if (failures <= 1) {
    return milliseconds{0};
  }
  constexpr int kMaxDoublings = 4;
  return std::min(kMaxBackoff, kInitialBackoff * (1 << std::min(failures - 2, kMaxDoublings)));
}

void CountRetry(EventScope& scope, std::string_view reason) {
  scope.effects.emplace_back(AddToCounter{kRetries, std::string(reason)});
}

void RollRetryWindow(EventScope& scope) {
  if (scope.now.monotonic - scope.state.window_started >=
      scope.context.options.tuning.retry_window) {
    scope.state.window_started = scope.now.monotonic;
    scope.state.window_requests = 0;
    scope.state.window_retries = 0;
  }
}

void CountRequest(EventScope& scope) {
  RollRetryWindow(scope);
  ++scope.state.window_requests;
}

bool MayRetry(EventScope& scope, const Request& request) {
  RollRetryWindow(scope);
  const double allowed =
      scope.context.options.tuning.retry_budget * static_cast<double>(scope.state.window_requests);
  return request.work_class == WorkClass::kCritical || scope.state.window_retries < kMinRetries ||
         static_cast<double>(scope.state.window_retries) < allowed;
}

void SpendRetry(EventScope& scope, std::string_view reason) {
  ++scope.state.window_retries;
  CountRetry(scope, reason);
}

void RecordFailure(EventScope& scope, const Request& request, std::string_view reason) {
  RecordWorkEvent(scope.context.limits, scope.context.membership, scope.context.catalog,
                  request.upstream, HoldOf(request), WorkEvent::kFailure, request.incarnation,
                  scope.now.monotonic - request.attempt_started_at, scope.context.options.tuning,
                  scope.now, scope.effects);
  scope.effects.emplace_back(
      EmitLog{log_events::kAttemptFailed,
              fmt::format("request={} attempt={} upstream={} reason={}", request.call.id,
                          request.attempt, request.upstream, reason)});
}

std::string_view RecordNotRun(EventScope& scope, const Request& request, AttemptResult result) {
  if (result != AttemptResult::kUnsent) {
    RecordFailure(scope, request, "not_run");
    return "not_run";
  }
  if (request.grant && scope.now.monotonic >= request.grant->start_before) {
    return "too_late";
  }
  RecordFailure(scope, request, "unsent");
  return "unsent";
}

void SetCallFields(const Request& request, StartAttempt& start) {
  start.method = request.call.method;
  start.path = request.call.path;
  start.body = request.call.body;
  start.content_type = request.call.content_type;
  start.idempotency_key = request.call.idempotency_key;
}

void SetCompletionFields(const Request& request, StartAttempt& start) {
  start.model = request.call.model;
  start.prompt = request.call.prompt;
  start.max_tokens = request.call.max_tokens;
  start.priority = static_cast<int>(request.work_class);
  start.generation = request.generation;
  start.from_index = request.delivered;
}

milliseconds TimeoutOf(const EventScope& scope, const Request& request) {
  const auto left = std::max(
      milliseconds{1}, std::chrono::ceil<milliseconds>(request.deadline - scope.now.monotonic));
  if (request.call.kind == CallerRequest::Kind::kCompletion) {
    return std::min(left, scope.context.options.tuning.segment);
  }
  return request.idempotent ? left : left + kLateResponseTime;
}

void SendAttempt(EventScope& scope, Request& request, AttemptKind kind, TimePoint not_after) {
  request.phase = RequestPhase::kRunning;
  request.retry_pending = false;
  request.progress_in_attempt = false;
  request.attempt_kind = kind;
  request.attempt_started_at = scope.now.monotonic;
  ++request.attempt;
  StartAttempt start;
  start.request = request.call.id;
  start.attempt = request.attempt;
  start.kind = kind;
  start.upstream = request.upstream;
  start.endpoint = request.endpoint;
  start.not_after = not_after;
  start.timeout = TimeoutOf(scope, request);
  if (kind == AttemptKind::kCall) {
    SetCallFields(request, start);
  } else {
    SetCompletionFields(request, start);
  }
  if (request.idempotent) {
    Schedule(scope.context.timers, {TimerKind::kAttemptProgress, request.call.id},
             scope.now.monotonic + scope.context.options.tuning.no_progress);
  } else {
    MarkDispatched(scope.context.claims, request.call.id, scope.now);
  }
  scope.effects.emplace_back(std::move(start));
}

void StartOnSlot(EventScope& scope, Request& request, SlotGrant grant) {
  auto& waiting = scope.state.waiting;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), request.call.id), waiting.end());
  if (request.attempt == 0) {
    scope.effects.emplace_back(
        RecordSample{Distribution::kQueue, scope.now.monotonic - request.arrived_at});
  }
  ChargeAtStart(scope, request);
  request.upstream = grant.upstream;
  request.endpoint = scope.context.catalog.upstreams.at(grant.upstream).endpoint;
  const TimePoint not_after = std::min(grant.start_before, request.deadline);
  request.grant = std::move(grant);
  const bool call = request.call.kind == CallerRequest::Kind::kCall;
  SendAttempt(scope, request, call ? AttemptKind::kCall : AttemptKind::kGenerate, not_after);
}

void DelayAttempt(EventScope& scope, Request& request, milliseconds backoff) {
  request.phase = RequestPhase::kRunning;
  request.retry_pending = true;
  Schedule(scope.context.timers, {TimerKind::kAttemptProgress, request.call.id},
           scope.now.monotonic + backoff);
}

void Resume(EventScope& scope, Request& request, milliseconds backoff) {
  if (backoff > milliseconds{0}) {
    DelayAttempt(scope, request, backoff);
    return;
  }
  // The generation already runs, so the expiry of the work lease does not limit the resume.
  SendAttempt(scope, request, AttemptKind::kResume, request.deadline);
}

bool MayRestart(const Request& request) noexcept {
  return request.call.cursor.empty() && (!request.call.stream || request.delivered == 0);
}

void HandleUnresumable(EventScope& scope, Request& request, std::string_view reason) {
  CancelKnownGeneration(scope, request);
  ReleaseHoldLater(scope, request, scope.now.monotonic + kCleanUpTime);
  if (MayRestart(request)) {
    Restart(scope, request, reason, true);
  } else {
    Refuse(scope, request, refusals::kStreamStalled);
  }
}

bool MayResume(const EventScope& scope, const Request& request, AttemptFailure failure) {
  if (request.generation.empty()) {
    return false;
  }
  if (request.stalled_resumes < scope.context.options.tuning.max_stalled_resumes) {
    return true;
  }
  return failure == AttemptFailure::kMisplacedToken && request.last_token_at &&
         scope.now.monotonic - *request.last_token_at < kMisplacedTokensTime;
}

void Recover(EventScope& scope, Request& request, std::string_view reason, AttemptFailure failure) {
  request.may_have_run = true;
  if (!MayResume(scope, request, failure)) {
    HandleUnresumable(scope, request, reason);
    return;
  }
  ++request.stalled_resumes;
  CountRetry(scope, reason);
  Resume(scope, request, BackoffBefore(request.stalled_resumes));
}

void ResetAttempt(Request& request) {
  const auto failed =
      std::find(request.failed_upstreams.begin(), request.failed_upstreams.end(), request.upstream);
  if (failed != request.failed_upstreams.end()) {
    request.failed_upstreams.erase(failed);
  }
  request.failed_upstreams.push_back(request.upstream);
  request.upstream.clear();
  request.generation.clear();
  request.incarnation = 0;
  request.delivered = 0;
  request.collected_text.clear();
  request.stalled_resumes = 0;
  request.last_token_at.reset();
}

void Restart(EventScope& scope, Request& request, std::string_view reason, bool lost) {
  Cancel(scope.context.timers, {TimerKind::kAttemptProgress, request.call.id});
  ResetAttempt(request);
  request.lost_attempts += lost ? 1 : 0;
  if (request.caller_disconnected && request.idempotent) {
    CloseRequest(scope, request);
    return;
  }
  if (request.lost_attempts > scope.context.options.tuning.max_stalled_resumes) {
    Refuse(scope, request, refusals::kNoProgress);
    return;
  }
  if (scope.now.monotonic >= request.deadline) {
    Refuse(scope, request,
           request.may_have_run ? refusals::kDeadlineExceeded : refusals::kDeadlinePassed);
    return;
  }
  if (!MayRetry(scope, request)) {
    Refuse(scope, request, refusals::kRetryBudget);
    return;
  }
  SpendRetry(scope, reason);
  request.avoid_failed_until = scope.now.monotonic + kAvoidFailedTime;
  request.not_before = scope.now.monotonic + BackoffBefore(static_cast<int>(request.attempt));
  Requeue(scope, request);
  Dispatch(scope);
}

bool MayRetryOnSameUpstream(const EventScope& scope, const Request& request) {
  const Catalog& catalog = scope.context.catalog;
  const auto upstream = catalog.upstreams.find(request.upstream);
  const auto team = catalog.teams.find(request.caller.team);
  return upstream != catalog.upstreams.end() && team != catalog.teams.end() &&
         upstream->second.deduplicates && IsInService(catalog, team->second, upstream->second) &&
         scope.now.monotonic < request.deadline;
}

bool RetryOnSameUpstream(EventScope& scope, Request& request) {
  if (!MayRetryOnSameUpstream(scope, request) || !MayRetry(scope, request)) {
    return false;
  }
  SpendRetry(scope, "repeated_call");
  // The first retry is delayed too, because a failure usually lasts for a moment.
  DelayAttempt(scope, request, BackoffBefore(static_cast<int>(request.attempt) + 1));
  return true;
}

/// A retry may start the work, so it needs a work lease and a zone in service, as a first attempt
/// does.
void StartRetryOnSameUpstream(EventScope& scope, Request& request) {
  if (!MayRetryOnSameUpstream(scope, request)) {
    ReleaseHoldLater(scope, request, scope.now.monotonic + kCleanUpTime);
    Refuse(scope, request, refusals::kUpstreamFailed);
    return;
  }
  const auto lease_expiry =
      WorkLeaseExpiry(scope.context.membership, scope.context.options.tuning, scope.now);
  if (!lease_expiry) {
    DelayAttempt(scope, request, kInitialBackoff);
    return;
  }
  SendAttempt(scope, request, AttemptKind::kCall, std::min(*lease_expiry, request.deadline));
}

/// A call without a response for no_progress is sent to another upstream, but only once: a service
/// may be slower than that, so the second attempt may take the rest of the deadline.
void HandleCallWithoutProgress(EventScope& scope, Request& request) {
  if (!request.failed_upstreams.empty() || !MayRetry(scope, request)) {
    return;
  }
  RecordFailure(scope, request, "no_progress");
  request.may_have_run = true;
  AbandonOpenAttempt(scope, request);
  ReleaseHoldLater(scope, request, scope.now.monotonic + kCleanUpTime);
  Restart(scope, request, "no_progress", true);
}

void HandleAttemptTimer(EventScope& scope, Request& request) {
  if (request.phase != RequestPhase::kRunning) {
    return;
  }
  const bool call = request.call.kind == CallerRequest::Kind::kCall;
  if (request.retry_pending) {
    if (call) {
      StartRetryOnSameUpstream(scope, request);
    } else {
      Resume(scope, request, milliseconds{0});
    }
    return;
  }
  if (call) {
    HandleCallWithoutProgress(scope, request);
    return;
  }
  RecordFailure(scope, request, "no_progress");
  AbandonOpenAttempt(scope, request);
  Recover(scope, request, "no_progress", AttemptFailure::kLost);
}

}  // namespace snipeturn::internal
