#include "snipeturn/entry/room.h"

#include <algorithm>

#include "snipeturn/entry/pending.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// Less urgent requests get at least the rest, whatever the urgent demand is.
constexpr double kMaxMemoryReserve = 0.3;
constexpr double kMaxPrefillReserve = 0.5;

}  // namespace
}  // namespace internal

Reserve ReserveForUrgent(const Contention& contention,
                         const Demand& demand,
                         const EngineLimits& limits,
                         int engines) noexcept {
  if (!contention.has_classes || demand.urgent_tokens_per_second <= 0 || engines <= 0) {
    return {};
  }
  const std::chrono::duration<double> objective = contention.urgent_objective;
  const double needed = demand.urgent_tokens_per_second * objective.count();
  const double missing = std::max(0.0, needed - demand.urgent_tokens);
  const double memory = static_cast<double>(limits.memory_tokens) * engines;
  const double tokens_per_second =
      internal::kPrefillTokensPerMs * std::milli::den * static_cast<double>(engines);
  Reserve reserve;
  reserve.memory = memory > 0 ? std::min(internal::kMaxMemoryReserve, missing / memory) : 0;
  // Urgent requests have short outputs, or their objective would be no matter of the prompt.
  reserve.prefill =
      std::min(internal::kMaxPrefillReserve, demand.urgent_tokens_per_second / tokens_per_second);
  return reserve;
}

Demand SumOf(const Demand& left, const Demand& right) noexcept {
  return {left.queued + right.queued, left.sends_per_second + right.sends_per_second,
          left.urgent_tokens_per_second + right.urgent_tokens_per_second,
          left.urgent_tokens + right.urgent_tokens};
}

}  // namespace snipeturn::entry
