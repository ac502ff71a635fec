#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "snipeturn/loop/http_head.h"

namespace snipeturn::loop {

enum class ParseStatus : std::uint8_t {
  kNeedMore,
  kDone,
  kHeaderTooLarge,
  kBodyTooLarge,
  /// The bytes aren't a valid HTTP message.
  kMalformed,
};

/// Parses one HTTP message incrementally, with Boost.Beast's parser.
class HttpParser {
 public:
  enum class Kind : std::uint8_t { kRequest, kResponse };

  /// @param kind Kind of message.
  /// @param max_header_bytes Largest start line and header fields together.
  /// @param max_body_bytes Largest body.
  HttpParser(Kind kind, std::size_t max_header_bytes, std::uint64_t max_body_bytes);
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;
  HttpParser(HttpParser&&) noexcept;
  HttpParser& operator=(HttpParser&&) noexcept;
  ~HttpParser();

  /// @brief Parses bytes from the front of a buffer, at most to the end of the message.
  /// @param buffer The bytes; those that were parsed are removed.
  /// @return Status of the message.
  [[nodiscard]] ParseStatus Feed(std::string& buffer);

  /// @brief Reports that the peer has closed the connection in order.
  /// @return kDone when that completes the message, else kMalformed.
  [[nodiscard]] ParseStatus FeedEnd();

  [[nodiscard]] bool is_head_done() const noexcept;
  [[nodiscard]] bool is_done() const noexcept;
  /// @return True once a byte of the message was fed.
  [[nodiscard]] bool has_begun() const noexcept;
  [[nodiscard]] HttpHead& head() noexcept;
  /// @return Number of body bytes parsed since the last call of `TakeBody`.
  [[nodiscard]] std::size_t body_bytes() const noexcept;
  /// @return The body bytes parsed since the last call.
  [[nodiscard]] std::string TakeBody();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace snipeturn::loop
