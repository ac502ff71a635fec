#include "snipeturn/loop/crash_report_codec.h"

#include <cmath>
#include <utility>

#include "snipeturn/loop/age_codec.h"

namespace snipeturn::loop {
namespace internal {
namespace {

/// Columns of a crash: id, crash, age in milliseconds, answers per second, parts.
constexpr Json::ArrayIndex kCrashRowLength = 5;
/// Columns of an answer: part, age in milliseconds.
constexpr Json::ArrayIndex kAnswerRowLength = 2;
/// Most parts of a crash, as the platform's adapter accepts them.
constexpr Json::ArrayIndex kMaxParts = 32;

std::optional<entry::ReportedCrash> DecodeCrash(const Json::Value& row) {
  if (!row.isArray() || row.size() != kCrashRowLength || !row[4].isArray() ||
      row[4].size() > kMaxParts) {
    return std::nullopt;
  }
  entry::ReportedCrash crash;
  crash.id = row[0].asUInt64();
  crash.crash = row[1].asUInt64();
  const auto age = DecodeAge(row[2]);
  crash.age = age.value_or(std::chrono::milliseconds{0});
  crash.answers_per_second = row[3].asDouble();
  for (const Json::Value& part : row[4]) {
    crash.parts.push_back(part.asUInt64());
  }
  const bool is_valid = age && std::isfinite(crash.answers_per_second) &&
                        crash.answers_per_second >= 0 && !crash.parts.empty();
  return is_valid ? std::optional(std::move(crash)) : std::nullopt;
}

}  // namespace
}  // namespace internal

Json::Value EncodeCrashReport(const entry::CrashReport& report) {
  Json::Value root(Json::objectValue);
  for (const entry::ReportedCrash& crash : report.crashes) {
    Json::Value row(Json::arrayValue);
    row.append(Json::UInt64{crash.id});
    row.append(Json::UInt64{crash.crash});
    row.append(Json::Int64{crash.age.count()});
    row.append(crash.answers_per_second);
    Json::Value parts(Json::arrayValue);
    for (const quarantine::PartId part : crash.parts) {
      parts.append(Json::UInt64{part});
    }
    row.append(std::move(parts));
    root["crashes"].append(std::move(row));
  }
  for (const entry::ReportedAnswer& answer : report.answers) {
    Json::Value row(Json::arrayValue);
    row.append(Json::UInt64{answer.part});
    row.append(Json::Int64{answer.age.count()});
    root["answers"].append(std::move(row));
  }
  if (report.digest) {
    root["digest"] = Json::UInt64{*report.digest};
    root["reply"] = report.is_reply;
  }
  return root;
}

std::optional<entry::CrashReport> DecodeCrashReport(const Json::Value& root) {
  if (!root.isObject()) {
    return std::nullopt;
  }
  entry::CrashReport report;
  for (const Json::Value& row : root["crashes"]) {
    auto crash = internal::DecodeCrash(row);
    if (!crash) {
      return std::nullopt;
    }
    report.crashes.push_back(std::move(*crash));
  }
  for (const Json::Value& row : root["answers"]) {
    if (!row.isArray() || row.size() != internal::kAnswerRowLength) {
      return std::nullopt;
    }
    const auto age = DecodeAge(row[1]);
    if (!age) {
      return std::nullopt;
    }
    report.answers.push_back({row[0].asUInt64(), *age});
  }
  if (root.isMember("digest")) {
    report.digest = root["digest"].asUInt64();
    report.is_reply = root["reply"].asBool();
  }
  return report;
}

}  // namespace snipeturn::loop
