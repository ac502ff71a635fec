#pragma once

#include <json/value.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "snipeturn/base/time.h"
#include "snipeturn/base/timers.h"
#include "snipeturn/reducer/effect.h"
#include "snipeturn/reducer/event.h"
#include "snipeturn/settings/catalog.h"

namespace snipeturn {

/// Longest value of a write, as compact JSON.
inline constexpr std::size_t kMaxSettingsValue = 256 * 1024;
/// How long an operator's write waits for its verdict.
inline constexpr std::chrono::seconds kVerdictTimeout{10};

/// Why a record was rejected, or accepted.
enum class SettingsVerdict : std::uint8_t { kAccepted, kConflict, kInvalid };

/// A reduced record, kept for the history and for operators' answers.
struct SettingsChange {
  LogOffset offset{0};
  std::string write_id;
  std::string path;
  std::string writer;
  SettingsVerdict verdict{SettingsVerdict::kAccepted};
  std::string detail;
};

/// An operator's write that waits for its verdict.
struct PendingWrite {
  OperatorRequestId request{0};
  TimePoint expires{};
};

/// Settings in force, reduced from the log stream in order.
struct SettingsState {
  /// False until the state was complete up to the end of the log once; no work is accepted before.
  bool ready{false};
  /// True when the state is that of all records below `applied`.
  bool complete{false};
  Json::Value tree{Json::objectValue};
  /// Offset of the last accepted record by path.
  std::map<std::string, LogOffset> versions;
  /// All records below this offset are reduced.
  LogOffset applied{0};
  Catalog catalog;
  std::deque<SettingsChange> history;
  /// Records read before a snapshot, when the log no longer starts at offset 0.
  std::vector<LogRecord> buffered;
  /// All records from `buffered_from` to below `buffered_to` were read while not complete; nothing
  /// while the state is complete.
  std::optional<LogOffset> buffered_from;
  LogOffset buffered_to{0};
  /// Highest end of the log that a read showed.
  LogOffset known_next{0};
  std::map<std::string, PendingWrite> pending_writes;
  /// Covered offset and age of the newest snapshot seen.
  LogOffset snapshot_covers{0};
  std::optional<TimePoint> snapshot_seen;
  /// When the log accepted the first record that this host read.
  std::optional<TimePoint> first_record;
  std::optional<TimePoint> snapshot_appended;
  std::optional<TimePoint> copy_requested;
  std::uint64_t write_sequence{0};
};

/// What the settings module needs from the membership module.
struct SettingsPeers {
  HostId self;
  /// True when this host ranks highest for re-appending snapshots.
  bool appends_snapshots{false};
  /// A peer to ask for a copy.
  std::optional<std::pair<HostName, Endpoint>> copy_source;
};

/// @brief Reduces records of the settings stream.
/// @param state The settings.
/// @param read A read of the settings stream.
/// @param peers Who this host is and who may help.
/// @param now The current time.
/// @param append_ids Source of append numbers; raised by each use.
/// @param effects Receives appends of snapshots, operators' answers and log lines.
void HandleSettingsRead(SettingsState& state,
                        const LogRead& read,
                        const SettingsPeers& peers,
                        const Now& now,
                        AppendId& append_ids,
                        Effects& effects);

/// @brief Takes a peer's copy when it is further than this host's state.
/// @param state The settings.
/// @param copy The peer's copy.
/// @param now The current time.
/// @param effects Receives operators' answers and log lines.
void HandleSettingsCopy(SettingsState& state,
                        const SettingsCopy& copy,
                        const Now& now,
                        Effects& effects);

/// @brief Makes a copy of the settings for a peer or the log.
/// @param state The settings.
/// @return The snapshot with the offset that it covers.
[[nodiscard]] Json::Value MakeSnapshot(const SettingsState& state);

/// @brief Handles an operator's write: checks it, appends it and waits for its verdict.
/// @param state The settings.
/// @param request The operator's request number.
/// @param command The write.
/// @param self This host, for the write id.
/// @param timers The timer service.
/// @param now The current time.
/// @param append_ids Source of append numbers.
/// @param effects Receives the append, or the answer when the write is refused.
void HandlePutSettings(SettingsState& state,
                       OperatorRequestId request,
                       const PutSettings& command,
                       const HostId& self,
                       Timers& timers,
                       const Now& now,
                       AppendId& append_ids,
                       Effects& effects);

/// @brief Answers writes whose verdict did not arrive in time with outcome "unknown".
/// @param state The settings.
/// @param timers The timer service.
/// @param now The current time.
/// @param effects Receives the answers.
void HandleSettingsTimer(SettingsState& state, Timers& timers, const Now& now, Effects& effects);

/// @brief Value at a path with its version.
/// @param state The settings.
/// @param path The path, "/" for the whole tree.
/// @return {"path", "value", "version", "applied", "ready"}; the value is null when there is none.
///     The version is the newest accepted offset that overlaps with the path, which is what a write
///     is based on; null when there is none.
[[nodiscard]] Json::Value DescribeSettings(const SettingsState& state, const std::string& path);

/// @brief Paths of the objects at and below a path with their versions.
/// @param state The settings.
/// @param path The path, "/" for the whole tree.
/// @return {"path", "applied", "ready", "paths": [{"path", "version"}]}.
[[nodiscard]] Json::Value ListSettingsPaths(const SettingsState& state, const std::string& path);

/// @brief Recent changes at, above and below a path, oldest first.
/// @param state The settings.
/// @param path The path, "/" for all.
/// @return {"path", "applied", "ready", "changes": [{"offset", "write_id", "path", "writer",
///     "verdict", "detail"}]}.
[[nodiscard]] Json::Value DescribeHistory(const SettingsState& state, const std::string& path);

}  // namespace snipeturn
