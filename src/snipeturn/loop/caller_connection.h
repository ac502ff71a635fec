#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "snipeturn/base/time.h"
#include "snipeturn/loop/connection.h"
#include "snipeturn/loop/fwd.h"
#include "snipeturn/loop/http_parser.h"
#include "snipeturn/loop/memory_account.h"

namespace snipeturn::loop {

/// Limits on what a caller sends on a connection.
struct ConnectionLimits {
  std::size_t max_header_bytes{16384};
  std::size_t max_body_bytes{4194304};
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/// The accounts of the memory that callers' connections take.
struct CallerAccounts {
  /// Bytes that wait for callers to read them, in the process and in the kernel; may be null.
  std::shared_ptr<MemoryAccount> output;
  /// Requests, from the first byte of the body to the end of the response; may be null.
  std::shared_ptr<MemoryAccount> requests;
  /// Bytes of requests that weren't begun, or whose head isn't complete; may be null.
  std::shared_ptr<MemoryAccount> input;
};

/// Server side of a caller's connection: hands over one request at a time, so that responses keep
/// the order of the requests. While responses wait for the caller to read them, it begins no
/// further request.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  struct Handlers {
    std::function<void(ConnectionKey, HttpHead&&, std::string&& body)> on_request;
    /// The caller has closed the connection while its request was open.
    std::function<void(ConnectionKey)> on_caller_disconnected;
    /// The connection has ended; called once, and last.
    std::function<void(ConnectionKey)> on_closed;
    /// The output buffer has drained while a request was open.
    std::function<void(ConnectionKey)> on_flushed;
    /// A request was rejected before it was handed over, with a response that names the reason.
    std::function<void(ConnectionKey, int status, std::string_view reason)> on_rejected;
    /// The caller is about to be closed, as it has read nothing for the idle timeout; optional.
    std::function<void(ConnectionKey)> on_unread_timeout;
    /// Bytes of requests that weren't begun exceed their account; optional.
    std::function<void()> on_input_exceeded;
  };

  CallerConnection(ConnectionKey key, Connection::Socket socket, CallerAccounts accounts = {});

  void Start(Handlers handlers, const ConnectionLimits& limits, TimePoint now);

  /// @brief Sends the complete response to the open request.
  /// @param close Closes the connection after the response.
  void SendResponse(std::string_view bytes, bool close);

  /// @brief Sends a complete response whose body is large.
  void SendResponse(std::string_view head, std::string&& body, bool close);

  /// @brief Starts or continues a streamed response.
  void WriteStream(std::string_view bytes);

  /// @brief Sends the last bytes of a streamed response.
  void FinishStreamBody(std::string_view last_bytes, bool close);

  /// @brief Closes at once, so that the caller doesn't take a partial response for a complete one.
  void Abort();

  /// @brief Closes at once, and reports that the caller has gone if a request is open.
  void Disconnect();

  /// @brief Gives up the bytes of requests that weren't begun. A request whose head or body is
  ///     incomplete is rejected as not run; pipelined ones are dropped, and the connection closes
  ///     after the response to the open request, so that their caller sends them again.
  void DropInput();

  /// @brief Sets new limits, which apply from the next request on.
  void SetLimits(const ConnectionLimits& limits) { limits_ = limits; }

  /// @brief States how many bytes of memory the open request takes.
  void SetRequestMemory(std::size_t bytes) {
    if (has_open_request_) {
      request_memory_.Set(bytes);
    }
  }

  /// @brief Tells whether bytes wait for the caller, and since when it has read none.
  /// @return The time of the last progress; nothing if no bytes wait.
  [[nodiscard]] std::optional<TimePoint> UnreadSince() const noexcept {
    return unread_bytes() == 0 ? std::nullopt : std::optional(connection_->latest_progress());
  }
  /// @return Bytes that wait for the caller, in the process and in the kernel.
  [[nodiscard]] std::size_t unread_bytes() const noexcept {
    return connection_->unwritten_bytes() + kernel_output_;
  }
  /// @return Bytes of requests that weren't begun or wait for memory, in the process and in the
  ///     kernel.
  [[nodiscard]] std::size_t waiting_input_bytes() const noexcept { return input_memory_.bytes(); }
  /// @return When the idle time or the current request began.
  [[nodiscard]] TimePoint phase_started_at() const noexcept { return phase_started_at_; }
  [[nodiscard]] bool has_open_request() const noexcept { return has_open_request_; }
  /// @return The caller's address, without its port.
  [[nodiscard]] const std::string& peer_address() const noexcept { return peer_address_; }

  /// @brief Closes the connection when it was idle for too long, and rejects a request whose bytes
  ///     arrive too slowly, or which gets no memory in time. Keeps a caller that reads slowly from
  ///     being taken for unreachable.
  void CheckTimeouts(TimePoint now);

  /// @brief Reads what the caller has already sent.
  void ReadPending() { connection_->ReadPending(); }

  /// @return True when no request is open, no byte of one has arrived, and all responses are sent.
  [[nodiscard]] bool is_idle() const noexcept {
    const bool is_between_requests = !has_open_request_ && !is_closing_ && !parser_->has_begun();
    return (is_between_requests || is_discarding_) && unwritten_bytes() == 0;
  }
  [[nodiscard]] std::size_t unwritten_bytes() const noexcept {
    return connection_->unwritten_bytes();
  }
  /// @return True when the connection must be closed after the response to the open request.
  [[nodiscard]] bool must_close() const noexcept { return must_close_; }

 private:
  void HandleBytes(std::string_view bytes);
  void HandleConnectionEnd();
  /// Hands over requests until one is open, none is whole, or the caller has to read first.
  void ParseNext();
  /// Parses one request and hands it over; returns false if no further one can follow at once.
  bool ParseRequest();
  [[nodiscard]] bool CanParse() const;
  void ParseLater();
  /// Pauses or resumes reading, by what waits, and counts it.
  void UpdateInput();
  void CountInput();
  void CountOutput();
  void FinishExchange(bool close);
  void RejectRequest(int status, std::string_view reason, std::string_view extra_fields = "");
  /// Takes memory for a body that is still arriving; returns false if there is none.
  [[nodiscard]] bool ReserveBody();
  void SendContinueIfExpected();
  void CloseAfterWrite();
  void NotifyClosed();

  ConnectionKey key_;
  std::string peer_address_;
  std::shared_ptr<Connection> connection_;
  Handlers handlers_;
  ConnectionLimits limits_;
  std::string input_;
  MemoryShare output_memory_;
  MemoryShare request_memory_;
  MemoryShare input_memory_;
  /// Bytes in the kernel, sent and received, by the last check.
  std::size_t kernel_output_{0};
  std::size_t kernel_input_{0};
  std::optional<HttpParser> parser_;
  /// A request was handed over and has no complete response yet.
  bool has_open_request_{false};
  bool must_close_{false};
  bool sent_continue_{false};
  bool is_parsing_{false};
  bool parses_later_{false};
  /// Pipelined requests were dropped; further bytes are discarded.
  bool drops_input_{false};
  /// Reading is paused until there is memory for the body.
  bool awaits_memory_{false};
  /// A rejected request: what the caller still sends is discarded.
  bool is_discarding_{false};
  /// The last response was written; the connection closes once its bytes are sent.
  bool is_closing_{false};
  bool notified_closed_{false};
  /// When the idle time or the current request began.
  TimePoint phase_started_at_{};
};

}  // namespace snipeturn::loop
