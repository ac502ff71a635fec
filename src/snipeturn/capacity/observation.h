#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "snipeturn/backpressure/signals.h"
#include "snipeturn/base/time.h"
#include "snipeturn/capacity/fwd.h"

namespace snipeturn::capacity {

enum class Kind : std::uint8_t {
  /// Time from the send of a stream to its first event.
  kFirstEvent,
  /// Time between two events of a stream.
  kPace,
  /// Time from the send of a call to its response.
  kCall,
};

/// What one response shows of the upstream that it came from.
struct Observation {
  Kind kind{Kind::kCall};
  /// Hash of the upstream's id.
  std::uint64_t upstream{0};
  std::chrono::microseconds time{0};
  /// Of the request, and of the others at the send whose first event had not arrived.
  std::uint64_t prompt_tokens{0};
  std::uint64_t pending_prompt_tokens{0};
  /// Requests of all hosts at the upstream, this one included.
  int requests{0};
  int slots{0};
  /// What the upstream stated last, if that is less than a second old.
  std::optional<backpressure::StatedLoad> stated;
};

/// Residual of one observation, that is its log time without what the service's baseline and the
/// upstream's speed explain.
struct Residual {
  std::uint64_t upstream{0};
  double value{0};
  TimePoint at{};
};

/// How long a host's requests of one kind take at an upstream of speed 1. A host that is slow
/// itself has a high baseline, so that its upstreams don't look slow.
struct Baseline {
  /// Mean of the log times for a unit of work, at speed 1.
  double log_time{0};
  /// Mean square of the residuals.
  double variance{0.25};
  /// Number of observations that count, at most a bound.
  double count{0};
  TimePoint at{};
  /// The same of observations at upstreams that were nearly idle, by which waiting is judged.
  double idle_log_time{0};
  double idle_count{0};
  TimePoint idle_at{};
  /// The last residuals, by a running index.
  std::array<Residual, 9> recent{};
  std::size_t next{0};
};

/// @brief Log of the time that an observation shows for a unit of work: for a first event the time
///     per prompt token that was processed until then, for the pace the time between two events
///     without the part that the number of running requests explains, for a call its duration.
[[nodiscard]] double LogUnitTime(const Observation& observation);

/// @brief Log of the speed that an observation shows, without what the host's own observations of
///     the same moment at other upstreams show too.
/// @param baseline Baseline of the service and kind.
/// @param observation The observation.
/// @param now Current time.
/// @return 0 for the usual speed; empty while the baseline has no observation.
[[nodiscard]] std::optional<double> LogSpeed(const Baseline& baseline,
                                             const Observation& observation,
                                             TimePoint now);

/// Share of the slots up to which an upstream counts as idle.
inline constexpr int kIdleDivisor = 4;

/// @brief Tells whether an upstream was nearly idle, so that the request waited for no other.
[[nodiscard]] bool IsIdle(const Observation& observation) noexcept;

/// @brief Log of the time for a unit of work relative to that at an idle upstream of speed 1.
/// @return Empty while the host has not seen the service's upstreams idle recently.
[[nodiscard]] std::optional<double> LogSlowdown(const Baseline& baseline,
                                                const Observation& observation,
                                                TimePoint now);

/// @brief Takes an observation into the baseline.
/// @param baseline Baseline of the service and kind.
/// @param observation The observation.
/// @param log_speed Log of the speed at which the upstream is estimated.
/// @param now Current time.
void Update(Baseline& baseline, const Observation& observation, double log_speed, TimePoint now);

}  // namespace snipeturn::capacity
