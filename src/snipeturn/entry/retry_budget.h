#pragma once

#include <deque>

#include "snipeturn/base/time.h"
#include "snipeturn/entry/options.h"

namespace snipeturn::entry {

/// Repeats to one service in a sliding window, as far as this host spends them.
struct RetryBudget {
  std::deque<TimePoint> requests;
  std::deque<TimePoint> retries;
};

/// @brief Counts a caller's request for the service.
void CountRequest(RetryBudget& budget, const Bounds& bounds, TimePoint now);

/// @brief Takes one repeat from this host's share of the budget: the ratio of its own requests and
///     an equal part of the slack.
/// @param budget The service's budget.
/// @param bounds Ratio, slack and window.
/// @param hosts Hosts that share the slack.
/// @param now Current time.
/// @return False when the share is spent.
[[nodiscard]] bool TryConsumeRetry(RetryBudget& budget,
                                   const Bounds& bounds,
                                   int hosts,
                                   TimePoint now);

}  // namespace snipeturn::entry
