#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "snipeturn/base/time.h"

namespace snipeturn {

/// Snapshot of a pool's usage.
struct PoolUsage {
  std::size_t running{0};
  std::size_t queued{0};
  /// Number of jobs refused since the pool was created.
  std::uint64_t refused{0};
};

/// Thread pool for blocking exchanges. Threads are started on demand up to a limit and end after
/// 10 s without work. Thread-safe.
class WorkerPool {
 public:
  using Job = std::function<void()>;

  /// @brief Creates a pool without threads.
  /// @param name Label in the metrics.
  /// @param max_threads Maximum number of concurrently running jobs.
  /// @param max_queue Maximum number of jobs that wait for a thread.
  WorkerPool(std::string name, std::size_t max_threads, std::size_t max_queue);
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;
  /// Drops queued jobs and waits for running ones.
  ~WorkerPool();

  /// @brief Queues a job, which runs as soon as a thread is free.
  /// @param job The job.
  /// @return False when the pool is full or stopping; the job is then dropped.
  [[nodiscard]] bool Submit(Job job);

  [[nodiscard]] const std::string& name() const noexcept { return name_; }
  [[nodiscard]] PoolUsage usage() const;
  /// @brief Returns when the oldest running job started, or nothing when none runs.
  [[nodiscard]] std::optional<TimePoint> busy_since() const;

 private:
  struct Shared;
  static void RunJobs(const std::shared_ptr<Shared>& shared);

  std::string name_;
  std::size_t max_threads_;
  std::size_t max_queue_;
  std::shared_ptr<Shared> shared_;
};

}  // namespace snipeturn
