#include "snipeturn/loop/log_writer.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <utility>

#include "snipeturn/entry/catalogue.h"
#include "snipeturn/runtime/log_line.h"

namespace snipeturn::loop {
namespace internal {
namespace {

/// Size at which the buffer takes no more lines; about a thousand lines.
constexpr std::size_t kMaxBufferBytes = 256U << 10U;

}  // namespace
}  // namespace internal

LogWriter::LogWriter(std::string host, int descriptor)
    : host_(std::move(host)), descriptor_(descriptor) {
  const int flags = ::fcntl(descriptor_, F_GETFL);
  if (flags >= 0) {
    // If this fails, a write blocks while the reader of the log is slow.
    static_cast<void>(::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK));
  }
}

void LogWriter::Write(const EmitLog& entry, WallTime time) {
  if (buffer_.size() > internal::kMaxBufferBytes) {
    ++dropped_lines_;
    return;
  }
  if (dropped_lines_ != reported_dropped_lines_) {
    const EmitLog dropped{entry::log_events::kLinesDropped,
                          fmt::format("lines={}", dropped_lines_ - reported_dropped_lines_)};
    reported_dropped_lines_ = dropped_lines_;
    buffer_ += FormatLogLine(dropped, host_, time);
  }
  buffer_ += FormatLogLine(entry, host_, time);
}

void LogWriter::Flush() {
  while (!buffer_.empty()) {
    const ssize_t count = ::write(descriptor_, buffer_.data(), buffer_.size());
    if (count <= 0) {
      return;
    }
    buffer_.erase(0, static_cast<std::size_t>(count));
  }
}

}  // namespace snipeturn::loop
