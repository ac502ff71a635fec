#pragma once

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeturn {

/// The names of a settings path from the root down; empty for "/".
using SettingsPath = std::vector<std::string>;

/// Maximum number of names in a settings path.
inline constexpr std::size_t kMaxPathDepth = 16;
/// Longest name in a settings path, in bytes.
inline constexpr std::size_t kMaxNameLength = 64;
/// Description of the valid paths, for error messages.
inline constexpr std::string_view kAllowedPath =
    "\"/\" or up to 16 names, each after a \"/\", of 1 to 64 letters, digits, dots, underscores "
    "and "
    "hyphens";

/// @brief Parses a path.
/// @param text The path as text.
/// @return The names, or nothing when the text is not a path (see kAllowedPath).
[[nodiscard]] std::optional<SettingsPath> ParseSettingsPath(std::string_view text);

/// @brief Formats a path as text.
/// @param path The names.
/// @return The text.
[[nodiscard]] std::string FormatSettingsPath(const SettingsPath& path);

/// @brief Tells whether two paths are the same, or one is an ancestor of the other.
/// @param left One path, as text of a valid path.
/// @param right The other path, as text of a valid path.
/// @return True when a change at one changes the value at the other.
[[nodiscard]] bool PathsOverlap(std::string_view left, std::string_view right) noexcept;

/// @brief Tells whether a path is the same as another or below it.
/// @param path A path, as text of a valid path.
/// @param ancestor The other path, as text of a valid path.
/// @return True when it is.
[[nodiscard]] bool IsAtOrBelow(std::string_view path, std::string_view ancestor) noexcept;

/// @brief Finds a value in a tree.
/// @param tree The tree.
/// @param path Where to look.
/// @return The value, or nullptr when there is none.
[[nodiscard]] const Json::Value* FindValue(const Json::Value& tree, const SettingsPath& path);

/// @brief Sets the value at a path, and creates the missing objects above it.
/// @param tree The tree.
/// @param path Where to write.
/// @param value The new value; null deletes the value at the path.
/// @return False, without a change, when a value above the path is not an object.
[[nodiscard]] bool SetValue(Json::Value& tree, const SettingsPath& path, const Json::Value& value);

}  // namespace snipeturn
