#include "snipeturn/entry/service_times.h"

#include <algorithm>

#include "snipeturn/entry/state.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// Keeps a malicious number of tokens within the range of times.
constexpr double kMaxPromptExcess = 1e6;

/// Records a wait that isn't over: a bound, which doesn't count as an observation by itself.
void RecordWait(RecentLongest& recent, std::chrono::microseconds duration, TimePoint now) {
  const auto longest = Largest(recent, now);
  if (longest && duration > *longest) {
    const TimePoint recorded_at = recent.recorded_at;
    Record(recent, duration, now);
    recent.recorded_at = recorded_at;
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
    Record(times.event_interval, (request.last_event_at - *request.first_event_at) / intervals,
           now);
  }
  const auto with_end = (now - *request.first_event_at) / (intervals + 1);
  if (is_complete) {
    Record(times.event_interval, with_end, now);
  } else {
    RecordWait(times.event_interval, with_end, now);
  }
}

}  // namespace
}  // namespace internal

void RecordFirstEvent(ServiceTimes& times,
                      const Request& request,
                      std::chrono::microseconds duration,
                      TimePoint now) {
  Record(times.first_event, duration, now);
  Record(times.prompt_tokens, request.head.prompt_tokens, now);
}

void RecordRequestTimes(ServiceTimes& times,
                        const Request& request,
                        bool is_complete,
                        TimePoint now) {
  internal::RecordAttempts(times, request, now);
  internal::RecordEvents(times, request, is_complete, now);
}

ServiceTimes ObserveServiceTimes(const State& state, const std::string& service, TimePoint now) {
  const auto found = state.service_times.find(service);
  ServiceTimes times = found == state.service_times.end() ? ServiceTimes{} : found->second;
  for (const auto& [key, request] : state.requests) {
    if (request.service == service) {
      RecordRequestTimes(times, request, false, now);
    }
  }
  return times;
}

std::optional<ServiceTimeEstimate> EstimateServiceTime(const ServiceTimes& times,
                                                       const Request& request,
                                                       TimePoint now) {
  if (request.kind != RouteKind::kStream) {
    const auto response = Largest(times.response, now);
    return response ? std::optional(ServiceTimeEstimate{*response, {}}) : std::nullopt;
  }
  const auto first_event = Largest(times.first_event, now);
  const auto interval = Largest(times.event_interval, now);
  if (!first_event || !interval) {
    return std::nullopt;
  }
  // A longer prompt than those that were read takes longer in proportion.
  const double observed_tokens = static_cast<double>(
      std::max<std::uint64_t>(1, Largest(times.prompt_tokens, now).value_or(1)));
  const double excess =
      std::clamp(static_cast<double>(request.head.prompt_tokens) / observed_tokens, 1.0,
                 internal::kMaxPromptExcess);
  return ServiceTimeEstimate{std::chrono::microseconds(static_cast<std::int64_t>(
                                 static_cast<double>(first_event->count()) * excess)),
                             *interval};
}

}  // namespace snipeturn::entry
