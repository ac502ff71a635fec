#pragma once

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/event_scope.h"

namespace snipeturn::entry::internal {

/// @brief Handles another host's load table, its updates and its read offset. The list is read if
///     updates were lost.
void HandlePeerLoad(EventScope& scope, const PeerLoadReceived& event);

}  // namespace snipeturn::entry::internal
