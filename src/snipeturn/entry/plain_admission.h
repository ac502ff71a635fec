#pragma once

#include <chrono>
#include <optional>

namespace snipeturn::entry {

/// @brief Requests that a plain upstream of a contended service may have, running and waiting, as a
///     multiple of its slots: what it answers within the objective by recent response times.
///
/// Without a response so far only the slots are used: after a restart of all hosts their callers
/// return at once, and none of the hosts knows how long responses take.
/// @param objective Latency objective of the request.
/// @param response Longest recent time of a response, including its wait at the upstream.
/// @param max_factor Result at most.
[[nodiscard]] double PlainOvercommit(std::chrono::milliseconds objective,
                                     std::optional<std::chrono::microseconds> response,
                                     double max_factor) noexcept;

}  // namespace snipeturn::entry
