#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

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
/// fault of a few upstreams shows in a few groups, a fault of the version in most of them. With
/// fewer groups, sound upstreams share theirs with failing ones; each group with responses takes
/// some 12 bytes of a row.
inline constexpr std::size_t kUpstreamGroups = 64;

/// What was seen of one version on one route. All counts only grow, so that a row can be sent again
/// and rows of different hosts can be added.
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

/// Rows by route and side.
using EvidenceRows = std::map<std::pair<std::string, Side>, EvidenceRow>;

/// Evidence of all hosts.
struct MergedEvidence {
  EvidenceRows rows;
};

/// A process of a host, by the host's name and the number of its incarnation; or a cell, whose sum
/// has the number 0.
using EvidenceSource = std::pair<std::string, std::uint64_t>;

/// The largest counts that each other source has reported.
using ReportedEvidence = std::map<EvidenceSource, EvidenceRows>;

/// @brief Returns the group of an upstream.
[[nodiscard]] std::size_t UpstreamGroup(std::string_view upstream) noexcept;

/// @brief Returns the row of a route and side; nullptr if there is none and no room for one.
[[nodiscard]] EvidenceRow* FindOrAddRow(EvidenceRows& rows, const std::string& route, Side side);

/// @brief Adds a duration.
/// @param times The sums to add to.
/// @param time The duration.
/// @param units The number of units that the duration covers, for example tokens.
void AddTime(LogTimes& times, std::chrono::microseconds time, double units);

/// @brief Adds the counts of a row to those of the same route and side.
void AddRow(EvidenceRows& sum, const EvidenceRow& row);

/// @brief Takes in the rows of a table. Counts only grow, so each row replaces the known one unless
///     that has more; a repeated, lost or late table changes nothing.
void AdoptRows(ReportedEvidence& reported,
               const EvidenceSource& source,
               const std::vector<EvidenceRow>& rows);

/// @brief Responses of a row, good and bad.
[[nodiscard]] GroupCounts Total(const EvidenceRow& row) noexcept;

}  // namespace snipeturn::rollout
