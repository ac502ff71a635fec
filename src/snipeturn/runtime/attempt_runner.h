#pragma once

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

#include "snipeturn/reducer/attempt.h"
#include "snipeturn/runtime/event_queue.h"
#include "snipeturn/runtime/worker_pool.h"

namespace snipeturn {

/// Runs exchanges with upstreams on worker threads. Streams and calls use separate thread pools, so
/// that stalled streams don't delay calls to plain services such as bookings.
class AttemptRunner {
 public:
  /// @brief Creates a runner without threads.
  /// @param max_streams Maximum number of concurrent streamed exchanges, including abandoned ones
  /// that have not ended yet.
  /// @param max_calls Maximum number of concurrent calls to plain services.
  /// @param events Receives the tokens and the result of each exchange.
  AttemptRunner(std::size_t max_streams, std::size_t max_calls, EventQueue& events);

  /// Starts an exchange. When no thread is free, it ends at once with AttemptResult::kUnsent.
  void Start(const StartAttempt& attempt);

  /// Suppresses all further events of an exchange and closes it when the next data arrives.
  void Abandon(const AbandonAttempt& abandon);

  /// Asks an engine to stop a generation; best effort.
  void Cancel(const CancelGeneration& cancel);

  [[nodiscard]] const WorkerPool& streams() const noexcept { return streams_; }
  [[nodiscard]] const WorkerPool& calls() const noexcept { return calls_; }
  [[nodiscard]] const WorkerPool& cancels() const noexcept { return cancels_; }

 private:
  using Key = std::pair<RequestId, AttemptId>;
  using AbandonFlag = std::shared_ptr<std::atomic<bool>>;

  void Run(const StartAttempt& attempt, const AbandonFlag& abandoned);
  void Unregister(const StartAttempt& attempt);

  EventQueue& events_;
  std::mutex mutex_;
  std::map<Key, AbandonFlag> running_;
  // Declared last, so that their threads end before the members they use are destroyed.
  WorkerPool streams_;
  WorkerPool calls_;
  WorkerPool cancels_;
};

}  // namespace snipeturn
