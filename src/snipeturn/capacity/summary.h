#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "snipeturn/base/time.h"
#include "snipeturn/capacity/estimate.h"

namespace snipeturn::capacity {

/// Most rows of one table.
inline constexpr std::size_t kMaxRows = 256;

/// A host's own evidence on one upstream, quantised. Weights are in quarters, logs in hundredths.
struct Row {
  std::string upstream;
  /// Start of the upstream's incarnation, milliseconds since the epoch.
  std::int64_t start_time_ms{0};
  int speed_weight{0};
  int speed{0};
  int recent_weight{0};
  int recent_speed{0};
  int idle_weight{0};
  int idle_time{0};
  int busy_weight{0};
  int busy_time{0};
  int busy_requests{0};
};

/// The newest evidence of another host on one upstream.
struct HostEvidence {
  std::int64_t start_time_ms{0};
  Evidence evidence;
  /// Time of the table by the sender's clock.
  TimePoint table_at{};
};

/// Evidence by upstream and host.
using HostEvidenceTable = std::map<std::string, std::map<std::string, HostEvidence>>;

/// @brief Quantises a host's own evidence.
/// @return The row; its weights may be 0.
[[nodiscard]] Row MakeRow(std::string upstream,
                          std::int64_t start_time_ms,
                          const Evidence& own,
                          TimePoint now);

/// @brief Tells whether a host has observed an upstream since about its last table. Older evidence
///     was told before, and fades alike at all hosts.
[[nodiscard]] bool IsNew(const Evidence& own, TimePoint now) noexcept;

/// @brief Keeps the rows with the most new information, at most `kMaxRows`.
void KeepNewest(std::vector<Row>& rows);

/// @brief Takes the rows of a host's table. Each row replaces the host's earlier one, so a repeated
///     table changes nothing and no evidence counts twice; an older table is ignored.
void AdoptRows(HostEvidenceTable& table,
               const std::string& host,
               const std::vector<Row>& rows,
               TimePoint table_at,
               TimePoint now);

/// @brief Sum of the evidence of other hosts on an incarnation of an upstream.
/// @param with_cells Includes the sums of other cells.
[[nodiscard]] Evidence SumOfHosts(const HostEvidenceTable& table,
                                  const std::string& upstream,
                                  std::int64_t start_time_ms,
                                  TimePoint now,
                                  bool with_cells = true);

/// @brief Name under which the sum of another cell's evidence is kept; no host has it.
[[nodiscard]] std::string CellSender(const std::string& cell);

/// @brief Drops what other hosts had seen of an upstream before a change. A host that sends nothing
///     there any more doesn't report anew.
void DropOutdated(HostEvidenceTable& table, const std::string& upstream, TimePoint now);

/// @brief Removes evidence that is too old to count.
void RemoveExpired(HostEvidenceTable& table, TimePoint now);

}  // namespace snipeturn::capacity
