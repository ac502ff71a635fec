#include "snipeturn/loop/capacity_codec.h"

#include <utility>

namespace snipeturn::loop {
namespace internal {
namespace {

constexpr char kCapacityKey[] = "capacity";
/// Columns of a row: id, start time, and weight and value of the speed, the recent speed, the time
/// when idle and when busy, and the number of requests when busy.
constexpr Json::ArrayIndex kRowLength = 11;

}  // namespace
}  // namespace internal

void EncodeCapacity(Json::Value& table, const std::vector<capacity::Row>& rows) {
  for (const capacity::Row& row : rows) {
    Json::Value columns(Json::arrayValue);
    columns.append(row.upstream);
    columns.append(Json::Int64{row.start_time_ms});
    for (const int figure :
         {row.speed_weight, row.speed, row.recent_weight, row.recent_speed, row.idle_weight,
          row.idle_time, row.busy_weight, row.busy_time, row.busy_requests}) {
      columns.append(figure);
    }
    table[internal::kCapacityKey].append(std::move(columns));
  }
}

std::vector<capacity::Row> DecodeCapacity(const Json::Value& table) {
  std::vector<capacity::Row> rows;
  for (const Json::Value& columns : table[internal::kCapacityKey]) {
    if (rows.size() >= capacity::kMaxRows) {
      break;
    }
    if (!columns.isArray() || columns.size() != internal::kRowLength || !columns[0].isString()) {
      continue;
    }
    Json::ArrayIndex column = 2;
    capacity::Row row;
    row.upstream = columns[0].asString();
    row.start_time_ms = columns[1].asInt64();
    for (int* figure :
         {&row.speed_weight, &row.speed, &row.recent_weight, &row.recent_speed, &row.idle_weight,
          &row.idle_time, &row.busy_weight, &row.busy_time, &row.busy_requests}) {
      *figure = columns[column++].asInt();
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace snipeturn::loop
