#pragma once

#include <chrono>
#include <limits>
#include <map>
#include <string>

#include "snipeturn/entry/fwd.h"

namespace snipeturn::entry {

/// What the routes to a service need of it when they compete for its capacity.
struct Contention {
  /// Routes of different priority lead to the service, and the less urgent one has at least twice
  /// the time of the more urgent one.
  bool has_classes{false};
  /// Latency objective of the most urgent route: with classes, the shortest one of a more urgent
  /// route, else the shortest one.
  std::chrono::milliseconds urgent_objective{0};
  /// Requests of a higher priority number are less urgent; none is without classes.
  int urgent_priority{std::numeric_limits<int>::max()};
};

/// By service.
using ContentionTable = std::map<std::string, Contention>;

/// @brief Finds out which services have routes that compete. Called once for each configuration.
[[nodiscard]] ContentionTable FindContention(const DesiredState& desired);

/// @brief What the routes to a service need if it is subject to the decisions for hard load.
/// @return The needs, or nullptr if the service is served in the order of its requests: no classes
///     of routes compete for it, and its upstreams don't state how long work takes.
[[nodiscard]] const Contention* ContentionOf(const State& state, const std::string& service);

/// @brief Tells whether a service is subject to the decisions for hard load.
[[nodiscard]] bool IsContended(const State& state, const std::string& service);

/// @brief Tells whether a request has time to leave capacity to more urgent ones of its service.
[[nodiscard]] bool IsLessUrgent(const Contention& contention, const Request& request) noexcept;

}  // namespace snipeturn::entry
