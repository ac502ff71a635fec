#include "snipeturn/entry/queue_forecast.h"

#include <algorithm>
#include <tuple>

#include "snipeturn/base/hash.h"
#include "snipeturn/entry/contention.h"
#include "snipeturn/entry/pending.h"
#include "snipeturn/entry/state.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// Fewer sends a second of all hosts say nothing about the next ones.
constexpr double kMinSendsPerSecond = 3;
/// Keeps forecasts within the range of times.
constexpr double kMaxWaitMs = 600'000;
/// Callers honour a Retry-After of up to a third of their remaining time.
constexpr int kRetryAfterShare = 3;

/// Order of the queue of a contended service; see DispatchQueue().
std::tuple<bool, TimePoint> QueueOrder(const Request& request, TimePoint now) {
  const TimePoint start = LatestStart(request);
  return {start < now, start};
}

}  // namespace
}  // namespace internal

std::optional<std::chrono::milliseconds> ForecastWait(double ahead, double sends_per_second) {
  if (sends_per_second < internal::kMinSendsPerSecond) {
    return std::nullopt;
  }
  const double wait_ms = std::min(internal::kMaxWaitMs, ahead / sends_per_second * std::milli::den);
  return std::chrono::milliseconds(static_cast<std::int64_t>(wait_ms));
}

double RequestsAhead(const State& state,
                     const Request& request,
                     const Demand& others,
                     TimePoint now) {
  int queued = 0;
  int ahead = 0;
  const auto order = internal::QueueOrder(request, now);
  for (const auto& [key, other] : state.requests) {
    if (other.phase == RequestPhase::kQueued && other.service == request.service &&
        other.key != request.key) {
      ++queued;
      ahead += internal::QueueOrder(other, now) < order ? 1 : 0;
    }
  }
  // Half of the others' requests are ahead if this host has none to compare with.
  constexpr double kPriorAhead = 0.5;
  const double part = (ahead + kPriorAhead) / (queued + 1);
  return ahead + others.queued * part;
}

std::optional<std::chrono::milliseconds> ForecastContendedWait(const State& state,
                                                               const Request& request,
                                                               TimePoint now) {
  if (!IsContended(state, request.service)) {
    return std::nullopt;
  }
  const Demand own = OwnDemand(state, request.service, now);
  const Demand others = OthersDemand(state, request.service, own, now);
  return ForecastWait(RequestsAhead(state, request, others, now),
                      own.sends_per_second + others.sends_per_second);
}

std::chrono::milliseconds RetryAfterWait(const Request& request,
                                         std::chrono::milliseconds wait,
                                         TimePoint now) {
  constexpr std::int64_t kSpreadSteps = 512;
  const auto step = static_cast<std::int64_t>(Hash(request.head.id) % kSpreadSteps);
  const std::chrono::milliseconds spread(step * wait.count() / (2 * kSpreadSteps));
  const auto longest = ToMilliseconds(request.deadline - now) / internal::kRetryAfterShare;
  // The shortest wait that callers honour is spread too.
  const auto latest = std::min(wait + wait / 2, longest);
  return std::max(std::chrono::milliseconds{0}, latest - spread);
}

}  // namespace snipeturn::entry
