#include "snipeturn/loop/caller_connection.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "snipeturn/loop/boot_clock.h"

namespace snipeturn::loop {
namespace internal {
namespace {

/// Buffered bytes of pipelined requests at which reading stops until the open request has its
/// response.
constexpr std::size_t kMaxPipelinedBytes = 65536;
/// Unread bytes of responses at which no further request is begun. The kernel holds more before
/// any byte waits here, so a caller that reads its responses isn't slowed by this.
constexpr std::size_t kMaxUnreadBytes = 65536;
/// Requests of one connection that are handed over before others get a turn.
constexpr int kMaxRequestsPerTurn = 16;
/// Capacity from which an empty input buffer is given back: idle connections keep none.
constexpr std::size_t kMaxIdleCapacity = 4096;
/// Requests up to this size, with their heads, don't wait for memory.
constexpr std::size_t kSmallBodyBytes = 65536;
/// Heads up to this size may wait for the memory of their bodies: those of ordinary callers.
constexpr std::size_t kMaxWaitingHeadBytes = 8192;
/// Copies of a request: the one that is kept, and the one that is being sent.
constexpr std::size_t kRequestCopies = 2;
/// Header fields of the response to a request that got no memory: others end meanwhile.
constexpr std::string_view kMemoryRetryFields = "Retry-After: 1\r\n";

}  // namespace
}  // namespace internal

CallerConnection::CallerConnection(ConnectionKey key,
                                   Connection::Socket socket,
                                   CallerAccounts accounts)
    : key_(key),
      connection_(std::make_shared<Connection>(std::move(socket))),
      output_memory_(std::move(accounts.output)),
      request_memory_(std::move(accounts.requests)),
      input_memory_(std::move(accounts.input)) {}

void CallerConnection::Start(Handlers handlers, const ConnectionLimits& limits, TimePoint now) {
  boost::system::error_code error;
  const auto peer = connection_->socket().remote_endpoint(error);
  peer_address_ = error ? "-" : peer.address().to_string();
  handlers_ = std::move(handlers);
  limits_ = limits;
  phase_started_at_ = now;
  parser_.emplace(HttpParser::Kind::kRequest, limits_.max_header_bytes, limits_.max_body_bytes);
  Connection::Handlers own;
  own.on_bytes = [weak = weak_from_this()](std::string_view bytes) {
    if (const auto self = weak.lock()) {
      self->HandleBytes(bytes);
    }
  };
  own.on_end = [weak = weak_from_this()](ConnectionEnd /*end*/, const std::string& /*reason*/) {
    if (const auto self = weak.lock()) {
      self->HandleConnectionEnd();
    }
  };
  own.on_flushed = [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    self->CountOutput();
    if (self->is_closing_ && !self->is_discarding_) {
      self->NotifyClosed();
    } else if (!self->has_open_request_) {
      self->ParseNext();
    } else if (self->handlers_.on_flushed) {
      self->handlers_.on_flushed(self->key_);
    }
  };
  connection_->DeliverAfterClose();
  connection_->LimitKernelOutput();
  connection_->Start(std::move(own));
}

void CallerConnection::HandleBytes(std::string_view bytes) {
  if (is_closing_ || drops_input_) {
    return;  // The rest of a rejected request, or a request after the last response.
  }
  input_.append(bytes.data(), bytes.size());
  ParseNext();
}

bool CallerConnection::CanParse() const {
  return !input_.empty() && !has_open_request_ && !is_closing_ && !awaits_memory_ &&
         connection_->is_open() && connection_->unwritten_bytes() <= internal::kMaxUnreadBytes;
}

void CallerConnection::ParseNext() {
  if (is_parsing_ || parses_later_) {
    return;  // The loop below, or the turn that was posted, goes on with the input.
  }
  const auto self = shared_from_this();
  is_parsing_ = true;
  int requests = 0;
  while (CanParse()) {
    if (requests == internal::kMaxRequestsPerTurn) {
      ParseLater();
      break;
    }
    ++requests;
    if (!ParseRequest()) {
      break;
    }
  }
  is_parsing_ = false;
  UpdateInput();
}

void CallerConnection::ParseLater() {
  parses_later_ = true;
  boost::asio::post(connection_->socket().get_executor(), [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->parses_later_ = false;
      self->ParseNext();
    }
  });
}

