#include "snipeturn/entry/shutdown.h"

#include <fmt/format.h>

#include <algorithm>

#include "snipeturn/base/timers.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/lifecycle.h"

namespace snipeturn::entry::internal {
namespace {

/// Duration for which a request to a plain service has to fit into the rest of the grace period,
/// with a wide margin over usual response times.
constexpr std::chrono::milliseconds kMinPlainDuration{800};
/// Factor on the longest recent response time of a plain service, and how long it counts.
constexpr double kPlainMargin = 1.5;
constexpr std::chrono::seconds kResponseTimeWindow{10};
/// Time to the first event of a stream, and between two events, at an engine under load.
constexpr std::chrono::milliseconds kTimeToFirstEvent{1000};
constexpr std::chrono::milliseconds kEventInterval{50};
/// Factor on the forecast length of a stream, since forecasts are often off by a factor.
constexpr double kLengthMargin = 1.5;
/// The balancer removes a host after two failed checks, a second apart; new callers arrive until
/// then. Until then streams are admitted by their forecast length, since callers can't avoid the
/// host; later only by their maximum length.
constexpr std::chrono::milliseconds kBalancerDelay{2500};
/// Part of the grace period that is reserved for sending the last bytes to callers.
constexpr std::chrono::milliseconds kGraceReserve{400};
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

/// Ends all open requests: as not run where none of their sends can have run.
void EndOpenRequests(EventScope& scope) {
  auto& requests = scope.state.requests;
  while (!requests.empty()) {
    Request& request = requests.begin()->second;
    if (request.is_started) {
      BreakRequest(scope, request, "stopping");
    } else if (request.runs > 0) {
      RefuseRequest(scope, request, 502, "stopping");
    } else {
      RefuseRequest(scope, request, 503, "stopping", RetryAfterShutdown(scope));
    }
  }
}

std::chrono::milliseconds PlainDuration(const EventScope& scope, const Request& request) {
  const auto found = scope.state.response_times.find(request.service);
  if (found == scope.state.response_times.end() ||
      scope.now - found->second.at > kResponseTimeWindow) {
    return kMinPlainDuration;
  }
  return std::max(kMinPlainDuration,
                  std::chrono::milliseconds(static_cast<std::int64_t>(
                      kPlainMargin * static_cast<double>(found->second.longest.count()))));
}

/// Forecasts the time from now to the end of a request that is sent now.
std::chrono::milliseconds ForecastDuration(const EventScope& scope, const Request& request) {
  if (request.kind != RouteKind::kStream) {
    return PlainDuration(scope, request);
  }
  const bool is_before_balancer_update = scope.now - scope.state.stopping_since < kBalancerDelay;
  const double tokens = is_before_balancer_update || request.head.max_output_tokens == 0
                            ? static_cast<double>(request.expected_output_tokens) * kLengthMargin
                            : static_cast<double>(request.head.max_output_tokens);
  const double events = tokens / static_cast<double>(request.tokens_per_event) + 1;
  return kTimeToFirstEvent + std::chrono::milliseconds(static_cast<std::int64_t>(
                                 static_cast<double>(kEventInterval.count()) * events));
}

/// Time by which a request has to end during a planned stop.
TimePoint LatestEnd(const State& state) {
  return state.stopping_since + state.options.bounds.grace - kGraceMargin;
}

}  // namespace

void RecordResponseTime(EventScope& scope,
                        const Request& request,
                        std::chrono::milliseconds duration) {
  State::ResponseTime& recent = scope.state.response_times[request.service];
  if (duration >= recent.longest || scope.now - recent.at > kResponseTimeWindow) {
    recent = {duration, scope.now};
  }
}

void BeginShutdown(EventScope& scope) {
  State& state = scope.state;
  if (state.is_stopping) {
    return;
  }
  state.is_stopping = true;
  state.stopping_since = scope.now;
  Log(scope, log_events::kStopping, fmt::format("open={}", state.requests.size()));
  CheckShutdown(scope);
}

void CheckShutdown(EventScope& scope) {
  State& state = scope.state;
  const auto stopping = ToMilliseconds(scope.now - state.stopping_since);
  const bool is_idle = state.requests.empty() && stopping >= kBalancerDelay;
  if (!is_idle && stopping < state.options.bounds.grace - kGraceReserve) {
    Schedule(state.timers, {TimerKind::kEntryShutdown, 0}, scope.now + kShutdownCheckInterval);
    return;
  }
  state.is_exiting = true;
  Log(scope, log_events::kStopped, fmt::format("open={}", state.requests.size()));
  EndOpenRequests(scope);
  scope.effects.push_back(Exit{state.stopping_since + state.options.bounds.grace - kKillMargin});
}

bool WouldOutliveProcess(const EventScope& scope, const Request& request) {
  return scope.state.is_stopping &&
         scope.now + ForecastDuration(scope, request) > LatestEnd(scope.state);
}

std::string DescribeShutdown(const EventScope& scope, const Request& request) {
  const State& state = scope.state;
  if (!state.is_stopping) {
    return "";
  }
  return fmt::format(" arrived_after_stop_ms={} needs_ms={} left_ms={}",
                     ToMilliseconds(request.arrived - state.stopping_since).count(),
                     ForecastDuration(scope, request).count(),
                     ToMilliseconds(LatestEnd(state) - scope.now).count());
}

std::chrono::milliseconds RetryAfterShutdown(const EventScope& scope) {
  const State& state = scope.state;
  for (const auto& [host, peer] : state.peers) {
    if (!peer.is_stopping && peer.zone == state.options.zone && scope.now - peer.at < kPeerTtl) {
      return std::chrono::milliseconds{0};
    }
  }
  return std::max(std::chrono::milliseconds{0},
                  ToMilliseconds(state.stopping_since + state.options.bounds.grace - scope.now)) +
         kRestartDuration;
}

}  // namespace snipeturn::entry::internal
