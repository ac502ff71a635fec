#pragma once

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/event_scope.h"
#include "snipeturn/entry/request.h"
#include "snipeturn/entry/upstream.h"

namespace snipeturn::entry::internal {

/// @brief Counts a send in the exposure of its service's roll-out, before it is counted in the
///     request.
void CountRolloutSend(EventScope& scope, const Request& request, const Upstream& upstream);

/// @brief Records how an attempt ended.
void RecordAttemptEvidence(EventScope& scope,
                           const Request& request,
                           const Attempt& attempt,
                           const AttemptEnded& event);

/// @brief Records the time to the first event of a stream.
void RecordFirstEventEvidence(EventScope& scope, const Request& request, const Attempt& attempt);

/// @brief Records the attempts of a request that have no response so far, though they were sent
///     before another one that has, or though the request's time is up. Their times are lower
///     bounds; without them a version that hangs would have no times at all.
/// @param before Only attempts that were sent before it.
void RecordOverdueEvidence(EventScope& scope, const Request& request, TimePoint before);

}  // namespace snipeturn::entry::internal
