#include "snipeturn/entry/retry_budget.h"

#include <algorithm>

namespace snipeturn::entry {
namespace internal {
namespace {

/// Part of the bound that is spent: arrivals of a window may be counted with those of the next.
constexpr double kSpentShare = 0.8;

void DropOld(std::deque<TimePoint>& times, const Bounds& bounds, TimePoint now) {
  while (!times.empty() && now - times.front() > bounds.retry_window) {
    times.pop_front();
  }
}

}  // namespace
}  // namespace internal

void CountRequest(RetryBudget& budget, const Bounds& bounds, TimePoint now) {
  internal::DropOld(budget.requests, bounds, now);
  budget.requests.push_back(now);
}

bool TryConsumeRetry(RetryBudget& budget, const Bounds& bounds, int hosts, TimePoint now) {
  internal::DropOld(budget.requests, bounds, now);
  internal::DropOld(budget.retries, bounds, now);
  const double share = bounds.retry_ratio * static_cast<double>(budget.requests.size()) +
                       bounds.retry_slack / std::max(1, hosts);
  if (static_cast<double>(budget.retries.size()) + 1 > share * internal::kSpentShare) {
    return false;
  }
  budget.retries.push_back(now);
  return true;
}

}  // namespace snipeturn::entry
