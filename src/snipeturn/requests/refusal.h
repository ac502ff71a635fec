#pragma once

#include <array>
#include <string_view>

#include "snipeturn/reducer/caller.h"

namespace snipeturn {

/// Lowest HTTP status of a server error.
inline constexpr int kFirstServerError = 500;

/// A kind of refusal or failure, as sent to callers and counted by reason.
struct Refusal {
  /// Stable code; callers may match on it.
  std::string_view reason;
  int status{500};
  /// Outcome that is sent unless an attempt of the request may have run.
  Outcome outcome{Outcome::kUnknown};
  /// The response has a Retry-After header.
  bool retry_later{false};
  std::string_view detail;
};

namespace refusals {

// Admission.
inline constexpr Refusal kSettingsNotReady{"settings_not_ready", 503, Outcome::kNotRun, true,
                                           "the host has not read its settings yet"};
inline constexpr Refusal kDraining{"draining", 503, Outcome::kNotRun, true,
                                   "the host is shutting down"};
inline constexpr Refusal kUnknownKey{"unknown_key", 401, Outcome::kNotRun, false,
                                     "no organisation has this key"};
inline constexpr Refusal kUnknownModel{"unknown_model", 404, Outcome::kNotRun, false,
                                       "the team has no such model"};
inline constexpr Refusal kUnknownApplication{"unknown_application", 400, Outcome::kNotRun, false,
                                             "the team has no such application"};
inline constexpr Refusal kUnknownService{"unknown_service", 404, Outcome::kNotRun, false,
                                         "there is no such service"};
inline constexpr Refusal kNoUpstreamInService{"no_upstream_in_service", 503, Outcome::kNotRun, true,
                                              "no upstream that may do the work is in service"};
inline constexpr Refusal kQueueFull{"queue_full", 503, Outcome::kNotRun, true,
                                    "too many requests wait on this host"};
inline constexpr Refusal kDeadlineUnreachable{"deadline_unreachable", 503, Outcome::kNotRun, true,
                                              "the forecast wait exceeds the deadline"};
inline constexpr Refusal kDeadlinePassed{"deadline_passed", 503, Outcome::kNotRun, true,
                                         "no capacity became free before the deadline"};

// Cursors.
inline constexpr Refusal kCursorWithoutStream{"cursor_without_stream", 400, Outcome::kNotRun, false,
                                              "Last-Event-ID needs a streamed request"};
inline constexpr Refusal kCursorMalformed{"cursor_malformed", 403, Outcome::kNotRun, false,
                                          "Last-Event-ID is not a cursor"};
inline constexpr Refusal kCursorForged{"cursor_forged", 403, Outcome::kNotRun, false,
                                       "the signature of Last-Event-ID does not match"};
inline constexpr Refusal kCursorForeign{"cursor_foreign", 403, Outcome::kNotRun, false,
                                        "the cursor belongs to another organisation"};
inline constexpr Refusal kCursorExpired{"cursor_expired", 410, Outcome::kRan, false,
                                        "the cursor has expired"};

// Calls with an idempotency key.
inline constexpr Refusal kIdempotencyKeyMissing{"idempotency_key_missing", 400, Outcome::kNotRun,
                                                false,
                                                "a non-idempotent call needs an Idempotency-Key"};
inline constexpr Refusal kIdempotencyKeyWithoutTime{"idempotency_key_without_time", 400,
                                                    Outcome::kNotRun, false,
                                                    "the Idempotency-Key is not a UUIDv7"};
inline constexpr Refusal kIdempotencyKeyExpired{
    "idempotency_key_expired", 400, Outcome::kUnknown, false,
    "the Idempotency-Key is older than the records of calls"};
inline constexpr Refusal kIdempotencyKeyInFuture{"idempotency_key_in_future", 400,
                                                 Outcome::kUnknown, false,
                                                 "the Idempotency-Key was issued in the future"};
inline constexpr Refusal kIdempotencyKeyReused{"idempotency_key_reused", 422, Outcome::kUnknown,
                                               false,
                                               "the Idempotency-Key was used with another call"};
inline constexpr Refusal kOutcomeUnknown{
    "outcome_unknown", 409, Outcome::kUnknown, false,
    "it is not known whether the first call with this key ran"};
inline constexpr Refusal kAnswerNotStored{"answer_not_stored", 409, Outcome::kRan, false,
                                          "the call ran and its answer was too large to keep"};
inline constexpr Refusal kClaimingHostLost{
    "claiming_host_lost", 409, Outcome::kUnknown, false,
    "the host that ran the first call with this key is gone"};
inline constexpr Refusal kClaimInProgress{"claim_in_progress", 409, Outcome::kUnknown, true,
                                          "the first call with this key has no outcome yet"};
inline constexpr Refusal kClaimNotRecorded{"claim_not_recorded", 503, Outcome::kUnknown, true,
                                           "the log did not record the call before the deadline"};
inline constexpr Refusal kClaimOverdue{"claim_overdue", 503, Outcome::kUnknown, true,
                                       "the claim of the call was not decided before the deadline"};

// Failures of work that was sent.
inline constexpr Refusal kRetryBudget{"retry_budget", 503, Outcome::kNotRun, true,
                                      "too many requests are being retried"};
inline constexpr Refusal kUpstreamRejected{"upstream_rejected", 400, Outcome::kNotRun, false,
                                           "the upstream rejected the request"};
inline constexpr Refusal kUpstreamFailed{"upstream_failed", 502, Outcome::kUnknown, false,
                                         "the upstream failed, and the call may have run"};
inline constexpr Refusal kNoProgress{"no_progress", 504, Outcome::kUnknown, true,
                                     "several attempts gave no answer"};
inline constexpr Refusal kStreamStalled{"stream_stalled", 502, Outcome::kUnknown, false,
                                        "the stream could not be resumed after several attempts"};
inline constexpr Refusal kGenerationGone{"generation_gone", 410, Outcome::kRan, false,
                                         "the upstream no longer has the generation"};
inline constexpr Refusal kSuperseded{"superseded", 409, Outcome::kRan, false,
                                     "another connection resumed this generation"};
inline constexpr Refusal kDeadlineExceeded{"deadline_exceeded", 504, Outcome::kUnknown, false,
                                           "the deadline passed before the answer was complete"};

/// All refusals of the module; docs/modules/requests.md lists the same ones.
inline constexpr std::array kAll{kSettingsNotReady,
                                 kDraining,
                                 kUnknownKey,
                                 kUnknownModel,
                                 kUnknownApplication,
                                 kUnknownService,
                                 kNoUpstreamInService,
                                 kQueueFull,
                                 kDeadlineUnreachable,
                                 kDeadlinePassed,
                                 kCursorWithoutStream,
                                 kCursorMalformed,
                                 kCursorForged,
                                 kCursorForeign,
                                 kCursorExpired,
                                 kIdempotencyKeyMissing,
                                 kIdempotencyKeyWithoutTime,
                                 kIdempotencyKeyExpired,
                                 kIdempotencyKeyInFuture,
                                 kIdempotencyKeyReused,
                                 kOutcomeUnknown,
                                 kAnswerNotStored,
                                 kClaimingHostLost,
                                 kClaimInProgress,
                                 kClaimNotRecorded,
                                 kClaimOverdue,
                                 kRetryBudget,
                                 kUpstreamRejected,
                                 kUpstreamFailed,
                                 kNoProgress,
                                 kStreamStalled,
                                 kGenerationGone,
                                 kSuperseded,
                                 kDeadlineExceeded};

}  // namespace refusals

/// @brief Finds a refusal of the table.
/// @param reason Its reason code.
/// @return The refusal, or nullptr when the table has none with this reason.
[[nodiscard]] constexpr const Refusal* FindRefusal(std::string_view reason) noexcept {
  for (const Refusal& refusal : refusals::kAll) {
    if (refusal.reason == reason) {
      return &refusal;
    }
  }
  return nullptr;
}

}  // namespace snipeturn
