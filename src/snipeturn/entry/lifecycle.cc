#include "snipeturn/entry/lifecycle.h"

#include <fmt/format.h>

#include <algorithm>

#include "snipeturn/base/timers.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/dispatch.h"
#include "snipeturn/entry/forecast.h"
#include "snipeturn/entry/health.h"
#include "snipeturn/entry/migration.h"
#include "snipeturn/entry/routing.h"

namespace snipeturn::entry::internal {
namespace {

/// Age of the last confirmed configuration at which keyed requests are refused, before the bound:
/// covers the time from this check to the read of the clock by the caller.
constexpr std::chrono::milliseconds kRevokeMargin{50};
/// A caller that met a host without a configuration finds one at another host at once.
constexpr std::chrono::milliseconds kOtherHostRetry{100};

/// Time that a request to a plain service takes at most, with a wide margin.
constexpr std::chrono::milliseconds kPlainDuration{800};
/// Time to the first event of a stream, and between two events, of a loaded engine.
constexpr std::chrono::milliseconds kFirstEvent{1000};
constexpr std::chrono::milliseconds kEventGap{50};
/// Lengths are off by factors: a stream that is forecast to end just in time often does not.
constexpr double kLengthMargin = 1.5;
/// Until the balancer leaves a stopping host out, callers can't know better; after that only what
/// is sure to end in time is begun.
constexpr std::chrono::milliseconds kEarlyArrival{2500};
/// Time in which a host that has ended serves again.
constexpr std::chrono::milliseconds kRestart{1200};
/// A host that was silent for so long may be gone.
constexpr std::chrono::milliseconds kPeerSilence{3200};
/// Kept of the grace, as the process ends a little before it is killed.
constexpr std::chrono::milliseconds kGraceMargin{500};

/// Tells whether a request that arrives while the process stops would be cut off by its end.
bool WouldOutliveProcess(const Work& work, const Request& request) {
  const State& state = work.state;
  if (!state.is_stopping) {
    return false;
  }
  std::chrono::milliseconds duration = kPlainDuration;
  if (request.kind == RouteKind::kStream) {
    const bool is_early = work.now - state.stopping_since < kEarlyArrival;
    const double tokens = is_early || request.head.max_output_tokens == 0
                              ? static_cast<double>(request.expected_output_tokens) * kLengthMargin
                              : static_cast<double>(request.head.max_output_tokens);
    const double events = tokens / static_cast<double>(request.tokens_per_event) + 1;
    duration = kFirstEvent + std::chrono::milliseconds(static_cast<std::int64_t>(
                                 static_cast<double>(kEventGap.count()) * events));
  }
  return work.now + duration > state.stopping_since + state.options.bounds.grace - kGraceMargin;
}

/// When a caller that this stopping host refuses finds one that serves: at once if another host of
/// the zone goes on, else when this one is back.
std::chrono::milliseconds RetryElsewhere(const Work& work) {
  const State& state = work.state;
  for (const auto& [host, peer] : state.peers) {
    if (!peer.is_stopping && peer.zone == state.options.zone && work.now - peer.at < kPeerSilence) {
      return std::chrono::milliseconds{0};
    }
  }
  return std::max(std::chrono::milliseconds{0},
                  ToMilliseconds(state.stopping_since + state.options.bounds.grace - work.now)) +
         kRestart;
}

/// Refuses a request that never got an entry in the state.
void RefuseArrival(Work& work,
                   const RequestArrived& event,
                   int status,
                   std::string_view reason,
                   std::optional<std::chrono::milliseconds> retry_after = std::nullopt) {
  work.effects.push_back(Refuse{event.request, status, reason, retry_after});
  CountOne(work, kRefusals, reason);
  Log(work, log_events::kRefused,
      fmt::format("id={} status={} reason={} path={} version={} retry_after_ms={} confirmed_ms={}",
                  event.head.id, status, reason, event.head.path,
                  work.state.desired ? work.state.desired->version : -1,
                  retry_after ? retry_after->count() : -1,
                  work.state.store.confirmed
                      ? ToMilliseconds(work.now - *work.state.store.confirmed).count()
                      : -1));
}

/// Tells whether a key that was taken away may still be known here.
bool AreKeysStale(const Work& work) {
  const State& state = work.state;
  if (!state.options.bounds.fail_closed) {
    return false;
  }
  return !state.store.confirmed ||
         work.now - *state.store.confirmed > state.options.bounds.revoke - kRevokeMargin;
}

Request MakeRequest(Work& work, const RequestArrived& event, const Route& route) {
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
  request.arrived = work.now;
  request.due = work.now + route.timeout;
  if (event.head.time_limit) {
    request.caller_due = work.now + *event.head.time_limit;
    request.due = std::min(request.due, *request.caller_due);
  }
  request.expected_output_tokens =
      ForecastOutput(work.state.lengths[route.name], event.head.expected_output_tokens.value_or(0),
                     event.head.max_output_tokens);
  return request;
}

std::int64_t AgeMs(const Work& work, const Request& request) {
  return ToMilliseconds(work.now - request.arrived).count();
}

}  // namespace

void Arrive(Work& work, const RequestArrived& event) {
  State& state = work.state;
  if (!state.desired) {
    RefuseArrival(work, event, 503, "no_configuration", kOtherHostRetry);
    return;
  }
  const Route* route = FindRoute(*state.desired, event.head.host, event.head.path);
  if (route == nullptr) {
    RefuseArrival(work, event, 404, "no_route");
    return;
  }
  std::string organisation;
  std::optional<int> organisation_priority;
  if (state.desired->has_organisations && !route->is_public) {
    if (AreKeysStale(work)) {
      RefuseArrival(work, event, 503, "configuration_not_confirmed", kOtherHostRetry);
      return;
    }
    const auto found = event.head.key ? state.desired->organisation_by_key.find(*event.head.key)
                                      : state.desired->organisation_by_key.end();
    if (found == state.desired->organisation_by_key.end()) {
      RefuseArrival(work, event, 401, "unknown_key");
      return;
    }
    organisation = found->second.name;
    organisation_priority = found->second.priority;
  }
  if (route->is_resumable && event.head.has_bad_position) {
    RefuseArrival(work, event, 400, "bad_position");
    return;
  }
  if (route->services.empty()) {
    RefuseArrival(work, event, 503, "no_service", kOtherHostRetry);
    return;
  }
  Request request = MakeRequest(work, event, *route);
  request.organisation = std::move(organisation);
  request.priority = organisation_priority.value_or(request.priority);
  const auto service = state.desired->services.find(request.service);
  if (service != state.desired->services.end() && service->second.engine) {
    request.tokens_per_event =
        static_cast<std::uint64_t>(std::max(1, service->second.engine->tokens_per_event));
  }
  if (WouldOutliveProcess(work, request)) {
    RefuseArrival(work, event, 503, "stopping", RetryElsewhere(work));
    return;
  }
  CountRequest(state.retry_budgets[request.service], state.options.bounds, work.now);
  Request& stored = state.requests.emplace(event.request, std::move(request)).first->second;
  Schedule(state.timers, {TimerKind::kEntryFinalAnswer, stored.key}, stored.due);
  Enqueue(work, stored);
}

void AbandonSends(Work& work, Request& request) {
  for (const Attempt& attempt : request.attempts) {
    work.effects.push_back(Abandon{attempt.key});
    work.state.request_by_attempt.erase(attempt.key);
  }
  request.attempts.clear();
}

void EndRequest(Work& work, Request& request) {
  State& state = work.state;
  state.load_reliefs += request.kind == RouteKind::kStream ? 1 : 0;
  AbandonSends(work, request);
  ReleaseCopy(work, request);
  for (const TimerKind kind : {TimerKind::kEntryFinalAnswer, TimerKind::kEntryHold,
                               TimerKind::kEntryHedge, TimerKind::kEntryMove}) {
    Cancel(state.timers, {kind, request.key});
  }
  state.requests.erase(request.key);
  DispatchQueue(work);
}

void Leave(Work& work, const CallerGone& event) {
  const auto found = work.state.requests.find(event.request);
  if (found == work.state.requests.end()) {
    return;
  }
  Request& request = found->second;
  Log(work, log_events::kCallerLeft,
      fmt::format("id={} after_ms={} events={} sends={}", request.head.id, AgeMs(work, request),
                  request.events, request.sends));
  EndRequest(work, request);
}

void RefuseRequest(Work& work,
                   Request& request,
                   int status,
                   std::string_view reason,
                   std::optional<std::chrono::milliseconds> retry_after) {
  work.effects.push_back(Refuse{request.key, status, reason, retry_after});
  CountOne(work, kRefusals, reason);
  Log(work, log_events::kRefused,
      fmt::format(
          "id={} status={} reason={} route={} after_ms={} sends={} retry_after_ms={} last={}",
          request.head.id, status, reason, request.route, AgeMs(work, request), request.sends,
          retry_after ? retry_after->count() : -1, request.last_reason));
  EndRequest(work, request);
}

void BreakRequest(Work& work, Request& request, std::string_view reason) {
  work.effects.push_back(BreakStream{request.key});
  CountOne(work, kEntryStreams, reason);
  Log(work, log_events::kStreamBroken,
      fmt::format("id={} reason={} route={} after_ms={} events={} last={}", request.head.id, reason,
                  request.route, AgeMs(work, request), request.events, request.last_reason));
  EndRequest(work, request);
}

void AnswerRequest(Work& work, Request& request, AttemptKey attempt, int status) {
  work.effects.push_back(Relay{request.key, attempt});
  Log(work, log_events::kAnswered,
      fmt::format("id={} status={} route={} after_ms={} sends={}", request.head.id, status,
                  request.route, AgeMs(work, request), request.sends));
  EndRequest(work, request);
}

void FinishRequest(Work& work, Request& request, AttemptKey attempt) {
  work.effects.push_back(FinishStream{request.key, attempt});
  Learn(work.state.lengths[request.route], OutputTokens(request),
        request.head.expected_output_tokens.value_or(0));
  Log(work, log_events::kAnswered,
      fmt::format("id={} status=200 route={} after_ms={} sends={} events={} forecast={} hint={}",
                  request.head.id, request.route, AgeMs(work, request), request.sends,
                  request.events, request.expected_output_tokens,
                  request.head.expected_output_tokens.value_or(0)));
  EndRequest(work, request);
}

void ExpireRequest(Work& work, Request& request) {
  for (const Attempt& attempt : request.attempts) {
    const auto upstream = work.state.upstreams.find(attempt.upstream);
    if (upstream != work.state.upstreams.end() && request.phase == RequestPhase::kSent) {
      CountOutcome(upstream->second.outcomes, SendOutcome::kError, work.now);
    }
  }
  if (request.is_started) {
    BreakRequest(work, request, "timeout");
  } else if (request.runs > 0) {
    RefuseRequest(work, request, 504, "timeout");
  } else {
    RefuseRequest(work, request, 503, "timeout_in_queue", std::chrono::milliseconds{0});
  }
}

}  // namespace snipeturn::entry::internal
