#include "snipeturn/entry/migration.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

#include "snipeturn/base/timers.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/dispatch.h"
#include "snipeturn/entry/forecast.h"
#include "snipeturn/entry/lifecycle.h"
#include "snipeturn/entry/load.h"
#include "snipeturn/entry/outcome.h"
#include "snipeturn/entry/placement.h"

namespace snipeturn::entry::internal {
namespace {

/// A copy that took no longer leaves so little behind that the pause of a final copy is not
/// noticed.
constexpr std::chrono::milliseconds kShortCopy{90};
/// Copies before the final one at most.
constexpr int kMostRounds = 5;
/// After so long at a leaving engine the generation is stopped even if the pause will be noticed.
constexpr std::chrono::milliseconds kLatestStop{1100};
/// Copies of this host from one engine at a time: an engine sends one after another.
constexpr int kCopiesPerSource = 2;
/// A generation that ends sooner is not moved.
constexpr std::chrono::milliseconds kShortRest{500};
/// Wait before a move is tried again.
constexpr std::chrono::milliseconds kRetry{60};
constexpr std::chrono::milliseconds kBusyRetry{20};
/// Longest wait for the last events of a generation that was stopped.
constexpr std::chrono::milliseconds kLastEvents{60};
/// Share of what a generation has made that is still to come at least: lengths spread by factors,
/// so one that has outlived its forecast goes on for long.
constexpr std::uint64_t kRestDivisor = 4;
/// Time between events before the first sample of an upstream.
constexpr double kUnknownGap = 0.04;
/// Resumes of a copy that engines refuse before the stream is given up.
constexpr int kMostRefusedResumes = 3;
/// An engine that answered or made an event so short ago is there.
constexpr std::chrono::milliseconds kSignOfLife{1000};
/// A request is on its way to the engine for so long at most.
constexpr std::chrono::milliseconds kWayToEngine{150};

const Attempt* RunningAttempt(const Request& request) {
  return request.attempts.empty() ? nullptr : &request.attempts.back();
}

int CopiesFrom(const State& state, const UpstreamId& source) {
  int copies = 0;
  for (const auto& [key, request] : state.requests) {
    copies +=
        request.move && request.move->source == source && request.move->step != MoveStep::kResuming
            ? 1
            : 0;
  }
  return copies;
}

std::chrono::milliseconds RestOf(const Request& request, const Upstream& upstream) {
  const std::uint64_t produced = OutputTokens(request);
  const std::uint64_t forecast =
      request.expected_output_tokens > produced ? request.expected_output_tokens - produced : 0;
  const std::uint64_t rest = std::max(forecast, produced / kRestDivisor);
  const double gap = upstream.event_gap > 0 ? upstream.event_gap : kUnknownGap;
  const double events = static_cast<double>(rest) / static_cast<double>(request.tokens_per_event);
  return std::chrono::milliseconds(static_cast<std::int64_t>(events * gap * 1000));
}

void CallCopy(Work& work, Request& request, bool final) {
  Move& move = *request.move;
  move.copy = work.state.next_copy++;
  move.call_began = work.now;
  move.rounds += 1;
  move.step = final ? MoveStep::kStopping : MoveStep::kCopying;
  work.effects.push_back(StartCopy{request.key, move.copy, move.source, move.source_endpoint,
                                   move.target_endpoint, final});
}

/// Gives up the copy and the sends of a stream whose generation is lost.
void LoseMovedStream(Work& work, Request& request, AttemptResult result, std::string_view reason) {
  AbandonSends(work, request);
  ReleaseCopy(work, request);
  request.move.reset();
  LoseStream(work, request, result, reason);
}

/// Goes on with the copy at an engine.
void ResumeAt(Work& work, Request& request, const UpstreamId& id) {
  const auto found = work.state.upstreams.find(id);
  if (found == work.state.upstreams.end()) {
    LoseMovedStream(work, request, AttemptResult::kBroken, "move_target_gone");
    return;
  }
  Move& move = *request.move;
  move.step = MoveStep::kResuming;
  AbandonSends(work, request);
  Cancel(work.state.timers, {TimerKind::kEntryMove, request.key});
  CountStart(found->second, work.now);
  SendTo(work, request, found->second, Resume{move.source_endpoint, move.handle, request.events});
}

/// Tells whether the generation may go back to the engine that it left: one that leaves must get no
/// request, also none of these, later than the time to drain.
bool MayGoBack(const Work& work, const Move& move) {
  const auto source = work.state.upstreams.find(move.source);
  return source != work.state.upstreams.end() &&
         (source->second.phase != UpstreamPhase::kLeaving ||
          work.now - source->second.phase_since < work.state.options.bounds.drain - kWayToEngine);
}

/// A target without room may also be gone: the source can't reach it. Without a sign of life from
/// there other moves try others first.
void SuspectTarget(Work& work, const UpstreamId& id) {
  const auto target = work.state.upstreams.find(id);
  if (target == work.state.upstreams.end()) {
    return;
  }
  Upstream& upstream = target->second;
  if (!upstream.reached_at || work.now - *upstream.reached_at > kSignOfLife) {
    upstream.unreached_at = work.now;
    work.state.load_changes += 1;  // Other hosts are told at once.
  }
}

void GiveUpMove(Work& work, Request& request, std::string_view reason) {
  Log(work, log_events::kMoveFailed,
      fmt::format("id={} source={} target={} reason={} rounds={} events={}", request.head.id,
                  request.move->source, request.move->target, reason, request.move->rounds,
                  request.events));
  CountOne(work, kEntryMoves, reason);
  const bool source_ended = request.move->source_ended;
  if (!request.move->handle.empty() && !source_ended) {
    work.effects.push_back(
        DropCopy{request.move->source, request.move->source_endpoint, request.move->handle});
  }
  request.move.reset();
  if (request.attempts.empty()) {
    LoseStream(work, request, AttemptResult::kBroken, reason);
  }
}

}  // namespace

void ReleaseCopy(Work& work, const Request& request) {
  if (!request.move) {
    return;
  }
  const Move& move = *request.move;
  if (move.step != MoveStep::kResuming && move.copy != 0) {
    work.state.orphan_copies[move.copy] = {move.source, move.source_endpoint};
  }
  if (!move.handle.empty()) {
    work.effects.push_back(DropCopy{move.source, move.source_endpoint, move.handle});
  }
}

void PlanMove(Work& work, const Request& request, std::chrono::milliseconds delay) {
  Schedule(work.state.timers, {TimerKind::kEntryMove, request.key}, work.now + delay);
}

void MoveAway(Work& work, const Upstream& upstream) {
  struct Candidate {
    std::uint64_t tokens;
    RequestKey key;
  };
  std::vector<Candidate> candidates;
  for (const auto& [key, request] : work.state.requests) {
    const Attempt* attempt = RunningAttempt(request);
    if (request.phase == RequestPhase::kStreaming && attempt != nullptr &&
        attempt->upstream == upstream.entry.id) {
      candidates.push_back({request.head.prompt_tokens + OutputTokens(request), key});
    }
  }
  // The smallest first: most generations are saved by the time that the link has.
  std::sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& left, const Candidate& right) { return left.tokens < right.tokens; });
  std::chrono::microseconds rank{0};
  for (const Candidate& candidate : candidates) {
    Schedule(work.state.timers, {TimerKind::kEntryMove, candidate.key}, work.now + rank);
    rank += std::chrono::microseconds{1};
  }
}

