#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "snipeturn/base/time.h"
#include "snipeturn/entry/fwd.h"

namespace snipeturn::entry {

/// Largest of the values that were recorded recently. Forgets a value after one to two windows.
template <typename Value>
struct RecentMaximum {
  /// A window holds several requests of each kind at a host with little traffic, and a service that
  /// has recovered is trusted again within two.
  static constexpr std::chrono::seconds kWindow{15};

  Value current{};
  Value previous{};
  /// Start of the current window; none before the first record.
  std::optional<TimePoint> since;
  /// Time of the last record.
  TimePoint recorded_at{};
};

/// @brief Records a value.
/// @param recent Record to update.
/// @param value Observed value.
/// @param now Time of the observation.
template <typename Value>
void Record(RecentMaximum<Value>& recent, Value value, TimePoint now) {
  constexpr auto kWindow = RecentMaximum<Value>::kWindow;
  if (!recent.since || now - *recent.since >= 2 * kWindow) {
    recent = {value, Value{}, now, now};
  } else if (now - *recent.since >= kWindow) {
    recent = {value, recent.current, now, now};
  } else {
    recent.current = std::max(recent.current, value);
    recent.recorded_at = now;
  }
}

/// @return The largest value that was recorded recently; none without a record in the last window,
///     as nothing shows then whether the value has changed.
template <typename Value>
[[nodiscard]] std::optional<Value> Largest(const RecentMaximum<Value>& recent, TimePoint now) {
  constexpr auto kWindow = RecentMaximum<Value>::kWindow;
  if (!recent.since || now - recent.recorded_at >= kWindow) {
    return std::nullopt;
  }
  return now - *recent.since >= kWindow ? recent.current
                                        : std::max(recent.current, recent.previous);
}

using RecentLongest = RecentMaximum<std::chrono::microseconds>;

/// How long the upstreams of a service took recently for requests of this host, whichever of them
/// it was.
struct ServiceTimes {
  /// From a send to the complete response of a plain service.
  RecentLongest response;
  /// From a send to the first event of a stream, and the tokens of the prompts before it.
  RecentLongest first_event;
  RecentMaximum<std::uint64_t> prompt_tokens;
  /// Mean time between two events of one stream.
  RecentLongest event_interval;
};

/// @brief Records the first event of an attempt.
/// @param times Times of the request's service.
/// @param request The attempt's request.
/// @param duration Time from the send to the event.
/// @param now Current time.
void RecordFirstEvent(ServiceTimes& times,
                      const Request& request,
                      std::chrono::microseconds duration,
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

/// @return Times of a service with what its open requests show.
[[nodiscard]] ServiceTimes ObserveServiceTimes(const State& state,
                                               const std::string& service,
                                               TimePoint now);

/// Estimated times of a request, from its send.
struct ServiceTimeEstimate {
  /// Until the response, or the first event of a stream.
  std::chrono::microseconds first{0};
  /// Between two events of a stream.
  std::chrono::microseconds interval{0};
};

/// @brief Estimates the times of a request by the longest recent times of its service.
/// @param times Times of the service.
/// @param request Request to estimate.
/// @param now Current time.
/// @return Estimate; none without a recent observation.
[[nodiscard]] std::optional<ServiceTimeEstimate> EstimateServiceTime(const ServiceTimes& times,
                                                                     const Request& request,
                                                                     TimePoint now);

}  // namespace snipeturn::entry
