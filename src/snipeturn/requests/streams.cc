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

/// A longer time between two tokens counts as a stall.
constexpr seconds kStallThreshold{1};
/// The HTTP client counts whole seconds, so a segment may end this much early.
constexpr seconds kSegmentRounding{1};

void DropReply(Work& work, std::string_view reason) {
  work.effects.emplace_back(Count{kDropped, std::string(reason)});
}

/// Tells the limits module of a token's latency.
void RecordToken(Work& work, const Request& request, const AttemptToken& token) {
  const bool first = request.attempt_kind == AttemptKind::kGenerate && !request.progress_in_attempt;
  const TimePoint since =
      std::max(request.attempt_started, request.last_token.value_or(request.attempt_started));
  RecordSign(work.context.limits, work.context.membership, work.context.catalog, request.upstream,
             HoldOf(request), first ? WorkSign::kFirstToken : WorkSign::kToken, token.incarnation,
             work.now.monotonic - since, work.context.options.tuning, work.now, work.effects);
}

/// Records the times that the caller sees.
void ObserveToken(Work& work, const Request& request) {
  if (!request.last_token) {
    if (request.call.cursor.empty()) {
      work.effects.emplace_back(
          Observe{Distribution::kFirstToken, work.now.monotonic - request.arrived});
    }
    return;
  }
  const microseconds gap = work.now.monotonic - *request.last_token;
  work.effects.emplace_back(Observe{Distribution::kBetweenTokens, gap});
  if (gap > kStallThreshold) {
    work.effects.emplace_back(Observe{Distribution::kStall, gap - kStallThreshold});
  }
}

std::string SignPosition(const Work& work, const Request& request) {
  Cursor cursor;
  cursor.team = request.caller.team;
  cursor.organisation = request.caller.organisation;
  cursor.upstream = request.upstream;
  cursor.generation = request.generation;
  cursor.incarnation = request.incarnation;
  cursor.index = request.delivered;
  cursor.expires = work.now.wall + work.context.options.tuning.cursor_lifetime;
  return SignCursor(cursor, work.context.options.cursor_key);
}

void ReleaseToken(Work& work, Request& request, const AttemptToken& token) {
  const std::uint64_t index = request.delivered++;
  if (!request.call.stream) {
    request.collected += token.text;
  } else if (!request.caller_gone) {
    ObserveToken(work, request);
    work.effects.emplace_back(
        SendToken{request.call.id, index, SignPosition(work, request), token.text});
  }
  request.last_token = work.now.monotonic;
}

/// Leaves an exchange that delivers something else than the next token, and reads the generation
/// again from the cursor.
void LeaveExchange(Work& work, Request& request, std::string_view reason) {
  DropReply(work, reason);
  AbandonOpenAttempt(work, request);
  Recover(work, request, reason, AttemptSign::kMisplacedToken);
}

bool IsOtherGeneration(const Request& request, const AttemptToken& token) noexcept {
  if (request.generation.empty()) {
    return false;
  }
  const bool other_process = request.incarnation != 0 && token.incarnation != 0 &&
                             request.incarnation != token.incarnation;
  return request.generation != token.generation || other_process;
}

void HandleToken(Work& work, Request& request, const AttemptToken& token) {
  request.may_have_run = true;
  if (IsOtherGeneration(request, token)) {
    LeaveExchange(work, request, "other_generation");
    return;
  }
  if (token.index < request.delivered) {
    DropReply(work, "duplicate");
    return;
  }
  if (token.index > request.delivered) {
    LeaveExchange(work, request, "gap");
    return;
  }
  // Only a token in its place names the generation: a resume under a name that is not this
  // request's would find no such generation, and free the slot of the one that still runs.
  request.generation = token.generation;
  if (token.incarnation != 0) {
    request.incarnation = token.incarnation;
  }
  RecordToken(work, request, token);
  ChargeToken(work, request);
  ReleaseToken(work, request, token);
  request.stalled_resumes = 0;
  request.progress_in_attempt = true;
  Schedule(work.context.timers, {TimerKind::kAttemptProgress, request.call.id},
           work.now.monotonic + work.context.options.tuning.no_progress);
}

std::string WholeAnswer(const Request& request) {
  Json::Value choice;
  choice["index"] = 0;
  choice["text"] = request.collected;
  Json::Value answer;
  answer["id"] = request.generation;
  answer["object"] = "text_completion";
  answer["choices"].append(std::move(choice));
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  writer["emitUTF8"] = true;
  return Json::writeString(writer, answer);
}

void FinishGeneration(Work& work, Request& request) {
  // A resumed generation may have ended before, and the host that read its end counted it then.
  if (!request.resumed_hold) {
    RecordSign(work.context.limits, work.context.membership, work.context.catalog, request.upstream,
               HoldOf(request), WorkSign::kCompleted, request.incarnation,
               work.now.monotonic - request.attempt_started, work.context.options.tuning, work.now,
               work.effects);
  }
  RecordLength(work.state, request, request.delivered);
  RecordHoldTime(work, request);
  EndHold(work, request);
  if (request.call.stream) {
    Finish(work, request, 200, "text/event-stream", "");
  } else {
    Finish(work, request, 200, "application/json", WholeAnswer(request));
  }
}

