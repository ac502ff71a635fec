#pragma once

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/event_scope.h"

namespace snipeturn::entry::internal {

/// @brief Requests a confirmation from a reader of the configuration when this host's own
///     confirmation gets old.
///
/// Reduces the load of the store in a large deployment, where every host would otherwise confirm
/// the callers' keys by reads of its own.
void RequestConfirmationIfOld(EventScope& scope);

/// @brief Replies to another host's request.
void HandleConfirmationRequest(EventScope& scope, const ConfirmationRequested& event);

/// @brief Treats a reader's reply as a read by this host. Its start is the time of this host's
///     request minus the age that the reader's read had when it replied, so that network delays
///     and differing clocks can only make it look older.
void HandleConfirmation(EventScope& scope, const ConfirmationReceived& event);

}  // namespace snipeturn::entry::internal
