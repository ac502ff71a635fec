#include "snipeturn/capacity/observation.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace snipeturn::capacity {
namespace internal {
namespace {

/// Work of a first event besides its prompt tokens: a step of the engine and the way there and
/// back, about 30 ms at 6 tokens per millisecond.
constexpr double kFirstEventOverheadTokens = 180;
/// Observations that count in a baseline at most: it follows a change of the host within about as
/// many responses.
constexpr double kMaxCount = 40;
/// Time in which an unused baseline loses most of its weight.
constexpr std::chrono::duration<double> kBaselineDecay{3};
/// Observations of one moment. A host that stalls delays all responses of about this time.
constexpr std::chrono::milliseconds kMoment{250};
/// How long the times of idle upstreams hold. The mix of requests may change over minutes, and a
/// peak is shorter.
constexpr std::chrono::seconds kIdleTtl{60};
/// Other upstreams that must show the same moment before it counts, and the weight of the
/// assumption that there is no shift.
constexpr std::size_t kMinOthers = 3;
constexpr double kMomentPrior = 2;
/// Bound of one residual, a factor of 4: one response that a lost packet delayed must not count as
/// much as many.
constexpr double kMaxResidual = 1.3863;  // log(4.0)

double Bounded(double value) {
  return std::clamp(value, -kMaxResidual, kMaxResidual);
}

/// Shift that the last residuals of other upstreams share.
double MomentShift(const Baseline& baseline, std::uint64_t upstream, TimePoint now) {
  std::vector<double> values;
  std::vector<std::uint64_t> upstreams;
  for (std::size_t back = 1; back <= std::min(baseline.next, baseline.recent.size()); ++back) {
    const Residual& residual = baseline.recent[(baseline.next - back) % baseline.recent.size()];
    if (now - residual.at > kMoment) {
      break;
    }
    const bool is_counted =
        std::find(upstreams.begin(), upstreams.end(), residual.upstream) != upstreams.end();
    if (residual.upstream != upstream && !is_counted) {
      upstreams.push_back(residual.upstream);
      values.push_back(residual.value);
    }
  }
  if (values.size() < kMinOthers) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  // The value nearest to zero of the middle ones, so that noise alone makes no shift.
  const double low = values[(values.size() - 1) / 3];
  const double high = values[values.size() - 1 - (values.size() - 1) / 3];
  const double shift = low > 0 ? low : std::min(0.0, high);
  return shift * static_cast<double>(values.size()) /
         (static_cast<double>(values.size()) + kMomentPrior);
}

}  // namespace
}  // namespace internal

double LogUnitTime(const Observation& observation) {
  const double time = std::max(1.0, static_cast<double>(observation.time.count()));
  switch (observation.kind) {
    case Kind::kFirstEvent:
      return std::log(time / (internal::kFirstEventOverheadTokens +
                              static_cast<double>(observation.prompt_tokens) +
                              static_cast<double>(observation.pending_prompt_tokens)));
    case Kind::kPace:
      return std::log(time / (1 + static_cast<double>(std::max(0, observation.requests)) /
                                      std::max(1, observation.slots)));
    case Kind::kCall:
      return std::log(time);
  }
  return 0;
}

std::optional<double> LogSpeed(const Baseline& baseline,
                               const Observation& observation,
                               TimePoint now) {
  if (baseline.count <= 0) {
    return std::nullopt;
  }
  return baseline.log_time + internal::MomentShift(baseline, observation.upstream, now) -
         LogUnitTime(observation);
}

bool IsIdle(const Observation& observation) noexcept {
  return observation.requests <= std::max(1, observation.slots / kIdleDivisor);
}

std::optional<double> LogSlowdown(const Baseline& baseline,
                                  const Observation& observation,
                                  TimePoint now) {
  if (baseline.idle_count <= 0 || now - baseline.idle_at > internal::kIdleTtl) {
    return std::nullopt;
  }
  return LogUnitTime(observation) - baseline.idle_log_time;
}

void Update(Baseline& baseline, const Observation& observation, double log_speed, TimePoint now) {
  const double target = LogUnitTime(observation) + log_speed;
  if (baseline.count <= 0) {
    baseline.log_time = target;
  }
  const std::chrono::duration<double> idle = now - baseline.at;
  if (baseline.count > 0 && idle > internal::kMoment) {
    baseline.count = std::max(1.0, baseline.count * std::exp(-idle / internal::kBaselineDecay));
  }
  baseline.at = now;
  baseline.count = std::min(internal::kMaxCount, baseline.count + 1);
  const double residual = target - baseline.log_time;
  baseline.log_time += internal::Bounded(residual) / baseline.count;
  baseline.variance +=
      (internal::Bounded(residual) * internal::Bounded(residual) - baseline.variance) /
      internal::kMaxCount;
  if (IsIdle(observation)) {
    if (now - baseline.idle_at > internal::kIdleTtl) {
      baseline.idle_count = 0;
    }
    baseline.idle_at = now;
    baseline.idle_count = std::min(internal::kMaxCount, baseline.idle_count + 1);
    baseline.idle_log_time += (target - baseline.idle_log_time) / baseline.idle_count;
  }
  baseline.recent[baseline.next % baseline.recent.size()] = {observation.upstream, residual, now};
  ++baseline.next;
}

}  // namespace snipeturn::capacity
