#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "snipeturn/base/time.h"

namespace snipeturn::loop {

/// Log lines about refused requests of each client and reason in the present interval.
struct RefusalLog {
  struct Count {
    std::size_t lines{0};
    std::uint64_t suppressed{0};
    TimePoint began{};
  };
  std::map<std::pair<std::string, std::string>, Count> counts;
};

/// Lines of one client and reason in an interval. Callers inside the limits have few such refusals,
/// and callers behind one address share these lines.
inline constexpr std::size_t kMaxRefusalLines = 20;
inline constexpr std::chrono::seconds kRefusalLogInterval{1};
/// Most pairs of a client and a reason that are counted at once; further ones get no line.
inline constexpr std::size_t kMaxRefusalLogEntries = 256;

/// @brief Tells whether a status states a fault of the request, so that its client can cause any
///     number of them.
/// @param status Status of the response.
[[nodiscard]] bool IsClientFault(int status) noexcept;

/// @brief Decides whether a refusal gets a log line, and counts it.
/// @param log The counts.
/// @param client Address of the client.
/// @param reason Reason of the refusal.
/// @param now Present time.
/// @return The number of refusals of this client and reason that got no line since the last one;
///     nothing if this one gets none.
[[nodiscard]] std::optional<std::uint64_t> AdmitRefusalLine(RefusalLog& log,
                                                            std::string_view client,
                                                            std::string_view reason,
                                                            TimePoint now);

}  // namespace snipeturn::loop
