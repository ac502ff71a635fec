#pragma once

#include <ctime>

#include "snipeturn/base/time.h"

namespace snipeturn::loop {

/// @brief Reads CLOCK_BOOTTIME. It also counts the time in which the host is suspended, so that
///     leases and idle times expire meanwhile.
/// @return The time since the host was booted.
[[nodiscard]] inline TimePoint BootTime() noexcept {
  timespec time{};
  static_cast<void>(::clock_gettime(CLOCK_BOOTTIME, &time));
  return TimePoint(std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

}  // namespace snipeturn::loop
