#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "snipeturn/rollout/evidence.h"

namespace snipeturn::rollout {

enum class Verdict : std::uint8_t { kUndecided, kGood, kBad };

/// @brief Name of a verdict in log lines.
[[nodiscard]] constexpr std::string_view ToString(Verdict verdict) noexcept {
  switch (verdict) {
    case Verdict::kUndecided:
      return "undecided";
    case Verdict::kGood:
      return "good";
    case Verdict::kBad:
      return "bad";
  }
  return "";
}

enum class Fault : std::uint8_t { kFailures, kSlowResponses, kSlowEvents };

/// @brief Name of a fault in log lines.
[[nodiscard]] constexpr std::string_view ToString(Fault fault) noexcept {
  switch (fault) {
    case Fault::kFailures:
      return "failures";
    case Fault::kSlowResponses:
      return "slow_responses";
    case Fault::kSlowEvents:
      return "slow_events";
  }
  return "";
}

/// A verdict, and the comparison that speaks most against the target.
struct Judgement {
  Verdict verdict{Verdict::kUndecided};
  Fault fault{Fault::kFailures};
  /// Empty for the sum of all routes.
  std::string route;
  /// Evidence against the target; at `kBadScore` it is bad.
  double score{0};
  GroupCounts old_counts;
  GroupCounts target_counts;
  /// Mean time of the target relative to that of the old version; 1 if it isn't known.
  double slowdown{1};
  /// Groups of the target's upstreams with responses, and those of them with bad ones.
  std::size_t target_groups{0};
  std::size_t faulty_groups{0};
};

/// Logarithm of the likelihood ratio from which a version is bad. A sound version reaches it by
/// chance in at most 1 of 240 comparisons, however often they are made; 6.9 (1 in 1,000) took 8 to
/// 21 bad responses more beside failing upstreams.
inline constexpr double kBadScore = 5.5;
/// From this score on, a verdict that is due is put off.
inline constexpr double kSuspectedScore = 2.3;

/// @brief Compares the target with the old version, by route and in total.
///
/// Handles versions that fail a part of their requests, or are several times slower, on all routes
/// or on one; beside a usual failure rate of a route, and beside single upstreams of either version
/// that fail many requests: those are told apart from a bad version by the groups in which they
/// show. The design note docs/design/rollouts.md has the simulated power and
/// false alarms.
[[nodiscard]] Judgement Judge(const MergedEvidence& evidence);

}  // namespace snipeturn::rollout
