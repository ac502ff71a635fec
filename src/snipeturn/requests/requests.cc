#include "snipeturn/requests/requests.h"

#include "snipeturn/requests/admission.h"
#include "snipeturn/requests/attempts.h"
#include "snipeturn/requests/calls.h"
#include "snipeturn/requests/lifecycle.h"
#include "snipeturn/requests/queue.h"
#include "snipeturn/requests/streams.h"

namespace snipeturn {
namespace internal {

/// How long after its deadline a call still waits for the claims module's decision.
constexpr std::chrono::seconds kClaimOverdueTime{2};

/// Finds the request of an exchange's event. Events of former attempts are dropped and counted.
Request* MatchAttempt(EventScope& scope, RequestId id, AttemptId attempt) {
  Request* request = FindRequest(scope.state, id);
  const bool matches = request != nullptr && request->phase == RequestPhase::kRunning &&
                       !request->retry_pending && request->attempt == attempt;
  if (!matches) {
    scope.effects.emplace_back(
        AddToCounter{kDroppedReplies, request == nullptr ? "closed_request" : "former_attempt"});
    return nullptr;
  }
  return request;
}

/// The claims module decides on the outcome that a call's refusal names. If there is no decision
/// some time after the deadline, the call is refused with an unknown outcome.
void HandleClaimDeadline(EventScope& scope, Request& request) {
  const TimePoint overdue = request.deadline + kClaimOverdueTime;
  if (scope.now.monotonic < overdue) {
    Schedule(scope.context.timers, {TimerKind::kRequestDeadline, request.call.id}, overdue);
    return;
  }
  ReleaseClaim(scope.context.claims, request.call.id, scope.context.options.tuning,
               scope.context.timers, scope.now);
  Refuse(scope, request, refusals::kClaimOverdue);
}

/// The caller is refused at the deadline, but a late response still decides the outcome that its
/// retries get.
void HandleNonIdempotentDeadline(EventScope& scope, Request& request) {
  const TimePoint last = request.deadline + kCleanUpTime;
  if (request.retry_pending || scope.now.monotonic >= last) {
    request.may_have_run = true;
    StopWork(scope, request);
    Refuse(scope, request, refusals::kDeadlineExceeded);
    return;
  }
  SendRefusal(scope, request, refusals::kDeadlineExceeded);
  request.caller_disconnected = true;
  Schedule(scope.context.timers, {TimerKind::kRequestDeadline, request.call.id}, last);
}

void HandleDeadline(EventScope& scope, Request& request) {
  switch (request.phase) {
    case RequestPhase::kClaiming:
      HandleClaimDeadline(scope, request);
      break;
    case RequestPhase::kQueued:
      Refuse(scope, request, refusals::kDeadlinePassed);
      break;
    case RequestPhase::kRunning:
      if (!request.idempotent) {
        HandleNonIdempotentDeadline(scope, request);
        break;
      }
      request.may_have_run = true;
      StopWork(scope, request);
      Refuse(scope, request, refusals::kDeadlineExceeded);
      break;
  }
}

/// The caller didn't reconnect within the grace period.
void HandleCallerGraceExpired(EventScope& scope, Request& request) {
  if (request.phase == RequestPhase::kRunning) {
    StopWork(scope, request);
  }
  CloseRequest(scope, request);
}

void HandleDisconnect(EventScope& scope, Request& request) {
  request.caller_disconnected = true;
  if (!request.idempotent) {
    // The call continues: the caller gets its outcome by a retry with the same key.
    return;
  }
  if (request.phase != RequestPhase::kRunning) {
    CloseRequest(scope, request);
    return;
  }
  if (request.call.kind == CallerRequest::Kind::kCompletion) {
    Schedule(scope.context.timers, {TimerKind::kCallerGrace, request.call.id},
             scope.now.monotonic + scope.context.options.tuning.caller_grace);
  }
}

/// A timer of kind kQueue belongs to the queue if its id is 0, else to the hold with that id.
void HandleQueueTimer(EventScope& scope, const TimerKey& key) {
  if (key.id != 0) {
    ReleaseSlot(scope.context.limits, scope.context.membership, key.id,
                scope.context.options.tuning, scope.now, scope.effects);
  }
}

}  // namespace internal

void HandleCallerRequest(RequestsState& state,
                         RequestContext& context,
                         const CallerRequest& call,
                         const Now& now,
                         Effects& effects) {
  internal::EventScope scope{state, context, now, effects};
  internal::Admit(scope, call);
}

void HandleCallerDisconnected(RequestsState& state,
                              RequestContext& context,
                              const CallerDisconnected& event,
                              const Now& now,
                              Effects& effects) {
  internal::EventScope scope{state, context, now, effects};
  Request* request = internal::FindRequest(state, event.id);
  if (request != nullptr && !request->caller_disconnected) {
    internal::HandleDisconnect(scope, *request);
  }
}

void HandleAttemptToken(RequestsState& state,
                        RequestContext& context,
                        const AttemptToken& token,
                        const Now& now,
                        Effects& effects) {
  internal::EventScope scope{state, context, now, effects};
  Request* request = internal::MatchAttempt(scope, token.request, token.attempt);
  if (request != nullptr) {
    internal::HandleToken(scope, *request, token);
  }
}

void HandleAttemptEnded(RequestsState& state,
                        RequestContext& context,
                        const AttemptEnded& ended,
                        const Now& now,
                        Effects& effects) {
  internal::EventScope scope{state, context, now, effects};
  Request* request = internal::MatchAttempt(scope, ended.request, ended.attempt);
  if (request == nullptr) {
    return;
  }
  if (request->call.kind == CallerRequest::Kind::kCall) {
    internal::HandleCallEnded(scope, *request, ended);
  } else {
    internal::HandleGenerationEnded(scope, *request, ended);
  }
  internal::Dispatch(scope);
}

void HandleClaimDecisions(RequestsState& state,
                          RequestContext& context,
                          const ClaimDecisions& decisions,
                          const Now& now,
                          Effects& effects) {
  internal::EventScope scope{state, context, now, effects};
  for (const ClaimDecision& decision : decisions) {
    Request* request = internal::FindRequest(state, decision.request);
    if (request != nullptr) {
      internal::HandleClaimDecision(scope, *request, decision);
    }
  }
}

void HandleRequestTimer(RequestsState& state,
                        RequestContext& context,
                        const TimerKey& key,
                        const Now& now,
                        Effects& effects) {
  internal::EventScope scope{state, context, now, effects};
  if (key.kind == TimerKind::kQueue) {
    internal::HandleQueueTimer(scope, key);
  } else if (Request* request = internal::FindRequest(state, key.id)) {
    if (key.kind == TimerKind::kRequestDeadline) {
      internal::HandleDeadline(scope, *request);
    } else if (key.kind == TimerKind::kAttemptProgress) {
      internal::HandleAttemptTimer(scope, *request);
    } else if (key.kind == TimerKind::kCallerGrace) {
      internal::HandleCallerGraceExpired(scope, *request);
    }
  }
  internal::Dispatch(scope);
}

void DispatchWaiting(RequestsState& state,
                     RequestContext& context,
                     const Now& now,
                     Effects& effects) {
  internal::EventScope scope{state, context, now, effects};
  internal::DispatchSoon(scope);
}

void BeginDrain(RequestsState& state, const Now& /*now*/) {
  state.draining = true;
}

bool IsDrained(const RequestsState& state) noexcept {
  return state.open_requests.empty();
}

}  // namespace snipeturn