void CallerConnection::UpdateInput() {
  if (is_closing_ || notified_closed_ || !connection_->is_open()) {
    return;
  }
  const bool waits = has_open_request_ || parses_later_ ||
                     connection_->unwritten_bytes() > internal::kMaxUnreadBytes;
  const bool is_paused = awaits_memory_ || (waits && input_.size() > internal::kMaxPipelinedBytes);
  connection_->SetReading(!is_paused);
  if (!is_paused) {
    kernel_input_ = 0;
  }
  if (input_.empty() && input_.capacity() > internal::kMaxIdleCapacity) {
    std::string().swap(input_);
  }
  CountInput();
  const MemoryAccount* account = input_memory_.account();
  if (account != nullptr && account->is_exceeded() && handlers_.on_input_exceeded) {
    handlers_.on_input_exceeded();
  }
}

void CallerConnection::CountInput() {
  input_memory_.Set(input_.size() + kernel_input_ + (awaits_memory_ ? parser_->body_bytes() : 0));
}

void CallerConnection::CountOutput() {
  output_memory_.Set(unread_bytes());
}

bool CallerConnection::ParseRequest() {
  if (!parser_->has_begun()) {
    phase_started_at_ = BootTime();
  }
  const ParseStatus status = parser_->Feed(input_);
  switch (status) {
    case ParseStatus::kNeedMore: {
      // The parser leaves incomplete heads, chunk headers and trailers in the buffer.
      if (input_.size() > limits_.max_header_bytes) {
        RejectRequest(431, "header_too_large");
        return false;
      }
      if (parser_->is_head_done() && !ReserveBody()) {
        if (MemoryOf(parser_->head()) > internal::kMaxWaitingHeadBytes) {
          // A wait would keep the head, which takes memory that no account has.
          RejectRequest(503, "no_memory", internal::kMemoryRetryFields);
          return false;
        }
        awaits_memory_ = true;
        phase_started_at_ = BootTime();
        return false;
      }
      SendContinueIfExpected();
      return false;
    }
    case ParseStatus::kHeaderTooLarge:
      RejectRequest(431, "header_too_large");
      return false;
    case ParseStatus::kBodyTooLarge:
      RejectRequest(413, "body_too_large");
      return false;
    case ParseStatus::kMalformed:
      RejectRequest(400, "malformed_request");
      return false;
    case ParseStatus::kDone:
      break;
  }
  HttpHead head = std::move(parser_->head());
  std::string body = parser_->TakeBody();
  const std::size_t bytes = internal::kRequestCopies * (body.size() + MemoryOf(head));
  const std::size_t reserved = request_memory_.bytes();
  if (bytes > reserved && !request_memory_.TrySet(bytes, request_memory_.overdraft())) {
    RejectRequest(503, "no_memory", internal::kMemoryRetryFields);
    return false;
  }
  request_memory_.Set(bytes);
  has_open_request_ = true;
  must_close_ = !head.keep_alive || head.version < 11;
  handlers_.on_request(key_, std::move(head), std::move(body));
  return true;
}

void CallerConnection::SendContinueIfExpected() {
  if (parser_->is_head_done() && !sent_continue_ &&
      FindField(parser_->head(), "Expect") != nullptr) {
    sent_continue_ = true;
    connection_->Write("HTTP/1.1 100 Continue\r\n\r\n");
    CountOutput();
  }
}

bool CallerConnection::ReserveBody() {
  const HttpHead& head = parser_->head();
  const std::uint64_t known =
      MemoryOf(head) + (head.is_chunked ? parser_->body_bytes() : head.body_length);
  // The next read adds to a body of unknown length.
  const std::uint64_t bytes = known + (head.is_chunked ? internal::kSmallBodyBytes : 0);
  const auto needed = static_cast<std::size_t>(internal::kRequestCopies * bytes);
  const bool is_small = known <= internal::kSmallBodyBytes;
  return request_memory_.TrySet(needed, is_small ? request_memory_.overdraft() : 0);
}

void CallerConnection::RejectRequest(int status,
                                     std::string_view reason,
                                     std::string_view extra_fields) {
  if (handlers_.on_rejected) {
    handlers_.on_rejected(key_, status, reason);
  }
  std::string().swap(input_);
  parser_.emplace(HttpParser::Kind::kRequest, limits_.max_header_bytes, limits_.max_body_bytes);
  request_memory_.Set(0);
  input_memory_.Set(0);
  awaits_memory_ = false;
  is_closing_ = is_discarding_ = true;
  phase_started_at_ = BootTime();
  connection_->SetReading(true);
  connection_->Write(FormatResponse(status, "application/problem+json",
                                    fmt::format(R"({{"reason":"{}","outcome":"not_run"}})", reason),
                                    extra_fields, true));
  CountOutput();
  connection_->EndOutputAfterWrite();
}

