#pragma once

#include "snipeturn/requests/event_scope.h"

namespace snipeturn::internal {

/// @brief Queues a new request and dispatches it if a slot is free. Otherwise refuses it if the
///     queue is full or its deadline can't be met.
void Enqueue(EventScope& scope, Request& request);

/// @brief Puts a request that was already admitted back into the queue.
void Requeue(EventScope& scope, Request& request);

/// @brief Assigns free slots to waiting requests by class, fairness and deadline.
void Dispatch(EventScope& scope);

/// @brief Dispatches now, or a few milliseconds later if the last dispatch was just before.
void DispatchSoon(EventScope& scope);

}  // namespace snipeturn::internal
