#include "snipeturn/requests/calls.h"

#include <fmt/format.h>

#include "snipeturn/base/digest.h"
#include "snipeturn/requests/admission.h"
#include "snipeturn/requests/attempts.h"
#include "snipeturn/requests/forecast.h"
#include "snipeturn/requests/lifecycle.h"
#include "snipeturn/requests/queue.h"

namespace snipeturn::internal {

/// Digest of all fields in which calls with the same key must agree.
std::string DigestOf(const CallerRequest& call) {
  return Sha256Hex(fmt::format("{}\n{}\n{}\n{}", call.service, call.method, call.path, call.body));
}

void StartClaim(EventScope& scope, Request& request) {
  RequestContext& context = scope.context;
  request.phase = RequestPhase::kClaiming;
  const ClaimRequest claim{request.call.id, request.caller.team + '/' + request.caller.organisation,
                           request.call.idempotency_key, DigestOf(request.call), request.deadline};
  const ClaimDecisions decisions =
      BeginClaim(context.claims, claim, context.membership, context.options.tuning, context.timers,
                 scope.now, context.append_ids, scope.effects);
  for (const ClaimDecision& decision : decisions) {
    Request* decided = FindRequest(scope.state, decision.request);
    if (decided != nullptr) {
      HandleClaimDecision(scope, *decided, decision);
    }
  }
}

/// Makes the refusal for a decision, with the claims module's reason where the table lists it.
Refusal RefusalOf(const ClaimDecision& decision, const Refusal& fallback, Outcome outcome) {
  const Refusal* listed = FindRefusal(decision.reason);
  Refusal refusal = listed == nullptr ? fallback : *listed;
  refusal.outcome = outcome;
  return refusal;
}

/// The key is claimed for this request, so a refusal from here on proves that the call did not run.
void HandleClaimed(EventScope& scope, Request& request) {
  request.holds_claim = true;
  if (const Refusal* refusal = CheckCanStart(scope, request)) {
    Refuse(scope, request, *refusal);
    return;
  }
  Enqueue(scope, request);
}

void HandleClaimDecision(EventScope& scope, Request& request, const ClaimDecision& decision) {
  if (request.phase == RequestPhase::kRunning) {
    return;
  }
  switch (decision.kind) {
    case ClaimDecision::Kind::kDispatch:
      if (request.phase == RequestPhase::kClaiming) {
        HandleClaimed(scope, request);
      }
      break;
    case ClaimDecision::Kind::kAnswered:
      FinishRequest(scope, request, decision.answer->status, decision.answer->content_type,
                    decision.answer->body);
      break;
    case ClaimDecision::Kind::kKeyReused:
      // The first call with the key may have run, so "not run" could be misread as its outcome.
      Refuse(scope, request,
             RefusalOf(decision, refusals::kIdempotencyKeyReused, Outcome::kUnknown));
      break;
    case ClaimDecision::Kind::kRan:
      Refuse(scope, request, RefusalOf(decision, refusals::kAnswerNotStored, Outcome::kRan));
      break;
    case ClaimDecision::Kind::kUnknown:
      Refuse(scope, request, RefusalOf(decision, refusals::kOutcomeUnknown, Outcome::kUnknown));
      break;
    case ClaimDecision::Kind::kNotRun:
      request.proved_not_run = true;
      Refuse(scope, request, RefusalOf(decision, refusals::kClaimNotRecorded, Outcome::kNotRun));
      break;
  }
}

/// Forwards the upstream's response to the caller.
void ForwardResponse(EventScope& scope, Request& request, const AttemptEnded& ended) {
  RecordWorkEvent(scope.context.limits, scope.context.membership, scope.context.catalog,
                  request.upstream, HoldOf(request), WorkEvent::kCompleted, 0,
                  scope.now.monotonic - request.attempt_started_at, scope.context.options.tuning,
                  scope.now, scope.effects);
  RecordHoldTime(scope, request);
  ReleaseHold(scope, request);
  if (request.holds_claim) {
    FinishClaim(scope.context.claims, request.call.id,
                StoredAnswer{ended.status, ended.content_type, ended.body},
                scope.context.options.tuning, scope.context.timers, scope.now);
    request.holds_claim = false;
  }
  FinishRequest(scope, request, ended.status, ended.content_type, ended.body);
}

bool IsResponse(const AttemptEnded& ended) noexcept {
  return ended.result == AttemptResult::kComplete || ended.result == AttemptResult::kRejected;
}

bool IsNotRun(const AttemptEnded& ended) noexcept {
  return ended.result == AttemptResult::kUnsent || ended.result == AttemptResult::kNotRun;
}

void RetryNotRun(EventScope& scope, Request& request, const AttemptEnded& ended) {
  const std::string_view reason = RecordNotRun(scope, request, ended.result);
  ReleaseHold(scope, request);
  Restart(scope, request, reason, false);
}

/// True when the upstream responded with a server error, so its work has ended. Such a response may
/// arrive as a broken exchange.
bool IsServerError(const AttemptEnded& ended) noexcept {
  return ended.status >= kFirstServerError &&
         (IsResponse(ended) || ended.result == AttemptResult::kBroken);
}

void HandleIdempotentEnded(EventScope& scope, Request& request, const AttemptEnded& ended) {
  if (IsNotRun(ended)) {
    RetryNotRun(scope, request, ended);
    return;
  }
  request.may_have_run = true;
  if (IsServerError(ended)) {
    ReleaseHold(scope, request);
    Restart(scope, request, "server_error", true);
  } else if (IsResponse(ended)) {
    ForwardResponse(scope, request, ended);
  } else {
    RecordFailure(scope, request, "broken");
    ReleaseHoldLater(scope, request, scope.now.monotonic + kCleanUpTime);
    Restart(scope, request, "broken", true);
  }
}

/// The call may have run, so it may be sent again only to an upstream that deduplicates by key.
void HandleMaybeRan(EventScope& scope, Request& request, const AttemptEnded& ended) {
  request.may_have_run = true;
  const bool answered = IsServerError(ended);
  if (!answered) {
    RecordFailure(scope, request, "broken");
  }
  if (RetryOnSameUpstream(scope, request)) {
    return;
  }
  if (answered) {
    ReleaseHold(scope, request);
  }
  ReleaseHoldLater(scope, request, scope.now.monotonic + kCleanUpTime);
  Refuse(scope, request, refusals::kUpstreamFailed);
}

void HandleCallEnded(EventScope& scope, Request& request, const AttemptEnded& ended) {
  Cancel(scope.context.timers, {TimerKind::kAttemptProgress, request.call.id});
  if (request.idempotent) {
    HandleIdempotentEnded(scope, request, ended);
  } else if (IsResponse(ended) && !IsServerError(ended)) {
    ForwardResponse(scope, request, ended);
  } else if (IsNotRun(ended) && !request.may_have_run) {
    RetryNotRun(scope, request, ended);
  } else {
    HandleMaybeRan(scope, request, ended);
  }
}

}  // namespace snipeturn::internal
