#include "snipeturn/loop/http_head.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <ostream>

namespace snipeturn::loop {
namespace internal {
namespace {

constexpr std::array<std::string_view, 9> kHopByHopFields{"Connection",
                                                          "Keep-Alive",
                                                          "Proxy-Connection",
                                                          "Proxy-Authenticate",
                                                          "Proxy-Authorization",
                                                          "TE",
                                                          "Trailer",
                                                          "Transfer-Encoding",
                                                          "Upgrade"};

char LowerCase(char character) noexcept {
  return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                              : character;
}

/// Whether a comma-separated list contains an entry, ignoring case.
bool ListContains(std::string_view list, std::string_view entry) noexcept {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    std::string_view item = list.substr(0, comma);
    while (!item.empty() && (item.front() == ' ' || item.front() == '\t')) {
      item.remove_prefix(1);
    }
    while (!item.empty() && (item.back() == ' ' || item.back() == '\t')) {
      item.remove_suffix(1);
    }
    if (EqualsIgnoringCase(item, entry)) {
      return true;
    }
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

std::string_view ReasonPhrase(int status) {
  const auto phrase =
      boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
  return {phrase.data(), phrase.size()};
}

}  // namespace
}  // namespace internal

bool EqualsIgnoringCase(std::string_view left, std::string_view right) noexcept {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(), [](char one, char other) {
           return internal::LowerCase(one) == internal::LowerCase(other);
         });
}

std::string ToLowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), internal::LowerCase);
  return lower;
}

const std::string* FindField(const HttpHead& head, std::string_view name) noexcept {
  for (const HeaderField& field : head.fields) {
    if (EqualsIgnoringCase(field.name, name)) {
      return &field.value;
    }
  }
  return nullptr;
}

int CountFields(const HttpHead& head, std::string_view name) noexcept {
  return static_cast<int>(std::count_if(
      head.fields.begin(), head.fields.end(),
      [name](const HeaderField& field) { return EqualsIgnoringCase(field.name, name); }));
}

std::size_t MemoryOf(const HttpHead& head) noexcept {
  std::size_t bytes = sizeof(HttpHead) + head.method.size() + head.target.size();
  for (const HeaderField& field : head.fields) {
    bytes += sizeof(HeaderField) + field.name.size() + field.value.size();
  }
  return bytes;
}

bool IsHopByHop(const HttpHead& head, std::string_view name) noexcept {
  for (const std::string_view known : internal::kHopByHopFields) {
    if (EqualsIgnoringCase(known, name)) {
      return true;
    }
  }
  for (const HeaderField& field : head.fields) {
    if (EqualsIgnoringCase(field.name, "Connection") && internal::ListContains(field.value, name)) {
      return true;
    }
  }
  return false;
}

std::string FormatResponseHead(const HttpHead& head,
                               BodyFraming framing,
                               std::size_t body_bytes,
                               bool close) {
  std::string text = fmt::format(
      "HTTP/1.1 {} {}\r\n", head.status,
      head.reason.empty() ? internal::ReasonPhrase(head.status) : std::string_view(head.reason));
  for (const HeaderField& field : head.fields) {
    if (!IsHopByHop(head, field.name) && !EqualsIgnoringCase(field.name, "Content-Length")) {
      text += fmt::format("{}: {}\r\n", field.name, field.value);
    }
  }
  if (framing == BodyFraming::kChunked) {
    text += "Transfer-Encoding: chunked\r\n";
  } else if (head.status != 204 && head.status != 304) {
    text += fmt::format("Content-Length: {}\r\n", body_bytes);
  }
  if (close) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  return text;
}

std::string FormatResponse(int status,
                           std::string_view content_type,
                           std::string_view body,
                           std::string_view extra_fields,
                           bool close) {
  return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n{}{}\r\n{}",
                     status, internal::ReasonPhrase(status), content_type, body.size(),
                     extra_fields, close ? "Connection: close\r\n" : "", body);
}

std::string FormatChunk(std::string_view bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

}  // namespace snipeturn::loop
