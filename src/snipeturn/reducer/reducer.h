#pragma once

#include "snipeturn/reducer/effect.h"
#include "snipeturn/reducer/event.h"
#include "snipeturn/reducer/state.h"

namespace snipeturn {

/// @brief Makes the initial state of a daemon.
/// @param options The options of the daemon.
/// @return The state.
[[nodiscard]] State MakeState(Options options);

/// @brief Applies an event to the state. Has no side effects other than changes of `state`.
/// @param state The state of the daemon.
/// @param event The event.
/// @param now The time of the event.
/// @return Effects for the runtime to execute, in this order.
[[nodiscard]] Effects Reduce(State& state, const Event& event, const Now& now);

/// @brief Returns when the next Tick is due.
/// @param state The state of the daemon.
/// @return The time, or std::nullopt if no timer is pending.
[[nodiscard]] std::optional<TimePoint> NextDue(const State& state) noexcept;

}  // namespace snipeturn
