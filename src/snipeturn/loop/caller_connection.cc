#include "snipeturn/loop/caller_connection.h"

#include <fmt/format.h>

#include <utility>

#include "snipeturn/loop/boot_clock.h"

namespace snipeturn::loop {
namespace internal {
namespace {

/// Bytes of later requests that are kept while one is open; then reading stops.
constexpr std::size_t kMaxPipelinedBytes = 65536;

}  // namespace
}  // namespace internal

CallerConnection::CallerConnection(ConnectionKey key, Connection::Socket socket)
    : key_(key), connection_(std::make_shared<Connection>(std::move(socket))) {}

void CallerConnection::Start(Handlers handlers, const ConnectionLimits& limits, TimePoint now) {
  handlers_ = std::move(handlers);
  limits_ = limits;
  since_ = now;
  parser_.emplace(HttpParser::Kind::kRequest, limits_.max_header_bytes, limits_.max_body_bytes);
  Connection::Handlers own;
  own.on_bytes = [weak = weak_from_this()](std::string_view bytes) {
    if (const auto self = weak.lock()) {
      self->TakeBytes(bytes);
    }
  };
  own.on_end = [weak = weak_from_this()](ConnectionEnd /*end*/, const std::string& /*reason*/) {
    if (const auto self = weak.lock()) {
      self->TakeEnd();
    }
  };
  own.on_flushed = [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->is_open_ && self->handlers_.on_flushed) {
      self->handlers_.on_flushed(self->key_);
    }
  };
  connection_->Start(std::move(own));
}

void CallerConnection::TakeBytes(std::string_view bytes) {
  if (is_refused_) {
    return;  // The rest of a request that was refused by its head.
  }
  input_.append(bytes.data(), bytes.size());
  if (is_open_) {
    if (input_.size() > internal::kMaxPipelinedBytes) {
      connection_->SetReading(false);
    }
    return;
  }
  ParseNext();
}

void CallerConnection::ParseNext() {
  if (input_.empty() || is_open_ || !connection_->is_open()) {
    return;
  }
  if (!parser_->has_begun()) {
    since_ = BootTime();
  }
  const ParseStatus status = parser_->Feed(input_);
  switch (status) {
    case ParseStatus::kNeedMore: {
      // What the parser leaves is part of a head, of a chunk's head or of trailers.
      if (input_.size() > limits_.max_header_bytes) {
        RefuseBytes(431, "header_too_large");
        return;
      }
      const bool waits = parser_->is_head_done() && !said_continue_ &&
                         FindField(parser_->head(), "Expect") != nullptr;
      if (waits) {
        said_continue_ = true;
        connection_->Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
      return;
    }
    case ParseStatus::kHeaderTooLarge:
      RefuseBytes(431, "header_too_large");
      return;
    case ParseStatus::kBodyTooLarge:
      RefuseBytes(413, "body_too_large");
      return;
    case ParseStatus::kMalformed:
      RefuseBytes(400, "malformed_request");
      return;
    case ParseStatus::kDone:
      break;
  }
  HttpHead head = std::move(parser_->head());
  std::string body = parser_->TakeBody();
  is_open_ = true;
  must_close_ = !head.keep_alive || head.version < 11;
  handlers_.on_request(key_, std::move(head), std::move(body));
}

void CallerConnection::RefuseBytes(int status, std::string_view reason) {
  is_refused_ = true;
  connection_->Write(FormatAnswer(status, "application/problem+json",
                                  fmt::format(R"({{"reason":"{}","outcome":"not_run"}})", reason),
                                  "", true));
  connection_->CloseAfterWrite();
  NotifyClosed();
}

void CallerConnection::Answer(std::string_view bytes, bool close) {
  connection_->Write(bytes);
  FinishExchange(close);
}

void CallerConnection::StreamBytes(std::string_view bytes) {
  connection_->Write(bytes);
}

void CallerConnection::EndStream(std::string_view last_bytes, bool close) {
  connection_->Write(last_bytes);
  FinishExchange(close);
}

void CallerConnection::FinishExchange(bool close) {
  is_open_ = false;
  said_continue_ = false;
  since_ = BootTime();
  if (close || must_close_) {
    connection_->CloseAfterWrite();
    NotifyClosed();
    return;
  }
  parser_.emplace(HttpParser::Kind::kRequest, limits_.max_header_bytes, limits_.max_body_bytes);
  connection_->SetReading(true);
  ParseNext();
}

void CallerConnection::Break() {
  is_open_ = false;
  connection_->Close();
  NotifyClosed();
}

void CallerConnection::TakeEnd() {
  if (is_open_) {
    is_open_ = false;
    handlers_.on_gone(key_);
  }
  NotifyClosed();
}

void CallerConnection::NotifyClosed() {
  if (!told_closed_) {
    told_closed_ = true;
    handlers_.on_closed(key_);
  }
}

void CallerConnection::CheckTimeouts(TimePoint now) {
  if (is_open_ || is_refused_) {
    return;
  }
  if (parser_->has_begun()) {
    if (now - since_ > limits_.header_timeout) {
      RefuseBytes(408, "request_too_slow");
    }
  } else if (now - since_ > limits_.idle_timeout) {
    Break();
  }
}

}  // namespace snipeturn::loop
