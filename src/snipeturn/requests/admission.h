#pragma once

#include "snipeturn/requests/event_scope.h"
#include "snipeturn/requests/refusal.h"

namespace snipeturn::internal {

/// @brief Checks a new request and starts it, or refuses it.
void Admit(EventScope& scope, const CallerRequest& call);

/// @brief Checks that this host accepts new work and that an upstream is eligible for it.
/// @param scope The scope of the event.
/// @param request The request.
/// @return The reason for a refusal, or nullptr.
[[nodiscard]] const Refusal* CheckCanStart(const EventScope& scope, const Request& request);

}  // namespace snipeturn::internal
