#pragma once

#include "snipeturn/entry/state.h"

namespace snipeturn::entry {

/// @brief Tells when an upstream may get the next request of this host, by what the upstream said
///     about the requests that it wants.
/// @return `now` if it may get one at once; the maximum if no time is known.
[[nodiscard]] TimePoint AvailableFrom(const State& state, const Upstream& upstream, TimePoint now);

/// @brief Charges a request to this host's part of what an upstream wants.
void RecordRequest(const State& state, Upstream& upstream, TimePoint now);

/// @brief Requests a second that this host may send to an upstream.
/// @return The rate, 0 if other hosts use up the limit, or nothing if the upstream stated none.
[[nodiscard]] std::optional<double> PermittedRate(const State& state,
                                                  const Upstream& upstream,
                                                  TimePoint now);

namespace internal {

/// @brief Counts the live hosts (of this host's cell, if there are cells) that rank before this
///     host for an upstream by rendezvous hashing.
[[nodiscard]] int CountHostsRankedBefore(const State& state,
                                         const UpstreamId& upstream,
                                         TimePoint now);

}  // namespace internal
}  // namespace snipeturn::entry
