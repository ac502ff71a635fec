#pragma once

#include <chrono>

#include "snipeturn/rollout/order.h"
#include "snipeturn/rollout/verdict.h"

namespace snipeturn::rollout {

/// What decides about the next phase of a roll-out.
struct ProgressInputs {
  /// Time since the order, and its time limit.
  std::chrono::milliseconds age{0};
  std::chrono::milliseconds duration{0};
  Judgement judgement;
  /// Requests still run at upstreams of the old version.
  bool is_old_in_use{false};
};

/// @brief Returns the phase that a roll-out should have. `kSucceeded` is due, and takes effect when
///     the store has recorded it.
///
/// A version that turns bad late shows it during three quarters of the time; the rest is for the
/// move. A verdict that isn't clear by then is put off for an eighth.
[[nodiscard]] Phase NextPhase(Phase phase, const ProgressInputs& inputs) noexcept;

/// @brief Tells whether new requests may still go to the old version while the target has no room:
///     in the first half of the move, so that the old upstreams have ended their work at its end.
[[nodiscard]] bool MayFallBack(std::chrono::milliseconds age,
                               std::chrono::milliseconds duration) noexcept;

}  // namespace snipeturn::rollout
