#pragma once

#include <chrono>
#include <optional>

#include "snipeturn/base/time.h"
#include "snipeturn/entry/demand.h"
#include "snipeturn/entry/fwd.h"

namespace snipeturn::entry {

/// @brief Forecasts how long a request waits for capacity of a service.
/// @param ahead Requests of all hosts that get capacity before it.
/// @param sends_per_second Rate at which capacity was freed lately: requests of all hosts that got
///     it.
/// @return The time; none if too little was freed lately for a forecast.
[[nodiscard]] std::optional<std::chrono::milliseconds> ForecastWait(double ahead,
                                                                    double sends_per_second);

/// @brief Estimates how many requests of all hosts get capacity before a request: those of this
///     host that must start before it, and as large a part of the others'.
[[nodiscard]] double RequestsAhead(const State& state,
                                   const Request& request,
                                   const Demand& others,
                                   TimePoint now);

/// @brief Forecasts the wait of a request that has found no room at a contended service.
/// @return The time; none without a forecast, or if the service isn't contended.
[[nodiscard]] std::optional<std::chrono::milliseconds> ForecastContendedWait(const State& state,
                                                                             const Request& request,
                                                                             TimePoint now);

/// @brief Retry-After of a request that is refused since capacity comes too late for it: after the
///     forecast wait, spread over half of it by the request's id, so that the requests refused
///     together don't return together.
[[nodiscard]] std::chrono::milliseconds RetryAfterWait(const Request& request,
                                                       std::chrono::milliseconds wait,
                                                       TimePoint now);

}  // namespace snipeturn::entry
