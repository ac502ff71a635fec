#include "snipeturn/loop/caller_connection.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "snipeturn/loop/boot_clock.h"

namespace snipeturn::loop {
namespace internal {
namespace {

/// Buffered bytes of pipelined requests at which reading stops until the open request has its
/// response.
constexpr std::size_t kMaxPipelinedBytes = 65536;
/// Bodies up to this size don't wait for memory.
constexpr std::size_t kSmallBodyBytes = 65536;
/// Copies of a request: the one that is kept, and the one that is being sent.
constexpr std::size_t kRequestCopies = 2;
/// Header fields of the response to a request that got no memory: others end meanwhile.
constexpr std::string_view kMemoryRetryFields = "Retry-After: 1\r\n";

}  // namespace
}  // namespace internal

CallerConnection::CallerConnection(ConnectionKey key,
                                   Connection::Socket socket,
                                   std::shared_ptr<MemoryAccount> output,
                                   std::shared_ptr<MemoryAccount> input)
    : key_(key),
      connection_(std::make_shared<Connection>(std::move(socket))),
      output_memory_(std::move(output)),
      input_memory_(std::move(input)) {}

void CallerConnection::Start(Handlers handlers, const ConnectionLimits& limits, TimePoint now) {
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
    self->output_memory_.Set(0);
    if (self->is_closing_ && !self->is_discarding_) {
      self->NotifyClosed();
    } else if (self->has_open_request_ && self->handlers_.on_flushed) {
      self->handlers_.on_flushed(self->key_);
    }
  };
  connection_->DeliverAfterClose();
  connection_->Start(std::move(own));
}

void CallerConnection::HandleBytes(std::string_view bytes) {
  if (is_closing_) {
    return;  // The rest of a rejected request, or a request after the last response.
  }
  input_.append(bytes.data(), bytes.size());
  if (has_open_request_) {
    if (input_.size() > internal::kMaxPipelinedBytes) {
      connection_->SetReading(false);
    }
    return;
  }
  ParseNext();
}

void CallerConnection::ParseNext() {
  if (input_.empty() || has_open_request_ || !connection_->is_open()) {
    return;
  }
  if (!parser_->has_begun()) {
    phase_started_at_ = BootTime();
  }
  const ParseStatus status = parser_->Feed(input_);
  switch (status) {
    case ParseStatus::kNeedMore: {
      // The parser leaves incomplete heads, chunk headers and trailers in the buffer.
      if (input_.size() > limits_.max_header_bytes) {
        RejectRequest(431, "header_too_large");
        return;
      }
      if (parser_->is_head_done() && !ReserveBody()) {
        awaits_memory_ = true;
        phase_started_at_ = BootTime();
        connection_->SetReading(false);
        return;
      }
      SendContinueIfExpected();
      return;
    }
    case ParseStatus::kHeaderTooLarge:
      RejectRequest(431, "header_too_large");
      return;
    case ParseStatus::kBodyTooLarge:
      RejectRequest(413, "body_too_large");
      return;
    case ParseStatus::kMalformed:
      RejectRequest(400, "malformed_request");
      return;
    case ParseStatus::kDone:
      break;
  }
  HttpHead head = std::move(parser_->head());
  std::string body = parser_->TakeBody();
  input_memory_.Set(internal::kRequestCopies * body.size());
  has_open_request_ = true;
  must_close_ = !head.keep_alive || head.version < 11;
  handlers_.on_request(key_, std::move(head), std::move(body));
}

void CallerConnection::SendContinueIfExpected() {
  if (parser_->is_head_done() && !sent_continue_ &&
      FindField(parser_->head(), "Expect") != nullptr) {
    sent_continue_ = true;
    connection_->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

bool CallerConnection::ReserveBody() {
  const HttpHead& head = parser_->head();
  const std::uint64_t known = head.is_chunked ? parser_->body_bytes() : head.body_length;
  // The next read adds to a body of unknown length.
  const std::uint64_t bytes = known + (head.is_chunked ? internal::kSmallBodyBytes : 0);
  const auto needed = static_cast<std::size_t>(internal::kRequestCopies * bytes);
  if (known <= internal::kSmallBodyBytes) {
    input_memory_.Set(needed);
    return true;
  }
  return input_memory_.TrySet(needed);
}

void CallerConnection::RejectRequest(int status,
                                     std::string_view reason,
                                     std::string_view extra_fields) {
  if (handlers_.on_rejected) {
    handlers_.on_rejected(status, reason);
  }
  input_ = std::string();
  parser_.emplace(HttpParser::Kind::kRequest, limits_.max_header_bytes, limits_.max_body_bytes);
  input_memory_.Set(0);
  awaits_memory_ = false;
  is_closing_ = is_discarding_ = true;
  phase_started_at_ = BootTime();
  connection_->SetReading(true);
  connection_->Write(FormatResponse(status, "application/problem+json",
                                    fmt::format(R"({{"reason":"{}","outcome":"not_run"}})", reason),
                                    extra_fields, true));
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
  output_memory_.Set(unwritten_bytes());
  FinishExchange(close);
}

void CallerConnection::WriteStream(std::string_view bytes) {
  connection_->Write(bytes);
  output_memory_.Set(unwritten_bytes());
}

void CallerConnection::FinishStreamBody(std::string_view last_bytes, bool close) {
  WriteStream(last_bytes);
  FinishExchange(close);
}

void CallerConnection::FinishExchange(bool close) {
  has_open_request_ = false;
  input_memory_.Set(0);
  sent_continue_ = false;
  phase_started_at_ = BootTime();
  if (close || must_close_) {
    CloseAfterWrite();
    return;
  }
  parser_.emplace(HttpParser::Kind::kRequest, limits_.max_header_bytes, limits_.max_body_bytes);
  connection_->SetReading(true);
  ParseNext();
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
  input_memory_.Set(0);
  if (!notified_closed_) {
    notified_closed_ = true;
    handlers_.on_closed(key_);
  }
}

void CallerConnection::CheckTimeouts(TimePoint now) {
  connection_->CheckAcknowledgements(now);
  output_memory_.Set(unwritten_bytes());
  if (!has_open_request_ && connection_->unwritten_bytes() > 0) {
    // Nothing else ends a caller that reads nothing of its last response.
    if (now - std::max(phase_started_at_, connection_->latest_progress()) > limits_.idle_timeout) {
      Abort();
    }
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
      connection_->SetReading(true);
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