void AdvanceMove(Work& work, Request& request) {
  if (request.phase != RequestPhase::kStreaming) {
    return;
  }
  if (request.move) {
    if (request.move->is_complete) {
      ResumeAt(work, request, request.move->target);
    } else if (request.move->copy == 0) {
      CallCopy(work, request, request.move->step == MoveStep::kStopping);
    }
    return;
  }
  const Attempt* attempt = RunningAttempt(request);
  if (attempt == nullptr) {
    return;
  }
  const auto source = work.state.upstreams.find(attempt->upstream);
  if (source == work.state.upstreams.end() || source->second.phase != UpstreamPhase::kLeaving) {
    return;
  }
  const Service& service = work.state.desired->services[request.service];
  if (!service.engine || !service.engine->moves_generations) {
    return;
  }
  if (RestOf(request, source->second) < kShortRest) {
    PlanMove(work, request, kShortRest / 2);
    return;
  }
  if (CopiesFrom(work.state, attempt->upstream) >= kCopiesPerSource) {
    PlanMove(work, request, kBusyRetry);
    return;
  }
  const Placement placement = PlaceCopy(work.state, request, source->second, work.now);
  if (placement.result != PlacementResult::kPlaced) {
    Log(work, log_events::kMoveFailed,
        fmt::format("id={} source={} reason=no_target events={}", request.head.id,
                    attempt->upstream, request.events));
    PlanMove(work, request, kRetry);
    return;
  }
  const Upstream& target = work.state.upstreams.at(placement.upstream);
  Move move;
  move.source = attempt->upstream;
  move.source_endpoint = source->second.entry.endpoint;
  move.target = placement.upstream;
  move.target_endpoint = target.entry.endpoint;
  move.began = work.now;
  request.move = move;
  work.state.load_changes += 1;
  Log(work, log_events::kMoveStarted,
      fmt::format("id={} source={} target={} use={:.2f} tokens={} notice_ms={}", request.head.id,
                  move.source, move.target, placement.use,
                  request.head.prompt_tokens + OutputTokens(request),
                  ToMilliseconds(work.now - source->second.phase_since).count()));
  CallCopy(work, request, false);
}

