#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "snipeturn/base/host.h"
#include "snipeturn/base/time.h"
#include "snipeturn/reducer/platform.h"
#include "snipeturn/runtime/event_queue.h"
#include "snipeturn/runtime/worker_pool.h"

namespace snipeturn {

/// A stop flag that threads can wait for. Thread-safe.
class StopSignal {
 public:
  /// Sets the flag and wakes all waiting threads.
  void Set();
  [[nodiscard]] bool is_set() const;
  /// @brief Waits until the flag is set.
  /// @param time Maximum time to wait.
  /// @return True when the flag is set, false on timeout.
  bool WaitFor(std::chrono::microseconds time);

 private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool is_set_{false};
};

/// Start times of the exchanges that are in progress, by name. Thread-safe.
class ExchangeTimes {
 public:
  void Begin(const std::string& name);
  void End(const std::string& name);
  /// @brief Returns the start of the oldest exchange, or nothing when none is in progress.
  [[nodiscard]] std::optional<TimePoint> oldest() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, TimePoint> began_;
};

/// Called when a stream of the log becomes unreachable or reachable again.
using LogStateHandler =
    std::function<void(const std::string& stream, bool is_reachable, const std::string& reason)>;

/// Polls the streams of the platform's log, with one thread per stream.
class LogPollers {
 public:
  LogPollers(Endpoint log,
             std::vector<std::string> streams,
             EventQueue& events,
             LogStateHandler on_state);
  LogPollers(const LogPollers&) = delete;
  LogPollers& operator=(const LogPollers&) = delete;
  ~LogPollers();

  /// @brief Returns when the oldest read in progress began, or nothing.
  [[nodiscard]] std::optional<TimePoint> busy_since() const { return reads_.oldest(); }

 private:
  void Poll(const std::string& stream);

  Endpoint log_;
  EventQueue& events_;
  LogStateHandler on_state_;
  ExchangeTimes reads_;
  StopSignal stop_;
  std::vector<std::thread> threads_;
};

/// Renews this host's registration and reads the host list once a second.
class HostListPoller {
 public:
  /// @param log Address of the log.
  /// @param self Returns the current description of this host for its registration.
  /// @param events Receives each host list.
  HostListPoller(Endpoint log, std::function<ListedHost()> self, EventQueue& events);
  HostListPoller(const HostListPoller&) = delete;
  HostListPoller& operator=(const HostListPoller&) = delete;
  ~HostListPoller();

  /// @brief Returns when the renewal and read in progress began, or nothing.
  [[nodiscard]] std::optional<TimePoint> busy_since() const { return exchange_.oldest(); }

 private:
  void Poll();

  Endpoint log_;
  std::function<ListedHost()> self_;
  EventQueue& events_;
  ExchangeTimes exchange_;
  StopSignal stop_;
  std::thread thread_;
};

/// An upstream whose load report is polled.
using LoadTarget = std::pair<UpstreamName, Endpoint>;

/// Polls the load report of each upstream once a second, with at most one read in flight per
/// upstream.
class LoadPollers {
 public:
  LoadPollers(std::size_t max_threads, EventQueue& events);
  LoadPollers(const LoadPollers&) = delete;
  LoadPollers& operator=(const LoadPollers&) = delete;
  ~LoadPollers();

  /// Replaces the set of polled upstreams.
  void SetTargets(const std::vector<LoadTarget>& targets);

  [[nodiscard]] const WorkerPool& pool() const noexcept { return pool_; }

 private:
  struct Target {
    Endpoint endpoint;
    TimePoint due{};
    bool is_reading{false};
  };

  void Schedule();
  /// Starts the reads that are due.
  /// @return The time until the next read is due, 50 ms at most.
  [[nodiscard]] std::chrono::microseconds StartDue();
  void Read(const LoadTarget& target);

  EventQueue& events_;
  std::mutex mutex_;
  std::map<UpstreamName, Target> targets_;
  StopSignal stop_;
  // Declared last, so that their threads end before the members they use are destroyed.
  WorkerPool pool_;
  std::thread thread_;
};

}  // namespace snipeturn
