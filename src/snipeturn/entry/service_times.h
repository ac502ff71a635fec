#pragma once

#include <chrono>
#include <optional>

#include "snipeturn/base/time.h"
#include "snipeturn/entry/fwd.h"

namespace snipeturn::entry {

/// Longest of the durations that were recorded of late. Forgets a duration after one to two
/// windows.
struct RecentLongest {
  std::chrono::microseconds current{0};
  std::chrono::microseconds previous{0};
  /// Start of the current window; none before the first record.
  std::optional<TimePoint> since;
};

/// How long the upstreams of a service took of late for requests of this host, whichever of them
/// it was.
struct ServiceTimes {
  /// From a send to the complete response of a plain service.
  RecentLongest response;
  /// From a send to the first event of a stream.
  RecentLongest first_event;
  /// Mean time between two events of one stream.
  RecentLongest event_interval;
};

/// @brief Records a duration.
/// @param recent Record to update.
/// @param duration Observed duration, or a bound that an unfinished wait has passed.
/// @param now Time of the observation.
void RecordDuration(RecentLongest& recent, std::chrono::microseconds duration, TimePoint now);

/// @return The longest duration that was recorded of late; none without a recent record.
[[nodiscard]] std::optional<std::chrono::microseconds> LongestDuration(const RecentLongest& recent,
                                                                       TimePoint now);

/// @brief Records what an open request shows of its service: the pace of its events, and waits that
///     are longer than what was recorded so far.
/// @param times Times of the request's service.
/// @param request Request with the attempts that haven't ended.
/// @param is_complete Its stream ends now with its last event.
/// @param now Current time.
void RecordRequestTimes(ServiceTimes& times,
                        const Request& request,
                        bool is_complete,
                        TimePoint now);

/// @brief Estimates the time that a request needs at its service, by the longest recent times there
///     and by the requests that are waiting now.
/// @param state State with the observed times and the open requests.
/// @param request Request to estimate.
/// @param events Number of events if it is a stream.
/// @param now Current time.
/// @return Estimate from the send to the end of the response; none without a recent observation.
[[nodiscard]] std::optional<std::chrono::microseconds> EstimateServiceTime(const State& state,
                                                                           const Request& request,
                                                                           double events,
                                                                           TimePoint now);

}  // namespace snipeturn::entry
