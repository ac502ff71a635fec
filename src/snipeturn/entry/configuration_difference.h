#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "snipeturn/entry/desired_state.h"

namespace snipeturn::entry {

enum class ChangeKind : std::uint8_t { kAdded, kRemoved, kChanged };

/// @brief Name of a kind of change in messages.
[[nodiscard]] constexpr std::string_view ToString(ChangeKind kind) noexcept {
  switch (kind) {
    case ChangeKind::kAdded:
      return "added";
    case ChangeKind::kRemoved:
      return "removed";
    case ChangeKind::kChanged:
      return "changed";
  }
  return "";
}

/// A difference between two versions of the configuration.
struct ConfigurationChange {
  ChangeKind kind{ChangeKind::kChanged};
  /// "route a.example/x/", "service chat", "organisation t1", "limits".
  std::string subject;
  /// What callers or operators notice.
  std::string effect;
};

/// @brief Compares two versions of the configuration. Routes are the same if host and path prefix
///     are. Keys of callers stand in no message.
/// @param before The version in force.
/// @param after The version that is to replace it.
/// @return The changes: routes, services, organisations, limits.
[[nodiscard]] std::vector<ConfigurationChange> CompareConfigurations(const DesiredState& before,
                                                                     const DesiredState& after);

/// @brief Tells whether a host that has one version adopts another one.
[[nodiscard]] bool IsNewerVersion(const DesiredState& before, const DesiredState& after) noexcept;

}  // namespace snipeturn::entry
