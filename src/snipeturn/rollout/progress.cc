#include "snipeturn/rollout/progress.h"

namespace snipeturn::rollout {
namespace {

/// Parts of the time limit: the end of the canary, that of a canary whose verdict isn't clear, the
/// end of sends to the old version, and the latest success. The rest is for the write to the store
/// and for a second writer.
constexpr double kCanaryEnd = 0.75;
constexpr double kUnclearCanaryEnd = 0.8125;
constexpr double kFallBackEnd = 0.825;
constexpr double kSuccessDue = 0.9;
/// Time from the begin of the move for all hosts to learn of it, after which an unused old version
/// means success.
constexpr std::chrono::milliseconds kSettleTime{1000};

bool IsPast(const std::chrono::milliseconds& age,
            const std::chrono::milliseconds& duration,
            double part) noexcept {
  return static_cast<double>(age.count()) >= part * static_cast<double>(duration.count());
}

}  // namespace

Phase NextPhase(Phase phase, const ProgressInputs& inputs) noexcept {
  if (IsFinal(phase)) {
    return phase;
  }
  if (inputs.judgement.verdict == Verdict::kBad) {
    return Phase::kRolledBack;
  }
  if (phase == Phase::kCanary) {
    if (!IsPast(inputs.age, inputs.duration, kCanaryEnd)) {
      return phase;
    }
    if (inputs.judgement.score < kSuspectedScore) {
      return Phase::kPromoting;
    }
    return IsPast(inputs.age, inputs.duration, kUnclearCanaryEnd) ? Phase::kRolledBack : phase;
  }
  const bool has_settled = inputs.age >= std::chrono::duration_cast<std::chrono::milliseconds>(
                                             inputs.duration * kCanaryEnd + kSettleTime);
  const bool is_moved = has_settled && !inputs.is_old_in_use;
  return is_moved || IsPast(inputs.age, inputs.duration, kSuccessDue) ? Phase::kSucceeded : phase;
}

bool MayFallBack(std::chrono::milliseconds age, std::chrono::milliseconds duration) noexcept {
  return !IsPast(age, duration, kFallBackEnd);
}

}  // namespace snipeturn::rollout
