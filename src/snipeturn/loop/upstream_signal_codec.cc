#include "snipeturn/loop/upstream_signal_codec.h"

#include <chrono>
#include <utility>

#include "snipeturn/loop/age_codec.h"

namespace snipeturn::loop {
namespace internal {
namespace {

/// Value of a row's limit that says that the upstream no longer states one.
constexpr double kNoLimit = -1;

}  // namespace
}  // namespace internal

Json::Value EncodeLimits(const std::vector<entry::ReportedLimit>& limits) {
  Json::Value rows(Json::arrayValue);
  for (const entry::ReportedLimit& limit : limits) {
    Json::Value row(Json::arrayValue);
    row.append(limit.id);
    row.append(limit.requests_per_second.value_or(internal::kNoLimit));
    row.append(Json::Int64{limit.age.count()});
    rows.append(std::move(row));
  }
  return rows;
}

std::optional<std::vector<entry::ReportedLimit>> DecodeLimits(const Json::Value& rows) {
  constexpr Json::ArrayIndex kLimitRowLength = 3;
  std::vector<entry::ReportedLimit> limits;
  for (const Json::Value& row : rows) {
    if (!row.isArray() || row.size() != kLimitRowLength || !row[0].isString()) {
      return std::nullopt;
    }
    entry::ReportedLimit limit;
    limit.id = row[0].asString();
    const auto age = DecodeAge(row[2]);
    if (!age) {
      return std::nullopt;
    }
    limit.age = *age;
    if (row[1].asDouble() >= 0) {
      limit.requests_per_second = row[1].asDouble();
    }
    limits.push_back(std::move(limit));
  }
  return limits;
}

Json::Value EncodeLeavings(const std::vector<entry::ReportedLeaving>& leaving) {
  Json::Value rows(Json::arrayValue);
  for (const entry::ReportedLeaving& report : leaving) {
    Json::Value row(Json::arrayValue);
    row.append(report.id);
    row.append(Json::Int64{report.start_time_ms});
    rows.append(std::move(row));
  }
  return rows;
}

std::optional<std::vector<entry::ReportedLeaving>> DecodeLeavings(const Json::Value& rows) {
  constexpr Json::ArrayIndex kLeavingRowLength = 2;
  std::vector<entry::ReportedLeaving> leaving;
  for (const Json::Value& row : rows) {
    if (!row.isArray() || row.size() != kLeavingRowLength || !row[0].isString()) {
      return std::nullopt;
    }
    leaving.push_back({row[0].asString(), row[1].asInt64()});
  }
  return leaving;
}

}  // namespace snipeturn::loop
