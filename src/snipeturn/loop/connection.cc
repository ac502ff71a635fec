#include "snipeturn/loop/connection.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <optional>
#include <utility>

#include "snipeturn/loop/boot_clock.h"

namespace snipeturn::loop {
namespace internal {
namespace {

/// Size of the read buffer, which all connections share because one thread runs the loop.
constexpr std::size_t kReadBytes = 65536;
/// Most reads from one connection before other connections are served.
constexpr int kMaxReadsPerWakeup = 4;
/// Idle time before the first TCP keep-alive probe and between probes, and number of unanswered
/// probes that end the connection: an unreachable peer is detected after about three seconds.
constexpr int kKeepAliveProbeSeconds = 1;
constexpr int kKeepAliveProbes = 2;
/// Longest time for which written bytes may stay unacknowledged (TCP_USER_TIMEOUT). The kernel also
/// counts the time in which the peer's receive window is full, and probes the window at its end at
/// the latest.
constexpr std::chrono::milliseconds kMaxUnacknowledged{2500};
/// The same after the connection was closed: the kernel then sends the last bytes, for which no
/// request is kept open.
constexpr std::chrono::milliseconds kMaxUnacknowledgedAfterClose{30000};
/// Time without any acknowledgement after which a peer with a full window is taken for unreachable.
/// Probes of the window may be kMaxUnacknowledged apart.
constexpr std::chrono::milliseconds kMaxSilence{3000};

/// Unsent bytes at which the kernel accepts no more output for a caller. By default it accepts some
/// MB, which count as memory of the host.
constexpr int kMaxUnsentKernelBytes = 131072;
/// Capacity from which an empty output buffer is given back: idle connections keep none.
constexpr std::size_t kMaxIdleCapacity = 16384;

void SetOption(int descriptor, int level, int name, int value) {
  // Errors are ignored: without these options an unreachable peer is only detected later.
  static_cast<void>(::setsockopt(descriptor, level, name, &value, sizeof value));
}

/// Returns the number of bytes in the socket's send buffer that the peer hasn't acknowledged.
std::optional<std::uint64_t> ReadUnacknowledged(int descriptor) {
  int bytes = 0;
  if (::ioctl(descriptor, SIOCOUTQ, &bytes) != 0 || bytes < 0) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(bytes);
}

/// Returns the time since the peer's last acknowledgement, also if it acknowledged no new bytes.
std::optional<std::chrono::milliseconds> ReadSilence(int descriptor) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < sizeof info) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(info.tcpi_last_ack_recv);
}

std::array<char, kReadBytes>& ReadBuffer() {
  static std::array<char, kReadBytes> buffer;
  return buffer;
}

}  // namespace
}  // namespace internal

Connection::Connection(Socket socket) : socket_(std::move(socket)) {}

Connection::~Connection() {
  Close();
}

void Connection::Start(Handlers handlers) {
  handlers_ = std::move(handlers);
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  const int descriptor = socket_.native_handle();
  internal::SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  internal::SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  internal::SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, internal::kKeepAliveProbeSeconds);
  internal::SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, internal::kKeepAliveProbeSeconds);
  internal::SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, internal::kKeepAliveProbes);
  LimitUnacknowledged(internal::kMaxUnacknowledged);
  checked_at_ = earliest_progress_ = latest_progress_ = BootTime();
  AwaitReadable();
  Flush();
}

void Connection::Write(std::string_view bytes) {
  if (!is_open_ || bytes.empty()) {
    return;
  }
  if (output_start_ >= output_.size() / 2) {
    output_.erase(0, std::exchange(output_start_, 0));
  }
  output_.append(bytes.data(), bytes.size());
  Flush();
}

void Connection::WriteOwned(std::string bytes) {
  if (!is_open_ || bytes.empty() || !output_.empty()) {
    Write(bytes);
    return;
  }
  output_ = std::move(bytes);
  Flush();
}

void Connection::CloseAfterWrite() {
  closes_after_write_ = true;
  if (is_open_ && output_.empty()) {
    Close();
  }
}

void Connection::EndOutputAfterWrite() {
  ends_output_after_write_ = true;
  if (is_open_ && output_.empty()) {
    EndOutput();
  }
}

void Connection::EndOutput() {
  boost::system::error_code ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
}

