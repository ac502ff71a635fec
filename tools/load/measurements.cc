#include "tools/load/measurements.h"

#include <algorithm>
#include <utility>

namespace snipeturn::load {
namespace internal {

/// A gap between two tokens counts as stalled from this length on.
constexpr Clock::duration kStallThreshold = std::chrono::seconds{1};

std::vector<double> Probabilities() {
  return {0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995};
}

double ToMs(Clock::duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

}  // namespace internal

Durations::Durations()
    : samples_{boost::accumulators::extended_p_square_probabilities = internal::Probabilities()} {}

void Durations::Add(Clock::duration value) {
  samples_(internal::ToMs(value));
}

Json::Value Durations::Summary() const {
  namespace acc = boost::accumulators;
  Json::Value summary;
  const std::size_t count = acc::count(samples_);
  summary["count"] = Json::UInt64{count};
  // The estimator needs a sample for each of its 2n + 3 markers before it has quantiles.
  if (count > 2 * internal::Probabilities().size() + 3) {
    const auto quantiles = acc::extended_p_square(samples_);
    summary["p50"] = quantiles[1];
    summary["p95"] = quantiles[4];
    summary["p99"] = quantiles[6];
  }
  return summary;
}

void Measurements::AddFirstToken(Clock::duration value) {
  const std::lock_guard lock{mutex_};
  first_token_.Add(value);
}

void Measurements::AddBetweenTokens(Clock::duration value) {
  const std::lock_guard lock{mutex_};
  between_tokens_.Add(value);
  stall_ += std::max(Clock::duration{0}, value - internal::kStallThreshold);
}

void Measurements::AddResult(CallResult result) {
  const std::lock_guard lock{mutex_};
  results_.push_back(std::move(result));
}

std::vector<CallResult> Measurements::results() const {
  const std::lock_guard lock{mutex_};
  return results_;
}

Json::Value Measurements::Summary() const {
  const std::lock_guard lock{mutex_};
  Json::Value summary;
  summary["first_token_ms"] = first_token_.Summary();
  summary["between_tokens_ms"] = between_tokens_.Summary();
  summary["stall_ms"] = internal::ToMs(stall_);
  summary["failures"] = Json::objectValue;
  for (const char* name : {"critical", "long", "short"}) {
    for (const char* count : {"calls", "answered", "in_time"}) {
      summary["classes"][name][count] = 0;
    }
  }
  std::uint64_t tokens = 0;
  for (const CallResult& result : results_) {
    const std::string name{ToString(result.work_class)};
    Json::Value& class_summary = summary["classes"][name];
    class_summary["calls"] = class_summary["calls"].asInt() + 1;
    class_summary["answered"] = class_summary["answered"].asInt() + (result.is_answered ? 1 : 0);
    class_summary["in_time"] = class_summary["in_time"].asInt() + (result.is_in_time ? 1 : 0);
    tokens += result.tokens;
    if (!result.is_answered) {
      Json::Value& failures = summary["failures"][name + ":" + result.failure];
      failures = failures.asInt() + 1;
    }
  }
  summary["tokens"] = Json::UInt64{tokens};
  return summary;
}

}  // namespace snipeturn::load
