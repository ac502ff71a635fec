#include "snipeturn/entry/dispatch.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "snipeturn/backpressure/pause.h"
#include "snipeturn/base/hash.h"
#include "snipeturn/base/timers.h"
#include "snipeturn/entry/admission.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/crash_reports.h"
#include "snipeturn/entry/learned_capacity.h"
#include "snipeturn/entry/lifecycle.h"
#include "snipeturn/entry/load.h"
#include "snipeturn/entry/placement.h"
#include "snipeturn/entry/rollout_evidence.h"
#include "snipeturn/entry/shutdown.h"

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
/// Shortest Retry-After when the upstreams want no request now.
constexpr std::chrono::milliseconds kMinDeferral{100};
/// Callers honour a Retry-After of up to a third of their remaining time.
constexpr int kRetryAfterDivisor = 3;
/// Half-life of the tokens served to an organisation, which order the queue.
constexpr std::chrono::seconds kServedTokensHalfLife{10};

std::chrono::milliseconds RemainingTime(const EventScope& scope, const Request& request) {
  return ToMilliseconds(request.deadline - scope.now);
}

std::string_view ReasonOf(PlacementResult result) noexcept {
  switch (result) {
    case PlacementResult::kPlaced:
      return "";
    case PlacementResult::kNoRoom:
      return "no_room";
    case PlacementResult::kDeferred:
      return "upstreams_deferred";
    case PlacementResult::kNoUpstream:
      return "no_upstream";
  }
  return "";
}

/// Part of a delay, from 0 to a half, that spreads the retries of requests that are refused
/// together.
std::chrono::milliseconds RetrySpread(const Request& request, std::chrono::milliseconds delay) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(Hash(request.head.id) % 512) *
                                   delay.count() / 1024);
}

/// Retry-After of a request whose upstreams want no request before a later time.
std::chrono::milliseconds RetryAfterDeferral(const EventScope& scope,
                                             const Request& request,
                                             TimePoint available_from) {
  // Another host may have a part of the limit left, so an unknown time isn't a long one.
  const auto wanted = available_from == TimePoint::max()
                          ? kNoUpstreamRetryAfter
                          : std::max(kMinDeferral, ToMilliseconds(available_from - scope.now));
  const auto latest =
      std::min(wanted + wanted / 2, RemainingTime(scope, request) / kRetryAfterDivisor);
  return std::max(std::chrono::milliseconds{0}, latest - RetrySpread(request, latest * 2 / 3));
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
  return std::max(std::chrono::milliseconds{0},
                  std::min(wanted + RetrySpread(request, wanted),
                           RemainingTime(scope, request) / kRetryAfterDivisor));
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

/// Dispatches the queue at the time from which an upstream wants another request.
void ScheduleDispatch(EventScope& scope, TimePoint due) {
  const TimerKey key{TimerKind::kEntryDispatch, 0};
  const auto pending = scope.state.timers.due_by_key.find(key);
  if (due != TimePoint::max() &&
      (pending == scope.state.timers.due_by_key.end() || due < pending->second)) {
    Schedule(scope.state.timers, key, due);
  }
}

/// Forecasts when a request could be sent while the upstreams of its service want no request before
/// `available_from`: after those that are queued before it, at the rate at which limited upstreams
/// take them or paused ones return.
TimePoint ForecastDispatch(const EventScope& scope,
                           const Request& request,
                           TimePoint available_from) {
  if (available_from == TimePoint::max()) {
    return available_from;
  }
  double rate = 0;
  int upstreams = 0;
  for (const auto& [id, upstream] : scope.state.upstreams) {
    if (upstream.entry.service == request.service && IsServing(scope.state, upstream)) {
      rate += PermittedRate(scope.state, upstream, scope.now).value_or(0);
      ++upstreams;
    }
  }
  const auto ahead = static_cast<double>(std::count_if(
      scope.state.requests.begin(), scope.state.requests.end(), [&request](const auto& entry) {
        const Request& other = entry.second;
        return other.phase == RequestPhase::kQueued && other.service == request.service &&
               other.priority <= request.priority && other.key != request.key;
      }));
  if (rate <= 0) {
    return available_from + backpressure::RampTime(ahead / std::max(1, upstreams));
  }
  const std::chrono::duration<double> wait(ahead / rate);
  return available_from + std::chrono::duration_cast<std::chrono::microseconds>(wait);
}

/// Tells whether a service has upstreams and each of them said that it is leaving.
bool HaveAllSaidLeaving(const State& state, const std::string& service) {
  int count = 0;
  for (const auto& [id, upstream] : state.upstreams) {
    if (upstream.entry.service == service) {
      if (!upstream.said_leaving_at) {
        return false;
      }
      ++count;
    }
  }
  return count > 0;
}

/// Counts the upstreams to which a request isn't sent for what they stated, each once.
void RecordKeptBack(EventScope& scope, Request& request, const Placement& placement) {
  for (const KeptBack& kept_back : placement.kept_back) {
    if (request.kept_back_from.insert(kept_back.upstream).second) {
      Upstream& upstream = scope.state.upstreams.at(kept_back.upstream);
      backpressure::CountOf(upstream.statements, kept_back.signal).kept_back += 1;
      IncrementCounter(scope, kKeptBack, ToString(kept_back.signal));
    }
  }
}

/// A request that found no room.
struct NoRoom {
  std::uint64_t body_bytes{0};
  Placement placement;
};

/// Tells whether a request finds no room because another one of its service didn't.
bool FindsNoRoom(const State& state, const NoRoom& other, const Request& request) {
  const auto service = state.desired->services.find(request.service);
  // The room at engines depends on the prompt, and that of versions on the request's share.
  return service != state.desired->services.end() && !service->second.engine &&
         !state.is_stopping && state.rollouts.count(request.service) == 0 &&
         request.excluded.empty() && request.head.body_bytes >= other.body_bytes;
}

/// Sends a queued request if an upstream has room.
Placement TryDispatch(EventScope& scope, Request& request) {
  const Placement placement = PlaceRequest(scope.state, request, scope.now);
  scope.state.placements += 1;
  RecordKeptBack(scope, request, placement);
  if (placement.result != PlacementResult::kPlaced) {
    ScheduleDispatch(scope, placement.available_from);
    return placement;
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
          "prompt={} forecast={} version={}{}",
          request.head.id, request.route, request.organisation, placement.upstream,
          placement.utilisation, placement.failure_rate,
          ToMilliseconds(scope.now - request.arrived).count(), request.sends,
          request.head.prompt_tokens, request.expected_output_tokens, scope.state.desired->version,
          DescribeShutdown(scope, request)));
  StartAttempt(scope, request, upstream, std::nullopt);
  return placement;
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
  send.is_repeat = !request.sent_to.insert(upstream.entry.id).second;
  send.resume = std::move(resume);
  send.position = request.events;
  Attempt attempt{send.attempt, upstream.entry.id, scope.now, is_resume, !is_resume};
  attempt.version = upstream.entry.version;
  RecordLoadAtSend(scope, request, attempt);
  request.attempts.push_back(std::move(attempt));
  CountRolloutSend(scope, request, upstream);
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
  RecordRequest(state, upstream, scope.now);
  scope.effects.push_back(std::move(send));
}

