#pragma once

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipeturn {

/// The documents that have a schema in the folder schema/.
enum class SchemaKind : std::uint8_t { kDaemon, kZone, kService, kTeam };

/// Why a document is invalid.
struct DocumentFault {
  /// Path of the invalid value.
  std::string path;
  std::string problem;
  /// The values that are allowed at the path; empty when the problem already says it.
  std::string allowed;
};

/// @brief Formats a fault as one message.
/// @param fault The fault.
/// @return "<path>: <problem>; allowed: <allowed>".
[[nodiscard]] std::string ToString(const DocumentFault& fault);

/// @brief Validates a document against its schema.
/// @param kind The schema.
/// @param document The document.
/// @param path Path of the document, the prefix of the fault's path.
/// @return The first fault, or nothing when the document is valid.
[[nodiscard]] std::optional<DocumentFault> CheckSchema(SchemaKind kind,
                                                       const Json::Value& document,
                                                       const std::string& path);

/// @brief Validates a document against its schema.
/// @param kind The schema.
/// @param document The document.
/// @param path Path of the document, the prefix of the faults' paths.
/// @return All faults; those of a value come before those of the values that contain it.
[[nodiscard]] std::vector<DocumentFault> FindSchemaFaults(SchemaKind kind,
                                                          const Json::Value& document,
                                                          const std::string& path);

/// @brief Returns the text of a schema, which is embedded in the program.
/// @param kind The schema.
/// @return The JSON text.
[[nodiscard]] const char* SchemaText(SchemaKind kind) noexcept;

/// @brief Formats a value for a message, truncated to 80 characters.
/// @param value The value.
/// @return Compact JSON; ends in "..." when it is truncated.
[[nodiscard]] std::string ShortJson(const Json::Value& value);

/// @brief Formats a value as compact JSON.
/// @param value The value.
/// @return The text, without a line end.
[[nodiscard]] std::string CompactJson(const Json::Value& value);

}  // namespace snipeturn
