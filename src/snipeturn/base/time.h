#pragma once

#include <chrono>

#include "snipeturn/base/fwd.h"

namespace snipeturn {

/// Clock of the reducer. It has no now(), so that the reducer can't read the time itself: the
/// runtime and the tests pass time points in.
struct MonotonicClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
};

using TimePoint = MonotonicClock::time_point;
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// The time at which an event is handled.
struct Now {
  /// Monotonic within a process; not comparable between hosts.
  TimePoint monotonic{};
  /// Comparable between hosts within the allowed clock skew.
  WallTime wall{};
};

/// @brief Rounds a duration down to whole milliseconds.
/// @param duration Any duration.
/// @return The duration in milliseconds.
template <typename Rep, typename Period>
[[nodiscard]] constexpr std::chrono::milliseconds ToMilliseconds(
    std::chrono::duration<Rep, Period> duration) noexcept {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace snipeturn
