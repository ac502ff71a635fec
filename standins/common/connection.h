#pragma once

#include <atomic>
#include <chrono>
#include <mutex>

namespace snipeturn::standin {

/// A client's TCP connection and the faults injected into it.
class Connection {
 public:
  using Clock = std::chrono::steady_clock;

  /// @brief Wraps an open socket.
  /// @param socket The descriptor; not owned, the server closes it.
  explicit Connection(int socket) noexcept;

  /// Shuts both directions down; the client sees the end of the connection.
  void Cut() noexcept;

  /// Blocks all further writes while the connection stays open.
  void Silence() noexcept;

  /// @brief Blocks writes for a time.
  /// @param time The time from now on.
  void Stall(std::chrono::milliseconds time) noexcept;

  /// Records that the server closes the socket, after which its descriptor must not be used.
  void MarkClosed() noexcept;

  /// @brief Waits until no injected fault blocks writes.
  /// @return False when the connection was closed meanwhile.
  [[nodiscard]] bool WaitUntilWritable() const;

  /// Returns whether neither side has closed the connection.
  [[nodiscard]] bool is_open() const noexcept;

 private:
  mutable std::mutex mutex_;
  int socket_;
  bool closed_{false};
  std::atomic<bool> silent_{false};
  std::atomic<Clock::rep> stalled_until_{0};
};

}  // namespace snipeturn::standin
