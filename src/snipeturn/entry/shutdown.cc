#include "snipeturn/entry/shutdown.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "snipeturn/base/timers.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/forecast.h"
#include "snipeturn/entry/lifecycle.h"
#include "snipeturn/entry/service_times.h"

namespace snipeturn::entry::internal {
namespace {

/// Least time for which a plain request has to fit into the rest of the grace period, however fast
/// its service was recently.
constexpr std::chrono::milliseconds kMinPlainDuration{800};
/// Least assumed time to the first event of a stream: prompts of other requests may be read before
/// its own.
constexpr std::chrono::milliseconds kMinTimeToFirstEvent{1000};
/// Least time between two events: events that an engine sends together are read at once, so that a
/// short stream shows no pace.
constexpr std::chrono::milliseconds kMinEventInterval{20};
/// Factor on the longest recent times of a service, as it may become slower while a host stops.
constexpr double kServiceTimeMargin = 1.25;
/// The balancer removes a host after two failed checks, a second apart; new callers arrive until
/// then.
constexpr std::chrono::milliseconds kBalancerDelay{2500};
// Near its end the grace period goes through four times: nothing is sent any more that would end
// after kGraceMargin before SIGKILL, requests without any response are ended at kGraceReserve
// before it, streams at kStreamReserve, and the process exits at kKillMargin.

/// Part of the grace period that is reserved for sending whole responses to callers.
constexpr std::chrono::milliseconds kGraceReserve{400};
/// Part of it that is reserved for the last bytes of streams.
constexpr std::chrono::milliseconds kStreamReserve{200};
/// Least time that must be left for the rest of a stream when its first event is passed on: some
/// pauses of an engine that becomes slower.
constexpr std::chrono::milliseconds kMinStreamRest{800};
/// Time before the end of the grace period, when the process would be killed, at which it exits
/// even if bytes for callers are left.
constexpr std::chrono::milliseconds kKillMargin{100};
constexpr std::chrono::milliseconds kShutdownCheckInterval{100};
/// Time for a host to serve again after its process has exited.
constexpr std::chrono::milliseconds kRestartDuration{1200};
/// A host without a load broadcast for this long may be down.
constexpr std::chrono::milliseconds kPeerTtl{3200};
/// Part of the grace period held back, as the process exits a little before it would be killed.
constexpr std::chrono::milliseconds kGraceMargin{500};

/// Ends an open request: as not run where none of its sends can have run.
void EndForShutdown(EventScope& scope, Request& request) {
  if (request.is_started) {
    BreakRequest(scope, request, "stopping");
  } else if (request.runs > 0) {
    RefuseRequest(scope, request, 502, "stopping");
  } else {
    RefuseRequest(scope, request, 503, "stopping", RetryAfterShutdown(scope));
  }
}

/// Ends the requests whose callers would get nothing but the end.
void EndRequestsWithoutResponse(EventScope& scope) {
  State& state = scope.state;
  std::vector<RequestKey> ended;
  for (const auto& [key, request] : state.requests) {
    if (!request.is_started && !HoldsEvents(request)) {
      ended.push_back(key);
    }
  }
  state.holds_queue = true;
  for (const RequestKey key : ended) {
    EndForShutdown(scope, state.requests.at(key));
  }
  state.holds_queue = false;
}

void EndOpenRequests(EventScope& scope) {
  auto& requests = scope.state.requests;
  while (!requests.empty()) {
    EndForShutdown(scope, requests.begin()->second);
  }
}

/// Tells whether another host of the zone keeps running, so that callers find it at once.
bool HasRunningPeer(const EventScope& scope) {
  const State& state = scope.state;
  return std::any_of(state.peers.begin(), state.peers.end(), [&](const auto& entry) {
    const PeerLoad& peer = entry.second;
    return !peer.is_stopping && peer.zone == state.options.zone && scope.now - peer.at < kPeerTtl;
  });
}

/// Number of events after the caller's last one by which a stream is admitted: the most that it may
/// have, or a number that few exceed if its caller set no maximum.
double MaxEvents(const EventScope& scope, const Request& request) {
  std::uint64_t tokens = request.head.max_output_tokens;
  if (tokens == 0) {
    const auto model = scope.state.lengths.find(request.route);
    tokens = BoundOutput(model == scope.state.lengths.end() ? LengthModel{} : model->second,
                         request.head.expected_output_tokens.value_or(0));
  }
  const double events =
      std::ceil(static_cast<double>(tokens) / static_cast<double>(request.tokens_per_event));
  return std::max(0.0, events - static_cast<double>(request.events)) + 1;
}

std::chrono::microseconds WithMargin(std::chrono::microseconds time) {
  return std::chrono::microseconds(
      static_cast<std::int64_t>(kServiceTimeMargin * static_cast<double>(time.count())));
}

/// Forecasts the time from now to the end of a request that is sent now.
std::chrono::milliseconds ForecastDuration(const EventScope& scope,
                                           const ServiceTimes& times,
                                           const Request& request) {
  const auto until_deadline = ToMilliseconds(request.deadline - scope.now);
  const auto estimate = EstimateServiceTime(times, request, scope.now);
  if (!estimate) {
    return until_deadline;
  }
  if (request.kind != RouteKind::kStream) {
    return std::min(until_deadline,
                    std::max(kMinPlainDuration, ToMilliseconds(WithMargin(estimate->first))));
  }
  const auto first = std::max(kMinTimeToFirstEvent, ToMilliseconds(WithMargin(estimate->first)));
  // In floating point, as the caller's maximum may be any number.
  const std::chrono::duration<double, std::milli> interval =
      std::max<std::chrono::microseconds>(kMinEventInterval, WithMargin(estimate->interval));
  const auto forecast = first + interval * MaxEvents(scope, request);
  return forecast < until_deadline ? std::chrono::duration_cast<std::chrono::milliseconds>(forecast)
                                   : until_deadline;
}

std::chrono::milliseconds ForecastDuration(const EventScope& scope, const Request& request) {
  return ForecastDuration(scope, ObserveServiceTimes(scope.state, request.service, scope.now),
                          request);
}

/// Time by which a request has to end during a planned stop.
TimePoint LatestEnd(const State& state) {
  return state.stopping_since + state.stop_grace - kGraceMargin;
}

/// Refuses the queued requests that would be cut off even if they were sent now.
void RefuseLateQueue(EventScope& scope) {
  std::map<std::string, ServiceTimes> times;
  std::vector<RequestKey> late;
  for (const auto& [key, request] : scope.state.requests) {
    if (request.phase != RequestPhase::kQueued) {
      continue;
    }
    auto observed = times.find(request.service);
    if (observed == times.end()) {
      observed = times
                     .emplace(request.service,
                              ObserveServiceTimes(scope.state, request.service, scope.now))
                     .first;
    }
    if (scope.now + ForecastDuration(scope, observed->second, request) > LatestEnd(scope.state)) {
      late.push_back(key);
    }
  }
  // The end of a queued request leaves no room for another.
  scope.state.holds_queue = true;
  for (const RequestKey key : late) {
    EndForShutdown(scope, scope.state.requests.at(key));
  }
  scope.state.holds_queue = false;
}

}  // namespace

void BeginShutdown(EventScope& scope) {
  State& state = scope.state;
  if (state.is_stopping) {
    return;
  }
  state.is_stopping = true;
  state.stopping_since = scope.now;
  state.stop_grace = state.options.bounds.grace;
  Log(scope, log_events::kStopping, fmt::format("open={}", state.requests.size()));
  CheckShutdown(scope);
}

void CheckShutdown(EventScope& scope) {
  State& state = scope.state;
  const auto stopping = ToMilliseconds(scope.now - state.stopping_since);
  const bool is_idle = state.requests.empty() && stopping >= kBalancerDelay;
  const auto left = state.stop_grace - stopping;
  if (!is_idle && left > kGraceReserve) {
    RefuseLateQueue(scope);
    Schedule(state.timers, {TimerKind::kEntryShutdown, 0}, scope.now + kShutdownCheckInterval);
    return;
  }
  EndRequestsWithoutResponse(scope);
  if (!state.requests.empty() && left > kStreamReserve) {
    Schedule(state.timers, {TimerKind::kEntryShutdown, 0},
             scope.now + std::min(kShutdownCheckInterval, left - kStreamReserve));
    return;
  }
  state.is_exiting = true;
  Log(scope, log_events::kStopped, fmt::format("open={}", state.requests.size()));
  EndOpenRequests(scope);
  scope.effects.push_back(Exit{state.stopping_since + state.stop_grace - kKillMargin});
}

bool WouldOutliveProcess(const EventScope& scope, const Request& request) {
  return scope.state.is_stopping &&
         scope.now + ForecastDuration(scope, request) > LatestEnd(scope.state);
}

bool MustArriveWhole(const EventScope& scope, const Request& request) {
  const State& state = scope.state;
  // A request that came before the stop was not taken for its end in time.
  if (!state.is_stopping || request.is_started || request.arrived < state.stopping_since) {
    return false;
  }
  const auto estimate = EstimateServiceTime(ObserveServiceTimes(state, request.service, scope.now),
                                            request, scope.now);
  const std::chrono::duration<double, std::milli> interval = std::max<std::chrono::microseconds>(
      kMinEventInterval, WithMargin(estimate ? estimate->interval : std::chrono::microseconds{0}));
  const auto rest = std::max<std::chrono::duration<double, std::milli>>(
      kMinStreamRest, interval * MaxEvents(scope, request));
  return rest > state.stopping_since + state.stop_grace - kStreamReserve - scope.now;
}

std::string DescribeShutdown(const EventScope& scope, const Request& request) {
  const State& state = scope.state;
  if (!state.is_stopping) {
    return "";
  }
  // The forecast of an open request would be asked for at the end of each of them.
  const bool is_open = state.requests.count(request.key) > 0 && !request.attempts.empty();
  return fmt::format(
      " arrived_after_stop_ms={} left_ms={}{}",
      ToMilliseconds(request.arrived - state.stopping_since).count(),
      ToMilliseconds(LatestEnd(state) - scope.now).count(),
      is_open ? "" : fmt::format(" needs_ms={}", ForecastDuration(scope, request).count()));
}

std::chrono::milliseconds RetryAfterShutdown(const EventScope& scope) {
  if (HasRunningPeer(scope)) {
    return std::chrono::milliseconds{0};
  }
  const State& state = scope.state;
  return std::max(std::chrono::milliseconds{0},
                  ToMilliseconds(state.stopping_since + state.stop_grace - scope.now)) +
         kRestartDuration;
}

}  // namespace snipeturn::entry::internal