void EndCopy(Work& work, const CopyEnded& event) {
  State& state = work.state;
  const auto orphan = state.orphan_copies.find(event.copy);
  if (orphan != state.orphan_copies.end()) {
    if (!event.handle.empty()) {
      work.effects.push_back(
          DropCopy{orphan->second.source, orphan->second.endpoint, event.handle});
    }
    state.orphan_copies.erase(orphan);
    return;
  }
  const auto found = state.requests.find(event.request);
  if (found == state.requests.end() || !found->second.move ||
      found->second.move->copy != event.copy) {
    return;
  }
  Request& request = found->second;
  Move& move = *request.move;
  const auto took = ToMilliseconds(work.now - move.call_began);
  if (!event.handle.empty()) {
    move.handle = event.handle;
  }
  Log(work, log_events::kMoveCopied,
      fmt::format("id={} source={} target={} round={} final={} status={} took_ms={} copied={} "
                  "events={}",
                  request.head.id, move.source, move.target, move.rounds,
                  move.step == MoveStep::kStopping, ToString(event.status), took.count(),
                  event.events, request.events));
  move.copy = 0;
  if (event.status == CopyStatus::kBusy) {
    PlanMove(work, request, kBusyRetry);
    return;
  }
  if (move.step == MoveStep::kStopping) {
    switch (event.status) {
      case CopyStatus::kCopied:
      case CopyStatus::kNoAnswer:
        move.is_complete = true;
        if (move.handle.empty()) {
          GiveUpMove(work, request, "no_handle");
        } else if (move.source_ended || request.events >= event.events) {
          ResumeAt(work, request, move.target);
        } else {
          PlanMove(work, request, kLastEvents);
        }
        return;
      case CopyStatus::kNoRoom:
        // The generation has stopped; the source still has its memory.
        if (!move.handle.empty() && MayGoBack(work, move)) {
          ResumeAt(work, request, move.source);
          return;
        }
        [[fallthrough]];
      case CopyStatus::kUnknownRun:
      case CopyStatus::kBusy:  // Handled above.
        GiveUpMove(work, request, "final_copy_refused");
        if (state.requests.count(event.request) > 0) {
          PlanMove(work, request, kBusyRetry);
        }
        return;
    }
  }
  if (move.source_ended && !move.handle.empty()) {
    // The engine has gone; the target reads again what the copy lacks.
    ResumeAt(work, request, move.target);
    return;
  }
  if (event.status != CopyStatus::kCopied) {
    if (event.status == CopyStatus::kNoRoom) {
      request.excluded.insert(move.target);
      SuspectTarget(work, move.target);
    }
    GiveUpMove(work, request, "copy_refused");
    if (state.requests.count(event.request) > 0) {
      PlanMove(work, request, kBusyRetry);
    }
    return;
  }
  const auto source = state.upstreams.find(move.source);
  const bool is_late =
      source == state.upstreams.end() || work.now - source->second.phase_since > kLatestStop;
  CallCopy(work, request, took <= kShortCopy || move.rounds >= kMostRounds || is_late);
}

void EndMovedAttempt(Work& work,
                     Request& request,
                     const Attempt& attempt,
                     const AttemptEnded& event) {
  if (!request.move) {
    request.excluded.insert(attempt.upstream);
    LoseStream(work, request, event.result, "upstream_lost");
    return;
  }
  Move& move = *request.move;
  if (!attempt.is_resume || move.step != MoveStep::kResuming) {
    move.source_ended = true;
    if (move.is_complete) {
      ResumeAt(work, request, move.target);  // The copy is complete; its last events have come.
    }
    return;
  }
  move.refused_resumes += 1;
  const bool did_not_run = event.result == AttemptResult::kUnsent ||
                           event.result == AttemptResult::kNotExecuted ||
                           event.result == AttemptResult::kWrongUpstream;
  if (!did_not_run || move.refused_resumes >= kMostRefusedResumes) {
    request.excluded.insert(attempt.upstream);
    LoseMovedStream(work, request, event.result, "resume_failed");
    return;
  }
  const bool was_target = attempt.upstream == move.target;
  const bool goes_back =
      was_target && event.result != AttemptResult::kUnsent && MayGoBack(work, move);
  ResumeAt(work, request, goes_back ? move.source : move.target);
}

void FinishMove(Work& work, Request& request) {
  const Move& move = *request.move;
  Log(work, log_events::kMoveResumed,
      fmt::format("id={} source={} target={} rounds={} took_ms={} stopped_ms={} events={}",
                  request.head.id, move.source, move.target, move.rounds,
                  ToMilliseconds(work.now - move.began).count(),
                  ToMilliseconds(work.now - move.call_began).count(), request.events));
  CountOne(work, kEntryMoves, "resumed");
  request.move.reset();
  request.excluded.clear();
  const Attempt* attempt = RunningAttempt(request);
  const auto upstream = work.state.upstreams.find(attempt->upstream);
  if (upstream != work.state.upstreams.end() && upstream->second.phase == UpstreamPhase::kLeaving) {
    PlanMove(work, request, std::chrono::milliseconds{0});
  }
}

}  // namespace snipeturn::entry::internal