void DispatchOrEnqueue(EventScope& scope, Request& request) {
  const Placement placement = TryDispatch(scope, request);
  if (placement.result == PlacementResult::kPlaced) {
    return;
  }
  request.phase = RequestPhase::kQueued;
  const std::string_view reason = ReasonOf(placement.result);
  request.last_reason = reason;
  const auto max_wait = MaxQueueWait(scope, request);
  if (placement.result == PlacementResult::kNoUpstream && !request.is_started &&
      request.runs == 0 && HaveAllSaidLeaving(scope.state, request.service)) {
    RefuseRequest(scope, request, 503, reason, RetryAfter(scope, request, placement.result));
    return;
  }
  if (placement.result == PlacementResult::kDeferred && !request.is_started && request.runs == 0) {
    const TimePoint forecast = ForecastDispatch(scope, request, placement.available_from);
    if (forecast > request.arrived + max_wait) {
      RefuseRequest(scope, request, 503, reason, RetryAfterDeferral(scope, request, forecast));
      return;
    }
  }
  Log(scope, log_events::kQueued,
      fmt::format("id={} route={} reason={} hold_ms={} prompt={} forecast={}", request.head.id,
                  request.route, request.last_reason, max_wait.count(), request.head.prompt_tokens,
                  request.expected_output_tokens));
  const TimePoint wait_start = request.is_started ? scope.now : request.arrived;
  Schedule(scope.state.timers, {TimerKind::kEntryHold, request.key}, wait_start + max_wait);
}

void DispatchDueQueue(EventScope& scope) {
  const TimerKey key{TimerKind::kEntryDispatch, 0};
  const auto pending = scope.state.timers.due_by_key.find(key);
  if (pending != scope.state.timers.due_by_key.end() && pending->second <= scope.now) {
    Cancel(scope.state.timers, key);
    DispatchQueue(scope);
  }
}

void DispatchQueue(EventScope& scope) {
  if (scope.state.is_exiting || scope.state.holds_queue) {
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
  // By service. A further request of the same kind finds no room either, as the sends between the
  // two only take room.
  std::map<std::string, NoRoom> without_room;
  for (const QueuedRequest& entry : queued) {
    Request& request = scope.state.requests.at(entry.key);
    const auto known = without_room.find(request.service);
    if (known != without_room.end() && FindsNoRoom(scope.state, known->second, request)) {
      RecordKeptBack(scope, request, known->second.placement);
      continue;
    }
    Placement placement = TryDispatch(scope, request);
    if (placement.result == PlacementResult::kNoRoom && request.excluded.empty()) {
      without_room[request.service] = {request.head.body_bytes, std::move(placement)};
    }
  }
}

void ExpireQueueWait(EventScope& scope, Request& request) {
  const Placement placement = TryDispatch(scope, request);
  if (placement.result == PlacementResult::kPlaced) {
    return;
  }
  const std::string_view reason = ReasonOf(placement.result);
  if (request.is_started) {
    BreakRequest(scope, request, reason);
    return;
  }
  if (request.runs > 0) {
    RefuseRequest(scope, request, 502, reason);  // An earlier attempt may have run.
    return;
  }
  RefuseRequest(scope, request, 503, reason,
                placement.result == PlacementResult::kDeferred
                    ? RetryAfterDeferral(scope, request, placement.available_from)
                    : RetryAfter(scope, request, placement.result));
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
  RecordKeptBack(scope, request, placement);
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
