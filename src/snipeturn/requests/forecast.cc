#include "snipeturn/requests/forecast.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

#include "snipeturn/requests/lifecycle.h"

namespace snipeturn::internal {

using std::chrono::microseconds;

/// Lengths kept for each team and application.
constexpr std::size_t kMaxSamples = 64;
/// With fewer lengths the quantile is unreliable.
constexpr std::size_t kMinSamples = 8;
/// Engines must preempt when outputs are longer than forecast, so the forecast is a high quantile.
/// With 0.75 there were more preemptions and no certain gain; see docs/measurements.md.
constexpr double kQuantile = 0.9;
constexpr std::uint64_t kDefaultOutput = 512;
/// English text has about four bytes a token.
constexpr std::uint64_t kBytesPerToken = 4;
/// Weight of the newest hold time in the mean.
constexpr double kHoldWeight = 0.1;

std::string LengthKey(const Request& request) {
  return request.caller.team + '/' + request.call.application;
}

std::uint64_t ExpectedOutput(const RequestsState& state, const Request& request) {
  std::uint64_t expected = kDefaultOutput;
  const auto samples = state.output_lengths.find(LengthKey(request));
  if (samples != state.output_lengths.end() && samples->second.recent.size() >= kMinSamples) {
    namespace acc = boost::accumulators;
    acc::accumulator_set<double, acc::stats<acc::tag::tail_quantile<acc::right>>> output_lengths(
        acc::tag::tail<acc::right>::cache_size = kMaxSamples);
    for (const std::uint32_t length : samples->second.recent) {
      output_lengths(length);
    }
    expected = static_cast<std::uint64_t>(
        acc::quantile(output_lengths, acc::quantile_probability = kQuantile));
  }
  return request.call.max_tokens == 0 ? expected
                                      : std::min<std::uint64_t>(expected, request.call.max_tokens);
}

std::uint64_t ExpectedTokens(const RequestsState& state, const Request& request) {
  if (request.call.kind == CallerRequest::Kind::kCall) {
    return 0;
  }
  return request.call.prompt.size() / kBytesPerToken + ExpectedOutput(state, request);
}

void RecordLength(RequestsState& state, const Request& request, std::uint64_t tokens) {
  LengthSamples& samples = state.output_lengths[LengthKey(request)];
  const auto length = static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, UINT32_MAX));
  if (samples.recent.size() < kMaxSamples) {
    samples.recent.push_back(length);
    return;
  }
  samples.recent[samples.next] = length;
  samples.next = (samples.next + 1) % kMaxSamples;
}

void RecordHoldTime(EventScope& scope, const Request& request) {
  const auto hold = scope.context.limits.holds.find(HoldOf(request));
  if (hold == scope.context.limits.holds.end()) {
    return;
  }
  const double seconds =
      std::chrono::duration<double>(scope.now.monotonic - hold->second.since).count();
  const auto [mean, is_new] = scope.state.mean_hold_seconds.try_emplace(PoolOf(request), seconds);
  if (!is_new) {
    mean->second += kHoldWeight * (seconds - mean->second);
  }
}

std::optional<microseconds> ForecastWait(const RequestsState& state, const Request& request) {
  const std::string pool = PoolOf(request);
  const auto mean = state.mean_hold_seconds.find(pool);
  int running = 0;
  int ahead = 0;
  for (const auto& [id, other] : state.open_requests) {
    if (id == request.call.id || PoolOf(other) != pool) {
      continue;
    }
    if (other.phase == RequestPhase::kRunning) {
      ++running;
    } else if (other.phase == RequestPhase::kQueued && other.work_class <= request.work_class) {
      ++ahead;
    }
  }
  if (mean == state.mean_hold_seconds.end() || running == 0) {
    return std::nullopt;
  }
  const std::chrono::duration<double> wait{mean->second * (ahead + 1) / running};
  return std::chrono::duration_cast<microseconds>(wait);
}

}  // namespace snipeturn::internal
