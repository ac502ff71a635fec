#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "snipeturn/rollout/fwd.h"

namespace snipeturn::rollout {

/// The versions that a roll-out compares.
enum class Side : std::uint8_t {
  /// Every version other than the target.
  kOld,
  kTarget,
};

/// Natural logarithms of durations in milliseconds.
struct LogTimes {
  std::uint64_t count{0};
  double sum{0};
  double sum_of_squares{0};
};

/// Responses of the upstreams whose ids have the same hash.
struct GroupCounts {
  std::uint64_t responses{0};
  /// Those of them that were bad.
  std::uint64_t failures{0};
};

/// Number of groups into which the upstreams of a version are divided by a hash of their ids. A
/// fault of a few upstreams shows in a few groups, a fault of the version in most of them.
inline constexpr std::size_t kUpstreamGroups = 16;

/// What was seen of one version on one route. All numbers only grow, so rows can be sent again, and
/// those of different hosts can be added.
struct EvidenceRow {
  std::string route;
  Side side{Side::kOld};
  /// Calls: time to the response. Streams: time to the first event per prompt token.
  LogTimes response;
  /// Streams: time between two events.
  LogTimes pace;
  std::array<GroupCounts, kUpstreamGroups> groups{};
};

/// Largest number of rows that a host or a cell reports about a service.
inline constexpr std::size_t kMaxEvidenceRows = 64;

}  // namespace snipeturn::rollout
