#include "snipeturn/requests/queue.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

#include "snipeturn/requests/attempts.h"
#include "snipeturn/requests/fairness.h"
#include "snipeturn/requests/forecast.h"
#include "snipeturn/requests/lifecycle.h"
#include "snipeturn/requests/routing.h"

namespace snipeturn::internal {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Interval at which waiting requests are dispatched to slots that became free without an event.
constexpr milliseconds kQueueInterval{100};
/// A dispatch checks every upstream for all waiting requests, so events of other modules trigger
/// one at most this often.
constexpr milliseconds kMinDispatchInterval{20};
/// Rate and burst of loan requests. Each takes a few hundred bytes, and the control plane of a host
/// must stay below 9 KB/s when all hosts are busy.
constexpr double kLoansPerSecond = 10.0;
constexpr double kMaxLoanBurst = 10.0;
constexpr seconds kMaxRetryAfter{30};
constexpr TimerKey kQueueTimer{TimerKind::kQueue, 0};

/// Class, pool and team of waiting requests. Requests in one group wait for the same upstreams
/// under the same rules: if one gets no slot, the others get none in the same dispatch.
using WaitGroup = std::tuple<WorkClass, std::string, std::string>;

WaitGroup WaitGroupOf(const Request& request) {
  return {request.work_class, PoolOf(request), request.caller.team};
}

/// Waiting requests by class and account, sorted by deadline with the earliest one last.
using Accounts = std::map<std::pair<WorkClass, std::string>, std::vector<Request*>>;

Accounts GroupWaiting(EventScope& scope) {
  Accounts accounts;
  for (const RequestId id : scope.state.waiting) {
    Request& request = scope.state.open_requests.at(id);
    if (request.not_before <= scope.now.monotonic) {
      accounts[{request.work_class, AccountOf(request)}].push_back(&request);
    }
  }
  for (auto& [account, requests] : accounts) {
    std::stable_sort(
        requests.begin(), requests.end(),
        [](const Request* left, const Request* right) { return left->deadline > right->deadline; });
  }
  return accounts;
}

/// The account to serve next, by highest class, then lowest share, then earliest deadline.
Accounts::iterator NextAccount(EventScope& scope, Accounts& accounts) {
  const auto rank = [&](const auto& entry) {
    const Request& first = *entry.second.back();
    return std::make_tuple(first.work_class, ShareOf(scope, first), first.deadline);
  };
  return std::min_element(
      accounts.begin(), accounts.end(),
      [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
}

void RequestLoans(EventScope& scope, const std::map<WaitGroup, std::vector<Request*>>& blocked) {
  const std::chrono::duration<double> passed =
      scope.now.monotonic - scope.state.loan_credit_updated_at;
  double& credit = scope.state.loan_credit;
  credit = std::min(kMaxLoanBurst, credit + kLoansPerSecond * passed.count());
  scope.state.loan_credit_updated_at = scope.now.monotonic;
  for (const auto& [group, requests] : blocked) {
    for (const Request* request : requests) {
      if (credit < 1.0 || !RequestLoanFor(scope, *request)) {
        break;
      }
      credit -= 1.0;
    }
  }
}

bool LoanMayHelp(DenialReason reason) noexcept {
  return reason != DenialReason::kMemory && reason != DenialReason::kZoneLimit;
}

void Dispatch(EventScope& scope) {
  if (scope.state.waiting.empty()) {
    return;
  }
  scope.state.last_dispatch = scope.now.monotonic;
  DecayServed(scope);
  Accounts accounts = GroupWaiting(scope);
  std::set<WaitGroup> groups_without_slot;
  std::map<WaitGroup, std::vector<Request*>> blocked;
  while (!accounts.empty()) {
    const auto next = NextAccount(scope, accounts);
    Request& request = *next->second.back();
    next->second.pop_back();
    if (next->second.empty()) {
      accounts.erase(next);
    }
    const WaitGroup group = WaitGroupOf(request);
    if (groups_without_slot.count(group) > 0) {
      if (blocked.count(group) > 0) {
        blocked[group].push_back(&request);
      }
      continue;
    }
    DenialReason reason = DenialReason::kNone;
    if (auto grant = TakeSlot(scope, request, reason)) {
      StartOnSlot(scope, request, std::move(*grant));
      continue;
    }
    // A request that avoids failed upstreams doesn't show whether others may get slots there.
    if (request.failed_upstreams.empty()) {
      groups_without_slot.insert(group);
    }
    if (LoanMayHelp(reason)) {
      blocked[group].push_back(&request);
    }
  }
  RequestLoans(scope, blocked);
  if (!scope.state.waiting.empty() && !IsScheduled(scope.context.timers, kQueueTimer)) {
    Schedule(scope.context.timers, kQueueTimer, scope.now.monotonic + kQueueInterval);
  }
}

void DispatchSoon(EventScope& scope) {
  const TimePoint next = scope.state.last_dispatch + kMinDispatchInterval;
  if (scope.now.monotonic >= next) {
    Dispatch(scope);
  } else if (!scope.state.waiting.empty()) {
    Schedule(scope.context.timers, kQueueTimer, next);
  }
}

void Requeue(EventScope& scope, Request& request) {
  request.phase = RequestPhase::kQueued;
  scope.state.waiting.push_back(request.call.id);
}

/// The waiting request to evict from a full queue in favour of a request of a higher class.
Request* FindLessUrgent(EventScope& scope, const Request& request) {
  Request* last = nullptr;
  for (const RequestId id : scope.state.waiting) {
    Request& other = scope.state.open_requests.at(id);
    const auto rank = [](const Request& candidate) {
      return std::make_pair(candidate.work_class, candidate.deadline);
    };
    if (other.work_class > request.work_class && (last == nullptr || rank(other) > rank(*last))) {
      last = &other;
    }
  }
  return last;
}

/// Makes room in the queue for a request that found no free slot.
/// @return False when the request has to be refused.
bool MakeRoomInQueue(EventScope& scope, const Request& request) {
  const auto max_waiting =
      static_cast<std::size_t>(scope.context.options.tuning.max_waiting_requests);
  if (scope.state.waiting.size() <= max_waiting) {
    return true;
  }
  Request* less_urgent = FindLessUrgent(scope, request);
  if (less_urgent == nullptr) {
    return false;
  }
  Refuse(scope, *less_urgent, refusals::kQueueFull);
  return true;
}

void Enqueue(EventScope& scope, Request& request) {
  Requeue(scope, request);
  Dispatch(scope);
  if (request.phase != RequestPhase::kQueued) {
    return;
  }
  if (!MakeRoomInQueue(scope, request)) {
    Refuse(scope, request, refusals::kQueueFull);
    return;
  }
  const auto wait = ForecastWait(scope.state, request);
  if (wait && scope.now.monotonic + *wait > request.deadline) {
    const auto after = std::chrono::ceil<seconds>(*wait);
    Refuse(scope, request, refusals::kDeadlineUnreachable, std::nullopt,
           std::min<seconds>(after, kMaxRetryAfter));
  }
}

}  // namespace snipeturn::internal
