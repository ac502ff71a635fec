#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "snipeturn/base/time.h"
#include "snipeturn/entry/state.h"

namespace snipeturn::entry {

/// State of the last broadcast, and a token bucket for tables that are sent ahead of the usual
/// rate. The counters hold the values that the last broadcast covered.
struct BroadcastState {
  std::uint64_t changes{0};
  std::uint64_t last_update{0};
  std::uint64_t decreases{0};
  /// Position up to which the configuration had been read.
  StorePosition configuration{};
  TimePoint broadcast_at{};
  TimePoint broadcast_to_all_at{};
  /// Number of tables of changes that may be sent at once, as of `allowance_at`.
  double allowance{0};
  TimePoint allowance_at{};
  /// Number of rounds of messages to the other cells.
  std::uint64_t cell_rounds{0};
  TimePoint cell_broadcast_at{};
};

/// Receivers of a load table.
enum class Audience : std::uint8_t { kNobody, kOwnZone, kOwnCell, kAll };

/// @brief Decides whether a broadcast of the load table is due, and records it as sent.
///
/// Handles bursts: hosts whose view of the load is about 100 ms old place requests at the same
/// engine, which processes prompts one after another. A change is therefore broadcast at once, as
/// long as the mean rate stays within what all hosts can receive.
/// @param broadcast State of the last broadcast.
/// @param state The entry state.
/// @param peers Number of hosts that would receive the table.
/// @param now Current time.
/// @return The receivers of a table that is due now.
[[nodiscard]] Audience SelectAudience(BroadcastState& broadcast,
                                      const State& state,
                                      std::size_t peers,
                                      TimePoint now);

/// @brief Mean time between two tables of a host that reports changes all the time, and thus the
/// age
///     of what other hosts know of it.
[[nodiscard]] std::chrono::microseconds TableInterval(const State& state) noexcept;

/// @brief Tells whether a host belongs to an audience.
[[nodiscard]] bool IsInAudience(const State& state, Audience audience, const std::string& host);

/// @brief Selects the hosts of the other cells that forward a table for all hosts.
[[nodiscard]] std::vector<std::string> SelectForwarders(BroadcastState& broadcast,
                                                        const State& state);

/// @brief Decides whether the sum of the cell is due, and records it as sent.
/// @return Hosts that should receive the sum now; none when it isn't due or this host is not the
///     aggregator.
[[nodiscard]] std::vector<std::string> SelectCellTargets(BroadcastState& broadcast,
                                                         const State& state,
                                                         TimePoint now);

}  // namespace snipeturn::entry
