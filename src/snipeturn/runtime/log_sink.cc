#include "snipeturn/runtime/log_sink.h"

#include <utility>

#include "snipeturn/runtime/clock.h"

namespace snipeturn {
namespace internal {
namespace {

constexpr std::size_t kMaxLines = 4096;

}  // namespace
}  // namespace internal

LogSink::LogSink(HostName host, std::FILE* file)
    : host_(std::move(host)), file_(file), pool_("log_lines", 1, internal::kMaxLines) {}

void LogSink::Write(const EmitLog& entry) {
  // The pool counts dropped lines.
  static_cast<void>(
      pool_.Submit([file = file_, line = FormatLogLine(entry, host_, ReadNow().wall)] {
        std::fwrite(line.data(), 1, line.size(), file);
        std::fflush(file);
      }));
}

}  // namespace snipeturn
