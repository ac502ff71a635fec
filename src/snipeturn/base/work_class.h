#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace snipeturn {

/// Priority class of a request, highest priority first.
enum class WorkClass : std::uint8_t {
  /// Bookings, deposits and orders.
  kCritical,
  /// Long completions that a person waits for, such as route sheets and release notes.
  kLong,
  /// Short completions, such as labels, lookups and tickets.
  kShort,
};

/// @brief Name of a class as used in settings and metrics.
/// @param work_class The class.
/// @return "critical", "long" or "short".
[[nodiscard]] constexpr std::string_view ToString(WorkClass work_class) noexcept {
  switch (work_class) {
    case WorkClass::kCritical:
      return "critical";
    case WorkClass::kLong:
      return "long";
    case WorkClass::kShort:
      return "short";
  }
  return "";
}

/// @brief Parses the name of a class.
/// @param text The name.
/// @return The class, or std::nullopt if no class has this name.
[[nodiscard]] constexpr std::optional<WorkClass> ParseWorkClass(std::string_view text) noexcept {
  for (const WorkClass candidate : {WorkClass::kCritical, WorkClass::kLong, WorkClass::kShort}) {
    if (ToString(candidate) == text) {
      return candidate;
    }
  }
  return std::nullopt;
}

}  // namespace snipeturn
