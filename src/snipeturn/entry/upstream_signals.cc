#include "snipeturn/entry/upstream_signals.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string_view>
#include <utility>

#include "snipeturn/backpressure/rate_limit.h"
#include "snipeturn/base/hash.h"
#include "snipeturn/base/timers.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/dispatch.h"
#include "snipeturn/entry/learned_capacity.h"
#include "snipeturn/entry/store_updates.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// An upstream that said that it is leaving has stopped by then; if the store still lists it as
/// serving, the statement was wrong.
constexpr std::chrono::minutes kMaxLeavingTime{2};
/// How long hosts tell one another that an upstream is leaving; the store has told it by then.
constexpr std::chrono::seconds kLeavingReportTime{10};

/// Changes of a limit or a pause by a smaller share are neither logged nor told to other hosts at
/// once: an upstream may state another one in each response.
constexpr double kNotableChange = 0.1;

bool IsNotableChange(const std::optional<double>& before, const std::optional<double>& after) {
  if (!before || !after) {
    return before.has_value() != after.has_value();
  }
  return std::abs(*after - *before) > kNotableChange * std::max(*before, *after);
}

void LogLimitEnd(EventScope& scope, const Upstream& upstream, std::string_view reason) {
  Log(scope, log_events::kLimitEnded,
      fmt::format("upstream={} service={} reason={}", upstream.entry.id, upstream.entry.service,
                  reason));
}

