#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>

#include "snipeturn/base/time.h"
#include "snipeturn/reducer/event.h"

namespace snipeturn {

/// Thread-safe queue of events for the reducer's thread.
class EventQueue {
 public:
  /// @brief Creates an empty queue.
  /// @param soft_limit Number of queued events from which PostToken() blocks.
  explicit EventQueue(std::size_t soft_limit = 65536) : soft_limit_(soft_limit) {}

  /// Adds an event without blocking. The number of such events is limited by the thread pools that
  /// produce them.
  void Post(Event event);

  /// Adds a token. Blocks while the queue is at its soft limit, which applies backpressure to the
  /// upstream.
  void PostToken(AttemptToken token);

  /// @brief Removes the oldest event.
  /// @param due Time at which to stop waiting; without it, the call waits until an event arrives.
  /// @return The event, or nothing when `due` has passed or the queue is closed and empty.
  [[nodiscard]] std::optional<Event> Pop(std::optional<TimePoint> due);

  /// @brief Returns since when events have waited without a Pop().
  /// @return The time of the last Pop() or of the arrival of the oldest event, whichever is later;
  /// nothing when the queue is empty.
  [[nodiscard]] std::optional<TimePoint> waiting_since() const;

  /// Wakes all waiting threads; later calls no longer block.
  void Close();

 private:
  /// Adds an event; the caller holds the lock.
  void Add(Event event);

  std::size_t soft_limit_;
  mutable std::mutex mutex_;
  std::condition_variable filled_;
  std::condition_variable drained_;
  std::deque<Event> events_;
  TimePoint waiting_since_{};
  bool is_closed_{false};
};

}  // namespace snipeturn
