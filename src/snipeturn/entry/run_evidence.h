#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "snipeturn/entry/event.h"

namespace snipeturn::entry {

/// What the engine of a run said last about it.
enum class RunAnswer : std::uint8_t {
  kNone,
  /// It has stopped the run: it answered a call to stop it with the handle of its memory.
  kStopped,
  /// It has no such run.
  kUnknownRun,
  /// It has not done what it was called for: another call is in progress, or it turned this one
  /// away.
  kNotStopped,
};

/// Signs of whether a run still goes on at its engine. Only some of them prove that it doesn't; the
/// others are kept for the log, and so that the test of `JudgeRun` can state what they prove.
struct RunEvidence {
  RunAnswer answer{RunAnswer::kNone};
  /// The connection of the run's stream has ended. Most engines drop the run then, some work on.
  bool has_connection_ended{false};
  /// The last attempt to connect to the engine was refused.
  bool is_connection_refused{false};
  /// Last attempts to connect that got no response, with nothing from the engine between them.
  int unanswered_connects{0};
  /// Calls that got no response, or were never sent.
  int unanswered_calls{0};
  /// Time since the last event.
  std::chrono::milliseconds silence{0};
  /// The engine's entry is in the upstream list.
  bool is_listed{true};
};

enum class RunState : std::uint8_t {
  /// The engine may work on the run.
  kMayRun,
  /// The engine said that it has stopped the run or doesn't have it.
  kStopped,
  /// The engine can't be reached, neither by a new connection nor by the stream's.
  kUnreachable,
};

/// @brief Name of a state in log lines.
[[nodiscard]] std::string_view ToString(RunState state) noexcept;

/// @brief Judges whether a run has stopped, so that its request may go on at another engine.
///
/// Calls that fail, a connection that ends, silence and a missing entry prove nothing: an engine in
/// trouble may show all of them and work on.
[[nodiscard]] RunState JudgeRun(const RunEvidence& evidence) noexcept;

/// @brief Adds the end of a call about a run to what is known of the run.
/// @param evidence What is known.
/// @param ended The end of the call.
/// @param is_stop Whether it was a call to stop the run.
void RecordCallEnd(RunEvidence& evidence, const CopyEnded& ended, bool is_stop) noexcept;

/// @brief Adds the arrival of an event of the run to what is known of it.
void RecordEvent(RunEvidence& evidence) noexcept;

}  // namespace snipeturn::entry
