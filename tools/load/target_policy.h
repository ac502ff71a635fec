#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

#include "snipeturn/base/host.h"

namespace snipeturn::load {

enum class Policy : std::uint8_t {
  /// Calls go to the daemons, round robin over the hosts.
  kSnipeturn,
  /// Calls go directly to the engines and services, round robin, without limits.
  kRoundRobin,
  /// Calls go directly to the engine or service that reported the least load.
  kLeastLoad,
};

/// @brief Parses the name of a policy.
/// @return The policy, or nothing for an unknown name.
[[nodiscard]] std::optional<Policy> ParsePolicy(std::string_view text) noexcept;

/// Chooses a target for each call. Thread-safe.
class TargetPolicy {
 public:
  /// @brief Creates a policy over a list of targets.
  /// @param policy How to choose a target.
  /// @param targets The targets; must not be empty.
  TargetPolicy(Policy policy, std::vector<Endpoint> targets);

  [[nodiscard]] Endpoint Choose();

  /// Reads the load reports of all targets if the policy uses them. The reports are as old as the
  /// engines' report lag.
  void PollLoads();

 private:
  const Policy policy_;
  const std::vector<Endpoint> targets_;
  std::mutex mutex_;
  std::size_t next_{0};
  std::vector<std::int64_t> loads_;
};

}  // namespace snipeturn::load
