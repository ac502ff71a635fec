#pragma once

#include <cstdint>
#include <map>

#include "snipeturn/entry/state.h"

namespace snipeturn::entry {

enum class SendOutcome : std::uint8_t {
  kAnswered,
  /// The upstream responded with an error.
  kError,
  /// The connection failed, or ended without any response.
  kNoAnswer,
};

/// @brief Adds the result of a send to an upstream's count.
void CountOutcome(OutcomeCount& count, SendOutcome outcome, TimePoint now) noexcept;

/// @brief Returns a count decayed to the present, with a half-life of one second.
[[nodiscard]] OutcomeCount DecayedOutcomes(const OutcomeCount& count, TimePoint now) noexcept;

/// @brief Upstreams at which sends of this host failed recently, for the load table.
[[nodiscard]] OutcomeTable FailingUpstreams(const State& state, TimePoint now);

/// @brief Recent failure rates over all hosts, of the upstreams with any failure.
///
/// In a large deployment a host sends to a given upstream only every few seconds. If each host had
/// to detect a failing upstream by itself, all of them would fail there first; moreover, an
/// upstream that fails fast looks idle.
/// @return Rates from 0 to 1; a small number of sends yields a low rate.
[[nodiscard]] std::map<UpstreamId, double> FailureRates(const State& state, TimePoint now);

}  // namespace snipeturn::entry
