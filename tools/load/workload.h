#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "snipeturn/base/work_class.h"

namespace snipeturn::load {

/// One call of the workload. The engine draws the length of the generation from the prompt, so that
/// neither the caller nor the daemon knows it in advance.
struct PlannedCall {
  /// Start time, since the start of the run.
  std::chrono::microseconds start{0};
  WorkClass work_class{WorkClass::kShort};
  /// Index of the organisation.
  std::size_t organisation{0};
  std::string prompt;
  std::uint64_t max_tokens{0};
  /// Random bits of the idempotency key; the issue time is added when the call is sent.
  std::uint64_t key_high{0};
  std::uint64_t key_low{0};
};

/// Parameters of a workload.
struct WorkloadOptions {
  std::uint64_t seed{1};
  /// Mean calls per second; interarrival times are exponentially distributed.
  double rate{1.0};
  std::chrono::seconds duration{8};
  std::size_t organisations{1};
};

/// @brief Draws the calls of a run; the same options give the same calls.
/// @param options Parameters of the workload.
/// @return The calls, ordered by start time.
[[nodiscard]] std::vector<PlannedCall> DrawWorkload(const WorkloadOptions& options);

/// @brief Deadline of a call: for critical and short calls on the complete response, for long calls
/// on the first token, as their length is unknown.
/// @param work_class The class of the call.
/// @return The deadline, from the start of the call.
[[nodiscard]] std::chrono::milliseconds DeadlineOf(WorkClass work_class) noexcept;

/// @brief Makes a UUIDv7 idempotency key with the current time.
/// @param call The call, which holds the random bits.
/// @return The key as text.
[[nodiscard]] std::string IssueKey(const PlannedCall& call);

}  // namespace snipeturn::load
