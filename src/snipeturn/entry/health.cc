#include "snipeturn/entry/health.h"

#include <cmath>

namespace snipeturn::entry {
namespace internal {
namespace {

/// Time after which an outcome weighs half. An upstream that nobody uses any more, since it failed,
/// is tried again after some seconds.
constexpr std::chrono::duration<double> kHalfLife{1.0};
/// Answers that are assumed of each upstream, so that one failure alone says little.
constexpr double kAssumedAnswers = 2.0;
/// Less than this is no failure of late.
constexpr double kLeastCount = 0.05;
/// A host that was silent for so long tells nothing of now.
constexpr std::chrono::milliseconds kSilence{3200};

}  // namespace
}  // namespace internal

OutcomeCount AgedOutcomes(const OutcomeCount& count, TimePoint now) noexcept {
  const std::chrono::duration<double> age = now - count.at;
  const double weight = std::exp2(-age / internal::kHalfLife);
  return {count.failures * weight, count.answers * weight, now};
}

void CountOutcome(OutcomeCount& count, bool has_failed, TimePoint now) noexcept {
  count = AgedOutcomes(count, now);
  (has_failed ? count.failures : count.answers) += 1;
}

OutcomeTable FailingUpstreams(const State& state, TimePoint now) {
  OutcomeTable failing;
  for (const auto& [id, upstream] : state.upstreams) {
    const OutcomeCount aged = AgedOutcomes(upstream.outcomes, now);
    if (aged.failures >= internal::kLeastCount) {
      failing[id] = aged;
    }
  }
  return failing;
}

std::map<UpstreamId, double> FailureShares(const State& state, TimePoint now) {
  OutcomeTable sum = FailingUpstreams(state, now);
  for (const auto& [host, peer] : state.peers) {
    if (now - peer.at > internal::kSilence) {
      continue;
    }
    for (const auto& [id, told] : peer.outcomes) {
      const OutcomeCount aged = AgedOutcomes(told, now);
      sum[id].failures += aged.failures;
      sum[id].answers += aged.answers;
    }
  }
  std::map<UpstreamId, double> shares;
  for (const auto& [id, count] : sum) {
    shares[id] = count.failures / (count.failures + count.answers + internal::kAssumedAnswers);
  }
  return shares;
}

}  // namespace snipeturn::entry
