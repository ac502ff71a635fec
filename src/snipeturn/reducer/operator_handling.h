#pragma once

#include "snipeturn/reducer/effect.h"
#include "snipeturn/reducer/event.h"
#include "snipeturn/reducer/state.h"

namespace snipeturn {

/// @brief Handles an operator's request.
/// @param state The state of the daemon.
/// @param request The request.
/// @param now The current time.
/// @param effects Receives the response, unless the request has to wait for an offset.
void HandleOperatorRequest(State& state,
                           const OperatorRequest& request,
                           const Now& now,
                           Effects& effects);

/// @brief Responds to each WaitForOffset whose offset is applied on all hosts or whose timeout
/// passed.
/// @param state The state of the daemon.
/// @param now The current time.
/// @param effects Receives the responses.
void RespondToOffsetWaits(State& state, const Now& now, Effects& effects);

}  // namespace snipeturn
