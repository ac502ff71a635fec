#pragma once

#include <algorithm>
#include <cstddef>

namespace snipeturn::loop {

/// How many descriptors a process may use, and how many of them are kept free of callers.
struct DescriptorBudget {
  /// Listeners, log, timers, the peers' socket and the store's connections, with some to spare.
  static constexpr std::size_t kFixed = 24;
  /// Connections of readiness checks, and as many of readers of the metrics.
  static constexpr std::size_t kProbes = 16;
  /// Part (1/n) that only connections to upstreams use.
  static constexpr std::size_t kUpstreamDivisor = 8;
  /// Callers' connections that are accepted however small the limit is.
  static constexpr std::size_t kMinCallers = 8;

  std::size_t limit{0};

  /// @return Connections of all kinds up to which callers' connections are accepted.
  [[nodiscard]] constexpr std::size_t for_callers() const noexcept {
    const std::size_t reserve = kFixed + 2 * kProbes + limit / kUpstreamDivisor;
    return std::max(kMinCallers, limit - std::min(limit, reserve));
  }
  /// @return Connections of all kinds up to which connections to upstreams are opened without
  ///     closing an idle caller's.
  [[nodiscard]] constexpr std::size_t for_upstreams() const noexcept {
    return std::max(kMinCallers, limit - std::min(limit, kFixed + 2 * kProbes));
  }
};

}  // namespace snipeturn::loop
