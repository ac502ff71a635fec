#include "snipeturn/capacity/summary.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string_view>
#include <utility>

namespace snipeturn::capacity {
namespace internal {
namespace {

constexpr double kWeightSteps = 4;
constexpr double kLogSteps = 100;
/// Bounds of received figures: a host sees at most some hundred responses a second of an upstream.
constexpr int kMaxWeight = 4 * 1000;
constexpr int kMaxLog = 500;
constexpr int kMaxRequests = 100'000;
/// Observations since then are new; tables are sent 3 to 6 times a second, and any may be lost.
constexpr std::chrono::milliseconds kNewAge{500};
constexpr std::string_view kCellPrefix = "cell/";
/// A table that is older than the last one by more comes from a restarted host, whose clock begins
/// anew.
constexpr std::chrono::seconds kReorderWindow{3};

int Quantised(double value, double steps) {
  return static_cast<int>(std::lround(value * steps));
}

WeightedMean ToMean(int weight, int value) {
  return {std::clamp(weight, 0, kMaxWeight) / kWeightSteps,
          std::clamp(value, -kMaxLog, kMaxLog) / kLogSteps};
}

Evidence ToEvidence(const Row& row, TimePoint now) {
  Evidence evidence;
  evidence.speed = ToMean(row.speed_weight, row.speed);
  evidence.recent_speed = ToMean(row.recent_weight, row.recent_speed);
  evidence.idle_time = ToMean(row.idle_weight, row.idle_time);
  evidence.busy_time = ToMean(row.busy_weight, row.busy_time);
  evidence.busy_requests = std::clamp(row.busy_requests, 0, kMaxRequests);
  evidence.at = now;
  evidence.observed_at = now;
  return evidence;
}

}  // namespace
}  // namespace internal

Row MakeRow(std::string upstream, std::int64_t start_time_ms, const Evidence& own, TimePoint now) {
  const Evidence faded = Faded(own, now);
  const auto weight = [](const WeightedMean& mean) {
    return internal::Quantised(mean.weight, internal::kWeightSteps);
  };
  const auto value = [](const WeightedMean& mean) {
    return internal::Quantised(mean.value, internal::kLogSteps);
  };
  Row row;
  row.upstream = std::move(upstream);
  row.start_time_ms = start_time_ms;
  row.speed_weight = weight(faded.speed);
  row.speed = value(faded.speed);
  row.recent_weight = weight(faded.recent_speed);
  row.recent_speed = value(faded.recent_speed);
  row.idle_weight = weight(faded.idle_time);
  row.idle_time = value(faded.idle_time);
  row.busy_weight = weight(faded.busy_time);
  row.busy_time = value(faded.busy_time);
  row.busy_requests = internal::Quantised(faded.busy_requests, 1);
  return row;
}

bool IsNew(const Evidence& own, TimePoint now) noexcept {
  return own.observed_at && now - *own.observed_at < internal::kNewAge;
}

void KeepNewest(std::vector<Row>& rows) {
  if (rows.size() <= kMaxRows) {
    return;
  }
  std::stable_sort(rows.begin(), rows.end(), [](const Row& left, const Row& right) {
    return left.recent_weight > right.recent_weight;
  });
  rows.resize(kMaxRows);
}

void AdoptRows(HostEvidenceTable& table,
               const std::string& host,
               const std::vector<Row>& rows,
               TimePoint table_at,
               TimePoint now) {
  for (const Row& row : rows) {
    HostEvidence& known = table[row.upstream][host];
    if (known.start_time_ms == row.start_time_ms && table_at <= known.table_at &&
        known.table_at - table_at < internal::kReorderWindow) {
      continue;
    }
    known = {row.start_time_ms, internal::ToEvidence(row, now), table_at};
  }
}

Evidence SumOfHosts(const HostEvidenceTable& table,
                    const std::string& upstream,
                    std::int64_t start_time_ms,
                    TimePoint now,
                    bool with_cells) {
  Evidence sum;
  sum.at = now;
  const auto hosts = table.find(upstream);
  if (hosts != table.end()) {
    for (const auto& [host, known] : hosts->second) {
      const bool is_cell =
          host.compare(0, internal::kCellPrefix.size(), internal::kCellPrefix) == 0;
      if (known.start_time_ms == start_time_ms && (with_cells || !is_cell)) {
        Add(sum, Faded(known.evidence, now));
      }
    }
  }
  return sum;
}

std::string CellSender(const std::string& cell) {
  return std::string(internal::kCellPrefix) + cell;
}

void DropOutdated(HostEvidenceTable& table, const std::string& upstream, TimePoint now) {
  const auto hosts = table.find(upstream);
  if (hosts != table.end()) {
    for (auto& [host, known] : hosts->second) {
      DropOutdated(known.evidence, now);
    }
  }
}

void RemoveExpired(HostEvidenceTable& table, TimePoint now) {
  for (auto hosts = table.begin(); hosts != table.end();) {
    for (auto host = hosts->second.begin(); host != hosts->second.end();) {
      const bool is_expired = now - host->second.evidence.at > kEvidenceTtl;
      host = is_expired ? hosts->second.erase(host) : std::next(host);
    }
    hosts = hosts->second.empty() ? table.erase(hosts) : std::next(hosts);
  }
}

}  // namespace snipeturn::capacity
