#pragma once

#include <functional>
#include <vector>

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/state.h"

namespace snipeturn::entry {

/// @brief Load of this host by upstream, including generations that are being migrated to it.
/// @return The table that is broadcast to peers.
[[nodiscard]] LoadTable LocalLoad(const State& state);

/// @brief Load of all hosts by upstream, as far as it is known. Peers and cells whose load is stale
///     at `now` are left out.
[[nodiscard]] LoadTable TotalLoad(const State& state, TimePoint now);

/// @brief Calls a function with each table of other hosts that counts in TotalLoad(), and with the
///     time at which it was received.
void ForEachTable(const State& state,
                  TimePoint now,
                  const std::function<void(const LoadTable&, TimePoint)>& visit);

namespace internal {

/// @brief Adds one load table to another.
void AddLoad(LoadTable& sum, const LoadTable& table);

}  // namespace internal

/// @brief Upstreams to which this host recently failed to connect.
[[nodiscard]] std::vector<UpstreamId> UnreachableUpstreams(const State& state, TimePoint now);

/// @brief Makes the table that this host broadcasts to its peers: its load, its recent updates and
///     how far it has read the store.
[[nodiscard]] PeerLoadReceived MakeLoadBroadcast(const State& state, TimePoint now);

/// @brief Engine memory that a request is expected to need.
/// @return Tokens; 0 for requests that are not streams.
[[nodiscard]] std::uint64_t ExpectedMemoryTokens(const Request& request) noexcept;

}  // namespace snipeturn::entry
