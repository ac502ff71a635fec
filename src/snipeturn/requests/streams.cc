#include "snipeturn/requests/streams.h"

#include <fmt/format.h>
#include <json/value.h>
#include <json/writer.h>

#include <algorithm>
#include <utility>

#include "snipeturn/base/log_catalogue.h"
#include "snipeturn/requests/attempts.h"
#include "snipeturn/requests/cursor.h"
#include "snipeturn/requests/fairness.h"
#include "snipeturn/requests/forecast.h"
#include "snipeturn/requests/lifecycle.h"

namespace snipeturn::internal {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A longer gap between two tokens counts as a stall.
constexpr seconds kStallThreshold{1};
/// The HTTP client's timeouts are whole seconds, so a segment may end this much early.
constexpr seconds kSegmentRounding{1};

void CountDropped(EventScope& scope, std::string_view reason) {
  scope.effects.emplace_back(AddToCounter{kDroppedReplies, std::string(reason)});
}

/// Reports a token's latency to the limits module.
void RecordToken(EventScope& scope, const Request& request, const AttemptToken& token) {
  const bool first = request.attempt_kind == AttemptKind::kGenerate && !request.progress_in_attempt;
  const TimePoint since = std::max(request.attempt_started_at,
                                   request.last_token_at.value_or(request.attempt_started_at));
  RecordWorkEvent(
      scope.context.limits, scope.context.membership, scope.context.catalog, request.upstream,
      HoldOf(request), first ? WorkEvent::kFirstToken : WorkEvent::kToken, token.incarnation,
      scope.now.monotonic - since, scope.context.options.tuning, scope.now, scope.effects);
}

/// Records the latencies that the caller experiences.
void ObserveToken(EventScope& scope, const Request& request) {
  if (!request.last_token_at) {
    if (request.call.cursor.empty()) {
      scope.effects.emplace_back(
          RecordSample{Distribution::kFirstToken, scope.now.monotonic - request.arrived_at});
    }
    return;
  }
  const microseconds gap = scope.now.monotonic - *request.last_token_at;
  scope.effects.emplace_back(RecordSample{Distribution::kBetweenTokens, gap});
  if (gap > kStallThreshold) {
    scope.effects.emplace_back(RecordSample{Distribution::kStall, gap - kStallThreshold});
  }
}

std::string SignPosition(const EventScope& scope, const Request& request) {
  Cursor cursor;
  cursor.team = request.caller.team;
  cursor.organisation = request.caller.organisation;
  cursor.upstream = request.upstream;
  cursor.generation = request.generation;
  cursor.incarnation = request.incarnation;
  cursor.index = request.delivered;
  cursor.expires = scope.now.wall + scope.context.options.tuning.cursor_lifetime;
  return SignCursor(cursor, scope.context.options.cursor_key);
}

void DeliverToken(EventScope& scope, Request& request, const AttemptToken& token) {
  const std::uint64_t index = request.delivered++;
  if (!request.call.stream) {
    request.collected_text += token.text;
  } else if (!request.caller_disconnected) {
    ObserveToken(scope, request);
    scope.effects.emplace_back(
        SendToken{request.call.id, index, SignPosition(scope, request), token.text});
  }
  request.last_token_at = scope.now.monotonic;
}

/// Abandons an exchange that delivers anything but the next token, and resumes the generation after
/// the last delivered token.
void AbandonExchange(EventScope& scope, Request& request, std::string_view reason) {
  CountDropped(scope, reason);
  AbandonOpenAttempt(scope, request);
  Recover(scope, request, reason, AttemptFailure::kMisplacedToken);
}

bool IsOtherGeneration(const Request& request, const AttemptToken& token) noexcept {
  if (request.generation.empty()) {
    return false;
  }
  const bool other_process = request.incarnation != 0 && token.incarnation != 0 &&
                             request.incarnation != token.incarnation;
  return request.generation != token.generation || other_process;
}

void HandleToken(EventScope& scope, Request& request, const AttemptToken& token) {
  request.may_have_run = true;
  if (IsOtherGeneration(request, token)) {
    AbandonExchange(scope, request, "other_generation");
    return;
  }
  if (token.index < request.delivered) {
    CountDropped(scope, "duplicate");
    return;
  }
  if (token.index > request.delivered) {
    AbandonExchange(scope, request, "gap");
    return;
  }
  // The generation's name is taken only from a token with the expected index. With the name of
  // another generation, a resume would find no such generation and free the slot of the one that
  // still runs.
  request.generation = token.generation;
  if (token.incarnation != 0) {
    request.incarnation = token.incarnation;
  }
  RecordToken(scope, request, token);
  ChargeToken(scope, request);
  DeliverToken(scope, request, token);
  request.stalled_resumes = 0;
  request.progress_in_attempt = true;
  Schedule(scope.context.timers, {TimerKind::kAttemptProgress, request.call.id},
           scope.now.monotonic + scope.context.options.tuning.no_progress);
}

std::string FormatCompletion(const Request& request) {
  Json::Value choice;
  choice["index"] = 0;
  choice["text"] = request.collected_text;
  Json::Value answer;
  answer["id"] = request.generation;
  answer["object"] = "text_completion";
  answer["choices"].append(std::move(choice));
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  writer["emitUTF8"] = true;
  return Json::writeString(writer, answer);
}

void FinishGeneration(EventScope& scope, Request& request) {
  // A resumed generation may have ended earlier; the host that read its end has recorded it.
  if (!request.resumed_hold) {
    RecordWorkEvent(scope.context.limits, scope.context.membership, scope.context.catalog,
                    request.upstream, HoldOf(request), WorkEvent::kCompleted, request.incarnation,
                    scope.now.monotonic - request.attempt_started_at, scope.context.options.tuning,
                    scope.now, scope.effects);
  }
  RecordLength(scope.state, request, request.delivered);
  RecordHoldTime(scope, request);
  ReleaseHold(scope, request);
  if (request.call.stream) {
    FinishRequest(scope, request, 200, "text/event-stream", "");
  } else {
    FinishRequest(scope, request, 200, "application/json", FormatCompletion(request));
  }
}

/// The upstream no longer has the generation, so its work has ended.
void HandleGenerationGone(EventScope& scope, Request& request) {
  RecordFailure(scope, request, "generation_gone");
  ReleaseHold(scope, request);
  if (MayRestart(request)) {
    Restart(scope, request, "generation_gone", true);
  } else {
    Refuse(scope, request, refusals::kGenerationGone);
  }
}

/// Another connection continues the generation. The slot stays in use as long as the generation may
/// run, for which the deadline is the only bound that this host knows.
void HandleTakenOver(EventScope& scope, Request& request) {
  scope.effects.emplace_back(
      EmitLog{log_events::kGenerationTakenOver,
              fmt::format("request={} upstream={} delivered={}", request.call.id, request.upstream,
                          request.delivered)});
  ReleaseHoldLater(scope, request, std::max(request.deadline, scope.now.monotonic + kCleanUpTime));
  Refuse(scope, request, refusals::kSuperseded);
}

/// Refuses or retries a request whose generation the upstream did not start.
void HandleNotStarted(EventScope& scope, Request& request, const AttemptEnded& ended) {
  if (ended.result == AttemptResult::kRejected) {
    ReleaseHold(scope, request);
    Refuse(scope, request, refusals::kUpstreamRejected,
           ended.status == 0 ? std::nullopt : std::optional<int>(ended.status));
    return;
  }
  const std::string_view reason = RecordNotRun(scope, request, ended.result);
  ReleaseHold(scope, request);
  Restart(scope, request, reason, false);
}

bool IsDefinitelyNotStarted(const Request& request, AttemptResult result) noexcept {
  const bool refused = result == AttemptResult::kUnsent || result == AttemptResult::kNotRun ||
                       result == AttemptResult::kRejected;
  return refused && request.attempt_kind == AttemptKind::kGenerate && request.generation.empty();
}

/// True when the exchange ended only because its duration is limited to a segment.
bool IsSegmentEnd(const EventScope& scope, const Request& request, AttemptResult result) {
  const auto segment = scope.context.options.tuning.segment - kSegmentRounding;
  return result == AttemptResult::kBroken && request.progress_in_attempt &&
         scope.now.monotonic - request.attempt_started_at >= segment;
}

/// True when another host reads the generation. If there was no progress since an attempt was
/// abandoned here, that attempt's delayed request may have superseded the newest one instead.
bool IsTakenOver(const Request& request, AttemptResult result) noexcept {
  return result == AttemptResult::kSuperseded &&
         (request.stalled_resumes == 0 || request.caller_disconnected);
}

void HandleGenerationEnded(EventScope& scope, Request& request, const AttemptEnded& ended) {
  Cancel(scope.context.timers, {TimerKind::kAttemptProgress, request.call.id});
  if (IsDefinitelyNotStarted(request, ended.result)) {
    HandleNotStarted(scope, request, ended);
  } else if (ended.result == AttemptResult::kComplete) {
    FinishGeneration(scope, request);
  } else if (ended.result == AttemptResult::kUnknownGeneration &&
             request.attempt_kind == AttemptKind::kResume) {
    HandleGenerationGone(scope, request);
  } else if (IsTakenOver(request, ended.result)) {
    HandleTakenOver(scope, request);
  } else if (IsSegmentEnd(scope, request, ended.result)) {
    Resume(scope, request, milliseconds{0});
  } else {
    RecordFailure(scope, request, "broken");
    if (request.generation.empty() && ended.status >= kFirstServerError) {
      // The upstream responded with an error, so no generation runs.
      ReleaseHold(scope, request);
    }
    Recover(scope, request, "broken", AttemptFailure::kLost);
  }
}

/// Finds another open request on this host that reads the same generation: the caller reconnected.
Request* FindReader(EventScope& scope, const Request& request) {
  for (auto& [id, other] : scope.state.open_requests) {
    if (id != request.call.id && other.upstream == request.upstream &&
        other.generation == request.generation && other.incarnation == request.incarnation) {
      return &other;
    }
  }
  return nullptr;
}

void StartFromCursor(EventScope& scope, Request& request) {
  if (Request* former = FindReader(scope, request)) {
    AbandonOpenAttempt(scope, *former);
    request.grant = std::move(former->grant);
    request.resumed_hold = former->resumed_hold;
    former->grant.reset();
    former->resumed_hold.reset();
    Refuse(scope, *former, refusals::kSuperseded);
  }
  if (HoldOf(request) == 0) {
    request.resumed_hold = AddHoldWithoutSlot(scope.context.limits, request.upstream, scope.now);
  }
  scope.effects.emplace_back(EmitLog{log_events::kGenerationResumed,
                                     fmt::format("request={} upstream={} from={}", request.call.id,
                                                 request.upstream, request.delivered)});
  Resume(scope, request, milliseconds{0});
}

}  // namespace snipeturn::internal