void CallerConnection::CloseAfterWrite() {
  is_closing_ = true;
  connection_->CloseAfterWrite();
  if (!connection_->is_open()) {
    NotifyClosed();
  }
}

void CallerConnection::SendResponse(std::string_view bytes, bool close) {
  WriteStream(bytes);
  FinishExchange(close);
}

void CallerConnection::SendResponse(std::string_view head, std::string&& body, bool close) {
  connection_->Write(head);
  connection_->WriteOwned(std::move(body));
  CountOutput();
  FinishExchange(close);
}

void CallerConnection::WriteStream(std::string_view bytes) {
  connection_->Write(bytes);
  CountOutput();
}

void CallerConnection::FinishStreamBody(std::string_view last_bytes, bool close) {
  WriteStream(last_bytes);
  FinishExchange(close);
}

void CallerConnection::FinishExchange(bool close) {
  has_open_request_ = false;
  request_memory_.Set(0);
  sent_continue_ = false;
  phase_started_at_ = BootTime();
  if (close || must_close_) {
    std::string().swap(input_);
    input_memory_.Set(0);
    connection_->SetReading(true);
    CloseAfterWrite();
    return;
  }
  parser_.emplace(HttpParser::Kind::kRequest, limits_.max_header_bytes, limits_.max_body_bytes);
  ParseNext();
}

void CallerConnection::Disconnect() {
  connection_->Close();
  HandleConnectionEnd();
}

void CallerConnection::DropInput() {
  input_memory_.Set(0);
  if (is_closing_) {
    return;
  }
  if (!has_open_request_) {
    RejectRequest(503, "no_memory", internal::kMemoryRetryFields);
    return;
  }
  drops_input_ = must_close_ = true;
  std::string().swap(input_);
  kernel_input_ = 0;
  connection_->SetReading(true);
}

void CallerConnection::Abort() {
  has_open_request_ = false;
  connection_->Close();
  NotifyClosed();
}

void CallerConnection::HandleConnectionEnd() {
  if (has_open_request_) {
    has_open_request_ = false;
    handlers_.on_caller_disconnected(key_);
  }
  NotifyClosed();
}

void CallerConnection::NotifyClosed() {
  output_memory_.Set(0);
  request_memory_.Set(0);
  input_memory_.Set(0);
  if (!notified_closed_) {
    notified_closed_ = true;
    handlers_.on_closed(key_);
  }
}

void CallerConnection::CheckTimeouts(TimePoint now) {
  connection_->CheckAcknowledgements(now);
  kernel_output_ = connection_->unacknowledged_bytes();
  CountOutput();
  if (!connection_->is_reading()) {
    // Bytes that arrived before the pause, and those that the closed window still let in.
    kernel_input_ = connection_->ReadUnreadInput();
    CountInput();
  }
  if (unread_bytes() > 0 &&
      now - std::max(phase_started_at_, connection_->latest_progress()) > limits_.idle_timeout) {
    // Nothing else ends a caller that reads nothing.
    if (handlers_.on_unread_timeout) {
      handlers_.on_unread_timeout(key_);
    }
    Disconnect();
    return;
  }
  if (!has_open_request_ && connection_->unwritten_bytes() > 0) {
    return;
  }
  if (is_discarding_ && now - phase_started_at_ > limits_.header_timeout) {
    Abort();
    return;
  }
  if (has_open_request_ || is_closing_) {
    return;
  }
  if (awaits_memory_) {
    if (ReserveBody()) {
      awaits_memory_ = false;
      phase_started_at_ = now;
      UpdateInput();
      SendContinueIfExpected();
    } else if (now - phase_started_at_ > limits_.header_timeout) {
      RejectRequest(503, "no_memory", internal::kMemoryRetryFields);
    }
  } else if (parser_->has_begun()) {
    if (now - phase_started_at_ > limits_.header_timeout) {
      RejectRequest(408, "request_too_slow");
    }
  } else if (now - phase_started_at_ > limits_.idle_timeout) {
    Abort();
  }
}

}  // namespace snipeturn::loop
