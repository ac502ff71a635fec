#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "snipeturn/settings/options.h"
#include "snipeturn/settings/schema.h"

namespace snipeturn {

/// Largest configuration of a daemon, in bytes.
inline constexpr std::size_t kMaxOptionsSize = 1024 * 1024;

/// Why options could not be read.
enum class OptionsReason : std::uint8_t { kNone, kUnreadable, kTooLarge, kNotJson, kInvalid };

/// Why options could not be read.
struct OptionsFailure {
  OptionsReason reason{OptionsReason::kNone};
  /// Paths of the invalid values within the file, with what is allowed there; at least one.
  std::vector<DocumentFault> faults;
};

/// @brief Reads a daemon's options from JSON text that follows schema/daemon.json.
/// @param text The text, at most kMaxOptionsSize bytes.
/// @param failure Receives the reason when there is no result.
/// @return The options, or nothing.
[[nodiscard]] std::optional<Options> ParseOptions(std::string_view text, OptionsFailure& failure);

/// @brief Reads a daemon's options from a file.
/// @param file Name of the file.
/// @param failure Receives the reason when there is no result.
/// @return The options, or nothing.
[[nodiscard]] std::optional<Options> ReadOptionsFile(const std::string& file,
                                                     OptionsFailure& failure);

}  // namespace snipeturn
