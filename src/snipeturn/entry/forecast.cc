#include "snipeturn/entry/forecast.h"

#include <algorithm>
#include <cmath>

namespace snipeturn::entry {
namespace internal {
namespace {

/// Share of the remaining output that is reserved. In steady state the running generations are
/// spread evenly over their length, so on average half of the remaining output is in memory; the
/// rest is a reserve.
constexpr double kRemainingOutputShare = 0.6;
/// Prior variance of log(length) and of log(length / estimate): the lengths of generated responses
/// spread by about a factor of e.
constexpr double kPriorVariance = 1.0;
/// Number of observed responses that have the same weight as the prior.
constexpr double kPriorWeight = 8;
/// Forecast without an estimate or earlier responses.
constexpr double kDefaultOutputTokens = 256;
/// Factor for the weight of earlier responses when one is added, so that the model follows the
/// load.
constexpr double kDecay = 0.99;

/// Far above what engines generate; keeps a malicious estimate within the range of integers.
constexpr double kMaxOutputTokens = 1e12;
/// Standard deviations above the mean that one in twenty responses exceeds.
constexpr double kBoundDeviations = 1.65;

double Variance(double count, double sum, double square_sum) noexcept {
  if (count <= 0) {
    return kPriorVariance;
  }
  const double mean = sum / count;
  const double spread = std::max(0.0, square_sum - count * mean * mean);
  return (spread + kPriorWeight * kPriorVariance) / (count + kPriorWeight);
}

/// Normal distribution of the logarithm of a response's tokens.
struct LogLength {
  double mean{0};
  double variance{0};
};

LogLength EstimateLogLength(const LengthModel& model, std::uint64_t hint) noexcept {
  const bool has_past = model.count >= 1;
  const double past_mean = has_past ? model.sum / model.count : std::log(kDefaultOutputTokens);
  const double past_variance = Variance(model.count, model.sum, model.square_sum);
  if (hint == 0) {
    return {past_mean, past_variance};
  }
  const double bias =
      model.hint_count >= 1 ? model.hint_sum / (model.hint_count + kPriorWeight) : 0;
  const double estimate = std::log(static_cast<double>(hint)) + bias;
  const double hint_variance = Variance(model.hint_count, model.hint_sum, model.hint_square_sum);
  const double weight = has_past ? past_variance / (past_variance + hint_variance) : 1.0;
  return {weight * estimate + (1 - weight) * past_mean, weight * hint_variance};
}

std::uint64_t ToTokens(double log_length, std::uint64_t max_tokens) noexcept {
  const auto tokens =
      static_cast<std::uint64_t>(std::clamp(std::exp(log_length), 1.0, kMaxOutputTokens));
  return max_tokens > 0 ? std::min(tokens, max_tokens) : tokens;
}

}  // namespace
}  // namespace internal

void RecordOutputLength(LengthModel& model, std::uint64_t tokens, std::uint64_t hint) noexcept {
  const double length = std::log(static_cast<double>(std::max<std::uint64_t>(1, tokens)));
  model.count = model.count * internal::kDecay + 1;
  model.sum = model.sum * internal::kDecay + length;
  model.square_sum = model.square_sum * internal::kDecay + length * length;
  if (hint > 0) {
    const double error = length - std::log(static_cast<double>(hint));
    model.hint_count = model.hint_count * internal::kDecay + 1;
    model.hint_sum = model.hint_sum * internal::kDecay + error;
    model.hint_square_sum = model.hint_square_sum * internal::kDecay + error * error;
  }
}

std::uint64_t ForecastOutput(const LengthModel& model,
                             std::uint64_t hint,
                             std::uint64_t max_tokens) noexcept {
  return internal::ToTokens(internal::EstimateLogLength(model, hint).mean, max_tokens);
}

std::uint64_t BoundOutput(const LengthModel& model, std::uint64_t hint) noexcept {
  const internal::LogLength length = internal::EstimateLogLength(model, hint);
  return internal::ToTokens(length.mean + internal::kBoundDeviations * std::sqrt(length.variance),
                            0);
}

std::uint64_t ReservedTokens(std::uint64_t prompt_tokens,
                             std::uint64_t produced_tokens,
                             std::uint64_t expected_tokens) noexcept {
  const std::uint64_t remaining_tokens =
      expected_tokens > produced_tokens ? expected_tokens - produced_tokens : 0;
  return prompt_tokens + produced_tokens +
         static_cast<std::uint64_t>(static_cast<double>(remaining_tokens) *
                                    internal::kRemainingOutputShare);
}

}  // namespace snipeturn::entry
