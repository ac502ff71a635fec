#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "snipeturn/base/host.h"
#include "snipeturn/base/time.h"

namespace snipeturn::loop {

/// How a connection ended.
enum class ConnectionEnd : std::uint8_t {
  /// The peer closed the connection in order.
  kClosed,
  /// The connection was reset or failed otherwise.
  kFailed,
  /// The peer doesn't respond any more.
  kTimedOut,
};

/// A TCP connection of the event loop: delivers received bytes to a callback and buffers output.
///
/// Detects an unreachable peer by keep-alive probes and by a time limit on unacknowledged bytes,
/// which CheckAcknowledgements() extends for a peer that responds but doesn't read.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  struct Handlers {
    /// Receives bytes; they are valid only during the call.
    std::function<void(std::string_view)> on_bytes;
    std::function<void(ConnectionEnd, const std::string& reason)> on_end;
    /// Called when the output buffer is empty again, also if that closes the connection; optional.
    std::function<void()> on_flushed;
  };

  explicit Connection(Socket socket);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection();

  /// @brief Sets the options of the connected socket and starts to read.
  void Start(Handlers handlers);

  /// @brief Writes bytes, and buffers those that the socket doesn't accept yet.
  void Write(std::string_view bytes);

  /// @brief Writes bytes like Write(); a large buffer isn't copied if no bytes wait before it.
  void WriteOwned(std::string bytes);

  /// @brief Closes once all bytes are written; bytes that are received until then are still passed
  /// on.
  void CloseAfterWrite();

  /// @brief Closes at once; no handler is called afterwards.
  void Close();

  /// @brief Closes at once by a reset, which also drops what was written and hasn't arrived.
  void Reset();

  /// @brief Ends the output once all bytes are written. What the peer still sends is read, so that
  ///     the system doesn't reset the connection and drop the last bytes, until it ends or `Close`.
  void EndOutputAfterWrite();

  /// @brief Pauses or resumes reading, for back pressure.
  void SetReading(bool is_reading);

  /// @brief Reads what has already come, unless reading is paused.
  void ReadPending();

  /// @brief Extends the time limit on unacknowledged bytes while the peer's host acknowledges
  ///     probes although its receive window is full. To be called several times a second; without
  ///     support by the socket the time limit stays as it is.
  /// @param now Present time.
  void CheckAcknowledgements(TimePoint now);

  /// @brief Lets the kernel deliver the last bytes after `Close` for longer than it waits
  /// otherwise.
  ///     For connections to callers only: bytes for an upstream must not arrive after the caller of
  ///     the request has gone.
  void DeliverAfterClose() noexcept { delivers_after_close_ = true; }

  /// @brief Bounds the bytes that the kernel keeps for a peer that doesn't read.
  ///     For connections to callers: their number isn't bounded by this host's own work.
  void LimitKernelOutput();

  /// @return Bytes that the kernel has received and that weren't read.
  [[nodiscard]] std::size_t ReadUnreadInput();

  /// @return When the peer acknowledged new bytes last, as far as this is known.
  [[nodiscard]] TimePoint latest_progress() const noexcept { return latest_progress_; }
  [[nodiscard]] bool is_open() const noexcept { return is_open_; }
  [[nodiscard]] bool is_reading() const noexcept { return is_reading_; }
  [[nodiscard]] std::size_t unwritten_bytes() const noexcept {
    return output_.size() - output_start_;
  }
  /// @return Bytes that the kernel keeps because the peer hasn't acknowledged them, by the last
  /// call
  ///     of CheckAcknowledgements().
  [[nodiscard]] std::size_t unacknowledged_bytes() const noexcept {
    return static_cast<std::size_t>(written_bytes_ - acknowledged_bytes_);
  }
  /// @return Bytes that the socket has accepted so far.
  [[nodiscard]] std::uint64_t written_bytes() const noexcept { return written_bytes_; }
  [[nodiscard]] Socket& socket() noexcept { return socket_; }

 private:
  void AwaitReadable();
  void ReadAvailable();
  void AwaitWritable();
  void Flush();
  void EndOutput();
  void HandleEnd(ConnectionEnd end, const std::string& reason);
  void RecordProgress(std::uint64_t acknowledged_bytes, TimePoint now);
  void LimitUnacknowledged(std::chrono::milliseconds limit);

  Socket socket_;
  Handlers handlers_;
  std::string output_;
  /// Position of the first unwritten byte. Written bytes are erased seldom, so that a long output
  /// takes linear time.
  std::size_t output_start_{0};
  /// Error of a write, which the next read doesn't report again.
  boost::system::error_code write_error_;
  std::uint64_t written_bytes_{0};
  std::uint64_t acknowledged_bytes_{0};
  /// The last acknowledgement of new bytes came in this interval.
  TimePoint earliest_progress_;
  TimePoint latest_progress_;
  TimePoint checked_at_;
  bool is_limit_extended_{false};
  bool delivers_after_close_{false};
  bool is_open_{true};
  bool is_reading_{true};
  bool awaits_readable_{false};
  bool awaits_writable_{false};
  bool closes_after_write_{false};
  bool ends_output_after_write_{false};
};

}  // namespace snipeturn::loop
