#pragma once

#include <string_view>
#include <vector>

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/event_scope.h"
#include "snipeturn/entry/state.h"

namespace snipeturn::entry {

/// @brief Returns the statements of upstreams for a message to other hosts.
/// @param state The entry state.
/// @param now Current time.
/// @param only_own Leaves out the statements that this host had from other hosts.
[[nodiscard]] std::vector<ReportedLimit> ReportedLimits(const State& state,
                                                        TimePoint now,
                                                        bool only_own);

/// @brief Returns the upstreams that said to this host, or to one that reported it, that they are
///     leaving, for a message to other hosts.
[[nodiscard]] std::vector<ReportedLeaving> ReportedLeavings(const State& state,
                                                            TimePoint now,
                                                            bool only_own);

/// A statement of an upstream that is in force, for the metrics.
struct StatementInForce {
  UpstreamId upstream;
  /// Requests a second, time left of the pause or time since the notice, in seconds.
  double value{0};
  backpressure::StatementCount count;
};

/// @brief Returns the statements of a kind that are in force.
/// @param state The entry state.
/// @param kind Kind of the statements.
/// @param now Current time.
/// @return At most one of each upstream, by its id.
[[nodiscard]] std::vector<StatementInForce> StatementsInForce(const State& state,
                                                              backpressure::SignalKind kind,
                                                              TimePoint now);

namespace internal {

/// @brief Handles what an upstream says about itself in the head of a response.
void HandleSignals(EventScope& scope, const UpstreamSignalled& event);

/// @brief Adopts the statements of upstreams that another host reports.
void AdoptReportedLimits(EventScope& scope, const std::vector<ReportedLimit>& limits);

/// @brief Adopts what another host reports of upstreams that are leaving.
void AdoptReportedLeavings(EventScope& scope, const std::vector<ReportedLeaving>& leaving);

/// @brief Stops new work at an upstream that says that it is leaving.
/// @param scope State, effects and time of the event.
/// @param upstream The upstream.
/// @param reason Source of the statement, for the log.
/// @param is_own The upstream said so to this host.
void AdoptLeaving(EventScope& scope, Upstream& upstream, std::string_view reason, bool is_own);

/// @brief Tells whether an upstream that the store lists as serving may serve although it said that
///     it is leaving: it said so long ago, so the statement was wrong.
[[nodiscard]] bool IsLeavingOutdated(const Upstream& upstream, TimePoint now) noexcept;

/// @brief Keeps the notice of an upstream that is removed, as long as the notice holds.
void RememberLeaving(EventScope& scope, const Upstream& upstream);

/// @brief Ends a limit that the upstream has not repeated for long.
void EndExpiredLimit(EventScope& scope, Upstream& upstream);

/// @brief Logs the end of a pause that is over.
void LogPauseEnd(EventScope& scope, Upstream& upstream);

}  // namespace internal
}  // namespace snipeturn::entry
