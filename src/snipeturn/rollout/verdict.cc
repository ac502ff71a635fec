#include "snipeturn/rollout/verdict.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace snipeturn::rollout {
namespace {

/// Failure rates above the usual one that are looked for; each is as likely as the others. They are
/// closer together than `kFaultyGroupRates`, so that a version whose rate lies between two of them
/// isn't taken for failing upstreams.
constexpr std::array kExcessRates{0.05, 0.10, 0.20, 0.30, 0.45, 0.60, 0.95};
/// Least usual failure rate that is assumed. Keeps a few failures from weighing too much.
constexpr double kMinUsualRate = 0.005;
/// Responses of the minimum rate that an estimate of the usual rate starts with.
constexpr double kPriorResponses = 20;
/// Probability that a group has upstreams that fail for a reason of their own: that of the old
/// version's groups, within these limits.
constexpr double kMinFaultyShare = 0.08;
constexpr double kMaxFaultyShare = 0.5;
/// Groups that the estimate starts with, one of them faulty. With fewer, the few groups of a small
/// service would seem to fail often although none does.
constexpr double kPriorGroups = 9;
/// Rates at which such a group fails. The low ones are those of groups in which one of several
/// upstreams fails. Before any is seen, each is as likely as the others.
constexpr std::array kFaultyGroupRates{0.08, 0.15, 0.25, 0.4, 0.6, 0.9};
/// A group of the old version has faulty upstreams if its failures exceed those of the median group
/// by this number of standard deviations.
constexpr double kOutlierDeviations = 3;

/// A target whose times are longer by less than this factor isn't slow: a few slow upstreams or
/// fuller ones have this effect.
constexpr double kToleratedSlowdown = 1.5;
/// Fewest times of the target that show that it is slow.
constexpr double kMinTimes = 10;
/// Least standard deviation of the logarithm of a time that is assumed.
constexpr double kMinDeviation = 0.3;

struct Sample {
  double responses{0};
  double failures{0};
};

double Rate(const Sample& sample) noexcept {
  return sample.responses > 0 ? sample.failures / sample.responses : 0;
}

Sample ToSample(const GroupCounts& counts) noexcept {
  return {static_cast<double>(counts.responses), static_cast<double>(counts.failures)};
}

using Groups = std::array<GroupCounts, kUpstreamGroups>;

using RateWeights = std::array<double, kFaultyGroupRates.size()>;

/// What is usual on a route.
struct Usual {
  /// Failure rate of sound upstreams, estimated high rather than low.
  double rate{kMinUsualRate};
  /// Share of the groups that have upstreams with a fault of their own.
  double faulty_share{kMinFaultyShare};
  /// How often such groups fail at each of `kFaultyGroupRates`: the old version's groups, and one
  /// more that is spread over all rates.
  RateWeights rate_weights{};
};

/// Index of the rate that is closest to a failure rate, by their ratio.
std::size_t NearestRate(double rate) {
  const auto distance = [rate](double known) { return std::abs(std::log(known / rate)); };
  const auto nearest =
      std::min_element(kFaultyGroupRates.begin(), kFaultyGroupRates.end(),
                       [&](double left, double right) { return distance(left) < distance(right); });
  return static_cast<std::size_t>(nearest - kFaultyGroupRates.begin());
}

Usual EstimateUsual(const EvidenceRow* row) {
  std::vector<Sample> samples;
  for (std::size_t group = 0; row != nullptr && group < kUpstreamGroups; ++group) {
    if (row->groups.at(group).responses > 0) {
      samples.push_back(ToSample(row->groups.at(group)));
    }
  }
  Usual usual;
  usual.rate_weights.fill(1.0 / static_cast<double>(kFaultyGroupRates.size()));
  if (samples.empty()) {
    return usual;
  }
  std::sort(samples.begin(), samples.end(), [](const Sample& left, const Sample& right) {
    return left.failures * right.responses < right.failures * left.responses;
  });
  const double median = std::max(kMinUsualRate, Rate(samples[(samples.size() - 1) / 2]));
  Sample sound{kPriorResponses, kPriorResponses * kMinUsualRate};
  double faulty = 1;
  for (const Sample& sample : samples) {
    const double expected = median * sample.responses;
    if (sample.failures > expected + kOutlierDeviations * std::sqrt(expected) + 1) {
      faulty += 1;
      usual.rate_weights.at(NearestRate(Rate(sample))) += 1;
    } else {
      sound.responses += sample.responses;
      sound.failures += sample.failures;
    }
  }
  const double rate = std::max(kMinUsualRate, Rate(sound));
  usual.rate = std::min(0.9, rate + std::sqrt(rate * (1 - rate) / sound.responses));
  usual.faulty_share = std::clamp(faulty / (static_cast<double>(samples.size()) + kPriorGroups),
                                  kMinFaultyShare, kMaxFaultyShare);
  return usual;
}

double LogLikelihood(const Sample& sample, double rate) noexcept {
  return sample.failures * std::log(rate) +
         (sample.responses - sample.failures) * std::log(1 - rate);
}

/// Logarithm of a weighted mean of numbers that are given by their logarithms.
template <std::size_t kCount>
double LogMean(const std::array<double, kCount>& logs, const std::array<double, kCount>& weights) {
  const double highest = *std::max_element(logs.begin(), logs.end());
  double sum = 0;
  double total = 0;
  for (std::size_t index = 0; index < kCount; ++index) {
    sum += weights.at(index) * std::exp(logs.at(index) - highest);
    total += weights.at(index);
  }
  return highest + std::log(sum / total);
}

/// The target's groups on a route, and what is usual there.
struct RouteCounts {
  const Groups* groups{nullptr};
  Usual usual;
};

/// Logarithm of the likelihood of a group on all routes if the version fails at a rate above the
/// usual one. Its upstreams may have a fault of their own, which shows on all routes alike.
double GroupLikelihood(const std::vector<RouteCounts>& routes, std::size_t group, double excess) {
  double sound = 0;
  double faulty_share = kMinFaultyShare;
  std::array<double, kFaultyGroupRates.size()> faulty{};
  RateWeights weights{};
  for (const RouteCounts& route : routes) {
    const Sample sample = ToSample(route.groups->at(group));
    const double rate = std::min(0.95, route.usual.rate + excess);
    sound += LogLikelihood(sample, rate);
    for (std::size_t index = 0; index < faulty.size(); ++index) {
      const double faulty_rate = rate + (1 - rate) * kFaultyGroupRates.at(index);
      faulty.at(index) += LogLikelihood(sample, std::min(0.995, faulty_rate));
      weights.at(index) += route.usual.rate_weights.at(index);
    }
    faulty_share = std::max(faulty_share, route.usual.faulty_share);
  }
  sound += std::log(1 - faulty_share);
  const double other = std::log(faulty_share) + LogMean(faulty, weights);
  const double highest = std::max(sound, other);
  return highest + std::log(std::exp(sound - highest) + std::exp(other - highest));
}

/// Logarithm of the likelihood ratio of a bad version. A group of failing upstreams adds little, as
/// it is likely in a sound version, too; the same rate in all groups adds much.
double ScoreFailures(const std::vector<RouteCounts>& routes) {
  std::array<double, kExcessRates.size()> scores{};
  for (std::size_t group = 0; group < kUpstreamGroups; ++group) {
    const bool has_responses = std::any_of(
        routes.begin(), routes.end(),
        [&](const RouteCounts& route) { return route.groups->at(group).responses > 0; });
    if (!has_responses) {
      continue;
    }
    const double usual = GroupLikelihood(routes, group, 0);
    for (std::size_t index = 0; index < scores.size(); ++index) {
      scores.at(index) += GroupLikelihood(routes, group, kExcessRates.at(index)) - usual;
    }
  }
  std::array<double, kExcessRates.size()> weights{};
  weights.fill(1);
  return LogMean(scores, weights);
}

double Mean(const LogTimes& times) noexcept {
  return times.sum / static_cast<double>(times.count);
}

double Variance(const LogTimes& times) noexcept {
  const double mean = Mean(times);
  return std::max(0.0, times.sum_of_squares / static_cast<double>(times.count) - mean * mean);
}

/// Comparison of mean logarithms of times: the difference, and the inverse of its variance.
struct Difference {
  double mean{0};
  double precision{0};
  double target_count{0};
};

Difference Compare(const LogTimes& old_times, const LogTimes& target_times) {
  Difference difference;
  const auto old_count = static_cast<double>(old_times.count);
  difference.target_count = static_cast<double>(target_times.count);
  if (difference.target_count < 1 || old_count < kMinTimes) {
    return difference;
  }
  difference.mean = Mean(target_times) - Mean(old_times);
  const double variance =
      std::max({kMinDeviation * kMinDeviation, Variance(old_times), Variance(target_times)});
  difference.precision = 1 / (variance * (1 / old_count + 1 / difference.target_count));
  return difference;
}

/// Adds the difference on another route, weighted by its precision.
void AddDifference(Difference& sum, const Difference& difference) noexcept {
  if (difference.precision <= 0) {
    return;
  }
  const double precision = sum.precision + difference.precision;
  sum.mean = (sum.mean * sum.precision + difference.mean * difference.precision) / precision;
  sum.precision = precision;
  sum.target_count += difference.target_count;
}

/// Logarithm of the likelihood ratio of a slow target, less the price of looking again after each
/// response.
double ScoreSlowness(const Difference& difference) {
  const double excess = difference.mean - std::log(kToleratedSlowdown);
  if (excess <= 0 || difference.target_count < kMinTimes) {
    return 0;
  }
  return std::max(
      0.0, excess * excess * difference.precision / 2 - std::log(difference.target_count) / 2);
}

const EvidenceRow* Find(const MergedEvidence& evidence, const std::string& route, Side side) {
  const auto found = evidence.rows.find({route, side});
  return found == evidence.rows.end() ? nullptr : &found->second;
}

void CountGroups(Judgement& judgement, const Groups& groups) {
  judgement.target_groups = 0;
  judgement.faulty_groups = 0;
  for (const GroupCounts& counts : groups) {
    judgement.target_groups += counts.responses > 0 ? 1 : 0;
    judgement.faulty_groups += counts.failures > 0 ? 1 : 0;
  }
}

/// Keeps the comparison that speaks most against the target.
void Consider(Judgement& worst, const Judgement& judgement) {
  if (judgement.score > worst.score || worst.target_counts.responses == 0) {
    worst = judgement;
  }
}

void ConsiderTimes(Judgement& worst,
                   Judgement judgement,
                   Fault fault,
                   const Difference& difference) {
  judgement.fault = fault;
  judgement.score = ScoreSlowness(difference);
  judgement.slowdown = std::exp(difference.mean);
  if (judgement.score > 0) {
    Consider(worst, judgement);
  }
}

}  // namespace

