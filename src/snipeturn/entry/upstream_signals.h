#pragma once

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/event_scope.h"

namespace snipeturn::entry::internal {

/// @brief Handles what an upstream says about itself in the head of a response.
void HandleSignals(EventScope& scope, const UpstreamSignalled& event);

}  // namespace snipeturn::entry::internal
