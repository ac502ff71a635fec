#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace snipeturn {

/// A server-sent event (WHATWG HTML, section 9.2).
struct SseEvent {
  /// Empty for the default type.
  std::string event;
  std::string id;
  std::string data;
};

/// Incremental parser of server-sent events; the stream may be split at any byte.
class SseParser {
 public:
  /// @brief Creates a parser.
  /// @param max_event Maximum size of one event in bytes; a longer event stops the parser.
  explicit SseParser(std::size_t max_event = std::size_t{1} << 20U) : max_event_(max_event) {}

  /// @brief Parses the next piece of the stream.
  /// @param piece The next bytes.
  /// @return The events completed by this piece.
  [[nodiscard]] std::vector<SseEvent> Feed(std::string_view piece);

  /// @return True after an event exceeded the maximum size.
  [[nodiscard]] bool has_overflowed() const noexcept { return has_overflowed_; }

 private:
  void ProcessLine(std::vector<SseEvent>& events);
  void SetField(std::string_view name, std::string_view value);

  std::size_t max_event_;
  std::string line_;
  SseEvent current_;
  bool has_data_{false};
  bool after_carriage_return_{false};
  bool has_overflowed_{false};
};

/// @brief Encodes an event.
/// @param event The event; its data may consist of several lines.
/// @return The encoded event with its final empty line.
[[nodiscard]] std::string WriteSse(const SseEvent& event);

}  // namespace snipeturn
