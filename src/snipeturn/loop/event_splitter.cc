#include "snipeturn/loop/event_splitter.h"

#include <charconv>

namespace snipeturn::loop {
namespace internal {
namespace {

std::optional<std::uint64_t> FindId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (line.substr(0, kField.size()) != kField) {
      continue;
    }
    line.remove_prefix(kField.size());
    if (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc{}) {
      return id;
    }
  }
  return std::nullopt;
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
      StreamEvent event;
      event.bytes = buffer_.substr(event_start_, line_start_ - event_start_);
      event.id = internal::FindId(event.bytes);
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
