#pragma once

#include <optional>
#include <vector>

#include "snipeturn/requests/event_scope.h"

namespace snipeturn::internal {

/// @brief Upstreams that may run a request according to the settings and their own load reports.
/// @param scope The scope of the event.
/// @param request The request.
/// @return The upstreams in order of name.
[[nodiscard]] std::vector<const Upstream*> EligibleUpstreams(const EventScope& scope,
                                                             const Request& request);

/// @brief Chooses an upstream and takes a slot there: by prefix affinity with bounded load, else
///     the one with the most free slots. Upstreams that failed the request come last.
/// @param scope The scope of the event.
/// @param request The request.
/// @param last_reason Receives why there is no grant.
/// @return The grant, or nothing.
[[nodiscard]] std::optional<SlotGrant> TakeSlot(EventScope& scope,
                                                const Request& request,
                                                DenialReason& last_reason);

/// @brief Asks a peer to lend a slot for a request, at an upstream without a pending loan request.
/// @return False when each eligible upstream has a pending loan request.
bool RequestLoanFor(EventScope& scope, const Request& request);

}  // namespace snipeturn::internal
