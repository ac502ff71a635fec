#pragma once

#include <json/value.h>

#include <map>
#include <optional>
#include <string>

#include "snipeturn/settings/path.h"
#include "snipeturn/settings/schema.h"
#include "snipeturn/settings/settings.h"

namespace snipeturn {

/// An operator's write, as stored in the log.
struct SettingsWrite {
  std::string path;
  /// Null deletes the value at the path.
  Json::Value value;
  /// Offset of the newest record that the writer knew; no value if it knew none.
  std::optional<LogOffset> based_on;
  std::string writer;
  std::string write_id;
};

/// The verdict on a write with the reason for a rejection.
struct WriteCheck {
  SettingsVerdict verdict{SettingsVerdict::kAccepted};
  /// Why the write is invalid, or what it conflicts with.
  DocumentFault fault;
  /// Offset of the conflicting record, for kConflict.
  LogOffset conflict{0};
  /// The tree after the write, for kAccepted.
  Json::Value tree;
};

/// @brief Creates the log record of a write.
/// @param write The write.
/// @return {"path", "value", "based_on", "writer", "write_id"}.
[[nodiscard]] Json::Value MakeWriteRecord(const SettingsWrite& write);

/// @brief Parses the log record of a write.
/// @param record The record's value.
/// @param fault Receives the reason when the record is malformed.
/// @return The write, or nothing.
[[nodiscard]] std::optional<SettingsWrite> ParseWriteRecord(const Json::Value& record,
                                                            DocumentFault& fault);

/// @brief Finds the newest accepted change at, above or below a path.
/// @param versions Offset of the last accepted record by path.
/// @param path The path, as text of a valid path.
/// @return The offset, or nothing when there is none.
[[nodiscard]] std::optional<LogOffset> VersionOf(const std::map<std::string, LogOffset>& versions,
                                                 const std::string& path);

/// @brief Decides whether a write is accepted. The verdict depends only on the record, the tree and
///     the versions, so that all hosts reach the same one.
/// @param state The settings before the write.
/// @param write The write.
/// @param offset The record's offset; nothing before the append.
/// @return The verdict.
[[nodiscard]] WriteCheck CheckWrite(const SettingsState& state,
                                    const SettingsWrite& write,
                                    std::optional<LogOffset> offset);

/// @brief Applies an accepted write to the tree and the versions; the catalog is not rebuilt.
/// @param state The settings.
/// @param write The write.
/// @param offset The record's offset.
/// @param tree The tree after the write.
void ApplyWrite(SettingsState& state,
                const SettingsWrite& write,
                LogOffset offset,
                Json::Value tree);

/// @brief Creates the response to a write whose verdict is known.
/// @param request The operator's request number.
/// @param check The verdict.
/// @param offset The record's offset; nothing when the write was refused before the append.
/// @return Status 200, 409 or 422 with the details.
[[nodiscard]] RespondToOperator MakeWriteResponse(OperatorRequestId request,
                                                  const WriteCheck& check,
                                                  std::optional<LogOffset> offset);

}  // namespace snipeturn
