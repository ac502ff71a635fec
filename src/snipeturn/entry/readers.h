#pragma once

#include <chrono>
#include <string_view>

#include "snipeturn/entry/state.h"

namespace snipeturn::entry {

/// @brief Ranks this host among the readers of a subject, by rendezvous hashing over the hosts
///     whose tables arrived recently. Hosts that disagree may both read, or for a moment neither.
/// @param state The entry state.
/// @param subject Name of what is read, "upstream list" or "configuration".
/// @param now Current time.
/// @return 0 for the first reader.
[[nodiscard]] int ReaderRank(const State& state, std::string_view subject, TimePoint now);

/// @brief How a host reads the configuration.
struct ConfigurationReadPlan {
  /// How long the store may hold a read until there is a change (long poll).
  std::chrono::milliseconds wait{0};
  /// Minimum time between the starts of two reads.
  std::chrono::milliseconds interval{0};
};

/// @brief Returns how this host should read the configuration now.
///
/// Two hosts wait at the store for changes and notify the others, which then read at once. The
/// others request confirmations from them often enough to keep the callers' keys confirmed, and
/// read the store themselves if the replies are not recent enough. The age of a confirmation counts
/// from the start of the read, so that of a read that waited is already old when it ends.
[[nodiscard]] ConfigurationReadPlan PlanConfigurationReads(const State& state, TimePoint now);

/// @brief Tells whether other hosts rely on this host to see changes of the upstream list.
[[nodiscard]] bool IsListReader(const State& state, TimePoint now);

/// @brief Tells whether other hosts rely on this host to see changes of the configuration.
[[nodiscard]] bool IsConfigurationReader(const State& state, TimePoint now);

/// @brief Tells whether a peer waits at the store for changes of the configuration and has read it
///     recently, in the era of the store that this host knows.
[[nodiscard]] bool IsActiveConfigurationReader(const State& state,
                                               const PeerLoad& peer,
                                               TimePoint now);

/// @brief Tells whether this host or a peer has read the upstream list recently.
[[nodiscard]] bool IsUpstreamListFresh(const State& state, TimePoint now);

/// @brief Minimum time between two reads of the upstream list.
///
/// The first reader sees a change at once and notifies the others; the second one is its backup.
/// The other hosts read rarely while a reader has read the list recently, otherwise within the time
/// after which a leaving upstream must get no more work.
[[nodiscard]] std::chrono::milliseconds ListReadInterval(const State& state, TimePoint now);

}  // namespace snipeturn::entry
