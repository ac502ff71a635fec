#pragma once

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snipeturn {

/// @brief Parses one JSON value strictly: no comments, no duplicate members, no trailing text and a
/// nesting depth of at most 64.
/// @param text The JSON text.
/// @param last_reason Receives the reason when parsing fails.
/// @return The value, or nothing.
[[nodiscard]] std::optional<Json::Value> ParseJson(std::string_view text, std::string& last_reason);

/// @brief Serializes a value without whitespace.
/// @param value The value.
/// @return The JSON text.
[[nodiscard]] std::string WriteJson(const Json::Value& value);

/// @brief Parses an unsigned decimal number without whitespace.
/// @param text The digits.
/// @return The number, or nothing when the text is not a number or exceeds 64 bits.
[[nodiscard]] std::optional<std::uint64_t> ParseNumber(std::string_view text) noexcept;

}  // namespace snipeturn
