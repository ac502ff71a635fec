#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "snipeturn/base/time.h"

namespace snipeturn {

/// The subscriber that a timer belongs to.
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
  /// Timers of the entry path on the users' platform.
  kEntryFinalAnswer,
  kEntryHold,
  kEntryHedge,
  kEntryMove,
  kEntryUpstream,
  kEntryReports,
  kEntryShutdown,
};

/// Names one timer of a subscriber, for example the deadline of request 7.
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

/// The timer service: due times by subscriber, part of the reducer's state.
struct Timers {
  std::map<TimerKey, TimePoint> due_by_key;
  std::set<std::pair<TimePoint, TimerKey>> queue;
};

/// @brief Sets a timer, in place of an earlier one with the same key.
/// @param timers The timer service.
/// @param key The subscriber's timer.
/// @param due When it fires.
void Schedule(Timers& timers, const TimerKey& key, TimePoint due);

/// @brief Removes a timer if it is set.
/// @param timers The timer service.
/// @param key The subscriber's timer.
void Cancel(Timers& timers, const TimerKey& key);

/// @brief Removes and returns the earliest timer that is due.
/// @param timers The timer service.
/// @param now The current monotonic time.
/// @return The timer, or nothing when none is due.
[[nodiscard]] std::optional<TimerKey> PopDue(Timers& timers, TimePoint now);

/// @brief Returns when the next timer fires.
/// @param timers The timer service.
/// @return The due time, or nothing when no timer is set.
[[nodiscard]] std::optional<TimePoint> NextDue(const Timers& timers) noexcept;

/// @brief Tells whether a timer is set.
/// @param timers The timer service.
/// @param key The subscriber's timer.
/// @return True when it is set.
[[nodiscard]] bool IsScheduled(const Timers& timers, const TimerKey& key);

}  // namespace snipeturn
