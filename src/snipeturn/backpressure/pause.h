#pragma once

#include <chrono>
#include <optional>

#include "snipeturn/base/time.h"

namespace snipeturn::backpressure {

/// The time for which an upstream wants no request from this host, and the return to it afterwards.
struct Pause {
  TimePoint until{};
  /// First request since the end of the pause.
  std::optional<TimePoint> resumed_at;
  /// When the last request was due; the next one is due an interval later.
  TimePoint last_sent_at{};
};

/// @brief Longest pause that a response can start. A statement may be wrong, and an upstream that
///     gets no request can't correct it.
inline constexpr std::chrono::minutes kMaxPause{5};

/// @brief Begins a pause, or extends one. Of several pauses the one that ends last holds.
/// @param pause The pause.
/// @param duration What the upstream asked for.
/// @param spread This host's place, from 0 to 1, in the time over which hosts return.
/// @param now When the response arrived.
/// @return True if the end of the pause changes.
bool AdoptPause(Pause& pause,
                std::chrono::milliseconds duration,
                double spread,
                TimePoint now) noexcept;

/// @brief Tells whether the upstream wants no request now.
[[nodiscard]] bool IsPaused(const Pause& pause, TimePoint now) noexcept;

/// @brief Earliest time at which this host may send the next request. After a pause, the time
///     between requests begins with some 400 ms and becomes shorter within about two seconds.
/// @return `now` if it may be sent at once.
[[nodiscard]] TimePoint NextStart(const Pause& pause, TimePoint now) noexcept;

/// @brief Time from the end of a pause until a host has sent a number of requests.
[[nodiscard]] std::chrono::microseconds RampTime(double requests) noexcept;

/// @brief Records a request to the upstream.
void RecordStart(Pause& pause, TimePoint now) noexcept;

}  // namespace snipeturn::backpressure
