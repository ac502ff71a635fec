#pragma once

#include <json/value.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "snipeturn/base/work_class.h"

namespace snipeturn::load {

using Clock = std::chrono::steady_clock;

/// Result of a call as its caller saw it.
struct CallResult {
  WorkClass work_class{WorkClass::kShort};
  bool is_answered{false};
  /// Answered within the deadline of its class; see DeadlineOf.
  bool is_in_time{false};
  /// Reason of the failure; empty when answered.
  std::string failure;
  /// Idempotency key; empty for calls without one.
  std::string key;
  /// The call was rejected with outcome "not_run".
  bool is_refused_as_not_run{false};
  std::uint64_t tokens{0};
};

/// Distribution of durations in milliseconds.
class Durations {
 public:
  Durations();

  void Add(Clock::duration value);

  /// @brief Returns the number of samples and, once there are enough, p50, p95 and p99.
  [[nodiscard]] Json::Value Summary() const;

 private:
  using Tags = boost::accumulators::stats<boost::accumulators::tag::count,
                                          boost::accumulators::tag::extended_p_square>;
  boost::accumulators::accumulator_set<double, Tags> samples_;
};

/// Collects the measurements of all callers of a run. Thread-safe.
class Measurements {
 public:
  void AddFirstToken(Clock::duration value);

  /// @brief Adds the time between two tokens of a stream; the part beyond 1 s is stall time.
  void AddBetweenTokens(Clock::duration value);

  void AddResult(CallResult result);

  /// @brief Results of all calls that have ended.
  [[nodiscard]] std::vector<CallResult> results() const;

  /// @brief Summary of the run as JSON.
  [[nodiscard]] Json::Value Summary() const;

 private:
  mutable std::mutex mutex_;
  Durations first_token_;
  Durations between_tokens_;
  Clock::duration stall_{0};
  std::vector<CallResult> results_;
};

}  // namespace snipeturn::load
