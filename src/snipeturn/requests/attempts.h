#pragma once

#include <string_view>

#include "snipeturn/requests/event_scope.h"

namespace snipeturn::internal {

/// @brief Starts the work of a waiting request on a granted slot.
void StartOnSlot(EventScope& scope, Request& request, SlotGrant grant);

/// @brief Resumes the request's generation after the last delivered token, after a delay if given.
void Resume(EventScope& scope, Request& request, std::chrono::milliseconds backoff);

/// What the failure of an attempt says about its generation.
enum class AttemptFailure {
  /// The engine may have failed.
  kLost,
  /// The engine responded, but with another token than the next one.
  kMisplacedToken,
};

/// @brief Resumes a generation after a failure: at most max_stalled_resumes times without progress,
///     or for some seconds while the engine responds. If the generation is unknown or lost,
///     restarts or refuses the request.
/// @param reason Label of the retry counter.
/// @param failure What the attempt says about the generation.
void Recover(EventScope& scope, Request& request, std::string_view reason, AttemptFailure failure);

/// @brief Puts the request back into the queue for another upstream, within the retry budget.
/// @param reason Label of the retry counter.
/// @param lost True when the attempt may have run; the number of such attempts is limited.
void Restart(EventScope& scope, Request& request, std::string_view reason, bool lost);

/// @brief Tells whether a new generation or call may replace the last attempt.
[[nodiscard]] bool MayRestart(const Request& request) noexcept;

/// @brief Schedules a retry of a call on the same upstream, if that deduplicates calls by key.
/// @return False when a retry is not allowed.
[[nodiscard]] bool RetryOnSameUpstream(EventScope& scope, Request& request);

/// @brief Handles the timer kAttemptProgress: a backoff has ended, or the attempt made no progress.
void HandleAttemptTimer(EventScope& scope, Request& request);

/// @brief Tells whether the retry budget allows a retry; critical work is exempt.
[[nodiscard]] bool MayRetry(EventScope& scope, const Request& request);

/// @brief Counts a request for the retry budget.
void CountRequest(EventScope& scope);

/// @brief Reports to the limits module that the upstream did not run the work, unless this host did
///     not send it because the time to start it had passed.
/// @return Label of the retry counter.
std::string_view RecordNotRun(EventScope& scope, const Request& request, AttemptResult result);

/// @brief Logs an attempt's failure and reports it to the limits module.
void RecordFailure(EventScope& scope, const Request& request, std::string_view reason);

}  // namespace snipeturn::internal
