#pragma once

#include "snipeturn/entry/event_scope.h"

namespace snipeturn::entry::internal {

/// @brief Sends a request at once if an upstream has room, else queues it.
void DispatchOrEnqueue(EventScope& scope, Request& request);

/// @brief Sends the queued requests for which there is room now, ordered by priority, then tokens
///     recently served to the organisation, then arrival.
void DispatchQueue(EventScope& scope);

/// @brief Sends queued requests if an upstream has come to want another one. Called before a new
///     request is placed, which must not overtake them.
void DispatchDueQueue(EventScope& scope);

/// @brief Handles the end of the maximum queue wait of a request: sends it if there is room now,
///     else refuses it, or breaks its stream if events have already been relayed.
void ExpireQueueWait(EventScope& scope, Request& request);

/// @brief Hedges an idempotent request whose response is overdue: sends it to a second upstream.
void SendHedge(EventScope& scope, Request& request);

/// @brief Starts an attempt of a request at an upstream.
/// @param scope State, effects and time of the event.
/// @param request The request.
/// @param upstream The upstream.
/// @param resume Copy of the generation to resume from; nothing to run the request anew.
void StartAttempt(EventScope& scope,
                  Request& request,
                  Upstream& upstream,
                  std::optional<Resume> resume);

}  // namespace snipeturn::entry::internal
