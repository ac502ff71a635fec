#pragma once

#include <chrono>
#include <string_view>

#include "snipeturn/entry/event_scope.h"
#include "snipeturn/entry/request.h"

namespace snipeturn::entry::internal {

/// @brief Returns what is known of the generation at the source of a request's migration.
[[nodiscard]] RunEvidence CollectEvidence(const EventScope& scope, const Request& request);

/// @brief Tells whether a generation may resume at an engine: one in an evacuated zone, or one that
///     left its drain period behind, must get no requests, resumes included.
[[nodiscard]] bool MayResumeAt(const EventScope& scope, const UpstreamId& id);

/// @brief Resumes a generation that has stopped from its copy at an engine.
///
/// If that mustn't get it any more, a source that stopped the generation still has its memory. If
/// neither may get it, the stream is retried or broken.
void ResumeAt(EventScope& scope, Request& request, UpstreamId id);

/// @brief Continues a stream whose generation has stopped from its copy; without one, drops the
///     migration.
/// @param scope State, effects and time of the event.
/// @param request A migrating request.
/// @param state What `JudgeRun` says of the generation; not `kMayRun`.
void ContinueStopped(EventScope& scope, Request& request, RunState state);

/// @brief Continues a generation elsewhere if it is known to have stopped, else calls to stop it
///     after a delay. One that goes on elsewhere while it runs here would be worked on twice.
void ContinueOrStop(EventScope& scope, Request& request, std::chrono::milliseconds delay);

/// @brief Drops the migration of a request, its copy and its attempts.
void DropMigration(EventScope& scope, Request& request);

/// @brief Drops the migration of a request. Without a running attempt, the stream is then retried
///     or broken, so its generation must have stopped.
/// @param scope State, effects and time of the event.
/// @param request A migrating request.
/// @param reason Reason code of the migration's end.
void AbortMigration(EventScope& scope, Request& request, std::string_view reason);

}  // namespace snipeturn::entry::internal
