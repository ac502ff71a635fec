#pragma once

#include <optional>
#include <vector>

#include "snipeturn/base/time.h"
#include "snipeturn/capacity/observation.h"

namespace snipeturn::capacity {

/// Evidence older than this doesn't count.
inline constexpr std::chrono::seconds kEvidenceTtl{15};

/// Mean of samples with the sum of their weights, which fades.
struct WeightedMean {
  double weight{0};
  double value{0};
};

/// Evidence on one upstream, by one host or by several.
struct Evidence {
  /// Log of the speed, over some seconds and over the last moment.
  WeightedMean speed;
  WeightedMean recent_speed;
  /// Log of the time for a unit of work relative to the service's, with few and with many requests
  /// there.
  WeightedMean idle_time;
  WeightedMean busy_time;
  /// Number of requests of `busy_time`.
  double busy_requests{0};
  /// Time at which the weights apply.
  TimePoint at{};
  std::optional<TimePoint> observed_at;
};

/// What a host knows of one upstream.
struct Estimate {
  /// The host's own observations, and those that other hosts reported.
  Evidence own;
  Evidence others;
  /// What the host's overdue requests show at present; see ObserveOverdue().
  WeightedMean overdue;
  TimePoint overdue_at{};
  /// Log of the speed that counts as 1; see Centre().
  double centre{0};
  /// Variance of the service's observations.
  double variance{0.25};
  /// Log of the time of work as last stated, within a factor of 4.
  double stated_time{0};
  TimePoint stated_at{};
  /// Sums of a regression of observed on stated times, which says how far the statements hold.
  double stated_square{0};
  double stated_product{0};
  int slots{0};
  /// The upstream has just been started and is slow until then.
  TimePoint cold_until{};
};

/// @brief Takes what a response shows into the estimate of its upstream and the baseline.
///
/// Handles upstreams that differ in speed by some factors, change it at any time, and are observed
/// by requests of different length and by hosts that are slow themselves. A speed is seen only in
/// comparison with other upstreams of the same kind.
/// @param estimate Estimate of the upstream.
/// @param baseline Baseline of the service and kind.
/// @param observation What the response shows.
/// @param now Current time.
void Observe(Estimate& estimate, Baseline& baseline, const Observation& observation, TimePoint now);

/// @brief Forgets what the host's overdue requests showed, before they are looked at anew.
void ClearOverdue(Estimate& estimate, TimePoint now);

/// @brief Takes an open request into the estimate if it has waited longer than it should take.
///
/// Handles an upstream that becomes slow: its responses show that only when they come.
/// @param estimate Estimate of the upstream.
/// @param baseline Baseline of the service and kind.
/// @param open Observation with the time for which the request has waited so far.
/// @param now Current time.
void ObserveOverdue(Estimate& estimate,
                    const Baseline& baseline,
                    const Observation& open,
                    TimePoint now);

/// @brief Own evidence of a host for other hosts, with what its overdue requests show.
[[nodiscard]] Evidence ReportedEvidence(const Estimate& estimate, TimePoint now);

/// @brief Tells whether the last moment shows a speed that clearly differs from the seconds before.
[[nodiscard]] bool HasChanged(const Estimate& estimate, TimePoint now);

/// @brief Drops the evidence of before the last moment.
void DropOutdated(Evidence& evidence, TimePoint now);

/// @brief Takes an upstream's statement of how long work takes there.
/// @param estimate Estimate of the upstream.
/// @param work_time Time relative to the usual one.
/// @param now Current time.
void AdoptWorkTime(Estimate& estimate, double work_time, TimePoint now);

/// @brief Relative speed of an upstream, 1 for the service's middle.
///
/// The stated time of work fades to 1 within a second, and counts at most as a factor of 4 and only
/// as far as observed times agree.
/// @return Between 0.2 and 5; 1 without evidence.
[[nodiscard]] double Speed(const Estimate& estimate, TimePoint now);

/// @brief Weight of the evidence for the speed, about the number of observations of some seconds.
[[nodiscard]] double EvidenceWeight(const Estimate& estimate, TimePoint now);

/// @brief Share of a stated time of work that counts, 0 to 1.
[[nodiscard]] double StatementTrust(const Estimate& estimate);

/// @brief Number of requests that an upstream handles before they mostly wait for one another.
///
/// Handles upstreams that slow down long before they are full. By Little's law, of the requests at
/// an upstream that takes twice as long as when idle, a half is waiting. The limit leaves room for
/// as much waiting as work, so it falls with what is observed and rises again when requests at the
/// limit are quick.
/// @return The limit; empty without enough evidence of waiting.
[[nodiscard]] std::optional<int> Limit(const Estimate& estimate, TimePoint now);

/// @brief Tells whether a request should explore an upstream that is judged slow and has not been
///     observed recently.
/// @param estimate Estimate of the upstream.
/// @param draw Random number of the request from 0 to 1, the same for all upstreams, so that the
///     share of exploring requests is bounded.
/// @param now Current time.
[[nodiscard]] bool MayExplore(const Estimate& estimate, double draw, TimePoint now);

/// @brief Log of the speed that counts as 1 in a service: the mean of the middle half. Unlike the
///     median it doesn't jump where half of the upstreams have one speed and half another.
/// @param estimates Estimates of the service's upstreams.
/// @param now Current time.
/// @return 0 without evidence.
[[nodiscard]] double Centre(const std::vector<const Estimate*>& estimates, TimePoint now);

/// @brief Returns the evidence with weights of a later time; without any beyond its lifetime.
[[nodiscard]] Evidence Faded(const Evidence& evidence, TimePoint now);

/// @brief Adds the evidence of another host. Both must be faded to the same time.
void Add(Evidence& sum, const Evidence& other);

}  // namespace snipeturn::capacity
