#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "snipeturn/base/log_event.h"
#include "snipeturn/base/time.h"
#include "snipeturn/runtime/pollers.h"

namespace snipeturn {

/// A part of the process whose progress is watched.
struct WatchedPart {
  std::string name;
  /// Longest time that one piece of the part's work may take.
  std::chrono::milliseconds bound;
  /// Returns when the part began the oldest piece of work that has not ended, or nothing.
  std::function<std::optional<TimePoint>()> busy_since;
};

/// What the watch has reported so far.
struct StallState {
  std::optional<TimePoint> checked_at;
  /// Start of the piece of work for which a part was reported, by the part's name.
  std::map<std::string, TimePoint> reported;
};

/// Interval of the checks.
inline constexpr std::chrono::milliseconds kStallCheckInterval{500};

/// @brief Finds out whether the whole process was held up (stopped, or without processor time), and
/// which parts take longer than their bounds.
/// @param state What was reported before.
/// @param parts The parts.
/// @param now The current time.
/// @return One line when the process was held up; else one line for each part that has exceeded its
/// bound since the last check, and one for each that goes on again.
[[nodiscard]] std::vector<EmitLog> FindStalls(StallState& state,
                                              const std::vector<WatchedPart>& parts,
                                              TimePoint now);

/// Calls FindStalls() at its interval on a thread of its own, which a stalled part can't hold up.
class StallWatch {
 public:
  /// @param parts The parts.
  /// @param write Writes a log line without blocking.
  StallWatch(std::vector<WatchedPart> parts, std::function<void(const EmitLog&)> write);
  StallWatch(const StallWatch&) = delete;
  StallWatch& operator=(const StallWatch&) = delete;
  ~StallWatch();

 private:
  std::vector<WatchedPart> parts_;
  std::function<void(const EmitLog&)> write_;
  StopSignal stop_;
  std::thread thread_;
};

}  // namespace snipeturn
