#include "snipeturn/capacity/estimate.h"

#include <algorithm>
#include <cmath>

namespace snipeturn::capacity {
namespace internal {
namespace {

using Seconds = std::chrono::duration<double>;

/// Times in which the weights of evidence fade to 1/e. The short one sees a change within half a
/// second at a few responses a second of all hosts, the long one averages out the noise.
constexpr Seconds kSpeedFade{2.5};
constexpr Seconds kRecentFade{0.3};
constexpr Seconds kIdleFade{10};
constexpr Seconds kBusyFade{1};
/// Statements are judged over about this many responses.
constexpr double kStatementMemory = 0.97;
/// Weight of the assumption that a stated time holds by half, in squared logs: one response under a
/// stated factor of 2.5 weighs 0.84.
constexpr double kTrustPrior = 0.5;
constexpr double kInitialTrust = 0.5;
constexpr double kMaxStatedLog = 1.3863;  // log(4.0)
constexpr Seconds kStatedTtl{1};
/// Weight of the assumption of speed 1, and of that of a slow start while an upstream is cold.
constexpr double kUsualPrior = 1;
constexpr double kColdPrior = 4;
constexpr double kColdLogSpeed = -0.6931;  // log(0.5)
/// The last moment counts in place of the seconds before if it differs by this, in logs and in
/// standard errors, from both together.
constexpr double kMinChange = 0.3;
constexpr double kChangeErrors = 2.5;
constexpr double kMinRecentWeight = 2;
/// Weight of the seconds before as an assumption for the last moment.
constexpr double kLongPrior = 6;
/// A request is overdue once it has taken twice as long as the estimate says. Fewer than 1 in 100
/// calls of an upstream below its knee take so long.
constexpr double kOverdueLog = 0.6931;  // log(2.0)
constexpr std::chrono::milliseconds kOverdueTtl{500};
/// Distance of a sample from the mean that counts, a factor of 6.
constexpr double kMaxDeviation = 1.7918;  // log(6.0)
constexpr double kMaxLogSpeed = 1.6094;   // log(5.0)
/// The pace of one stream is seen several times a second, and says less than a first event.
constexpr double kPaceWeight = 0.3;

/// Weight of the assumption that an idle upstream is as fast as its estimated speed says.
constexpr double kIdlePrior = 1;
constexpr double kMinBusyWeight = 3;
/// A lower slowdown is within the noise.
constexpr double kMinSlowdown = 1.5;
/// Requests that a limit admits, relative to those that run without waiting.
constexpr double kLimitFactor = 2;

/// Speeds below this are explored, once the last observation is older than the age.
constexpr double kExploredSpeed = 0.6;
constexpr std::chrono::milliseconds kExploreAge{500};
/// Share of a service's requests that explore.
constexpr double kExploreShare = 0.02;

void Fade(WeightedMean& mean, Seconds elapsed, Seconds fade) {
  if (mean.weight > 0) {
    mean.weight *= std::exp(-std::max(0.0, elapsed / fade));
  }
}

void Add(WeightedMean& mean, const WeightedMean& other) {
  const double weight = mean.weight + other.weight;
  if (weight > 0) {
    mean.value += (other.value - mean.value) * other.weight / weight;
  }
  mean.weight = weight;
}

Evidence Merged(const Estimate& estimate, TimePoint now) {
  Evidence sum = ReportedEvidence(estimate, now);
  capacity::Add(sum, Faded(estimate.others, now));
  return sum;
}

/// Share, 0 to 1, to which a change of the speed is certain.
double ChangeShare(const Evidence& evidence, double variance) {
  if (evidence.recent_speed.weight < kMinRecentWeight || evidence.speed.weight <= 0) {
    return 0;
  }
  const double error =
      std::sqrt(variance * (1 / evidence.recent_speed.weight + 1 / evidence.speed.weight));
  const double threshold = std::max(kMinChange, kChangeErrors * error);
  const double difference = std::abs(evidence.recent_speed.value - evidence.speed.value);
  return std::clamp((difference - threshold) / kMinChange, 0.0, 1.0);
}

/// Log of the speed that the evidence shows.
double ObservedLogSpeed(const Evidence& evidence, double variance) {
  const double recent = evidence.recent_speed.weight;
  const double share = std::max(ChangeShare(evidence, variance), recent / (recent + kLongPrior));
  return evidence.speed.value + share * (evidence.recent_speed.value - evidence.speed.value);
}

/// Log of the stated time of work, as far as it counts.
double StatedLogTime(const Estimate& estimate, TimePoint now) {
  const Seconds age = now - estimate.stated_at;
  const double left = std::clamp(1 - age / kStatedTtl, 0.0, 1.0);
  return StatementTrust(estimate) * estimate.stated_time * left;
}

/// Log of the speed without the stated time of work.
double UsualLogSpeed(const Estimate& estimate, TimePoint now) {
  const Evidence evidence = Merged(estimate, now);
  const bool is_cold = now < estimate.cold_until;
  const double prior = is_cold ? kColdPrior : kUsualPrior;
  const double observed = ObservedLogSpeed(evidence, estimate.variance) - estimate.centre;
  return (observed * evidence.speed.weight + (is_cold ? prior * kColdLogSpeed : 0)) /
         (evidence.speed.weight + prior);
}

void LearnTrust(Estimate& estimate, double stated, double explained) {
  estimate.stated_square = estimate.stated_square * kStatementMemory + stated * stated;
  estimate.stated_product = estimate.stated_product * kStatementMemory + stated * explained;
}

void LearnLoad(Evidence& evidence, const Observation& observation, double log_time) {
  if (IsIdle(observation)) {
    Add(evidence.idle_time, {1, log_time});
    return;
  }
  evidence.busy_requests +=
      (observation.requests - evidence.busy_requests) / (evidence.busy_time.weight + 1);
  Add(evidence.busy_time, {1, log_time});
}

}  // namespace
}  // namespace internal

Evidence Faded(const Evidence& evidence, TimePoint now) {
  if (!evidence.observed_at || now - *evidence.observed_at > kEvidenceTtl) {
    Evidence none;
    none.at = now;
    return none;
  }
  Evidence faded = evidence;
  const internal::Seconds elapsed = now - evidence.at;
  internal::Fade(faded.speed, elapsed, internal::kSpeedFade);
  internal::Fade(faded.recent_speed, elapsed, internal::kRecentFade);
  internal::Fade(faded.idle_time, elapsed, internal::kIdleFade);
  internal::Fade(faded.busy_time, elapsed, internal::kBusyFade);
  faded.at = std::max(evidence.at, now);
  return faded;
}

void Add(Evidence& sum, const Evidence& other) {
  const double busy = sum.busy_time.weight + other.busy_time.weight;
  if (busy > 0) {
    sum.busy_requests += (other.busy_requests - sum.busy_requests) * other.busy_time.weight / busy;
  }
  internal::Add(sum.speed, other.speed);
  internal::Add(sum.recent_speed, other.recent_speed);
  internal::Add(sum.idle_time, other.idle_time);
  internal::Add(sum.busy_time, other.busy_time);
  if (other.observed_at) {
    sum.observed_at = std::max(sum.observed_at.value_or(*other.observed_at), *other.observed_at);
  }
}

Evidence ReportedEvidence(const Estimate& estimate, TimePoint now) {
  Evidence evidence = Faded(estimate.own, now);
  if (estimate.overdue.weight > 0 && now - estimate.overdue_at < internal::kOverdueTtl) {
    internal::Add(evidence.speed, estimate.overdue);
    internal::Add(evidence.recent_speed, estimate.overdue);
    evidence.observed_at =
        std::max(evidence.observed_at.value_or(estimate.overdue_at), estimate.overdue_at);
  }
  return evidence;
}

void ClearOverdue(Estimate& estimate, TimePoint now) {
  estimate.overdue = {};
  estimate.overdue_at = now;
}

void ObserveOverdue(Estimate& estimate,
                    const Baseline& baseline,
                    const Observation& open,
                    TimePoint now) {
  const double stated = internal::StatedLogTime(estimate, now);
  const double usual = internal::UsualLogSpeed(estimate, now);
  const std::optional<double> shown = LogSpeed(baseline, open, now);
  if (shown && *shown < usual - stated - internal::kOverdueLog) {
    internal::Add(estimate.overdue,
                  {1, std::max(*shown + stated, usual - internal::kMaxDeviation)});
  }
}

bool HasChanged(const Estimate& estimate, TimePoint now) {
  return internal::ChangeShare(internal::Merged(estimate, now), estimate.variance) >= 1;
}

void DropOutdated(Evidence& evidence, TimePoint now) {
  evidence = Faded(evidence, now);
  evidence.speed = evidence.recent_speed;
}

void AdoptWorkTime(Estimate& estimate, double work_time, TimePoint now) {
  estimate.stated_time = std::clamp(std::log(std::max(1e-6, work_time)), -internal::kMaxStatedLog,
                                    internal::kMaxStatedLog);
  estimate.stated_at = now;
}

double StatementTrust(const Estimate& estimate) {
  return std::clamp((estimate.stated_product + internal::kTrustPrior * internal::kInitialTrust) /
                        (estimate.stated_square + internal::kTrustPrior),
                    0.0, 1.0);
}

void Observe(Estimate& estimate,
             Baseline& baseline,
             const Observation& observation,
             TimePoint now) {
  estimate.slots = observation.slots;
  if (observation.stated && observation.stated->work_time) {
    AdoptWorkTime(estimate, *observation.stated->work_time, now);
  }
  const double usual = internal::UsualLogSpeed(estimate, now);
  const double stated = now - estimate.stated_at < internal::kStatedTtl ? estimate.stated_time : 0;
  const std::optional<double> shown = LogSpeed(baseline, observation, now);
  Update(baseline, observation, usual - internal::StatedLogTime(estimate, now), now);
  estimate.variance = baseline.variance;
  if (!shown) {
    return;
  }
  const double bounded =
      usual + std::clamp(*shown - usual, -internal::kMaxDeviation, internal::kMaxDeviation);
  internal::LearnTrust(estimate, stated, usual - bounded);
  const double log_speed = bounded + StatementTrust(estimate) * stated;
  Evidence& own = estimate.own;
  own = Faded(own, now);
  own.observed_at = now;
  const double weight = observation.kind == Kind::kPace ? internal::kPaceWeight : 1;
  internal::Add(own.speed, {weight, log_speed});
  internal::Add(own.recent_speed, {weight, log_speed});
  if (const auto slowdown = LogSlowdown(baseline, observation, now)) {
    internal::LearnLoad(own, observation, *slowdown - StatementTrust(estimate) * stated);
  }
  if (HasChanged(estimate, now)) {
    DropOutdated(own, now);
  }
}

double Speed(const Estimate& estimate, TimePoint now) {
  const double log_speed =
      internal::UsualLogSpeed(estimate, now) - internal::StatedLogTime(estimate, now);
  return std::exp(std::clamp(log_speed, -internal::kMaxLogSpeed, internal::kMaxLogSpeed));
}

double EvidenceWeight(const Estimate& estimate, TimePoint now) {
  return internal::Merged(estimate, now).speed.weight;
}

std::optional<int> Limit(const Estimate& estimate, TimePoint now) {
  const Evidence evidence = internal::Merged(estimate, now);
  if (evidence.busy_time.weight < internal::kMinBusyWeight) {
    return std::nullopt;
  }
  WeightedMean idle{internal::kIdlePrior, -internal::UsualLogSpeed(estimate, now)};
  internal::Add(idle, evidence.idle_time);
  const double slowdown = std::exp(evidence.busy_time.value - idle.value);
  if (slowdown < internal::kMinSlowdown) {
    return std::nullopt;
  }
  const double working = evidence.busy_requests / slowdown;
  const double least = std::max(1, estimate.slots / kIdleDivisor);
  return static_cast<int>(std::ceil(std::max(least, internal::kLimitFactor * working)));
}

bool MayExplore(const Estimate& estimate, double draw, TimePoint now) {
  if (draw >= internal::kExploreShare) {
    return false;
  }
  const Evidence evidence = internal::Merged(estimate, now);
  return evidence.observed_at && now - *evidence.observed_at > internal::kExploreAge &&
         Speed(estimate, now) < internal::kExploredSpeed;
}

double Centre(const std::vector<const Estimate*>& estimates, TimePoint now) {
  std::vector<double> speeds;
  for (const Estimate* estimate : estimates) {
    const Evidence evidence = internal::Merged(*estimate, now);
    if (evidence.speed.weight >= internal::kUsualPrior) {
      speeds.push_back(internal::ObservedLogSpeed(evidence, estimate->variance));
    }
  }
  if (speeds.empty()) {
    return 0;
  }
  std::sort(speeds.begin(), speeds.end());
  const std::size_t skipped = speeds.size() / 4;
  double sum = 0;
  for (std::size_t index = skipped; index < speeds.size() - skipped; ++index) {
    sum += speeds[index];
  }
  return sum / static_cast<double>(speeds.size() - 2 * skipped);
}

}  // namespace snipeturn::capacity
