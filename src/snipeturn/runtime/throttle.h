#pragma once

#include <atomic>
#include <chrono>

#include "snipeturn/runtime/clock.h"

namespace snipeturn {

/// Limits one kind of log line to one per second, so that a malicious or failing peer can't flood
/// the log. Counters still count every occurrence. Thread-safe.
class Throttle {
 public:
  /// @brief Checks whether a line may be written now.
  /// @return True at most once per second.
  [[nodiscard]] bool Allow() noexcept {
    const auto now = ReadMonotonic().time_since_epoch().count();
    auto next = next_.load();
    return now >= next && next_.compare_exchange_strong(next, now + kInterval.count());
  }

 private:
  static constexpr std::chrono::microseconds kInterval{1000000};
  std::atomic<std::chrono::microseconds::rep> next_{0};
};

}  // namespace snipeturn
