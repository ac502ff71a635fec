#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/event_scope.h"
#include "snipeturn/entry/state.h"

// Cells limit the messages between the hosts of a large deployment. The hosts of a cell broadcast
// changes of their load to one another at once; other cells receive an aggregate a few times a
// second. Without cells each change goes to all hosts, and the number of messages grows with the
// square of the number of hosts.

namespace snipeturn::entry {

/// @brief Returns the cell of a host: its availability zone, or a part of it if the zone has many
///     hosts. Hosts that count a zone's hosts differently may disagree for a moment, so each table
///     names the cell to which it was broadcast.
/// @param host The host.
/// @param zone Its availability zone.
/// @param hosts_in_zone Number of hosts of that zone.
[[nodiscard]] std::string CellName(std::string_view host, std::string_view zone, int hosts_in_zone);

/// @brief Tells whether the deployment is large enough to be divided into cells.
[[nodiscard]] bool HasCells(const State& state) noexcept;

/// @brief Tells whether a host is in this host's cell and so receives its tables. A host that is
///     known neither from the store nor as a peer counts as one.
[[nodiscard]] bool IsInOwnCell(const State& state, const std::string& host);

/// @brief Number of hosts of this host's cell, including itself; all hosts if there are no cells.
[[nodiscard]] int CellHosts(const State& state) noexcept;

/// @brief Tells whether a peer's own table counts because no sum of its cell includes it.
[[nodiscard]] bool CountsDirectly(const State& state, const PeerLoad& peer, TimePoint now);

/// @brief Tells whether the sum of a cell is recent enough to count.
[[nodiscard]] bool IsFresh(const CellLoad& cell, TimePoint now) noexcept;

/// @brief Number of other cells whose sum is recent enough to count.
[[nodiscard]] int CountLiveCells(const State& state, TimePoint now);

/// @brief Tells whether the load caused by the hosts of a zone is known.
[[nodiscard]] bool IsZoneLoadKnown(const State& state, const std::string& zone, TimePoint now);

/// @brief Tells whether this host sends the sum of its cell to the other cells. The aggregator is
///     chosen by rendezvous hashing over the hosts of the cell whose tables arrive.
[[nodiscard]] bool IsCellAggregator(const State& state, TimePoint now);

/// @brief Returns the sum of the load of this host's cell.
[[nodiscard]] CellLoadReceived MakeCellLoad(const State& state, TimePoint now);

/// @brief Selects hosts of each other cell that forward a message within their cell, by
///     round-robin. This spreads the work over all hosts, and a dead host costs one round.
/// @param state The entry state.
/// @param round Number of the round.
/// @param copies Number of hosts of each cell.
/// @return Names of hosts.
[[nodiscard]] std::vector<std::string> CellTargets(const State& state,
                                                   std::uint64_t round,
                                                   std::size_t copies);

namespace internal {

/// @brief Handles the list of hosts in the store, and divides them into cells.
void AdoptHosts(EventScope& scope, const HostsRead& event);

/// @brief Handles the sum of another cell, and forwards it if it came directly from that cell.
void HandleCellLoad(EventScope& scope, const CellLoadReceived& event);

}  // namespace internal
}  // namespace snipeturn::entry
