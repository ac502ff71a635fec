#include "snipeturn/backpressure/pause.h"

#include <algorithm>
#include <cmath>

namespace snipeturn::backpressure {
namespace internal {
namespace {

/// Part of a pause, and most time, over which hosts return after it.
constexpr double kSpreadShare = 0.25;
constexpr std::chrono::microseconds kMaxSpread{1000000};
/// Time between the first two requests after a pause: a refusal of the first one has arrived by
/// then. The time between requests halves as often as `kHalving` passes, down to `kMinInterval`,
/// which holds until `kRampEnd`: requests that waited for the pause have been sent by then.
constexpr std::chrono::microseconds kFirstInterval{400000};
constexpr std::chrono::duration<double> kHalving{0.2};
constexpr std::chrono::microseconds kMinInterval{2000};
constexpr std::chrono::seconds kRampEnd{10};
/// Delay of a timer that is made up for by shorter times between the requests after it.
constexpr std::chrono::microseconds kCatchUp{10000};

/// Time between two requests at a time after the pause.
std::chrono::microseconds RampInterval(const Pause& pause, TimePoint now) noexcept {
  const std::chrono::duration<double> passed = now - *pause.resumed_at;
  if (passed > kRampEnd) {
    return std::chrono::microseconds{0};
  }
  return std::max(kMinInterval, std::chrono::duration_cast<std::chrono::microseconds>(
                                    kFirstInterval * std::exp2(-passed / kHalving)));
}

}  // namespace
}  // namespace internal

bool AdoptPause(Pause& pause,
                std::chrono::milliseconds duration,
                double spread,
                TimePoint now) noexcept {
  if (duration <= std::chrono::milliseconds{0}) {
    return false;
  }
  const std::chrono::microseconds capped = std::min<std::chrono::microseconds>(duration, kMaxPause);
  const auto range = std::min(
      internal::kMaxSpread,
      std::chrono::duration_cast<std::chrono::microseconds>(capped * internal::kSpreadShare));
  const TimePoint until =
      now + capped + std::chrono::duration_cast<std::chrono::microseconds>(range * spread);
  if (until <= pause.until) {
    return false;
  }
  pause = {until, std::nullopt, {}};
  return true;
}

bool IsPaused(const Pause& pause, TimePoint now) noexcept {
  return now < pause.until;
}

TimePoint NextStart(const Pause& pause, TimePoint now) noexcept {
  if (!pause.resumed_at) {
    return std::max(now, pause.until);
  }
  // The interval that holds when the next request is due is shorter than the present one.
  return std::max(now, pause.last_sent_at + internal::RampInterval(pause, now));
}

std::chrono::microseconds RampTime(double requests) noexcept {
  // The rate doubles each kHalving, so this many requests are sent in the first of these times.
  const double first = internal::kHalving / internal::kFirstInterval / std::log(2.0);
  return std::chrono::duration_cast<std::chrono::microseconds>(
      internal::kHalving * std::log2(1 + std::max(0.0, requests) / first));
}

void RecordStart(Pause& pause, TimePoint now) noexcept {
  if (pause.until > TimePoint{} && !IsPaused(pause, now)) {
    const bool is_first = !pause.resumed_at;
    pause.resumed_at = pause.resumed_at.value_or(now);
    const TimePoint due =
        is_first ? now : std::min(now, pause.last_sent_at + internal::RampInterval(pause, now));
    pause.last_sent_at = std::max(due, now - internal::kCatchUp);
  }
}

}  // namespace snipeturn::backpressure
