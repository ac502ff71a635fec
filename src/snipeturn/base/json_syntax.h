#pragma once

#include <string>
#include <string_view>

namespace snipeturn {

/// @brief Formats the messages of jsoncpp's reader as one line.
/// @param messages The messages, "* Line 3, Column 5\n  Missing ...\n" each.
/// @return The first error with its place, "line 3, column 5: Missing ...". The later ones follow
/// from the reader's recovery from the first.
[[nodiscard]] inline std::string DescribeSyntaxError(std::string_view messages) {
  const std::string_view marker = "* Line ";
  if (messages.substr(0, marker.size()) != marker) {
    return std::string(messages);
  }
  messages.remove_prefix(marker.size());
  messages = messages.substr(0, messages.find("\n" + std::string(marker)));
  const std::size_t end = messages.find('\n');
  std::string place(messages.substr(0, end));
  const std::size_t column = place.find("Column");
  if (column != std::string::npos) {
    place[column] = 'c';
  }
  std::string text;
  for (const char character : end == std::string_view::npos ? "" : messages.substr(end)) {
    const bool is_space = character == '\n' || character == ' ';
    if (!is_space) {
      text.push_back(character);
    } else if (!text.empty() && text.back() != ' ') {
      text.push_back(' ');
    }
  }
  text.erase(text.find_last_not_of(' ') + 1);
  return "line " + place + ": " + text;
}

}  // namespace snipeturn
