#pragma once

#include <optional>
#include <string_view>

#include "snipeturn/base/time.h"

namespace snipeturn {

/// @brief Extracts the issue time of an idempotency key, a UUID version 7 (RFC 9562).
/// @param key The UUID as text, 36 characters.
/// @return The issue time, or std::nullopt if the text is not a UUID version 7.
[[nodiscard]] std::optional<WallTime> IssueTime(std::string_view key) noexcept;

}  // namespace snipeturn
