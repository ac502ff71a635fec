#include "snipeturn/entry/lifecycle.h"

#include <fmt/format.h>

#include <algorithm>

#include "snipeturn/base/timers.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/crash_reports.h"
#include "snipeturn/entry/dispatch.h"
#include "snipeturn/entry/forecast.h"
#include "snipeturn/entry/health.h"
#include "snipeturn/entry/migration.h"
#include "snipeturn/entry/rollout_evidence.h"
#include "snipeturn/entry/routing.h"
#include "snipeturn/entry/service_times.h"
#include "snipeturn/entry/shutdown.h"

namespace snipeturn::entry::internal {
namespace {

/// Margin before the staleness limit of the configuration at which requests with a key are refused.
/// Covers the time from this check until the caller reads its clock.
constexpr std::chrono::milliseconds kRevokeMargin{50};
/// Retry-After where this host has no usable configuration; another host may serve the caller at
/// once.
constexpr std::chrono::milliseconds kOtherHostRetryAfter{100};

/// Refuses a request that was never added to the state.
void RefuseArrival(EventScope& scope,
                   const RequestArrived& event,
                   int status,
                   std::string_view reason,
                   std::optional<std::chrono::milliseconds> retry_after = std::nullopt,
                   std::string_view details = "") {
  scope.effects.push_back(Refuse{event.request, status, reason, retry_after});
  IncrementCounter(scope, kRefusals, reason);
  Log(scope, log_events::kRefused,
      fmt::format(
          "id={} status={} reason={} path={} version={} retry_after_ms={} confirmed_ms={}{}",
          event.head.id, status, reason, event.head.path,
          scope.state.desired ? scope.state.desired->version : -1,
          retry_after ? retry_after->count() : -1,
          scope.state.store.confirmed
              ? ToMilliseconds(scope.now - *scope.state.store.confirmed).count()
              : -1,
          details));
}

/// Returns whether the configuration is so old that a revoked key may still be accepted here.
bool AreKeysStale(const EventScope& scope) {
  const State& state = scope.state;
  if (!state.options.bounds.fail_closed) {
    return false;
  }
  return !state.store.confirmed ||
         scope.now - *state.store.confirmed > state.options.bounds.revoke - kRevokeMargin;
}

Request MakeRequest(EventScope& scope, const RequestArrived& event, const Route& route) {
  Request request;
  request.key = event.request;
  request.head = event.head;
  request.route = route.name;
  request.service = ChooseService(route, event.head.id);
  request.kind = route.kind;
  request.is_resumable = route.kind == RouteKind::kStream && route.is_resumable;
  request.events = request.is_resumable ? event.head.position.value_or(0) : 0;
  request.priority = route.priority;
  request.max_upstreams = std::max(1, route.max_upstreams);
  request.latency_objective = route.latency_objective;
  request.arrived = scope.now;
  request.deadline = scope.now + route.timeout;
  if (event.head.time_limit) {
    request.caller_deadline = scope.now + *event.head.time_limit;
    request.deadline = std::min(request.deadline, *request.caller_deadline);
  }
  request.expected_output_tokens =
      ForecastOutput(scope.state.lengths[route.name], event.head.expected_output_tokens.value_or(0),
                     event.head.max_output_tokens);
  return request;
}

std::int64_t ElapsedMs(const EventScope& scope, const Request& request) {
  return ToMilliseconds(scope.now - request.arrived).count();
}

}  // namespace

void HandleArrival(EventScope& scope, const RequestArrived& event) {
  State& state = scope.state;
  if (state.is_exiting) {
    RefuseArrival(scope, event, 503, "stopping", RetryAfterShutdown(scope));
    return;
  }
  // A host that has just started waits for its peers' versions first.
  if (!state.desired || !state.store.confirmed) {
    RefuseArrival(scope, event, 503, "no_configuration", kOtherHostRetryAfter);
    return;
  }
  const Route* route = FindRoute(*state.desired, event.head.host, event.head.path);
  if (route == nullptr) {
    RefuseArrival(scope, event, 404, "no_route");
    return;
  }
  std::string organisation;
  std::optional<int> organisation_priority;
  if (state.desired->has_organisations && !route->is_public) {
    if (AreKeysStale(scope)) {
      RefuseArrival(scope, event, 503, "configuration_not_confirmed", kOtherHostRetryAfter);
      return;
    }
    const auto found = event.head.key ? state.desired->organisation_by_key.find(*event.head.key)
                                      : state.desired->organisation_by_key.end();
    if (found == state.desired->organisation_by_key.end()) {
      RefuseArrival(scope, event, 401, "unknown_key");
      return;
    }
    organisation = found->second.name;
    organisation_priority = found->second.priority;
  }
  if (route->is_resumable && event.head.has_bad_position) {
    RefuseArrival(scope, event, 400, "bad_position");
    return;
  }
  if (route->services.empty()) {
    RefuseArrival(scope, event, 503, "no_service", kOtherHostRetryAfter);
    return;
  }
  Request request = MakeRequest(scope, event, *route);
  request.organisation = std::move(organisation);
  request.priority = organisation_priority.value_or(request.priority);
  const auto service = state.desired->services.find(request.service);
  if (service != state.desired->services.end() && service->second.engine) {
    request.tokens_per_event =
        static_cast<std::uint64_t>(std::max(1, service->second.engine->tokens_per_event));
  }
  if (WouldOutliveProcess(scope, request)) {
    RefuseArrival(scope, event, 503, "stopping", RetryAfterShutdown(scope),
                  DescribeShutdown(scope, request));
    return;
  }
  if (const auto retry_after = HoldBack(scope, event.head, event.request)) {
    RefuseArrival(scope, event, 503, "prompt_part_crashes_upstreams", retry_after);
    return;
  }
  DispatchDueQueue(scope);
  CountRequest(state.retry_budgets[request.service], state.options.bounds, scope.now);
  Request& stored = state.requests.emplace(event.request, std::move(request)).first->second;
  Schedule(state.timers, {TimerKind::kEntryFinalAnswer, stored.key}, stored.deadline);
  DispatchOrEnqueue(scope, stored);
}

void CancelAttempts(EventScope& scope, Request& request) {
  for (const Attempt& attempt : request.attempts) {
    scope.effects.push_back(CancelAttempt{attempt.key});
    scope.state.request_by_attempt.erase(attempt.key);
  }
  request.attempts.clear();
}

void EndRequest(EventScope& scope, Request& request) {
  State& state = scope.state;
  state.load_decreases += request.kind == RouteKind::kStream ? 1 : 0;
  RecordRequestTimes(state.service_times[request.service], request, false, scope.now);
  CancelAttempts(scope, request);
  ReleaseCopy(scope, request);
  for (const TimerKind kind : {TimerKind::kEntryFinalAnswer, TimerKind::kEntryHold,
                               TimerKind::kEntryHedge, TimerKind::kEntryMove}) {
    Cancel(state.timers, {kind, request.key});
  }
  const bool has_freed_room = request.sends > 0;
  state.requests.erase(request.key);
  if (has_freed_room) {
    DispatchQueue(scope);
  }
}

void HandleCallerDisconnect(EventScope& scope, const CallerDisconnected& event) {
  const auto found = scope.state.requests.find(event.request);
  if (found == scope.state.requests.end()) {
    return;
  }
  Request& request = found->second;
  Log(scope, log_events::kCallerLeft,
      fmt::format("id={} after_ms={} events={} sends={}", request.head.id,
                  ElapsedMs(scope, request), request.events, request.sends));
  EndRequest(scope, request);
}

void RefuseRequest(EventScope& scope,
                   Request& request,
                   int status,
                   std::string_view reason,
                   std::optional<std::chrono::milliseconds> retry_after) {
  scope.effects.push_back(Refuse{request.key, status, reason, retry_after});
  IncrementCounter(scope, kRefusals, reason);
  Log(scope, log_events::kRefused,
      fmt::format(
          "id={} status={} reason={} route={} after_ms={} sends={} retry_after_ms={} last={}{}",
          request.head.id, status, reason, request.route, ElapsedMs(scope, request), request.sends,
          retry_after ? retry_after->count() : -1, request.last_reason,
          DescribeShutdown(scope, request)));
  EndRequest(scope, request);
}

void BreakRequest(EventScope& scope, Request& request, std::string_view reason) {
  scope.effects.push_back(BreakStream{request.key});
  IncrementCounter(scope, kEntryStreams, reason);
  Log(scope, log_events::kStreamBroken,
      fmt::format("id={} reason={} route={} after_ms={} first_event_ms={} events={} last={}{}",
                  request.head.id, reason, request.route, ElapsedMs(scope, request),
                  request.first_event_at
                      ? ToMilliseconds(*request.first_event_at - request.arrived).count()
                      : -1,
                  request.events, request.last_reason, DescribeShutdown(scope, request)));
  EndRequest(scope, request);
}

void ForwardResponse(EventScope& scope, Request& request, AttemptKey attempt, int status) {
  scope.effects.push_back(Relay{request.key, attempt});
  Log(scope, log_events::kAnswered,
      fmt::format("id={} status={} route={} after_ms={} sends={}", request.head.id, status,
                  request.route, ElapsedMs(scope, request), request.sends));
  EndRequest(scope, request);
}

void CompleteStream(EventScope& scope, Request& request, AttemptKey attempt) {
  scope.effects.push_back(FinishStream{request.key, attempt});
  RecordRequestTimes(scope.state.service_times[request.service], request, true, scope.now);
  RecordOutputLength(scope.state.lengths[request.route], OutputTokens(request),
                     request.head.expected_output_tokens.value_or(0));
  Log(scope, log_events::kAnswered,
      fmt::format("id={} status=200 route={} after_ms={} sends={} events={} forecast={} hint={}",
                  request.head.id, request.route, ElapsedMs(scope, request), request.sends,
                  request.events, request.expected_output_tokens,
                  request.head.expected_output_tokens.value_or(0)));
  EndRequest(scope, request);
}

void ExpireRequest(EventScope& scope, Request& request) {
  for (const Attempt& attempt : request.attempts) {
    const auto upstream = scope.state.upstreams.find(attempt.upstream);
    if (upstream != scope.state.upstreams.end() && request.phase == RequestPhase::kSent) {
      CountOutcome(upstream->second.outcomes, SendOutcome::kError, scope.now);
    }
  }
  RecordOverdueEvidence(scope, request, scope.now);
  if (request.is_started) {
    BreakRequest(scope, request, "timeout");
  } else if (request.runs > 0) {
    RefuseRequest(scope, request, 504, "timeout");
  } else {
    RefuseRequest(scope, request, 503, "timeout_in_queue", std::chrono::milliseconds{0});
  }
}

}  // namespace snipeturn::entry::internal
