#pragma once

#include <cstdint>
#include <map>

#include "snipeturn/entry/state.h"

namespace snipeturn::entry {

/// Bytes of request bodies in flight, from all hosts, that an upstream is assumed to hold without
/// running out of memory: four of the largest bodies.
inline constexpr std::uint64_t kMaxUpstreamBytes = 16ULL << 20U;

using RequestBytesTable = std::map<UpstreamId, std::uint64_t>;

/// @brief Sums up the bodies of the requests that this host has sent and that haven't ended.
/// @param state The entry state.
/// @param next A request that is to be sent.
/// @return The bytes by upstream; empty when all of them and the next are within the bound anyway.
[[nodiscard]] RequestBytesTable RequestBytesInFlight(const State& state, const Request& next);

/// @brief Tells whether a request's body may be sent to an upstream beside those in flight.
///
/// This host's part of the bound over all hosts is the bound divided by their number. A request
/// that is the only one of this host at the upstream is always sent, as it might fit nowhere.
/// @param state The entry state.
/// @param in_flight The bytes in flight.
/// @param request The request.
/// @param upstream The upstream.
[[nodiscard]] bool HasRoomForBody(const State& state,
                                  const RequestBytesTable& in_flight,
                                  const Request& request,
                                  const UpstreamId& upstream);

}  // namespace snipeturn::entry
