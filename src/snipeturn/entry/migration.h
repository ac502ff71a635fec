#pragma once

#include <chrono>
#include <string_view>

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/event_scope.h"

namespace snipeturn::entry::internal {

/// @brief Schedules live migration of all generations that this host runs at a leaving upstream.
///
/// A reclaimed engine stops before long generations end. Their memory is therefore copied while
/// they run, in rounds until little is missing, and a generation is stopped only for the final
/// round.
void ScheduleMigrationsFrom(EventScope& scope, const Upstream& upstream);

/// @brief Schedules the next step of a request's migration, or the check whether it needs one.
void ScheduleMigration(EventScope& scope, const Request& request, std::chrono::milliseconds delay);

/// @brief Gives up copies at targets that leave, pause or are out of service, where another engine
///     has room; their generations start to move there.
void ReplaceTargets(EventScope& scope);

/// @brief Frees the copy of a request's generation, if it has one: now, or when the pending copy
///     call ends.
void ReleaseCopy(EventScope& scope, const Request& request);

/// @brief Starts or continues the migration of a request whose timer fired.
void AdvanceMigration(EventScope& scope, Request& request);

/// @brief Handles the end of a copy round.
void HandleCopyEnd(EventScope& scope, const CopyEnded& event);

/// @brief Handles the end of an attempt of a request that is being migrated or has been resumed
///     from a copy.
/// @param scope State, effects and time of the event.
/// @param request The request.
/// @param attempt The attempt; already removed from the request.
/// @param event How it ended.
void HandleMigratingAttemptEnd(EventScope& scope,
                               Request& request,
                               const Attempt& attempt,
                               const AttemptEnded& event);

/// @brief Continues a stream that ended before its last event, or breaks it.
///
/// An engine may work on when the connection of a stream ends. One that supports migration is
/// called to stop the run first: if it has the run, the stream goes on from its memory at another
/// engine. Only a run that has stopped, or whose engine can't be reached, is followed by a new one.
/// @param scope State, effects and time of the event.
/// @param request A started stream without a running attempt or migration.
/// @param attempt Its last attempt; already removed from the request.
/// @param result How the attempt ended.
/// @param reason Reason code if the stream is broken.
void ContinueLostStream(EventScope& scope,
                        Request& request,
                        const Attempt& attempt,
                        AttemptResult result,
                        std::string_view reason);

/// @brief Ends a migration after the first event of the resumed stream.
void FinishMigration(EventScope& scope, Request& request);

}  // namespace snipeturn::entry::internal
