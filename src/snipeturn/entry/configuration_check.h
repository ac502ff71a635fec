#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "snipeturn/entry/desired_state.h"

namespace snipeturn::entry {

/// Something in a configuration that has no effect, or hardly the one that was meant.
struct ConfigurationFinding {
  /// Path of the entry: "routes[3] (checkout)", "services: chat".
  std::string path;
  std::string problem;
};

/// @brief Path of a route for messages.
/// @param desired The configuration.
/// @param index Index of the route.
/// @return "routes[3] (checkout)".
[[nodiscard]] std::string RoutePath(const DesiredState& desired, std::size_t index);

/// @brief Finds entries that no request can use, references to what isn't there, and values that
///     contradict one another. All of them are accepted by a host.
/// @param desired The configuration.
/// @return The findings: those of routes in their order, then services, limits and organisations.
[[nodiscard]] std::vector<ConfigurationFinding> CheckConfiguration(const DesiredState& desired);

}  // namespace snipeturn::entry
