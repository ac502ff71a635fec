#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace snipeturn::rollout {

/// An operator's order to move a service's traffic to the upstreams of another version.
struct Order {
  std::string service;
  /// The version that is to take over.
  std::string target;
  /// Time limit, counted from the order.
  std::chrono::milliseconds duration{0};
  /// Position of the order's record; a repeated order is a new one.
  std::uint64_t offset{0};
  std::uint64_t era{0};
};

enum class Phase : std::uint8_t {
  /// The target gets a small share of the requests.
  kCanary,
  /// New requests go to the target, and streams at the old upstreams end or are moved.
  kPromoting,
  kSucceeded,
  kRolledBack,
};

/// @brief Name of a phase in log lines and in load tables.
[[nodiscard]] constexpr std::string_view ToString(Phase phase) noexcept {
  switch (phase) {
    case Phase::kCanary:
      return "canary";
    case Phase::kPromoting:
      return "promoting";
    case Phase::kSucceeded:
      return "succeeded";
    case Phase::kRolledBack:
      return "rolled_back";
  }
  return "";
}

/// @brief Tells whether a roll-out has ended with a verdict.
[[nodiscard]] constexpr bool IsFinal(Phase phase) noexcept {
  return phase == Phase::kSucceeded || phase == Phase::kRolledBack;
}

}  // namespace snipeturn::rollout
