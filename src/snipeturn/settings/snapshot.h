#pragma once

#include <json/value.h>

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "snipeturn/settings/settings.h"

namespace snipeturn {

/// Maximum number of changes in the history.
inline constexpr std::size_t kMaxHistory = 256;
/// Maximum number of changes in a snapshot. They hold the verdicts of pending writes whose records
/// a host skips because it applies a copy.
inline constexpr std::size_t kMaxSnapshotHistory = 32;

/// The settings as of an offset of the log.
struct SettingsSnapshot {
  /// All records below this offset are covered.
  LogOffset applied{0};
  Json::Value tree;
  std::map<std::string, LogOffset> versions;
  std::deque<SettingsChange> history;
};

/// @brief Parses a snapshot from MakeSnapshot.
/// @param json The snapshot.
/// @return The snapshot, or nothing when it is malformed or its tree is invalid.
[[nodiscard]] std::optional<SettingsSnapshot> ParseSnapshot(const Json::Value& json);

/// @brief Returns the name of a verdict in snapshots and responses.
/// @param verdict The verdict.
/// @return "accepted", "conflict" or "invalid".
[[nodiscard]] const char* ToString(SettingsVerdict verdict) noexcept;

/// @brief Describes a change for operators and snapshots.
/// @param change The change.
/// @return {"offset", "write_id", "path", "writer", "verdict", "detail"}.
[[nodiscard]] Json::Value DescribeChange(const SettingsChange& change);

}  // namespace snipeturn
