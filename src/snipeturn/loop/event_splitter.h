#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snipeturn::loop {

/// One server-sent event with its bytes unchanged.
struct StreamEvent {
  std::string bytes;
  /// Number in the "id" line, if there is one.
  std::optional<std::uint64_t> id;
  /// Without data it is a comment or fields alone, which the media type doesn't count as an event.
  bool has_data{false};
};

/// Splits a response body into server-sent events; only complete events are returned. Blank lines
/// before an event are part of it. The time is linear in the bytes, whatever they are.
class EventSplitter {
 public:
  void Append(std::string_view bytes);

  /// @return The next complete event with the blank line that ends it, or nothing.
  [[nodiscard]] std::optional<StreamEvent> Next();

  /// @return Buffered bytes that belong to no complete event.
  [[nodiscard]] std::size_t incomplete_bytes() const noexcept {
    return buffer_.size() - event_start_;
  }

  /// @return Whether an event or a line has begun that isn't complete.
  [[nodiscard]] bool has_incomplete_event() const noexcept {
    return has_content_ || line_start_ != buffer_.size();
  }

 private:
  std::string buffer_;
  /// Positions in the buffer: of the event, of its current line, and of the bytes that haven't been
  /// searched for the end of that line.
  std::size_t event_start_{0};
  std::size_t line_start_{0};
  std::size_t searched_{0};
  /// The event has a line that isn't blank.
  bool has_content_{false};
};

}  // namespace snipeturn::loop
