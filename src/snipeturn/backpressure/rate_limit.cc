#include "snipeturn/backpressure/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace snipeturn::backpressure {
namespace internal {
namespace {

/// Requests a second that all hosts together send to an upstream which states less, so that they
/// hear when it takes more.
constexpr double kMinRate = 0.05;
/// Time for which a host may save up requests beyond one; evens out its arrivals.
constexpr std::chrono::duration<double> kBurst{0.2};
/// Requests that a host may be in debt: a generation is continued even if no token is left.
constexpr double kMaxDebt = 2;
/// A limit of which only other hosts have heard, and which none of them has repeated for this long,
/// or for this number of requests at its rate, no longer holds.
constexpr std::chrono::duration<double> kMinTtl{10};
constexpr double kTtlRequests = 4;
/// How long the end of a limit is told to other hosts: several load tables, of which some get lost.
constexpr std::chrono::seconds kEndReportTime{5};
/// Sending hosts: a constant number, and more in proportion to the limit.
constexpr double kBaseHosts = 4;
constexpr double kHostsPerRate = 1.4;

double TokensAt(const RateLimit& limit, double host_rate, TimePoint now) noexcept {
  const std::chrono::duration<double> passed = now - limit.refilled_at;
  return std::min(1 + host_rate * kBurst.count(), limit.tokens + host_rate * passed.count());
}

}  // namespace
}  // namespace internal

LimitStatement MakeStatement(std::optional<double> requests_per_second,
                             TimePoint sent_at,
                             TimePoint now) noexcept {
  return {requests_per_second, requests_per_second ? now : sent_at, true};
}

bool AdoptStatement(RateLimit& limit, const LimitStatement& statement, TimePoint now) noexcept {
  if (statement.at <= limit.stated_at) {
    if (statement.requests_per_second == limit.requests_per_second) {
      limit.heard_at = now;
    }
    return false;
  }
  limit.heard_at = now;
  const bool has_changed = limit.requests_per_second != statement.requests_per_second;
  if (has_changed) {
    limit.changed_at = now;
  }
  if (!limit.requests_per_second) {
    limit.tokens = 1;
    limit.refilled_at = now;
  }
  limit.requests_per_second = statement.requests_per_second;
  limit.stated_at = statement.at;
  limit.is_own = statement.is_own;
  limit.binds_host = statement.requests_per_second && (statement.is_own || limit.binds_host);
  return has_changed;
}

bool HasExpired(const RateLimit& limit, TimePoint now) noexcept {
  using namespace internal;
  if (!limit.requests_per_second || limit.binds_host) {
    return false;
  }
  const std::chrono::duration<double> repeated(kTtlRequests /
                                               std::max(kMinRate, *limit.requests_per_second));
  return now - limit.heard_at > std::max(kMinTtl, repeated);
}

bool IsReported(const RateLimit& limit, TimePoint now) noexcept {
  return limit.is_own &&
         (limit.requests_per_second || now - limit.changed_at < internal::kEndReportTime);
}

int MaxSendingHosts(double requests_per_second) noexcept {
  constexpr double kMaxHosts = 1e6;
  return static_cast<int>(
      std::min(kMaxHosts, internal::kBaseHosts + internal::kHostsPerRate * requests_per_second));
}

double HostRate(double requests_per_second, int hosts) noexcept {
  return std::max(internal::kMinRate, requests_per_second) / std::max(1, hosts);
}

TimePoint NextStart(const RateLimit& limit, double host_rate, TimePoint now) noexcept {
  // A host may have to wait for minutes at a very low rate, but not for so long that times
  // overflow.
  constexpr std::chrono::duration<double> kMaxWait{std::chrono::hours(24)};
  if (host_rate <= 0) {
    return TimePoint::max();
  }
  const double missing = 1 - internal::TokensAt(limit, host_rate, now);
  // Sums of shares reach a whole token only up to rounding.
  constexpr double kRounding = 1e-6;
  if (missing <= kRounding) {
    return now;
  }
  const std::chrono::duration<double> wait(missing / host_rate);
  return now + std::chrono::ceil<std::chrono::microseconds>(std::min(wait, kMaxWait));
}

void RecordStart(RateLimit& limit, double host_rate, TimePoint now) noexcept {
  limit.tokens = std::max(-internal::kMaxDebt, internal::TokensAt(limit, host_rate, now) - 1);
  limit.refilled_at = now;
}

}  // namespace snipeturn::backpressure
