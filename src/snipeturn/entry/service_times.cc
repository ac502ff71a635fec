#include "snipeturn/entry/service_times.h"

#include <algorithm>

#include "snipeturn/entry/state.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// A window holds several requests of each kind at a host with little traffic, and a service that
/// has recovered is trusted again within two.
constexpr std::chrono::seconds kWindow{15};

/// Records a wait that isn't over: a bound, which doesn't count as an observation by itself.
void RecordWait(RecentLongest& recent, std::chrono::microseconds duration, TimePoint now) {
  const auto longest = LongestDuration(recent, now);
  if (longest && duration > *longest) {
    RecordDuration(recent, duration, now);
  }
}

void RecordAttempts(ServiceTimes& times, const Request& request, TimePoint now) {
  for (const Attempt& attempt : request.attempts) {
    if (request.kind != RouteKind::kStream) {
      RecordWait(times.response, now - attempt.sent_at, now);
    } else if (attempt.is_reading_prompt) {
      RecordWait(times.first_event, now - attempt.sent_at, now);
    }
  }
}

void RecordEvents(ServiceTimes& times, const Request& request, bool is_complete, TimePoint now) {
  if (!request.first_event_at) {
    return;
  }
  const auto intervals = static_cast<std::int64_t>(request.events - request.first_event);
  if (intervals > 0) {
    RecordDuration(times.event_interval,
                   (request.last_event_at - *request.first_event_at) / intervals, now);
  }
  const auto with_end = (now - *request.first_event_at) / (intervals + 1);
  if (is_complete) {
    RecordDuration(times.event_interval, with_end, now);
  } else {
    RecordWait(times.event_interval, with_end, now);
  }
}

}  // namespace
}  // namespace internal

void RecordDuration(RecentLongest& recent, std::chrono::microseconds duration, TimePoint now) {
  if (!recent.since || now - *recent.since >= 2 * internal::kWindow) {
    recent = {duration, std::chrono::microseconds{0}, now};
  } else if (now - *recent.since >= internal::kWindow) {
    recent = {duration, recent.current, now};
  } else {
    recent.current = std::max(recent.current, duration);
  }
}

std::optional<std::chrono::microseconds> LongestDuration(const RecentLongest& recent,
                                                         TimePoint now) {
  if (!recent.since || now - *recent.since >= 2 * internal::kWindow) {
    return std::nullopt;
  }
  return now - *recent.since >= internal::kWindow ? recent.current
                                                  : std::max(recent.current, recent.previous);
}

void RecordRequestTimes(ServiceTimes& times,
                        const Request& request,
                        bool is_complete,
                        TimePoint now) {
  internal::RecordAttempts(times, request, now);
  internal::RecordEvents(times, request, is_complete, now);
}

std::optional<std::chrono::microseconds> EstimateServiceTime(const State& state,
                                                             const Request& request,
                                                             double events,
                                                             TimePoint now) {
  const auto found = state.service_times.find(request.service);
  ServiceTimes times = found == state.service_times.end() ? ServiceTimes{} : found->second;
  for (const auto& [key, other] : state.requests) {
    if (other.service == request.service) {
      RecordRequestTimes(times, other, false, now);
    }
  }
  if (request.kind != RouteKind::kStream) {
    return LongestDuration(times.response, now);
  }
  const auto first_event = LongestDuration(times.first_event, now);
  const auto interval = LongestDuration(times.event_interval, now);
  if (!first_event || !interval) {
    return std::nullopt;
  }
  return *first_event + std::chrono::microseconds(static_cast<std::int64_t>(
                            static_cast<double>(interval->count()) * events));
}

}  // namespace snipeturn::entry
