#include "snipeturn/entry/request_bytes.h"

#include <algorithm>
#include <limits>

namespace snipeturn::entry {
namespace internal {
namespace {

/// Returns the bytes that this host may have in flight to one upstream.
std::uint64_t LimitOfHost(const State& state) {
  const Options& options = state.options;
  std::uint64_t limit = std::numeric_limits<std::uint64_t>::max();
  if (options.max_upstream_bytes > 0) {
    limit = options.max_upstream_bytes;
  }
  if (options.max_upstream_bytes_of_all > 0) {
    limit = std::min(limit, options.max_upstream_bytes_of_all /
                                static_cast<std::uint64_t>(std::max(1, state.hosts)));
  }
  return limit;
}

}  // namespace
}  // namespace internal

RequestBytesTable RequestBytesInFlight(const State& state, const Request& next) {
  std::uint64_t total = next.head.body_bytes;
  for (const auto& [key, request] : state.requests) {
    total += request.head.body_bytes * request.attempts.size();
  }
  RequestBytesTable table;
  if (total <= internal::LimitOfHost(state)) {
    return table;
  }
  for (const auto& [key, request] : state.requests) {
    for (const Attempt& attempt : request.attempts) {
      table[attempt.upstream] += request.head.body_bytes;
    }
  }
  return table;
}

bool HasRoomForBody(const State& state,
                    const RequestBytesTable& in_flight,
                    const Request& request,
                    const UpstreamId& upstream) {
  const auto found = in_flight.find(upstream);
  return found == in_flight.end() || found->second == 0 || request.head.body_bytes == 0 ||
         found->second + request.head.body_bytes <= internal::LimitOfHost(state);
}

}  // namespace snipeturn::entry