void AdoptLimit(EventScope& scope,
                Upstream& upstream,
                const backpressure::LimitStatement& statement) {
  const std::optional<double> before = upstream.rate_limit.requests_per_second;
  if (!backpressure::AdoptStatement(upstream.rate_limit, statement, scope.now) ||
      !IsNotableChange(before, statement.requests_per_second)) {
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

void AdoptPause(EventScope& scope, Upstream& upstream, std::chrono::milliseconds duration) {
  LogPauseEnd(scope, upstream);
  const bool was_paused = backpressure::IsPaused(upstream.pause, scope.now);
  const double spread = UnitRendezvousWeight(upstream.entry.id, scope.state.options.host);
  if (!backpressure::AdoptPause(upstream.pause, duration, spread, scope.now)) {
    return;
  }
  // Requests that were in flight when an upstream began to pause are refused one after another, and
  // each refusal moves the end a little.
  const TimePoint until = upstream.pause.until;
  if (upstream.logged_pause_end &&
      until - *upstream.logged_pause_end <= kNotableChange * (until - scope.now)) {
    return;
  }
  upstream.logged_pause_end = until;
  ScheduleUpstreamReview(scope);
  IncrementCounter(scope, kUpstreamSignals, "pause");
  Log(scope, log_events::kPauseStated,
      fmt::format("upstream={} service={} asked_ms={} for_ms={} was_paused={}", upstream.entry.id,
                  upstream.entry.service, duration.count(),
                  ToMilliseconds(until - scope.now).count(), was_paused));
}

}  // namespace

void HandleSignals(EventScope& scope, const UpstreamSignalled& event) {
  const auto found = scope.state.upstreams.find(event.upstream);
  if (found == scope.state.upstreams.end()) {
    return;
  }
  Upstream& upstream = found->second;
  if (event.sent_at < upstream.known_since) {
    return;  // The former incarnation under this id says it.
  }
  const backpressure::Signals& signals = event.signals;
  const bool is_unreadable = signals.unreadable.has_value();
  if (is_unreadable) {
    IncrementCounter(scope, kUpstreamSignals, "unreadable");
    if (!upstream.has_unreadable_signal) {
      Log(scope, log_events::kSignalUnreadable,
          fmt::format("upstream={} signal={}", event.upstream, ToString(*signals.unreadable)));
    }
  }
  upstream.has_unreadable_signal = is_unreadable;
  const bool states_limit = signals.requests_per_second.has_value();
  const bool states_no_limit =
      event.is_final && !states_limit && signals.unreadable != backpressure::SignalKind::kLimit;
  backpressure::StatementCounts& counts = upstream.statements;
  CountOf(counts, backpressure::SignalKind::kLimit).seen += states_limit ? 1 : 0;
  CountOf(counts, backpressure::SignalKind::kPause).seen += signals.pause ? 1 : 0;
  CountOf(counts, backpressure::SignalKind::kLeaving).seen += signals.is_leaving ? 1 : 0;
  CountOf(counts, backpressure::SignalKind::kLoad).seen += signals.load ? 1 : 0;
  if (signals.load) {
    AdoptStatedLoad(scope, upstream, *signals.load);
  }
  if (states_limit || states_no_limit) {
    AdoptLimit(scope, upstream,
               backpressure::MakeStatement(signals.requests_per_second, event.sent_at, scope.now));
  }
  if (signals.pause) {
    AdoptPause(scope, upstream, *signals.pause);
  }
  if (signals.is_leaving) {
    AdoptLeaving(scope, upstream, "said", true);
  }
}

void AdoptLeaving(EventScope& scope, Upstream& upstream, std::string_view reason, bool is_own) {
  const bool is_news = !upstream.said_leaving_at || (is_own && !upstream.said_leaving_here);
  upstream.said_leaving_here = upstream.said_leaving_here || is_own;
  upstream.said_leaving_at = upstream.said_leaving_at.value_or(scope.now);
  if (is_news && is_own) {
    IncrementCounter(scope, kUpstreamSignals, "leaving");
    scope.state.load_changes += 1;  // Makes the next load table, which reports it, due at once.
  }
  StartLeaving(scope, upstream, reason);
}

void AdoptReportedLeavings(EventScope& scope, const std::vector<ReportedLeaving>& leaving) {
  for (const ReportedLeaving& report : leaving) {
    const auto upstream = scope.state.upstreams.find(report.id);
    if (upstream != scope.state.upstreams.end() &&
        upstream->second.entry.start_time_ms == report.start_time_ms) {
      AdoptLeaving(scope, upstream->second, "said_to_host", false);
    }
  }
}

bool IsLeavingOutdated(const Upstream& upstream, TimePoint now) noexcept {
  return !upstream.said_leaving_at || now - *upstream.said_leaving_at > kMaxLeavingTime;
}

void RememberLeaving(EventScope& scope, const Upstream& upstream) {
  auto& left = scope.state.left_upstreams;
  for (auto entry = left.begin(); entry != left.end();) {
    const bool is_outdated = scope.now - entry->second.said_at > kMaxLeavingTime;
    entry = is_outdated ? left.erase(entry) : std::next(entry);
  }
  if (!IsLeavingOutdated(upstream, scope.now)) {
    left[upstream.entry.id] = {upstream.entry.start_time_ms, *upstream.said_leaving_at};
  }
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

void LogPauseEnd(EventScope& scope, Upstream& upstream) {
  if (upstream.logged_pause_end && !backpressure::IsPaused(upstream.pause, scope.now)) {
    upstream.logged_pause_end.reset();
    Log(scope, log_events::kPauseEnded,
        fmt::format("upstream={} service={} kept_back={}", upstream.entry.id,
                    upstream.entry.service,
                    CountOf(upstream.statements, backpressure::SignalKind::kPause).kept_back));
  }
}

namespace {

/// Value of a statement that is in force.
std::optional<double> ValueInForce(const Upstream& upstream,
                                   backpressure::SignalKind kind,
                                   TimePoint now) {
  using Seconds = std::chrono::duration<double>;
  switch (kind) {
    case backpressure::SignalKind::kLimit:
      return upstream.rate_limit.requests_per_second;
    case backpressure::SignalKind::kPause:
      return backpressure::IsPaused(upstream.pause, now)
                 ? std::optional(Seconds(upstream.pause.until - now).count())
                 : std::nullopt;
    case backpressure::SignalKind::kLeaving:
      return upstream.said_leaving_at && upstream.phase == UpstreamPhase::kLeaving
                 ? std::optional(Seconds(now - *upstream.said_leaving_at).count())
                 : std::nullopt;
    case backpressure::SignalKind::kLoad:
      return std::nullopt;  // Changes with each response.
  }
  return std::nullopt;
}

}  // namespace
}  // namespace internal

std::vector<StatementInForce> StatementsInForce(const State& state,
                                                backpressure::SignalKind kind,
                                                TimePoint now) {
  std::vector<StatementInForce> statements;
  for (const auto& [id, upstream] : state.upstreams) {
    if (const std::optional<double> value = internal::ValueInForce(upstream, kind, now)) {
      statements.push_back({id, *value, backpressure::CountOf(upstream.statements, kind)});
    }
  }
  return statements;
}

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

std::vector<ReportedLeaving> ReportedLeavings(const State& state, TimePoint now, bool only_own) {
  std::vector<ReportedLeaving> leaving;
  for (const auto& [id, upstream] : state.upstreams) {
    if (upstream.said_leaving_at && (upstream.said_leaving_here || !only_own) &&
        now - *upstream.said_leaving_at < internal::kLeavingReportTime) {
      leaving.push_back({id, upstream.entry.start_time_ms});
    }
  }
  return leaving;
}

}  // namespace snipeturn::entry
