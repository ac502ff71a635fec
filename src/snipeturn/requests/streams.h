#pragma once

#include "snipeturn/requests/event_scope.h"

namespace snipeturn::internal {

/// @brief Resumes the generation of a caller's cursor.
/// @param request The admitted request, with the position of the cursor.
void StartFromCursor(EventScope& scope, Request& request);

/// @brief Handles a token of the request's open attempt.
void HandleToken(EventScope& scope, Request& request, const AttemptToken& token);

/// @brief Handles the end of the open attempt of a completion.
void HandleGenerationEnded(EventScope& scope, Request& request, const AttemptEnded& ended);

}  // namespace snipeturn::internal
