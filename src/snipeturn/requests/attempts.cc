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

/// Pause before the second resume or repeat in a row; it doubles up to the longest pause.
constexpr milliseconds kFirstPause{200};
constexpr milliseconds kLongestPause{2000};
/// A request waits this long for a slot or a loan at an upstream that has not failed it.
constexpr milliseconds kAvoidFailedTime{1000};
/// Retries that a window allows even with few requests.
constexpr std::uint64_t kFewestRetries = 10;
/// An answer to a non-idempotent call is awaited for this long after the deadline, because it
/// settles the call for repeats.
constexpr std::chrono::seconds kLateAnswerTime = kCleanUpTime;

/// An engine that answers resumes with misplaced tokens still has the generation, so the number of
/// resumes doesn't end the stream before this time without a token. It is the default of
/// caller_grace, the time for which a silent generation is kept for its caller.
constexpr milliseconds kMisplacedTokensTime{5000};

milliseconds PauseBefore(int failures) noexcept {
  if (failures <= 1) {
    return milliseconds{0};
  }
  constexpr int kMostDoublings = 4;
  return std::min(kLongestPause, kFirstPause * (1 << std::min(failures - 2, kMostDoublings)));
}

void CountRetry(Work& work, std::string_view reason) {
  work.effects.emplace_back(Count{kRetries, std::string(reason)});
}

void RollWindow(Work& work) {
  if (work.now.monotonic - work.state.window_started >= work.context.options.tuning.retry_window) {
    work.state.window_started = work.now.monotonic;
    work.state.window_requests = 0;
    work.state.window_retries = 0;
  }
}

void CountRequest(Work& work) {
  RollWindow(work);
  ++work.state.window_requests;
}

bool MayRetry(Work& work, const Request& request) {
  RollWindow(work);
  const double allowed =
      work.context.options.tuning.retry_budget * static_cast<double>(work.state.window_requests);
  return request.work_class == WorkClass::kCritical || work.state.window_retries < kFewestRetries ||
         static_cast<double>(work.state.window_retries) < allowed;
}

void SpendRetry(Work& work, std::string_view reason) {
  ++work.state.window_retries;
  CountRetry(work, reason);
}

void RecordFailure(Work& work, const Request& request, std::string_view reason) {
  RecordSign(work.context.limits, work.context.membership, work.context.catalog, request.upstream,
             HoldOf(request), WorkSign::kFailure, request.incarnation,
             work.now.monotonic - request.attempt_started, work.context.options.tuning, work.now,
             work.effects);
  work.effects.emplace_back(
      EmitLog{log_events::kAttemptFailed,
              fmt::format("request={} attempt={} upstream={} reason={}", request.call.id,
                          request.attempt, request.upstream, reason)});
}

std::string_view RecordNotRun(Work& work, const Request& request, AttemptResult result) {
  if (result != AttemptResult::kUnsent) {
    RecordFailure(work, request, "not_run");
    return "not_run";
  }
  if (request.grant && work.now.monotonic >= request.grant->start_before) {
    return "too_late";
  }
  RecordFailure(work, request, "unsent");
  return "unsent";
}

void FillCall(const Request& request, StartAttempt& start) {
  start.method = request.call.method;
  start.path = request.call.path;
  start.body = request.call.body;
  start.content_type = request.call.content_type;
  start.idempotency_key = request.call.idempotency_key;
}

void FillCompletion(const Request& request, StartAttempt& start) {
  start.model = request.call.model;
  start.prompt = request.call.prompt;
  start.max_tokens = request.call.max_tokens;
  start.priority = static_cast<int>(request.work_class);
  start.generation = request.generation;
  start.from_index = request.delivered;
}

milliseconds TimeoutOf(const Work& work, const Request& request) {
  const auto left = std::max(
      milliseconds{1}, std::chrono::ceil<milliseconds>(request.deadline - work.now.monotonic));
  if (request.call.kind == CallerRequest::Kind::kCompletion) {
    return std::min(left, work.context.options.tuning.segment);
  }
  return request.idempotent ? left : left + kLateAnswerTime;
}

