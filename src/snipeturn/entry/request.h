#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "snipeturn/base/time.h"
#include "snipeturn/entry/effect.h"
#include "snipeturn/entry/event.h"
#include "snipeturn/entry/run_evidence.h"

namespace snipeturn::entry {

enum class RequestPhase : std::uint8_t {
  /// Waits for free capacity at an upstream.
  kQueued,
  /// Sent to an upstream; nothing has been passed on to the caller.
  kSent,
  /// Events have been passed on to the caller.
  kStreaming,
};

/// A send that has not ended.
struct Attempt {
  AttemptKey key{0};
  UpstreamId upstream;
  TimePoint sent_at{};
  /// Continues from the copy of a generation.
  bool is_resume{false};
  /// No event has arrived yet, so the engine is still processing the prompt.
  bool is_reading_prompt{false};
  /// Number of calls to stop the generation for a migration that may have taken effect. Once one
  /// has, the engine ends the stream before its last event.
  int stop_calls{0};
  /// Version of the upstream.
  std::string version{};
  /// Requests at the upstream when this one was sent, and prompt tokens that were still to be
  /// processed; recorded if the service's speeds are learned.
  int requests_at_send{0};
  std::uint64_t pending_tokens_at_send{0};
  /// Time and number of the event from which the pace of the stream is observed; 0 before the
  /// first.
  TimePoint pace_since{};
  std::uint64_t pace_events{0};
};

enum class MigrationStep : std::uint8_t {
  /// The memory is copied while the generation runs.
  kCopying,
  /// The generation is stopped and the rest of its memory is copied.
  kStopping,
  /// The copy is complete; the stream continues from it.
  kResuming,
};

/// The live migration of a running generation to another engine, also of one whose stream was lost
/// and that may still run.
struct Migration {
  MigrationStep step{MigrationStep::kCopying};
  /// Number of the copy call in flight; 0 when there is none.
  std::uint64_t copy{0};
  /// The generation has stopped and all of its memory is at the target.
  bool is_complete{false};
  UpstreamId source;
  Endpoint source_endpoint;
  UpstreamId target;
  Endpoint target_endpoint;
  /// Number of copy calls made so far, and of the last of them that copied nothing.
  int rounds{0};
  int failed_calls{0};
  TimePoint began{};
  TimePoint call_began{};
  /// Handle of the copy, once the source has returned one.
  std::string handle;
  /// Signs of whether the generation still runs at the source.
  RunEvidence evidence{};
  /// Number of resumes that an engine refused.
  int refused_resumes{0};
};

/// A caller's request from its arrival to its final response.
struct Request {
  RequestKey key{0};
  RequestHead head;
  std::string route;
  std::string service;
  std::string organisation;
  RouteKind kind{RouteKind::kNonIdempotent};
  /// A stream that may be continued by a new generation.
  bool is_resumable{false};
  int priority{0};
  int max_upstreams{1};
  std::chrono::milliseconds latency_objective{0};
  TimePoint arrived{};
  /// When the final response is due: after the route's timeout or the caller's time limit,
  /// whichever is shorter.
  TimePoint deadline{};
  std::optional<TimePoint> caller_deadline;
  RequestPhase phase{RequestPhase::kQueued};
  std::vector<Attempt> attempts;
  /// Number of sends so far, whatever their result.
  int sends{0};
  /// Number of sends that may have run; a generation that continues from its copy is the same run.
  int runs{0};
  /// Upstreams to which the request was sent.
  std::set<UpstreamId> sent_to;
  /// Upstreams that are excluded from retries and as the target of a migration.
  std::set<UpstreamId> excluded;
  /// Upstreams that were passed over for what they stated.
  std::set<UpstreamId> kept_back_from;
  std::optional<TimePoint> first_sent_at;
  std::string last_reason;
  /// Forecast of the complete output.
  std::uint64_t expected_output_tokens{0};
  std::uint64_t tokens_per_event{1};
  /// Number of the last event that the caller has, including those of an earlier response.
  std::uint64_t events{0};
  /// Events of this response have been passed on, so it can only be continued or broken off.
  bool is_started{false};
  /// Time and number of the first event of this response, if it has begun.
  std::optional<TimePoint> first_event_at;
  std::uint64_t first_event{0};
  TimePoint last_event_at{};
  std::optional<Migration> migration;
};

/// @brief Tells whether the request may run again after a run whose end is unknown.
[[nodiscard]] constexpr bool IsRepeatable(const Request& request) noexcept {
  return request.kind == RouteKind::kIdempotent || request.is_resumable;
}

/// @brief Tells whether events of a stream have arrived that are held back from its caller.
[[nodiscard]] constexpr bool HoldsEvents(const Request& request) noexcept {
  return request.phase == RequestPhase::kStreaming && !request.is_started;
}

/// @brief Number of generated tokens that the caller has.
[[nodiscard]] constexpr std::uint64_t OutputTokens(const Request& request) noexcept {
  return request.events * request.tokens_per_event;
}

}  // namespace snipeturn::entry
