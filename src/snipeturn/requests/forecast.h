#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "snipeturn/requests/event_scope.h"

namespace snipeturn::internal {

/// @brief Tokens that a request is expected to hold in the engine's memory.
/// @param state Recent output lengths.
/// @param request The request.
/// @return Tokens of the prompt and the forecast output; 0 for calls to plain services.
[[nodiscard]] std::uint64_t ExpectedTokens(const RequestsState& state, const Request& request);

/// @brief Forecast of the output's length: a high quantile of recent lengths.
/// @param state Recent output lengths.
/// @param request The request.
/// @return Tokens, at most the request's max_tokens.
[[nodiscard]] std::uint64_t ExpectedOutput(const RequestsState& state, const Request& request);

/// @brief Records the length of a complete generation.
void RecordLength(RequestsState& state, const Request& request, std::uint64_t tokens);

/// @brief Records for how long complete work held its slot. Call it before the hold is released.
void RecordHoldTime(EventScope& scope, const Request& request);

/// @brief Forecast of the wait of a request that found no free slot.
/// @param state Open requests and hold times.
/// @param request The waiting request.
/// @return The wait, or nothing when this host runs no comparable work.
[[nodiscard]] std::optional<std::chrono::microseconds> ForecastWait(const RequestsState& state,
                                                                    const Request& request);

}  // namespace snipeturn::internal
