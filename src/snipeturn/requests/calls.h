#pragma once

#include "snipeturn/requests/event_scope.h"

namespace snipeturn::internal {

/// @brief Starts the claim of a non-idempotent call.
void StartClaim(EventScope& scope, Request& request);

/// @brief Acts on the claims module's decision on a call.
void HandleClaimDecision(EventScope& scope, Request& request, const ClaimDecision& decision);

/// @brief Handles the end of the open attempt of a call.
void HandleCallEnded(EventScope& scope, Request& request, const AttemptEnded& ended);

}  // namespace snipeturn::internal
