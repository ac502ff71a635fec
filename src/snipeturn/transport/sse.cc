#include "snipeturn/transport/sse.h"

#include <utility>

namespace snipeturn {

std::vector<SseEvent> SseParser::Feed(std::string_view piece) {
  std::vector<SseEvent> events;
  for (const char character : piece) {
    if (has_overflowed_) {
      break;
    }
    const bool ends_line = character == '\r' || (character == '\n' && !after_carriage_return_);
    const bool follows_return = character == '\n' && after_carriage_return_;
    after_carriage_return_ = character == '\r';
    if (ends_line) {
      ProcessLine(events);
    } else if (!follows_return) {
      line_.push_back(character);
      has_overflowed_ = line_.size() + current_.data.size() > max_event_;
    }
  }
  return events;
}

void SseParser::ProcessLine(std::vector<SseEvent>& events) {
  const std::string line = std::exchange(line_, {});
  if (line.empty()) {
    // An engine may send its "superseded" event without data.
    if (has_data_ || !current_.event.empty()) {
      events.push_back(std::move(current_));
    }
    current_ = {};
    has_data_ = false;
    return;
  }
  const std::string_view text(line);
  const std::size_t colon = text.find(':');
  if (colon == 0) {
    return;
  }
  std::string_view value = colon == std::string_view::npos ? "" : text.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  SetField(text.substr(0, colon), value);
}

void SseParser::SetField(std::string_view name, std::string_view value) {
  if (name == "data") {
    if (has_data_) {
      current_.data.push_back('\n');
    }
    current_.data.append(value);
    has_data_ = true;
  } else if (name == "event") {
    current_.event = value;
  } else if (name == "id") {
    current_.id = value;
  }
}

std::string WriteSse(const SseEvent& event) {
  std::string text;
  if (!event.id.empty()) {
    text += "id: " + event.id + "\n";
  }
  if (!event.event.empty()) {
    text += "event: " + event.event + "\n";
  }
  std::size_t begin = 0;
  while (true) {
    const std::size_t end = event.data.find('\n', begin);
    text += "data: " + event.data.substr(begin, end - begin) + "\n";
    if (end == std::string::npos) {
      break;
    }
    begin = end + 1;
  }
  return text + "\n";
}

}  // namespace snipeturn
