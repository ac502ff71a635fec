#include "snipeturn/requests/lifecycle.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "snipeturn/base/log_catalogue.h"
#include "snipeturn/requests/fairness.h"

namespace snipeturn::internal {

using std::chrono::seconds;

constexpr seconds kRetryAfter{1};

std::string PoolOf(const Request& request) {
  return request.call.kind == CallerRequest::Kind::kCall ? "service:" + request.call.service
                                                         : "model:" + request.call.model;
}

std::string AccountOf(const Request& request) {
  return fmt::format("{}/{}/{}", ToString(request.work_class), request.caller.team,
                     request.caller.organisation);
}

Request* FindRequest(RequestsState& state, RequestId id) {
  const auto found = state.open_requests.find(id);
  return found == state.open_requests.end() ? nullptr : &found->second;
}

HoldId HoldOf(const Request& request) noexcept {
  return request.grant ? request.grant->hold : request.resumed_hold.value_or(0);
}

void ReleaseHold(EventScope& scope, Request& request) {
  const HoldId hold = HoldOf(request);
  if (hold != 0) {
    ReleaseSlot(scope.context.limits, scope.context.membership, hold, scope.context.options.tuning,
                scope.now, scope.effects);
  }
  request.grant.reset();
  request.resumed_hold.reset();
}

void ReleaseHoldLater(EventScope& scope, Request& request, TimePoint until) {
  const HoldId hold = HoldOf(request);
  if (hold != 0) {
    Schedule(scope.context.timers, {TimerKind::kQueue, hold}, until);
  }
  request.grant.reset();
  request.resumed_hold.reset();
}

void AbandonOpenAttempt(EventScope& scope, Request& request) {
  if (request.phase == RequestPhase::kRunning && !request.retry_pending) {
    scope.effects.emplace_back(AbandonAttempt{request.call.id, request.attempt});
  }
  Cancel(scope.context.timers, {TimerKind::kAttemptProgress, request.call.id});
}

void CancelKnownGeneration(EventScope& scope, const Request& request) {
  if (request.generation.empty()) {
    return;
  }
  scope.effects.emplace_back(
      CancelGeneration{request.upstream, request.endpoint, request.generation});
  scope.effects.emplace_back(
      EmitLog{log_events::kGenerationCancelled,
              fmt::format("request={} upstream={} delivered={}", request.call.id, request.upstream,
                          request.delivered)});
}

void StopWork(EventScope& scope, Request& request) {
  AbandonOpenAttempt(scope, request);
  CancelKnownGeneration(scope, request);
  ReleaseHoldLater(scope, request, scope.now.monotonic + kCleanUpTime);
}

void CloseRequest(EventScope& scope, Request& request) {
  const RequestId id = request.call.id;
  RefundAtEnd(scope, request);
  for (const TimerKind kind :
       {TimerKind::kRequestDeadline, TimerKind::kAttemptProgress, TimerKind::kCallerGrace}) {
    Cancel(scope.context.timers, {kind, id});
  }
  auto& waiting = scope.state.waiting;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), id), waiting.end());
  scope.state.open_requests.erase(id);
}

/// True when an earlier request with the same key may have run, which only a claim, or the claims
/// module's proof, can rule out. Client errors (4xx) concern this request alone.
bool MayHaveRunBefore(const Request& request, const Refusal& refusal) noexcept {
  return !request.call.idempotency_key.empty() && !request.holds_claim && !request.proved_not_run &&
         refusal.status >= kFirstServerError;
}

Problem MakeProblem(const Request& request, const Refusal& refusal) {
  Problem problem;
  problem.status = refusal.status;
  problem.reason = refusal.reason;
  problem.outcome = refusal.outcome;
  problem.detail = refusal.detail;
  if (refusal.retry_later) {
    problem.retry_after = kRetryAfter;
  }
  const bool released = request.call.stream && request.delivered > 0;
  if (released) {
    problem.outcome = Outcome::kRan;
    problem.delivered = request.delivered;
  } else if (problem.outcome == Outcome::kNotRun &&
             (request.may_have_run || MayHaveRunBefore(request, refusal))) {
    problem.outcome = Outcome::kUnknown;
  }
  return problem;
}

void SendRefusal(EventScope& scope,
                 const Request& request,
                 const Refusal& refusal,
                 std::optional<int> status,
                 std::optional<seconds> retry_after) {
  if (request.caller_disconnected) {
    return;
  }
  Problem problem = MakeProblem(request, refusal);
  problem.status = status.value_or(problem.status);
  if (retry_after) {
    problem.retry_after = retry_after;
  }
  scope.effects.emplace_back(AddToCounter{kRefusals, problem.reason});
  if (problem.delivered) {
    scope.effects.emplace_back(
        EmitLog{log_events::kStreamFailed,
                fmt::format("request={} upstream={} reason={} delivered={}", request.call.id,
                            request.upstream, problem.reason, request.delivered)});
  }
  scope.effects.emplace_back(SendProblem{request.call.id, std::move(problem)});
}

void SettleClaim(EventScope& scope, const Request& request) {
  if (!request.holds_claim) {
    return;
  }
  const Tuning& tuning = scope.context.options.tuning;
  if (!request.may_have_run) {
    ReleaseClaim(scope.context.claims, request.call.id, tuning, scope.context.timers, scope.now);
    return;
  }
  MarkClaimUnknown(scope.context.claims, request.call.id, tuning, scope.context.timers, scope.now);
  scope.effects.emplace_back(EmitLog{log_events::kCallOutcomeUnknown,
                                     fmt::format("request={} team={} upstream={}", request.call.id,
                                                 request.caller.team, request.upstream)});
}

void Refuse(EventScope& scope,
            Request& request,
            const Refusal& refusal,
            std::optional<int> status,
            std::optional<seconds> retry_after) {
  SettleClaim(scope, request);
  SendRefusal(scope, request, refusal, status, retry_after);
  CloseRequest(scope, request);
}

void FinishRequest(EventScope& scope,
                   Request& request,
                   int status,
                   std::string content_type,
                   std::string body) {
  scope.effects.emplace_back(
      AddToCounter{kFinishedRequests, std::string(ToString(request.work_class))});
  if (!request.caller_disconnected) {
    scope.effects.emplace_back(
        FinishResponse{request.call.id, status, std::move(content_type), std::move(body)});
  }
  CloseRequest(scope, request);
}

}  // namespace snipeturn::internal
