#pragma once

#include <json/value.h>

#include <chrono>
#include <string>
#include <vector>

#include "snipeturn/base/time.h"

namespace snipeturn {

/// Id that matches the result of an append to the append.
using AppendId = std::uint64_t;

/// A record read from the platform's log.
struct LogRecord {
  LogOffset offset{0};
  /// How long ago the log accepted it.
  std::chrono::milliseconds age{0};
  Json::Value value;
};

/// Event: a successful read of a log stream. Reads of one stream are reported in order.
struct LogRead {
  std::string stream;
  /// When the read began. If the records reach `next`, they include all that the log accepted
  /// before this time.
  TimePoint began{};
  /// The requested offset.
  LogOffset from{0};
  /// Offset of the oldest record that the log retains.
  LogOffset oldest{0};
  /// Offset that the next record of the stream will get.
  LogOffset next{0};
  std::chrono::milliseconds retention{0};
  std::vector<LogRecord> records;
};

/// Event: a read of a log stream failed.
struct LogReadFailed {
  std::string stream;
};

/// Event: the log confirmed an append.
struct LogAppended {
  AppendId id{0};
  LogOffset offset{0};
};

/// Event: an append was refused or got no response. Unless it was refused, the record may have been
/// written.
struct LogAppendFailed {
  AppendId id{0};
  bool refused{false};
};

/// Stream of the operators' settings.
inline constexpr char kSettingsStream[] = "settings";
/// Stream of the epoch records.
inline constexpr char kMembersStream[] = "members";
/// Prefix of the claim streams; the number of the shard follows.
inline constexpr char kClaimsStreamPrefix[] = "claims-";

}  // namespace snipeturn
