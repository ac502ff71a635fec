#include "snipeturn/entry/request_bytes.h"

#include <algorithm>
#include <limits>

namespace snipeturn::entry {

RequestBytesTable RequestBytesInFlight(const State& state) {
  RequestBytesTable table;
  const Options& options = state.options;
  if (options.max_upstream_bytes == 0 && options.max_upstream_bytes_of_all == 0) {
    return table;
  }
  for (const auto& [key, request] : state.requests) {
    if (request.head.body_bytes > 0) {
      for (const Attempt& attempt : request.attempts) {
        table[attempt.upstream] += request.head.body_bytes;
      }
    }
  }
  return table;
}

bool HasRoomForBody(const State& state,
                    const RequestBytesTable& in_flight,
                    const Request& request,
                    const UpstreamId& upstream) {
  const auto found = in_flight.find(upstream);
  if (found == in_flight.end() || request.head.body_bytes == 0) {
    return true;
  }
  const Options& options = state.options;
  std::uint64_t limit = std::numeric_limits<std::uint64_t>::max();
  if (options.max_upstream_bytes > 0) {
    limit = options.max_upstream_bytes;
  }
  if (options.max_upstream_bytes_of_all > 0) {
    limit = std::min(limit, options.max_upstream_bytes_of_all /
                                static_cast<std::uint64_t>(std::max(1, state.hosts)));
  }
  return found->second + request.head.body_bytes <= limit;
}

}  // namespace snipeturn::entry
