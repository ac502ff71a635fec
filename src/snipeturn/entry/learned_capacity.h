#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "snipeturn/capacity/summary.h"
#include "snipeturn/entry/event.h"
#include "snipeturn/entry/event_scope.h"
#include "snipeturn/entry/request.h"
#include "snipeturn/entry/state.h"

namespace snipeturn::entry {

/// @brief Tells whether a service's load is distributed by learned speeds: the settings say so, or
///     they say nothing and its upstreams state how long work takes.
[[nodiscard]] bool IsCapacityLearned(const State& state, const std::string& service);

/// @brief Relative speed of an upstream; 1 if its service's speeds aren't learned.
[[nodiscard]] double LearnedSpeed(const State& state, const Upstream& upstream, TimePoint now);

/// @brief Number of requests of all hosts that an upstream handles well; empty without a limit.
[[nodiscard]] std::optional<int> LearnedLimit(const State& state,
                                              const Upstream& upstream,
                                              TimePoint now);

/// @brief Tells whether a request should go to an upstream that is judged slow, so that the host
///     learns when it recovers.
[[nodiscard]] bool ExploresCapacity(const State& state,
                                    const Request& request,
                                    const Upstream& upstream,
                                    TimePoint now);

/// @brief Makes the rows of new evidence for a message to other hosts.
/// @param state The entry state.
/// @param now Current time.
/// @param only_own Leaves out the evidence of the other hosts of this cell.
[[nodiscard]] std::vector<capacity::Row> ReportedCapacity(const State& state,
                                                          TimePoint now,
                                                          bool only_own);

/// What is learned of an upstream, for the metrics.
struct UpstreamCapacity {
  UpstreamId upstream;
  double speed{1};
  double evidence{0};
  /// Share of a stated time of work that counts.
  double trust{0};
  std::optional<int> limit;
  /// Requests that weren't sent to it for its limit.
  std::uint64_t kept_back{0};
};

/// @brief Returns what is learned of the upstreams, by their ids.
[[nodiscard]] std::vector<UpstreamCapacity> LearnedCapacities(const State& state, TimePoint now);

namespace internal {

/// @brief Records what an attempt finds at its upstream when it is sent.
void RecordLoadAtSend(EventScope& scope, const Request& request, Attempt& attempt);

/// @brief Learns from the first event of an attempt.
void ObserveFirstEvent(EventScope& scope, const Request& request, const Attempt& attempt);

/// @brief Learns from the pace of a stream's further events.
/// @param events Number of the last event that has arrived.
void ObservePace(EventScope& scope, const Request& request, Attempt& attempt, std::uint64_t events);

/// @brief Learns from the successful response to a call.
void ObserveCall(EventScope& scope, const Request& request, const Attempt& attempt);

/// @brief Takes an upstream's statement of its load.
void AdoptStatedLoad(EventScope& scope, Upstream& upstream, const backpressure::StatedLoad& load);

/// @brief Takes the evidence of another host, or of another cell.
/// @param sender Name of the host, or capacity::CellSender().
/// @param reported Rows of its table.
/// @param table_at Time of the table; orders the tables of one sender.
void AdoptReportedCapacity(EventScope& scope,
                           const std::string& sender,
                           const std::vector<capacity::Row>& reported,
                           TimePoint table_at);

/// @brief Sums up the evidence of all hosts, if that is due: looks at overdue requests, drops what
///     no longer holds and determines the usual speed of each service.
void ReviewCapacity(EventScope& scope);

}  // namespace internal
}  // namespace snipeturn::entry