void SendAttempt(Work& work, Request& request, AttemptKind kind, TimePoint not_after) {
  request.phase = RequestPhase::kRunning;
  request.retry_pending = false;
  request.progress_in_attempt = false;
  request.attempt_kind = kind;
  request.attempt_started = work.now.monotonic;
  ++request.attempt;
  StartAttempt start;
  start.request = request.call.id;
  start.attempt = request.attempt;
  start.kind = kind;
  start.upstream = request.upstream;
  start.endpoint = request.endpoint;
  start.not_after = not_after;
  start.timeout = TimeoutOf(work, request);
  if (kind == AttemptKind::kCall) {
    FillCall(request, start);
  } else {
    FillCompletion(request, start);
  }
  if (request.idempotent) {
    Schedule(work.context.timers, {TimerKind::kAttemptProgress, request.call.id},
             work.now.monotonic + work.context.options.tuning.no_progress);
  } else {
    MarkDispatched(work.context.claims, request.call.id, work.now);
  }
  work.effects.emplace_back(std::move(start));
}

void StartOnSlot(Work& work, Request& request, SlotGrant grant) {
  auto& waiting = work.state.waiting;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), request.call.id), waiting.end());
  if (request.attempt == 0) {
    work.effects.emplace_back(Observe{Distribution::kQueue, work.now.monotonic - request.arrived});
  }
  ChargeAtStart(work, request);
  request.upstream = grant.upstream;
  request.endpoint = work.context.catalog.upstreams.at(grant.upstream).endpoint;
  const TimePoint not_after = std::min(grant.start_before, request.deadline);
  request.grant = std::move(grant);
  const bool call = request.call.kind == CallerRequest::Kind::kCall;
  SendAttempt(work, request, call ? AttemptKind::kCall : AttemptKind::kGenerate, not_after);
}

void PauseAttempt(Work& work, Request& request, milliseconds pause) {
  request.phase = RequestPhase::kRunning;
  request.retry_pending = true;
  Schedule(work.context.timers, {TimerKind::kAttemptProgress, request.call.id},
           work.now.monotonic + pause);
}

void Resume(Work& work, Request& request, milliseconds pause) {
  if (pause > milliseconds{0}) {
    PauseAttempt(work, request, pause);
    return;
  }
  // The generation runs already, so the permission to start work does not bound the resume.
  SendAttempt(work, request, AttemptKind::kResume, request.deadline);
}

bool MayRestart(const Request& request) noexcept {
  return request.call.cursor.empty() && (!request.call.stream || request.delivered == 0);
}

void EndWithoutGeneration(Work& work, Request& request, std::string_view reason) {
  CancelKnownGeneration(work, request);
  KeepHold(work, request, work.now.monotonic + kCleanUpTime);
  if (MayRestart(request)) {
    Restart(work, request, reason, true);
  } else {
    Refuse(work, request, refusals::kStreamStalled);
  }
}

bool MayResume(const Work& work, const Request& request, AttemptSign sign) {
  if (request.generation.empty()) {
    return false;
  }
  if (request.stalled_resumes < work.context.options.tuning.max_stalled_resumes) {
    return true;
  }
  return sign == AttemptSign::kMisplacedToken && request.last_token &&
         work.now.monotonic - *request.last_token < kMisplacedTokensTime;
}

void Recover(Work& work, Request& request, std::string_view reason, AttemptSign sign) {
  request.may_have_run = true;
  if (!MayResume(work, request, sign)) {
    EndWithoutGeneration(work, request, reason);
    return;
  }
  ++request.stalled_resumes;
  CountRetry(work, reason);
  Resume(work, request, PauseBefore(request.stalled_resumes));
}

