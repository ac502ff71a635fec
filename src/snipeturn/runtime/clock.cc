#include "snipeturn/runtime/clock.h"

#include <ctime>

namespace snipeturn {

TimePoint ReadMonotonic() noexcept {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint{std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec})};
}

Now ReadNow() noexcept {
  return Now{ReadMonotonic(), std::chrono::time_point_cast<std::chrono::milliseconds>(
                                  std::chrono::system_clock::now())};
}

}  // namespace snipeturn
