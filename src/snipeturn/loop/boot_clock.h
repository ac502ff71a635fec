#pragma once

#include <ctime>

#include "snipeturn/base/time.h"

namespace snipeturn::loop {

/// @brief Reads the clock that counts also the time in which the host stood still, so that leases
///     and idle times run on while a machine is suspended.
/// @return The time since the machine's start.
[[nodiscard]] inline TimePoint BootTime() noexcept {
  timespec time{};
  static_cast<void>(::clock_gettime(CLOCK_BOOTTIME, &time));
  return TimePoint(std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

}  // namespace snipeturn::loop
