#pragma once

#include <cstdint>

#include "snipeturn/rollout/fwd.h"

namespace snipeturn::rollout {

/// Traffic of one host to one service since its order, or since the host's start if that is later.
struct Exposure {
  /// Requests, each counted at its first send.
  std::uint64_t sends{0};
  /// Sends to the target, retries and resumed streams included.
  std::uint64_t target_sends{0};
};

/// @brief Tells whether a host may send one more request to the target.
///
/// Handles any number of hosts that join, leave, freeze or restart without notice: each stays
/// within the share that its own traffic has earned, with nothing in advance, so their sum does,
/// too.
/// @param exposure The host's traffic so far.
/// @param share Largest share of all requests that the target may get.
[[nodiscard]] bool MayUseTarget(const Exposure& exposure, double share) noexcept;

}  // namespace snipeturn::rollout
