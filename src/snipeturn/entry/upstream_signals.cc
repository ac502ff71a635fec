#include "snipeturn/entry/upstream_signals.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "snipeturn/backpressure/rate_limit.h"
#include "snipeturn/base/hash.h"
#include "snipeturn/base/timers.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/dispatch.h"
#include "snipeturn/entry/store_updates.h"

namespace snipeturn::entry {
namespace internal {
namespace {

void LogLimitEnd(EventScope& scope, const Upstream& upstream, std::string_view reason) {
  Log(scope, log_events::kLimitEnded,
      fmt::format("upstream={} service={} reason={}", upstream.entry.id, upstream.entry.service,
                  reason));
}

void AdoptLimit(EventScope& scope,
                Upstream& upstream,
                const backpressure::LimitStatement& statement) {
  const std::optional<double> before = upstream.rate_limit.requests_per_second;
  if (!backpressure::AdoptStatement(upstream.rate_limit, statement, scope.now)) {
    return;
  }
  if (statement.requests_per_second) {
    IncrementCounter(scope, kUpstreamSignals, "limit");
    Log(scope, log_events::kLimitStated,
        fmt::format("upstream={} service={} per_s={} before={} source={}", upstream.entry.id,
                    upstream.entry.service, *statement.requests_per_second, before.value_or(-1),
                    statement.is_own ? "response" : "host"));
    if (!before) {
      // Hosts that begin to keep a low limit at the same time would send at the same time.
      upstream.rate_limit.tokens =
          UnitRendezvousWeight(upstream.entry.id, scope.state.options.host);
    }
    ScheduleUpstreamReview(scope);
  } else {
    LogLimitEnd(scope, upstream, "not_stated");
  }
  if (statement.is_own) {
    scope.state.load_changes += 1;  // Makes the next load table, which reports it, due at once.
  }
  DispatchQueue(scope);
}

}  // namespace

void HandleSignals(EventScope& scope, const UpstreamSignalled& event) {
  const auto key = scope.state.request_by_attempt.find(event.attempt);
  if (key == scope.state.request_by_attempt.end()) {
    return;
  }
  const Request& request = scope.state.requests.at(key->second);
  const auto attempt =
      std::find_if(request.attempts.begin(), request.attempts.end(),
                   [&event](const Attempt& item) { return item.key == event.attempt; });
  const auto upstream = scope.state.upstreams.find(attempt->upstream);
  if (upstream == scope.state.upstreams.end()) {
    return;
  }
  const bool was_unreadable =
      std::exchange(upstream->second.has_unreadable_signal, event.signals.has_unreadable_limit);
  if (event.signals.has_unreadable_limit) {
    IncrementCounter(scope, kUpstreamSignals, "unreadable");
    if (!was_unreadable) {
      Log(scope, log_events::kSignalUnreadable,
          fmt::format("upstream={} signal=limit", upstream->first));
    }
    return;
  }
  AdoptLimit(
      scope, upstream->second,
      backpressure::MakeStatement(event.signals.requests_per_second, attempt->sent_at, scope.now));
}

void AdoptReportedLimits(EventScope& scope, const std::vector<ReportedLimit>& limits) {
  for (const ReportedLimit& limit : limits) {
    const auto upstream = scope.state.upstreams.find(limit.id);
    if (upstream != scope.state.upstreams.end()) {
      AdoptLimit(scope, upstream->second,
                 {limit.requests_per_second, scope.now - limit.age, false});
    }
  }
}

void EndExpiredLimit(EventScope& scope, Upstream& upstream) {
  if (backpressure::HasExpired(upstream.rate_limit, scope.now)) {
    upstream.rate_limit.requests_per_second.reset();
    upstream.rate_limit.is_own = false;
    LogLimitEnd(scope, upstream, "not_repeated");
    Schedule(scope.state.timers, {TimerKind::kEntryDispatch, 0}, scope.now);
  }
}

}  // namespace internal

std::vector<ReportedLimit> ReportedLimits(const State& state, TimePoint now, bool only_own) {
  std::vector<ReportedLimit> limits;
  for (const auto& [id, upstream] : state.upstreams) {
    const backpressure::RateLimit& limit = upstream.rate_limit;
    if (backpressure::IsReported(limit, now) || (!only_own && limit.requests_per_second)) {
      limits.push_back(
          {id, limit.requests_per_second,
           std::max(std::chrono::milliseconds{0}, ToMilliseconds(now - limit.stated_at))});
    }
  }
  return limits;
}

}  // namespace snipeturn::entry
