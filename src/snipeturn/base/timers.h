#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "snipeturn/base/time.h"

namespace snipeturn {

/// Identifies the module and purpose of a timer.
enum class TimerKind : std::uint8_t {
  kMembership,
  kLimits,
  kLoan,
  kClaimBatch,
  kClaim,
  kSettings,
  kOperator,
  kRequestDeadline,
  kAttemptProgress,
  kCallerGrace,
  kQueue,
  kShutdown,
  /// Timers of the entry path, whose reducer is separate (namespace entry).
  kEntryFinalAnswer,
  kEntryHold,
  kEntryHedge,
  kEntryMove,
  kEntryUpstream,
  kEntryReports,
  kEntryShutdown,
  kEntryDispatch,
  kEntryCrashReview,
  kEntryCrashSync,
  kEntryCopyHold,
  kEntryDeferredRead,
  kEntryRollout,
};

/// Identifies one timer, for example the deadline of request 7.
struct TimerKey {
  TimerKind kind{TimerKind::kMembership};
  std::uint64_t id{0};
};

[[nodiscard]] inline bool operator<(const TimerKey& left, const TimerKey& right) noexcept {
  return std::tie(left.kind, left.id) < std::tie(right.kind, right.id);
}

[[nodiscard]] inline bool operator==(const TimerKey& left, const TimerKey& right) noexcept {
  return left.kind == right.kind && left.id == right.id;
}

/// The pending timers, part of the reducer's state.
struct Timers {
  std::map<TimerKey, TimePoint> due_by_key;
  std::set<std::pair<TimePoint, TimerKey>> queue;
};

/// @brief Sets a timer; replaces a pending one with the same key.
/// @param timers The pending timers.
/// @param key The timer.
/// @param due When it fires.
void Schedule(Timers& timers, const TimerKey& key, TimePoint due);

/// @brief Removes a timer if it is pending.
/// @param timers The pending timers.
/// @param key The timer.
void Cancel(Timers& timers, const TimerKey& key);

/// @brief Removes and returns the earliest timer that is due.
/// @param timers The pending timers.
/// @param now The current monotonic time.
/// @return The timer, or std::nullopt if none is due.
[[nodiscard]] std::optional<TimerKey> PopDue(Timers& timers, TimePoint now);

/// @brief Returns when the next timer fires.
/// @param timers The pending timers.
/// @return The due time, or std::nullopt if no timer is pending.
[[nodiscard]] std::optional<TimePoint> NextDue(const Timers& timers) noexcept;

/// @brief Returns whether a timer is pending.
/// @param timers The pending timers.
/// @param key The timer.
[[nodiscard]] bool IsScheduled(const Timers& timers, const TimerKey& key);

}  // namespace snipeturn
