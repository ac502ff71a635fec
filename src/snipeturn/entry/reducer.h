#pragma once

#include <optional>

#include "snipeturn/entry/effect.h"
#include "snipeturn/entry/event.h"
#include "snipeturn/entry/state.h"

namespace snipeturn::entry {

/// @brief Applies one event to the state and returns the effects to carry out. Has no side effects
///     other than on `state`.
/// @param state The entry state.
/// @param event What happened.
/// @param now When it happened, on a clock that includes time during which the host was suspended.
/// @return Effects in the order in which they are to be carried out.
[[nodiscard]] Effects Reduce(State& state, const Event& event, TimePoint now);

/// @brief Tells whether this host is ready for new connections of callers.
[[nodiscard]] bool IsReady(const State& state, TimePoint now) noexcept;

}  // namespace snipeturn::entry
