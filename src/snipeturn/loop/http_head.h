#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeturn::loop {

struct HeaderField {
  std::string name;
  std::string value;
};

/// Start line and header fields of a request or a response.
struct HttpHead {
  std::string method;
  std::string target;
  int status{0};
  std::string reason;
  /// 10 for HTTP/1.0, 11 for HTTP/1.1.
  int version{11};
  std::vector<HeaderField> fields;
  bool keep_alive{true};
  /// The body's end is marked by Content-Length or by chunks.
  bool has_body_length{false};
  /// The stated length of a body that isn't chunked.
  std::uint64_t body_length{0};
  bool is_chunked{false};
};

/// @brief Compares ASCII text such as field names, ignoring case.
[[nodiscard]] bool EqualsIgnoringCase(std::string_view left, std::string_view right) noexcept;

/// @brief Converts ASCII letters to lower case.
[[nodiscard]] std::string ToLowerCase(std::string_view text);

/// @brief Finds a header field.
/// @param head The head.
/// @param name The field's name; case is ignored.
/// @return The value of the first such field, or nullptr.
[[nodiscard]] const std::string* FindField(const HttpHead& head, std::string_view name) noexcept;

/// @brief Counts the fields with a name, ignoring case.
[[nodiscard]] int CountFields(const HttpHead& head, std::string_view name) noexcept;

/// @brief Tells whether a field applies to one connection only, so that it isn't forwarded.
/// @param head The head that contains the field; its Connection fields name further ones.
/// @param name The field's name.
/// @return True for Connection and the fields that it names, and for the fields that HTTP defines
///     as hop-by-hop.
[[nodiscard]] bool IsHopByHop(const HttpHead& head, std::string_view name) noexcept;

/// @brief Estimates the memory that a head takes, including that of many short fields.
[[nodiscard]] std::size_t MemoryOf(const HttpHead& head) noexcept;

/// How the body of a response to the caller is framed.
enum class BodyFraming : std::uint8_t { kLength, kChunked };

/// @brief Formats the head of a forwarded response, without the upstream's hop-by-hop fields.
/// @param head The upstream's head.
/// @param framing How the body is framed.
/// @param body_bytes Length of the body for kLength.
/// @param close The connection is closed after the response.
/// @return The bytes up to the body.
[[nodiscard]] std::string FormatResponseHead(const HttpHead& head,
                                             BodyFraming framing,
                                             std::size_t body_bytes,
                                             bool close);

/// @brief Formats a complete response of this host's own.
/// @param extra_fields Further header fields, each ended by CR LF.
/// @param close The connection is closed after the response.
[[nodiscard]] std::string FormatResponse(int status,
                                         std::string_view content_type,
                                         std::string_view body,
                                         std::string_view extra_fields,
                                         bool close);

/// @brief Formats one chunk of a chunked body.
[[nodiscard]] std::string FormatChunk(std::string_view bytes);

/// The chunk that ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace snipeturn::loop