Judgement Judge(const MergedEvidence& evidence) {
  Judgement worst;
  Judgement total;
  std::vector<RouteCounts> routes;
  Groups total_groups{};
  Difference total_response;
  Difference total_pace;
  for (const auto& [key, target] : evidence.rows) {
    if (target.side != Side::kTarget) {
      continue;
    }
    const EvidenceRow* old_row = Find(evidence, target.route, Side::kOld);
    Judgement judgement;
    judgement.route = target.route;
    judgement.target_counts = Total(target);
    judgement.old_counts = old_row == nullptr ? GroupCounts{} : Total(*old_row);
    CountGroups(judgement, target.groups);
    routes.push_back({&target.groups, EstimateUsual(old_row)});
    judgement.score = ScoreFailures({routes.back()});
    Consider(worst, judgement);
    if (old_row != nullptr) {
      const Difference response = Compare(old_row->response, target.response);
      const Difference pace = Compare(old_row->pace, target.pace);
      ConsiderTimes(worst, judgement, Fault::kSlowResponses, response);
      ConsiderTimes(worst, judgement, Fault::kSlowEvents, pace);
      AddDifference(total_response, response);
      AddDifference(total_pace, pace);
    }
    for (std::size_t group = 0; group < kUpstreamGroups; ++group) {
      total_groups.at(group).responses += target.groups.at(group).responses;
      total_groups.at(group).failures += target.groups.at(group).failures;
    }
    total.target_counts.responses += judgement.target_counts.responses;
    total.target_counts.failures += judgement.target_counts.failures;
    total.old_counts.responses += judgement.old_counts.responses;
    total.old_counts.failures += judgement.old_counts.failures;
  }
  if (total.target_counts.responses > 0) {
    CountGroups(total, total_groups);
    total.score = ScoreFailures(routes);
    Consider(worst, total);
    ConsiderTimes(worst, total, Fault::kSlowResponses, total_response);
    ConsiderTimes(worst, total, Fault::kSlowEvents, total_pace);
  }
  if (worst.score >= kBadScore) {
    worst.verdict = Verdict::kBad;
  } else if (total.target_counts.responses > 0 && worst.score < kSuspectedScore) {
    worst.verdict = Verdict::kGood;
  }
  return worst;
}

}  // namespace snipeturn::rollout
