#include "snipeturn/rollout/evidence.h"

#include <algorithm>
#include <cmath>

#include "snipeturn/base/hash.h"

namespace snipeturn::rollout {
namespace {

/// Shorter times than this can't be told apart.
constexpr double kMinMilliseconds = 1e-4;

void AddTimes(LogTimes& sum, const LogTimes& times) noexcept {
  sum.count += times.count;
  sum.sum += times.sum;
  sum.sum_of_squares += times.sum_of_squares;
}

/// Number of all things that a row has counted; it grows with each.
std::uint64_t CountedThings(const EvidenceRow& row) noexcept {
  return Total(row).responses + row.response.count + row.pace.count;
}

}  // namespace

std::size_t UpstreamGroup(std::string_view upstream) noexcept {
  return static_cast<std::size_t>(Hash(upstream) % kUpstreamGroups);
}

EvidenceRow* FindOrAddRow(EvidenceRows& rows, const std::string& route, Side side) {
  const std::pair<std::string, Side> key{route, side};
  const auto found = rows.find(key);
  if (found != rows.end()) {
    return &found->second;
  }
  if (rows.size() >= kMaxEvidenceRows) {
    return nullptr;
  }
  EvidenceRow& row = rows[key];
  row.route = route;
  row.side = side;
  return &row;
}

void AddTime(LogTimes& times, std::chrono::microseconds time, double units) {
  const std::chrono::duration<double, std::milli> milliseconds = time;
  const double value =
      std::log(std::max(kMinMilliseconds, milliseconds.count() / std::max(1.0, units)));
  times.count += 1;
  times.sum += value;
  times.sum_of_squares += value * value;
}

void AddRow(EvidenceRows& sum, const EvidenceRow& row) {
  EvidenceRow* entry = FindOrAddRow(sum, row.route, row.side);
  if (entry == nullptr) {
    return;
  }
  AddTimes(entry->response, row.response);
  AddTimes(entry->pace, row.pace);
  for (std::size_t group = 0; group < kUpstreamGroups; ++group) {
    entry->groups[group].responses += row.groups[group].responses;
    entry->groups[group].failures += row.groups[group].failures;
  }
}

void AdoptRows(ReportedEvidence& reported,
               const EvidenceSource& source,
               const std::vector<EvidenceRow>& rows) {
  EvidenceRows& known = reported[source];
  for (const EvidenceRow& row : rows) {
    EvidenceRow* entry = FindOrAddRow(known, row.route, row.side);
    if (entry != nullptr && CountedThings(row) > CountedThings(*entry)) {
      *entry = row;
    }
  }
}

GroupCounts Total(const EvidenceRow& row) noexcept {
  GroupCounts total;
  for (const GroupCounts& group : row.groups) {
    total.responses += group.responses;
    total.failures += group.failures;
  }
  return total;
}

}  // namespace snipeturn::rollout