/// The upstream has no such generation any more, so its work has ended.
void LoseGeneration(Work& work, Request& request) {
  RecordFailure(work, request, "generation_gone");
  EndHold(work, request);
  if (MayRestart(request)) {
    Restart(work, request, "generation_gone", true);
  } else {
    Refuse(work, request, refusals::kGenerationGone);
  }
}

/// Another reader goes on with the generation. The slot stays taken as long as the generation may
/// run, which this host can bound only by the deadline.
void HandOff(Work& work, Request& request) {
  work.effects.emplace_back(
      EmitLog{log_events::kGenerationTakenOver,
              fmt::format("request={} upstream={} delivered={}", request.call.id, request.upstream,
                          request.delivered)});
  KeepHold(work, request, std::max(request.deadline, work.now.monotonic + kCleanUpTime));
  Refuse(work, request, refusals::kSuperseded);
}

/// Ends a new generation that the upstream did not start.
void HandleNotStarted(Work& work, Request& request, const AttemptEnded& ended) {
  if (ended.result == AttemptResult::kRejected) {
    EndHold(work, request);
    Refuse(work, request, refusals::kUpstreamRejected,
           ended.status == 0 ? std::nullopt : std::optional<int>(ended.status));
    return;
  }
  const std::string_view reason = RecordNotRun(work, request, ended.result);
  EndHold(work, request);
  Restart(work, request, reason, false);
}

bool IsDefinitelyNotStarted(const Request& request, AttemptResult result) noexcept {
  const bool refused = result == AttemptResult::kUnsent || result == AttemptResult::kNotRun ||
                       result == AttemptResult::kRejected;
  return refused && request.attempt_kind == AttemptKind::kGenerate && request.generation.empty();
}

/// True when the exchange ended only because exchanges are bounded in time.
bool IsSegmentEnd(const Work& work, const Request& request, AttemptResult result) {
  const auto segment = work.context.options.tuning.segment - kSegmentRounding;
  return result == AttemptResult::kBroken && request.progress_in_attempt &&
         work.now.monotonic - request.attempt_started >= segment;
}

/// True when another host reads the generation. Without progress since an attempt was abandoned
/// here, its delayed request may have reached the engine after the newest one.
bool IsTakenOver(const Request& request, AttemptResult result) noexcept {
  return result == AttemptResult::kSuperseded &&
         (request.stalled_resumes == 0 || request.caller_gone);
}

void HandleGenerationEnded(Work& work, Request& request, const AttemptEnded& ended) {
  Cancel(work.context.timers, {TimerKind::kAttemptProgress, request.call.id});
  if (IsDefinitelyNotStarted(request, ended.result)) {
    HandleNotStarted(work, request, ended);
  } else if (ended.result == AttemptResult::kComplete) {
    FinishGeneration(work, request);
  } else if (ended.result == AttemptResult::kGone && request.attempt_kind == AttemptKind::kResume) {
    LoseGeneration(work, request);
  } else if (IsTakenOver(request, ended.result)) {
    HandOff(work, request);
  } else if (IsSegmentEnd(work, request, ended.result)) {
    Resume(work, request, milliseconds{0});
  } else {
    RecordFailure(work, request, "broken");
    if (request.generation.empty() && ended.status >= kFirstServerError) {
      // The upstream answered with an error, so no generation runs.
      EndHold(work, request);
    }
    Recover(work, request, "broken", AttemptSign::kLost);
  }
}

/// An open request of this host that reads the same generation, for a caller that reconnected here.
Request* FindReader(Work& work, const Request& request) {
  for (auto& [id, other] : work.state.open) {
    if (id != request.call.id && other.upstream == request.upstream &&
        other.generation == request.generation && other.incarnation == request.incarnation) {
      return &other;
    }
  }
  return nullptr;
}

void StartFromCursor(Work& work, Request& request) {
  if (Request* former = FindReader(work, request)) {
    AbandonOpenAttempt(work, *former);
    request.grant = std::move(former->grant);
    request.resumed_hold = former->resumed_hold;
    former->grant.reset();
    former->resumed_hold.reset();
    Refuse(work, *former, refusals::kSuperseded);
  }
  if (HoldOf(request) == 0) {
    request.resumed_hold = HoldWithoutSlot(work.context.limits, request.upstream, work.now);
  }
  work.effects.emplace_back(EmitLog{log_events::kGenerationResumed,
                                    fmt::format("request={} upstream={} from={}", request.call.id,
                                                request.upstream, request.delivered)});
  Resume(work, request, milliseconds{0});
}

}  // namespace snipeturn::internal
