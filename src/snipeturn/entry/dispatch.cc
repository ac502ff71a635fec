#include "snipeturn/entry/dispatch.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

#include "snipeturn/base/hash.h"
#include "snipeturn/base/timers.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/crash_reports.h"
#include "snipeturn/entry/lifecycle.h"
#include "snipeturn/entry/load.h"
#include "snipeturn/entry/placement.h"

namespace snipeturn::entry::internal {
namespace {

/// Share of the latency objective that a request may spend in the queue and still meet it.
constexpr double kQueueWaitShare = 0.7;
/// Share of the caller's remaining time that a request may spend in the queue instead, if that is
/// longer: it will miss the objective anyway.
constexpr double kLateQueueWaitShare = 0.2;
/// Share of the latency objective after which an idempotent request is hedged.
constexpr double kHedgeDelayShare = 0.5;
/// Retry-After when no upstream has room: base value, and increment for each queued request.
constexpr std::chrono::milliseconds kRetryAfterBase{500};
constexpr std::chrono::milliseconds kRetryAfterPerQueuedRequest{60};
/// Retry-After when the service has no serving upstream: about the time to replace one.
constexpr std::chrono::milliseconds kNoUpstreamRetryAfter{1000};
/// Callers honour a Retry-After of up to a third of their remaining time.
constexpr int kRetryAfterDivisor = 3;
/// Half-life of the tokens served to an organisation, which order the queue.
constexpr std::chrono::seconds kServedTokensHalfLife{10};

std::chrono::milliseconds RemainingTime(const EventScope& scope, const Request& request) {
  return ToMilliseconds(request.deadline - scope.now);
}

std::chrono::milliseconds RetryAfter(const EventScope& scope,
                                     const Request& request,
                                     PlacementResult result) {
  int queued = 0;
  for (const auto& [key, other] : scope.state.requests) {
    queued += other.phase == RequestPhase::kQueued && other.service == request.service ? 1 : 0;
  }
  const auto wanted = result == PlacementResult::kNoUpstream
                          ? kNoUpstreamRetryAfter
                          : kRetryAfterBase + kRetryAfterPerQueuedRequest * queued;
  // Spreads the retries of requests that are refused together over half of the delay.
  const auto spread = std::chrono::milliseconds(
      static_cast<std::int64_t>(Hash(request.head.id) % 512) * wanted.count() / 1024);
  return std::max(std::chrono::milliseconds{0},
                  std::min(wanted + spread, RemainingTime(scope, request) / kRetryAfterDivisor));
}

std::chrono::milliseconds MaxQueueWait(const EventScope& scope, const Request& request) {
  const double on_time = static_cast<double>(request.latency_objective.count()) * kQueueWaitShare;
  const double late =
      static_cast<double>(RemainingTime(scope, request).count()) * kLateQueueWaitShare;
  return std::chrono::milliseconds(static_cast<std::int64_t>(std::max(on_time, late)));
}

void DecayServedTokens(EventScope& scope) {
  State& state = scope.state;
  if (scope.now - state.served_decayed_at < kServedTokensHalfLife) {
    return;
  }
  state.served_decayed_at = scope.now;
  for (auto& [name, tokens] : state.served_tokens) {
    tokens /= 2;
  }
}

/// Sends a queued request if an upstream has room.
PlacementResult TryDispatch(EventScope& scope, Request& request) {
  const Placement placement = PlaceRequest(scope.state, request, scope.now);
  if (placement.result != PlacementResult::kPlaced) {
    return placement.result;
  }
  Upstream& upstream = scope.state.upstreams.at(placement.upstream);
  RecordColdStart(upstream, scope.now);
  Cancel(scope.state.timers, {TimerKind::kEntryHold, request.key});
  DecayServedTokens(scope);
  scope.state.served_tokens[request.organisation] +=
      static_cast<double>(request.head.prompt_tokens + 10 * request.expected_output_tokens + 1);
  Log(scope, log_events::kSent,
      fmt::format(
          "id={} route={} organisation={} upstream={} use={:.2f} failing={:.2f} waited_ms={} "
          "sends={} "
          "prompt={} forecast={} version={}",
          request.head.id, request.route, request.organisation, placement.upstream,
          placement.utilisation, placement.failure_rate,
          ToMilliseconds(scope.now - request.arrived).count(), request.sends,
          request.head.prompt_tokens, request.expected_output_tokens,
          scope.state.desired->version));
  StartAttempt(scope, request, upstream, std::nullopt);
  return PlacementResult::kPlaced;
}

}  // namespace

void StartAttempt(EventScope& scope,
                  Request& request,
                  Upstream& upstream,
                  std::optional<Resume> resume) {
  State& state = scope.state;
  const bool is_resume = resume.has_value();
  Send send;
  send.request = request.key;
  send.attempt = state.next_attempt++;
  send.upstream = upstream.entry.id;
  send.endpoint = upstream.entry.endpoint;
  if (request.caller_deadline) {
    send.time_left = std::max(std::chrono::milliseconds{1},
                              ToMilliseconds(*request.caller_deadline - scope.now));
  }
  send.organisation = request.organisation;
  send.is_stream = request.kind == RouteKind::kStream;
  send.is_idempotent = IsRepeatable(request);
  send.resume = std::move(resume);
  send.position = request.events;
  request.attempts.push_back({send.attempt, upstream.entry.id, scope.now, is_resume, !is_resume});
  request.sends += 1;
  request.runs += is_resume ? 0 : 1;
  if (request.phase == RequestPhase::kQueued) {
    request.phase = RequestPhase::kSent;
  }
  if (!request.first_sent_at) {
    request.first_sent_at = scope.now;
  }
  state.request_by_attempt[send.attempt] = request.key;
  if (request.kind == RouteKind::kIdempotent && request.runs < request.max_upstreams) {
    Schedule(state.timers, {TimerKind::kEntryHedge, request.key},
             scope.now +
                 std::chrono::milliseconds(static_cast<std::int64_t>(
                     static_cast<double>(request.latency_objective.count()) * kHedgeDelayShare)));
  }
  state.load_changes += request.kind == RouteKind::kStream ? 1 : 0;
  scope.effects.push_back(std::move(send));
}

void DispatchOrEnqueue(EventScope& scope, Request& request) {
  const PlacementResult result = TryDispatch(scope, request);
  if (result == PlacementResult::kPlaced) {
    return;
  }
  request.phase = RequestPhase::kQueued;
  request.last_reason = result == PlacementResult::kNoRoom ? "no_room" : "no_upstream";
  const auto max_wait = MaxQueueWait(scope, request);
  Log(scope, log_events::kQueued,
      fmt::format("id={} route={} reason={} hold_ms={} prompt={} forecast={}", request.head.id,
                  request.route, request.last_reason, max_wait.count(), request.head.prompt_tokens,
                  request.expected_output_tokens));
  const TimePoint wait_start = request.is_started ? scope.now : request.arrived;
  Schedule(scope.state.timers, {TimerKind::kEntryHold, request.key}, wait_start + max_wait);
}

void DispatchQueue(EventScope& scope) {
  if (scope.state.is_exiting) {
    return;
  }
  struct QueuedRequest {
    int priority;
    double served;
    TimePoint arrived;
    RequestKey key;
  };
  std::vector<QueuedRequest> queued;
  for (const auto& [key, request] : scope.state.requests) {
    if (request.phase == RequestPhase::kQueued) {
      const auto served = scope.state.served_tokens.find(request.organisation);
      queued.push_back({request.priority,
                        served == scope.state.served_tokens.end() ? 0.0 : served->second,
                        request.arrived, key});
    }
  }
  std::sort(queued.begin(), queued.end(),
            [](const QueuedRequest& left, const QueuedRequest& right) {
              return std::tie(left.priority, left.served, left.arrived) <
                     std::tie(right.priority, right.served, right.arrived);
            });
  for (const QueuedRequest& entry : queued) {
    static_cast<void>(TryDispatch(scope, scope.state.requests.at(entry.key)));
  }
}

void ExpireQueueWait(EventScope& scope, Request& request) {
  const PlacementResult result = TryDispatch(scope, request);
  if (result == PlacementResult::kPlaced) {
    return;
  }
  const auto reason = result == PlacementResult::kNoRoom ? "no_room" : "no_upstream";
  if (request.is_started) {
    BreakRequest(scope, request, reason);
    return;
  }
  if (request.runs > 0) {
    RefuseRequest(scope, request, 502, reason);  // An earlier attempt may have run.
    return;
  }
  RefuseRequest(scope, request, 503, reason, RetryAfter(scope, request, result));
}

void SendHedge(EventScope& scope, Request& request) {
  if (request.phase != RequestPhase::kSent || request.runs >= request.max_upstreams ||
      !MayRetryPrompt(scope.state, request)) {
    return;
  }
  for (const Attempt& attempt : request.attempts) {
    request.excluded.insert(attempt.upstream);
  }
  const Placement placement = PlaceRequest(scope.state, request, scope.now);
  if (placement.result != PlacementResult::kPlaced ||
      !TryConsumeRetry(scope.state.retry_budgets[request.service], scope.state.options.bounds,
                       scope.state.hosts, scope.now)) {
    return;
  }
  IncrementCounter(scope, kRetries, "answer_overdue");
  Upstream& upstream = scope.state.upstreams.at(placement.upstream);
  RecordColdStart(upstream, scope.now);
  Log(scope, log_events::kSent,
      fmt::format("id={} route={} upstream={} use={:.2f} reason=answer_overdue sends={}",
                  request.head.id, request.route, placement.upstream, placement.utilisation,
                  request.sends));
  StartAttempt(scope, request, upstream, std::nullopt);
}

}  // namespace snipeturn::entry::internal
