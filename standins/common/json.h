#pragma once

#include <json/value.h>

#include <optional>
#include <string>

namespace snipeturn::standin {

/// @brief Parses a JSON text.
/// @param text The text.
/// @return The value, or nothing when the text is not JSON.
[[nodiscard]] std::optional<Json::Value> ParseJson(const std::string& text);

/// @brief Writes a JSON value on one line.
/// @param value The value.
/// @return The text.
[[nodiscard]] std::string WriteJson(const Json::Value& value);

}  // namespace snipeturn::standin