void ForgetAttempt(Request& request) {
  const auto failed = std::find(request.failed.begin(), request.failed.end(), request.upstream);
  if (failed != request.failed.end()) {
    request.failed.erase(failed);
  }
  request.failed.push_back(request.upstream);
  request.upstream.clear();
  request.generation.clear();
  request.incarnation = 0;
  request.delivered = 0;
  request.collected.clear();
  request.stalled_resumes = 0;
  request.last_token.reset();
}

void Restart(Work& work, Request& request, std::string_view reason, bool lost) {
  Cancel(work.context.timers, {TimerKind::kAttemptProgress, request.call.id});
  ForgetAttempt(request);
  request.lost_attempts += lost ? 1 : 0;
  if (request.caller_gone && request.idempotent) {
    Close(work, request);
    return;
  }
  if (request.lost_attempts > work.context.options.tuning.max_stalled_resumes) {
    Refuse(work, request, refusals::kNoProgress);
    return;
  }
  if (work.now.monotonic >= request.deadline) {
    Refuse(work, request,
           request.may_have_run ? refusals::kDeadlineExceeded : refusals::kDeadlinePassed);
    return;
  }
  if (!MayRetry(work, request)) {
    Refuse(work, request, refusals::kRetryBudget);
    return;
  }
  SpendRetry(work, reason);
  request.avoid_failed_until = work.now.monotonic + kAvoidFailedTime;
  request.not_before = work.now.monotonic + PauseBefore(static_cast<int>(request.attempt));
  EnqueueAgain(work, request);
  Dispatch(work);
}

bool MayRepeat(const Work& work, const Request& request) {
  const Catalog& catalog = work.context.catalog;
  const auto upstream = catalog.upstreams.find(request.upstream);
  const auto team = catalog.teams.find(request.caller.team);
  return upstream != catalog.upstreams.end() && team != catalog.teams.end() &&
         upstream->second.deduplicates && IsInService(catalog, team->second, upstream->second) &&
         work.now.monotonic < request.deadline;
}

bool RepeatCall(Work& work, Request& request) {
  if (!MayRepeat(work, request) || !MayRetry(work, request)) {
    return false;
  }
  SpendRetry(work, "repeated_call");
  // The first repeat pauses too: a failure that just happened is likely to last for a moment.
  PauseAttempt(work, request, PauseBefore(static_cast<int>(request.attempt) + 1));
  return true;
}

/// A repeat may start the work, so it needs the permission and the zone as a first attempt does.
void StartRepeat(Work& work, Request& request) {
  if (!MayRepeat(work, request)) {
    KeepHold(work, request, work.now.monotonic + kCleanUpTime);
    Refuse(work, request, refusals::kUpstreamFailed);
    return;
  }
  const auto permission =
      PermissionEnds(work.context.membership, work.context.options.tuning, work.now);
  if (!permission) {
    PauseAttempt(work, request, kFirstPause);
    return;
  }
  SendAttempt(work, request, AttemptKind::kCall, std::min(*permission, request.deadline));
}

/// A call that is silent for no_progress is given up once: services may be slower than that, and
/// the second attempt has the rest of the deadline.
void HandleSilentCall(Work& work, Request& request) {
  if (!request.failed.empty() || !MayRetry(work, request)) {
    return;
  }
  RecordFailure(work, request, "no_progress");
  request.may_have_run = true;
  AbandonOpenAttempt(work, request);
  KeepHold(work, request, work.now.monotonic + kCleanUpTime);
  Restart(work, request, "no_progress", true);
}

void HandleAttemptTimer(Work& work, Request& request) {
  if (request.phase != RequestPhase::kRunning) {
    return;
  }
  const bool call = request.call.kind == CallerRequest::Kind::kCall;
  if (request.retry_pending) {
    if (call) {
      StartRepeat(work, request);
    } else {
      Resume(work, request, milliseconds{0});
    }
    return;
  }
  if (call) {
    HandleSilentCall(work, request);
    return;
  }
  RecordFailure(work, request, "no_progress");
  AbandonOpenAttempt(work, request);
  Recover(work, request, "no_progress", AttemptSign::kLost);
}

}  // namespace snipeturn::internal
