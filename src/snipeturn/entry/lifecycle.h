#pragma once

#include <optional>
#include <string_view>

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/event_scope.h"

namespace snipeturn::entry::internal {

/// @brief Takes a caller's request: route, key, service; refuses it or queues it.
void HandleArrival(EventScope& scope, const RequestArrived& event);

/// @brief The caller has closed its connection: all work for it stops.
void HandleCallerDisconnect(EventScope& scope, const CallerDisconnected& event);

/// @brief Answers with an error of this host and ends the request.
/// @param work The event's work.
/// @param request The request; it is gone afterwards.
/// @param status 503 only when the request has not run and never will.
/// @param reason Stable reason code.
/// @param retry_after When the caller should return; only with 503.
void RefuseRequest(EventScope& scope,
                   Request& request,
                   int status,
                   std::string_view reason,
                   std::optional<std::chrono::milliseconds> retry_after = std::nullopt);

/// @brief Ends a stream that can't go on, by closing the caller's connection.
void BreakRequest(EventScope& scope, Request& request, std::string_view reason);

/// @brief Passes a whole answer on and ends the request.
void ForwardResponse(EventScope& scope, Request& request, AttemptKey attempt, int status);

/// @brief Ends a complete stream.
void CompleteStream(EventScope& scope, Request& request, AttemptKey attempt);

/// @brief The request's time is up.
void ExpireRequest(EventScope& scope, Request& request);

/// @brief Closes the connections of all sends of a request.
void CancelAttempts(EventScope& scope, Request& request);

/// @brief Ends a request that has its answer: abandons what is left of it.
void EndRequest(EventScope& scope, Request& request);

}  // namespace snipeturn::entry::internal
