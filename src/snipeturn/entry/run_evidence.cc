#include "snipeturn/entry/run_evidence.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// Attempts to connect without a response after which an engine counts as unreachable: a link that
/// loses packets loses single ones.
constexpr int kMinUnansweredConnects = 3;

RunAnswer AnswerOf(const CopyEnded& ended, bool is_stop, RunAnswer before) noexcept {
  switch (ended.status) {
    case CopyStatus::kCopied:
      return is_stop ? RunAnswer::kStopped : RunAnswer::kNone;
    case CopyStatus::kUnknownRun:
      return RunAnswer::kUnknownRun;
    case CopyStatus::kNoRoom:
      // An engine that has stopped the run names the handle; one that turned the call away doesn't.
      return is_stop && !ended.handle.empty() ? RunAnswer::kStopped : RunAnswer::kNotStopped;
    case CopyStatus::kBusy:
      return RunAnswer::kNotStopped;
    case CopyStatus::kNoAnswer:
    case CopyStatus::kUnsent:
    case CopyStatus::kConnectionRefused:
    case CopyStatus::kUnreachable:
      return before;
  }
  return before;
}

}  // namespace
}  // namespace internal

std::string_view ToString(RunState state) noexcept {
  switch (state) {
    case RunState::kMayRun:
      return "may_run";
    case RunState::kStopped:
      return "stopped";
    case RunState::kUnreachable:
      return "unreachable";
  }
  return "";
}

RunState JudgeRun(const RunEvidence& evidence) noexcept {
  if (evidence.answer == RunAnswer::kStopped || evidence.answer == RunAnswer::kUnknownRun) {
    return RunState::kStopped;
  }
  // A process that takes no connections any more may still serve those that are open.
  const bool is_closed = evidence.is_connection_refused && evidence.has_connection_ended;
  if (is_closed || evidence.unanswered_connects >= internal::kMinUnansweredConnects) {
    return RunState::kUnreachable;
  }
  return RunState::kMayRun;
}

void RecordCallEnd(RunEvidence& evidence, const CopyEnded& ended, bool is_stop) noexcept {
  evidence.answer = internal::AnswerOf(ended, is_stop, evidence.answer);
  if (ended.status == CopyStatus::kUnsent) {
    // A connection that ended before the call was written, or a failure of this host.
    evidence.unanswered_calls += 1;
    return;
  }
  evidence.is_connection_refused = ended.status == CopyStatus::kConnectionRefused;
  evidence.unanswered_connects =
      ended.status == CopyStatus::kUnreachable ? evidence.unanswered_connects + 1 : 0;
  if (IsUnanswered(ended.status)) {
    evidence.unanswered_calls += 1;
  }
}

void RecordEvent(RunEvidence& evidence) noexcept {
  evidence.is_connection_refused = false;
  evidence.unanswered_connects = 0;
  // An engine that sends further events has the run.
  if (evidence.answer == RunAnswer::kUnknownRun) {
    evidence.answer = RunAnswer::kNone;
  }
}

}  // namespace snipeturn::entry
