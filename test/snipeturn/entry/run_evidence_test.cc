#include "snipeturn/entry/run_evidence.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <utility>

namespace snipeturn::entry {
namespace {

using namespace std::chrono_literals;

struct EvidenceRow {
  const char* what;
  RunEvidence evidence;
  RunState state;
};

RunEvidence Answered(RunAnswer answer) {
  RunEvidence evidence;
  evidence.answer = answer;
  return evidence;
}

/// Evidence of an engine that shows every sign of being gone but an answer or that it can't be
/// reached.
RunEvidence AllWeakSigns() {
  RunEvidence evidence = Answered(RunAnswer::kNotStopped);
  evidence.has_connection_ended = true;
  evidence.unanswered_calls = 50;
  evidence.unanswered_connects = 2;
  evidence.silence = 10s;
  evidence.is_listed = false;
  return evidence;
}

template <typename Member, typename Value>
RunEvidence With(RunEvidence evidence, Member member, Value value) {
  evidence.*member = value;
  return evidence;
}

/// Evidence after the ends of calls to stop a run.
RunEvidence AfterCalls(std::initializer_list<CopyStatus> statuses, bool is_stop = true) {
  RunEvidence evidence;
  for (const CopyStatus status : statuses) {
    CopyEnded ended;
    ended.status = status;
    ended.handle = status == CopyStatus::kCopied ? "handle" : "";
    RecordCallEnd(evidence, ended, is_stop);
  }
  return evidence;
}

}  // namespace

// Guards against a run that is taken for stopped without proof, so that two engines work on it
// (review/2, 7 and 8: rule TWICE).
TEST_CASE("judgeRun_eachSign_stoppedOnlyWithProof", "[entry]") {
  const RunEvidence none;
  const EvidenceRow rows[] = {
      {"nothing is known", none, RunState::kMayRun},
      {"stop confirmed", Answered(RunAnswer::kStopped), RunState::kStopped},
      {"run unknown", Answered(RunAnswer::kUnknownRun), RunState::kStopped},
      {"call turned away", Answered(RunAnswer::kNotStopped), RunState::kMayRun},
      {"connection ended", With(none, &RunEvidence::has_connection_ended, true), RunState::kMayRun},
      {"calls unanswered", With(none, &RunEvidence::unanswered_calls, 50), RunState::kMayRun},
      {"silence", With(none, &RunEvidence::silence, 10s), RunState::kMayRun},
      {"entry gone", With(none, &RunEvidence::is_listed, false), RunState::kMayRun},
      {"all weak signs together", AllWeakSigns(), RunState::kMayRun},
      {"connection refused, stream open", With(none, &RunEvidence::is_connection_refused, true),
       RunState::kMayRun},
      {"connection refused, stream ended",
       With(With(none, &RunEvidence::is_connection_refused, true),
            &RunEvidence::has_connection_ended, true),
       RunState::kUnreachable},
      {"single connects without response", With(none, &RunEvidence::unanswered_connects, 2),
       RunState::kMayRun},
      {"no connect gets a response", With(none, &RunEvidence::unanswered_connects, 3),
       RunState::kUnreachable},
  };
  for (const EvidenceRow& row : rows) {
    INFO(row.what);
    CHECK(ToString(JudgeRun(row.evidence)) == ToString(row.state));
  }
}

// Guards against results of calls that are counted as proof, or that hide a proof.
TEST_CASE("recordCallEnd_eachStatus_judged", "[entry]") {
  using Status = CopyStatus;
  const std::pair<RunEvidence, RunState> rows[] = {
      {AfterCalls({Status::kCopied}), RunState::kStopped},
      {AfterCalls({Status::kCopied}, false), RunState::kMayRun},
      {AfterCalls({Status::kUnknownRun}), RunState::kStopped},
      {AfterCalls({Status::kUnknownRun}, false), RunState::kStopped},
      {AfterCalls({Status::kNoRoom}), RunState::kMayRun},
      {AfterCalls({Status::kBusy, Status::kBusy, Status::kBusy}), RunState::kMayRun},
      {AfterCalls({Status::kNoAnswer, Status::kNoAnswer, Status::kNoAnswer}), RunState::kMayRun},
      {AfterCalls({Status::kUnsent, Status::kUnsent, Status::kUnsent}), RunState::kMayRun},
      {AfterCalls({Status::kUnreachable, Status::kUnreachable, Status::kUnreachable}),
       RunState::kUnreachable},
      {AfterCalls(
           {Status::kUnreachable, Status::kUnreachable, Status::kNoAnswer, Status::kUnreachable}),
       RunState::kMayRun},
      {AfterCalls({Status::kUnreachable, Status::kUnreachable, Status::kConnectionRefused,
                   Status::kUnreachable}),
       RunState::kMayRun},
      {With(AfterCalls({Status::kConnectionRefused}), &RunEvidence::has_connection_ended, true),
       RunState::kUnreachable},
      {With(AfterCalls({Status::kConnectionRefused, Status::kNoAnswer}),
            &RunEvidence::has_connection_ended, true),
       RunState::kMayRun},
  };
  int row = 0;
  for (const auto& [evidence, state] : rows) {
    INFO("row " << ++row);
    CHECK(ToString(JudgeRun(evidence)) == ToString(state));
  }
}

// Guards against a refused copy call that is taken for a stop because it names a handle.
TEST_CASE("recordCallEnd_noRoomWithHandle_stoppedOnlyByStopCall", "[entry]") {
  CopyEnded ended;
  ended.status = CopyStatus::kNoRoom;
  ended.handle = "handle";
  RunEvidence evidence;
  RecordCallEnd(evidence, ended, false);
  CHECK(JudgeRun(evidence) == RunState::kMayRun);
  RecordCallEnd(evidence, ended, true);
  CHECK(JudgeRun(evidence) == RunState::kStopped);
}

// Guards against an engine that counts as unreachable, or as one without the run, while it sends
// events of it; the last events of a stopped run may arrive after the answer.
TEST_CASE("recordEvent_afterOtherSigns_runGoesOnUnlessStopped", "[entry]") {
  RunEvidence evidence = AfterCalls({CopyStatus::kUnreachable, CopyStatus::kUnreachable});
  RecordEvent(evidence);
  CopyEnded unreachable;
  unreachable.status = CopyStatus::kUnreachable;
  RecordCallEnd(evidence, unreachable, true);
  CHECK(JudgeRun(evidence) == RunState::kMayRun);
  evidence = AfterCalls({CopyStatus::kUnknownRun});
  RecordEvent(evidence);
  CHECK(JudgeRun(evidence) == RunState::kMayRun);
  evidence = AfterCalls({CopyStatus::kCopied});
  RecordEvent(evidence);
  CHECK(JudgeRun(evidence) == RunState::kStopped);
}

}  // namespace snipeturn::entry
