#include "snipeturn/runtime/log_line.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <boost/beast/websocket/detail/utf8_checker.hpp>
#include <string_view>

namespace snipeturn {
namespace internal {
namespace {

std::string_view LevelName(LogLevel level) noexcept {
  switch (level) {
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "";
}

}  // namespace
}  // namespace internal

std::string FormatLogLine(const EmitLog& entry, const HostName& host, WallTime time) {
  std::string fields = entry.fields;
  std::replace_if(
      fields.begin(), fields.end(),
      [](unsigned char character) { return character < ' ' || character == 0x7f; }, ' ');
  if (!boost::beast::websocket::detail::check_utf8(fields.data(), fields.size())) {
    // Ids, paths and keys come from others; one such byte would make the whole log unreadable as
    // text.
    std::replace_if(
        fields.begin(), fields.end(), [](unsigned char character) { return character > 0x7f; },
        '?');
  }
  const auto milliseconds = time.time_since_epoch().count() % 1000;
  const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {} {} {}{}{}\n", fmt::gmtime(seconds),
                     milliseconds, internal::LevelName(entry.event.level), entry.event.number,
                     entry.event.name, host, fields.empty() ? "" : " ", fields);
}

}  // namespace snipeturn
