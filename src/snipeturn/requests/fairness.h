#pragma once

#include <cstdint>
#include <vector>

#include "snipeturn/requests/event_scope.h"

namespace snipeturn::internal {

/// @brief Charges a request for its expected tokens when it gets a slot. Without that, one
///     organisation could take all free slots before its first token is charged.
void ChargeAtStart(EventScope& scope, Request& request);

/// @brief Charges tokens beyond those charged at the start.
void ChargeToken(EventScope& scope, Request& request);

/// @brief Refunds the charge for tokens that were not generated.
void RefundAtEnd(EventScope& scope, const Request& request);

/// @brief Share of an organisation: its served tokens divided by its weight.
/// @param scope The scope of the event.
/// @param request A request of the organisation.
/// @return The share; the organisation with the lowest one is served first.
[[nodiscard]] double ShareOf(EventScope& scope, const Request& request);

/// @brief Decays the accounts of all organisations exponentially.
void DecayServed(EventScope& scope);

}  // namespace snipeturn::internal
