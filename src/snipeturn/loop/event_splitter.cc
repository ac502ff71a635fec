#include "snipeturn/loop/event_splitter.h"

#include <charconv>
#include <utility>

namespace snipeturn::loop {
namespace internal {
namespace {

/// Returns the value of a line "name: value" or "name:value"; nothing for another line.
std::optional<std::string_view> FieldValue(std::string_view line, std::string_view name) {
  if (line.substr(0, name.size()) != name) {
    return std::nullopt;
  }
  line.remove_prefix(name.size());
  if (line.empty()) {
    return line;
  }
  if (line.front() != ':') {
    return std::nullopt;
  }
  line.remove_prefix(line.size() > 1 && line[1] == ' ' ? 2 : 1);
  return line;
}

StreamEvent ParseEvent(std::string bytes) {
  StreamEvent event;
  event.bytes = std::move(bytes);
  std::string_view rest = event.bytes;
  while (!rest.empty()) {
    const std::size_t end = rest.find('\n');
    std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    event.has_data = event.has_data || FieldValue(line, "data");
    const auto text = event.id ? std::nullopt : FieldValue(line, "id");
    std::uint64_t id = 0;
    if (text && std::from_chars(text->data(), text->data() + text->size(), id).ec == std::errc{}) {
      event.id = id;
    }
  }
  return event;
}

}  // namespace
}  // namespace internal

void EventSplitter::Append(std::string_view bytes) {
  buffer_.append(bytes.data(), bytes.size());
}

std::optional<StreamEvent> EventSplitter::Next() {
  std::size_t line_end = buffer_.find('\n', searched_);
  while (line_end != std::string::npos) {
    const std::string_view line(buffer_.data() + line_start_, line_end - line_start_);
    const bool is_blank = line.empty() || line == "\r";
    searched_ = line_start_ = line_end + 1;
    if (is_blank && has_content_) {
      StreamEvent event =
          internal::ParseEvent(buffer_.substr(event_start_, line_start_ - event_start_));
      event_start_ = line_start_;
      has_content_ = false;
      return event;
    }
    has_content_ = has_content_ || !is_blank;
    line_end = buffer_.find('\n', searched_);
  }
  // Erased once per read, not once per event, so that many small events take linear time.
  buffer_.erase(0, event_start_);
  line_start_ -= event_start_;
  event_start_ = 0;
  searched_ = buffer_.size();
  return std::nullopt;
}

}  // namespace snipeturn::loop
