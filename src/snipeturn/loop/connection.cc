#include "snipeturn/loop/connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>

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
/// Longest time for which written bytes may stay unacknowledged (TCP_USER_TIMEOUT).
constexpr int kMaxUnacknowledgedMs = 2500;

void SetOption(int descriptor, int level, int name, int value) {
  // Errors are ignored: without these options an unreachable peer is only detected later.
  static_cast<void>(::setsockopt(descriptor, level, name, &value, sizeof value));
}

std::array<char, kReadBytes>& ReadBuffer() {
  static std::array<char, kReadBytes> buffer;
  return buffer;
}

}  // namespace
}  // namespace internal

Connection::Connection(Socket socket) : socket_(std::move(socket)) {}

Connection::~Connection() = default;

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
  internal::SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, internal::kMaxUnacknowledgedMs);
  AwaitReadable();
  Flush();
}

void Connection::Write(std::string_view bytes) {
  if (!is_open_ || bytes.empty()) {
    return;
  }
  output_.append(bytes.data(), bytes.size());
  Flush();
}

void Connection::CloseAfterWrite() {
  closes_after_write_ = true;
  if (is_open_ && output_.empty()) {
    Close();
  }
}

void Connection::Close() {
  if (!is_open_) {
    return;
  }
  is_open_ = false;
  boost::system::error_code ignored;
  socket_.close(ignored);
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

void Connection::ReadAvailable() {
  auto& buffer = internal::ReadBuffer();
  for (int reads = 0; reads < internal::kMaxReadsPerWakeup && is_open_ && is_reading_; ++reads) {
    boost::system::error_code error;
    const std::size_t count = socket_.read_some(boost::asio::buffer(buffer), error);
    if (error == boost::asio::error::would_block) {
      break;
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
                       if (!error) {
                         self->Flush();
                       }
                     });
}

void Connection::Flush() {
  if (!is_open_ || awaits_writable_ || output_.empty()) {
    return;
  }
  boost::system::error_code error;
  const std::size_t count = socket_.write_some(boost::asio::buffer(output_), error);
  if (error && error != boost::asio::error::would_block) {
    // The next read reports the error, unless reading is paused.
    if (!is_reading_) {
      HandleEnd(ConnectionEnd::kFailed, error.message());
    }
    return;
  }
  written_bytes_ += count;
  output_.erase(0, count);
  if (!output_.empty()) {
    AwaitWritable();
    return;
  }
  if (closes_after_write_) {
    Close();
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
