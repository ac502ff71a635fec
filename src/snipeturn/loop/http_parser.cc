#include "snipeturn/loop/http_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <utility>

namespace snipeturn::loop {
namespace internal {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

std::string ToString(string_view text) {
  return {text.data(), text.size()};
}

/// Collects the parts of a message; serves as parser of requests and of responses.
template <bool kIsRequest>
class MessageCollector : public http::basic_parser<kIsRequest> {
 public:
  HttpHead head;
  std::string body;

 private:
  void on_request_impl(http::verb /*method*/,
                       string_view method_text,
                       string_view target,
                       int version,
                       error_code& error) override {
    error = {};
    head.method = ToString(method_text);
    head.target = ToString(target);
    head.version = version;
  }

  void on_response_impl(int code, string_view reason, int version, error_code& error) override {
    error = {};
    head.status = code;
    head.reason = ToString(reason);
    head.version = version;
  }

  void on_field_impl(http::field /*name*/,
                     string_view name_text,
                     string_view value,
                     error_code& error) override {
    error = {};
    if (!is_header_complete_) {  // Trailers are dropped.
      head.fields.push_back({ToString(name_text), ToString(value)});
    }
  }

  void on_header_impl(error_code& error) override {
    error = {};
    is_header_complete_ = true;
    head.keep_alive = this->keep_alive();
    head.is_chunked = this->chunked();
    head.has_body_length = this->chunked() || this->content_length().has_value();
    head.body_length = this->content_length().value_or(0);
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& error) override {
    error = {};
    // A request is kept whole: growth by steps would take up to twice its size.
    if (kIsRequest && length) {
      body.reserve(static_cast<std::size_t>(*length));
    }
  }

  std::size_t on_body_impl(string_view bytes, error_code& error) override {
    error = {};
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/,
                            string_view /*extensions*/,
                            error_code& error) override {
    error = {};
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                                 string_view bytes,
                                 error_code& error) override {
    error = {};
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }

  void on_finish_impl(error_code& error) override { error = {}; }

  bool is_header_complete_{false};
};

ParseStatus ToParseStatus(const error_code& error) {
  if (error == http::error::header_limit) {
    return ParseStatus::kHeaderTooLarge;
  }
  if (error == http::error::body_limit) {
    return ParseStatus::kBodyTooLarge;
  }
  return ParseStatus::kMalformed;
}

}  // namespace
}  // namespace internal

class HttpParser::Implementation {
 public:
  Implementation() = default;
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;
  virtual ~Implementation() = default;

  virtual ParseStatus Feed(std::string& buffer) = 0;
  virtual ParseStatus FeedEnd() = 0;
  [[nodiscard]] virtual bool is_head_done() const = 0;
  [[nodiscard]] virtual bool is_done() const = 0;
  [[nodiscard]] virtual std::size_t body_bytes() const = 0;
  virtual HttpHead& head() = 0;
  virtual std::string TakeBody() = 0;

  bool has_begun{false};
};

namespace internal {
namespace {

template <bool kIsRequest, typename Base>
class TypedImplementation final : public Base {
 public:
  TypedImplementation(std::size_t max_header_bytes, std::uint64_t max_body_bytes) {
    parser_.eager(true);
    parser_.header_limit(static_cast<std::uint32_t>(max_header_bytes));
    parser_.body_limit(max_body_bytes);
  }

  ParseStatus Feed(std::string& buffer) override {
    std::size_t consumed = 0;
    ParseStatus status = ParseStatus::kNeedMore;
    this->has_begun = this->has_begun || !buffer.empty();
    while (!parser_.is_done() && consumed < buffer.size()) {
      error_code error;
      const std::size_t accepted = parser_.put(
          boost::asio::buffer(buffer.data() + consumed, buffer.size() - consumed), error);
      consumed += accepted;
      if (error && error != http::error::need_more) {
        status = ToParseStatus(error);
        break;
      }
      if (accepted == 0) {
        break;
      }
    }
    buffer.erase(0, consumed);
    return status == ParseStatus::kNeedMore && parser_.is_done() ? ParseStatus::kDone : status;
  }

  ParseStatus FeedEnd() override {
    error_code error;
    parser_.put_eof(error);
    return !error && parser_.is_done() ? ParseStatus::kDone : ParseStatus::kMalformed;
  }

  [[nodiscard]] bool is_head_done() const override { return parser_.is_header_done(); }
  [[nodiscard]] bool is_done() const override { return parser_.is_done(); }
  [[nodiscard]] std::size_t body_bytes() const override { return parser_.body.size(); }
  HttpHead& head() override { return parser_.head; }
  std::string TakeBody() override { return std::exchange(parser_.body, std::string()); }

 private:
  MessageCollector<kIsRequest> parser_;
};

}  // namespace
}  // namespace internal

HttpParser::HttpParser(Kind kind, std::size_t max_header_bytes, std::uint64_t max_body_bytes) {
  if (kind == Kind::kRequest) {
    implementation_ = std::make_unique<internal::TypedImplementation<true, Implementation>>(
        max_header_bytes, max_body_bytes);
  } else {
    implementation_ = std::make_unique<internal::TypedImplementation<false, Implementation>>(
        max_header_bytes, max_body_bytes);
  }
}

HttpParser::HttpParser(HttpParser&&) noexcept = default;
HttpParser& HttpParser::operator=(HttpParser&&) noexcept = default;
HttpParser::~HttpParser() = default;

ParseStatus HttpParser::Feed(std::string& buffer) {
  return implementation_->Feed(buffer);
}

ParseStatus HttpParser::FeedEnd() {
  return implementation_->FeedEnd();
}

bool HttpParser::is_head_done() const noexcept {
  return implementation_->is_head_done();
}

bool HttpParser::is_done() const noexcept {
  return implementation_->is_done();
}

std::size_t HttpParser::body_bytes() const noexcept {
  return implementation_->body_bytes();
}

bool HttpParser::has_begun() const noexcept {
  return implementation_->has_begun;
}

HttpHead& HttpParser::head() noexcept {
  return implementation_->head();
}

std::string HttpParser::TakeBody() {
  return implementation_->TakeBody();
}

}  // namespace snipeturn::loop
