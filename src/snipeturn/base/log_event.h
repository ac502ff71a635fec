#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace snipeturn {

enum class LogLevel : std::uint8_t { kInfo, kWarning, kError };

/// Number, name and level of one type of log line. All types are listed in log_catalogue.h and
/// docs/events.md.
struct LogEvent {
  int number{0};
  std::string_view name;
  LogLevel level{LogLevel::kInfo};
};

/// Effect: writes a log line.
struct EmitLog {
  LogEvent event;
  /// Fields as "name=value" pairs separated by spaces.
  std::string fields;
};

}  // namespace snipeturn
