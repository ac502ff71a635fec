#pragma once

#include <cstdint>

#include "snipeturn/entry/fwd.h"

namespace snipeturn::entry {

/// Statistics of the output lengths of a route's completed responses: sums over logarithms of
/// tokens.
struct LengthModel {
  double count{0};
  double sum{0};
  double square_sum{0};
  double hint_count{0};
  /// Sums of log(length / estimate).
  double hint_sum{0};
  double hint_square_sum{0};
};

/// @brief Adds the length of a complete response to the model.
/// @param model The route's model.
/// @param tokens Tokens of the response.
/// @param hint The caller's estimate in tokens, or 0.
void RecordOutputLength(LengthModel& model, std::uint64_t tokens, std::uint64_t hint) noexcept;

/// @brief Forecasts the tokens of a response.
///
/// Averages the caller's estimate and the mean of earlier responses, each weighted by its inverse
/// variance. The calculation is on logarithms, since both errors are multiplicative.
/// @param model The route's model.
/// @param hint The caller's estimate in tokens, or 0.
/// @param max_tokens The caller's upper bound, or 0 when it set none.
/// @return Tokens, at least 1.
[[nodiscard]] std::uint64_t ForecastOutput(const LengthModel& model,
                                           std::uint64_t hint,
                                           std::uint64_t max_tokens) noexcept;

/// @brief Bounds the tokens of a response whose caller set no maximum: about one in twenty is
/// longer.
/// @param model The route's model.
/// @param hint The caller's estimate in tokens, or 0.
/// @return Tokens, at least 1.
[[nodiscard]] std::uint64_t BoundOutput(const LengthModel& model, std::uint64_t hint) noexcept;

/// @brief Engine memory to reserve for a request that runs together with others.
///
/// Generations end at different times, so the peak of their total is below the sum of their peaks.
/// Only a share of the remaining output is therefore reserved.
/// @param prompt_tokens Tokens of the prompt.
/// @param produced_tokens Tokens generated so far.
/// @param expected_tokens Forecast of the whole output.
/// @return Tokens.
[[nodiscard]] std::uint64_t ReservedTokens(std::uint64_t prompt_tokens,
                                           std::uint64_t produced_tokens,
                                           std::uint64_t expected_tokens) noexcept;

}  // namespace snipeturn::entry
