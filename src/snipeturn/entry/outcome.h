#pragma once

#include <string_view>

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/event_scope.h"
#include "snipeturn/entry/request.h"

namespace snipeturn::entry::internal {

/// @brief Passes on to the caller what has arrived of a stream.
/// @param scope State, effects and time of the event.
/// @param request The stream; its response has begun from then on.
/// @param attempt The attempt from which the events came; still known to the event loop.
void RelayStream(EventScope& scope, Request& request, const Attempt& attempt);

/// @brief Handles the end of an attempt: relays the response, retries the request, or responds with
///     an error.
///
/// A request is retried, or refused as not run, only if it provably did not run. An idempotent or
/// resumable one may be retried after any failure, within its number of upstreams and the retry
/// budget.
void HandleAttemptEnd(EventScope& scope, const AttemptEnded& event);

/// @brief Continues a stream whose generation is lost, or breaks it.
///
/// Handles engines that crash or disappear while streams run. A stream of a resumable route
/// continues with a new generation after the last event that the caller has, if its number of
/// upstreams, the retry budget and the engines' room allow it. Any other stream is broken.
/// @param scope State, effects and time of the event.
/// @param request A started stream without a running attempt or migration, whose run has stopped or
///     can't be reached.
/// @param result Result of its last attempt.
/// @param reason Reason code if the stream is broken.
void RetryOrBreakStream(EventScope& scope,
                        Request& request,
                        AttemptResult result,
                        std::string_view reason);

/// @brief Handles new events of a stream.
void HandleStreamProgress(EventScope& scope, const StreamProgressed& event);

}  // namespace snipeturn::entry::internal