void Connection::Close() {
  if (!is_open_) {
    return;
  }
  is_open_ = false;
  LimitUnacknowledged(delivers_after_close_ ? internal::kMaxUnacknowledgedAfterClose
                                            : internal::kMaxUnacknowledged);
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void Connection::Reset() {
  if (is_open_) {
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    Close();
  }
}

void Connection::CheckAcknowledgements(TimePoint now) {
  if (!is_open_) {
    return;
  }
  // Most connections wait for no acknowledgement, which needs no system call to tell.
  if (acknowledged_bytes_ == written_bytes_ && output_.empty()) {
    RecordProgress(acknowledged_bytes_, now);
    return;
  }
  const int descriptor = socket_.native_handle();
  const auto unacknowledged = internal::ReadUnacknowledged(descriptor);
  if (!unacknowledged || *unacknowledged > written_bytes_) {
    acknowledged_bytes_ = written_bytes_;  // Unknown.
    return;
  }
  const std::uint64_t acknowledged_bytes = written_bytes_ - *unacknowledged;
  if (acknowledged_bytes != acknowledged_bytes_) {
    RecordProgress(acknowledged_bytes, now);
    return;
  }
  checked_at_ = now;
  const auto silence = internal::ReadSilence(descriptor);
  if (!silence || *silence > internal::kMaxSilence || now - *silence <= latest_progress_) {
    return;
  }
  is_limit_extended_ = true;
  LimitUnacknowledged(ToMilliseconds(now - earliest_progress_) + internal::kMaxUnacknowledged);
}

void Connection::RecordProgress(std::uint64_t acknowledged_bytes, TimePoint now) {
  acknowledged_bytes_ = acknowledged_bytes;
  earliest_progress_ = checked_at_;
  latest_progress_ = checked_at_ = now;
  if (is_limit_extended_) {
    is_limit_extended_ = false;
    LimitUnacknowledged(internal::kMaxUnacknowledged);
  }
}

void Connection::LimitUnacknowledged(std::chrono::milliseconds limit) {
  internal::SetOption(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                      static_cast<int>(limit.count()));
}

void Connection::LimitKernelOutput() {
  internal::SetOption(socket_.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
                      internal::kMaxUnsentKernelBytes);
}

std::size_t Connection::ReadUnreadInput() {
  boost::system::error_code error;
  const std::size_t bytes = is_open_ ? socket_.available(error) : 0;
  return error ? 0 : bytes;
}

void Connection::SetReading(bool is_reading) {
  is_reading_ = is_reading;
  if (is_reading_) {
    AwaitReadable();
  }
}

void Connection::AwaitReadable() {
  if (!is_open_ || !is_reading_ || awaits_readable_) {
    return;
  }
  awaits_readable_ = true;
  socket_.async_wait(Socket::wait_read,
                     [self = shared_from_this()](const boost::system::error_code& error) {
                       self->awaits_readable_ = false;
                       if (!error) {
                         self->ReadAvailable();
                       }
                     });
}

void Connection::ReadPending() {
  if (is_open_ && is_reading_) {
    ReadAvailable();
  }
}

void Connection::ReadAvailable() {
  auto& buffer = internal::ReadBuffer();
  for (int reads = 0; reads < internal::kMaxReadsPerWakeup && is_open_ && is_reading_; ++reads) {
    boost::system::error_code error;
    const std::size_t count = socket_.read_some(boost::asio::buffer(buffer), error);
    if (error == boost::asio::error::would_block) {
      break;
    }
    if (error == boost::asio::error::eof && write_error_) {
      error = write_error_;
    }
    if (error) {
      HandleEnd(error == boost::asio::error::eof         ? ConnectionEnd::kClosed
                : error == boost::asio::error::timed_out ? ConnectionEnd::kTimedOut
                                                         : ConnectionEnd::kFailed,
                error.message());
      return;
    }
    handlers_.on_bytes({buffer.data(), count});
    if (count < buffer.size()) {
      break;
    }
  }
  AwaitReadable();
}

void Connection::AwaitWritable() {
  if (!is_open_ || awaits_writable_) {
    return;
  }
  awaits_writable_ = true;
  socket_.async_wait(Socket::wait_write,
                     [self = shared_from_this()](const boost::system::error_code& error) {
                       self->awaits_writable_ = false;
                       if (error) {
                         return;
                       }
                       const std::uint64_t before = self->written_bytes_;
                       self->Flush();
                       if (self->written_bytes_ > before) {
                         // The kernel has room again because the peer has read.
                         self->latest_progress_ = BootTime();
                       }
                     });
}

void Connection::Flush() {
  if (!is_open_ || awaits_writable_ || output_.empty()) {
    return;
  }
  boost::system::error_code error;
  const std::size_t count = socket_.write_some(
      boost::asio::buffer(output_.data() + output_start_, unwritten_bytes()), error);
  if (error && error != boost::asio::error::would_block) {
    // The next read ends the connection after the bytes that have come, unless reading is paused.
    // A broken pipe says that the peer has ended its side in order before it closed.
    if (!write_error_ && error != boost::asio::error::broken_pipe) {
      write_error_ = error;
    }
    if (!is_reading_) {
      HandleEnd(ConnectionEnd::kFailed, error.message());
    }
    return;
  }
  written_bytes_ += count;
  output_start_ += count;
  if (unwritten_bytes() > 0) {
    AwaitWritable();
    return;
  }
  output_start_ = 0;
  // Gives the memory of a large output back.
  output_.capacity() > internal::kMaxIdleCapacity ? std::string().swap(output_) : output_.clear();
  if (closes_after_write_) {
    Close();
  } else if (ends_output_after_write_) {
    EndOutput();
  }
  if (handlers_.on_flushed) {
    handlers_.on_flushed();
  }
}

void Connection::HandleEnd(ConnectionEnd end, const std::string& reason) {
  if (!is_open_) {
    return;
  }
  Close();
  if (handlers_.on_end) {
    const auto on_end = std::move(handlers_.on_end);
    on_end(end, reason);
  }
}

}  // namespace snipeturn::loop
