#pragma once

#include <optional>

#include "snipeturn/entry/effect.h"
#include "snipeturn/entry/event.h"
#include "snipeturn/entry/state.h"

namespace snipeturn::entry {

/// @brief Takes one event: changes the state and returns what is to be done. Pure but for `state`.
/// @param state The entry state.
/// @param event What happened.
/// @param now When it happened, on a clock that counts the time in which the host stood still.
/// @return Effects in the order in which they are to be done.
[[nodiscard]] Effects Reduce(State& state, const Event& event, TimePoint now);

/// @brief Tells whether new connections of callers are welcome here.
[[nodiscard]] bool IsReady(const State& state, TimePoint now) noexcept;

}  // namespace snipeturn::entry
