#include "snipeturn/loop/demand_codec.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>
#include <utility>

namespace snipeturn::loop {
namespace internal {
namespace {

constexpr char kDemandKey[] = "demand";
/// Columns of a service's demand: queued requests, sends a second, urgent tokens a second, urgent
/// tokens.
constexpr Json::ArrayIndex kDemandRowLength = 4;
/// Bounds the memory that a table of another host may take.
constexpr std::size_t kMaxServices = 64;

bool IsUsable(double value) noexcept {
  constexpr double kMaxValue = 1e12;
  return std::isfinite(value) && value >= 0 && value <= kMaxValue;
}

}  // namespace
}  // namespace internal

void EncodeDemand(const entry::DemandTable& table, Json::Value& root) {
  for (const auto& [service, demand] : table) {
    Json::Value row(Json::arrayValue);
    row.append(demand.queued);
    row.append(demand.sends_per_second);
    row.append(demand.urgent_tokens_per_second);
    row.append(demand.urgent_tokens);
    root[internal::kDemandKey][service] = std::move(row);
  }
}

entry::DemandTable DecodeDemand(const Json::Value& root) {
  entry::DemandTable table;
  const Json::Value& rows = root[internal::kDemandKey];
  for (const std::string& service : rows.getMemberNames()) {
    const Json::Value& row = rows[service];
    if (row.size() < internal::kDemandRowLength || table.size() >= internal::kMaxServices) {
      continue;
    }
    const std::array<double, internal::kDemandRowLength> values{
        row[0].asDouble(), row[1].asDouble(), row[2].asDouble(), row[3].asDouble()};
    if (std::all_of(values.begin(), values.end(), internal::IsUsable)) {
      table[service] = {values[0], values[1], values[2], values[3]};
    }
  }
  return table;
}

}  // namespace snipeturn::loop
