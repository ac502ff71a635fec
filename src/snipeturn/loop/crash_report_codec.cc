#include "snipeturn/loop/crash_report_codec.h"

#include <boost/beast/core/detail/base64.hpp>
#include <cmath>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "snipeturn/loop/age_codec.h"
#include "snipeturn/quarantine/part_set.h"

namespace snipeturn::loop {
namespace internal {
namespace {

/// Columns of a crash: id, crash, age in milliseconds, answers per second, parts, and the number of
/// further parts unless it is 0.
constexpr Json::ArrayIndex kCrashRowLength = 5;
constexpr Json::ArrayIndex kHiddenColumn = 5;
/// Columns of an answer: part, age in milliseconds.
constexpr Json::ArrayIndex kAnswerRowLength = 2;
/// Columns of a summary: crash, prompts, numbers.
constexpr Json::ArrayIndex kSketchRowLength = 3;
/// Up to this number, parts are written as numbers.
constexpr std::size_t kMaxNumberedParts = 32;
constexpr char kSketchRequestKey[] = "collect";
constexpr char kCommonKey[] = "common";
constexpr char kBitsKey[] = "bits";
constexpr char kAskKey[] = "ask";
constexpr char kAnsweredKey[] = "answered";
constexpr char kAnsweredAgeKey[] = "answered_age_ms";

namespace base64 = boost::beast::detail::base64;

std::string EncodeBytes(const std::string& bytes) {
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

/// Decodes a set and checks that it is whole.
struct DecodedBytes {
  std::string bytes;
  quarantine::DecodedPartSet set;
};

std::optional<DecodedBytes> DecodeSet(const Json::Value& value) {
  const std::string text = value.asString();
  DecodedBytes decoded;
  decoded.bytes.resize(base64::decoded_size(text.size()));
  decoded.bytes.resize(base64::decode(decoded.bytes.data(), text.data(), text.size()).first);
  auto set = quarantine::DecodePartSet(decoded.bytes);
  if (!set) {
    return std::nullopt;
  }
  decoded.set = std::move(*set);
  return decoded;
}

/// Parts as numbers, or as an encoded set if there are many. Rows in sequence often have the same.
Json::Value EncodeParts(const std::vector<quarantine::PartId>& parts) {
  if (parts.size() > kMaxNumberedParts) {
    return EncodeBytes(
        quarantine::EncodePartSet(quarantine::MakePartSet(parts), quarantine::kPartBits));
  }
  Json::Value numbers(Json::arrayValue);
  for (const quarantine::PartId part : parts) {
    numbers.append(Json::UInt{part});
  }
  return numbers;
}

/// Releases before this one wrote 64 bits of the hash, of which the first are used now.
quarantine::PartId DecodePart(const Json::Value& value) {
  const std::uint64_t number = value.asUInt64();
  return static_cast<quarantine::PartId>(number > std::numeric_limits<quarantine::PartId>::max()
                                             ? number >> quarantine::kPartBits
                                             : number);
}

/// @param previous Parts of the row before; `true` stands for them.
std::optional<std::vector<quarantine::PartId>> DecodeParts(
    const Json::Value& value,
    const std::vector<quarantine::PartId>& previous) {
  if (value.isBool()) {
    return value.asBool() ? std::optional(previous) : std::nullopt;
  }
  if (value.isString()) {
    auto decoded = DecodeSet(value);
    const bool is_valid = decoded && decoded->set.bits == quarantine::kPartBits;
    return is_valid ? std::optional(std::move(decoded->set.set)) : std::nullopt;
  }
  if (!value.isArray()) {
    return std::nullopt;
  }
  std::vector<quarantine::PartId> parts;
  for (const Json::Value& part : value) {
    parts.push_back(DecodePart(part));
  }
  return parts;
}

std::optional<entry::ReportedCrash> DecodeCrash(const Json::Value& row,
                                                const std::vector<quarantine::PartId>& previous) {
  if (!row.isArray() || row.size() < kCrashRowLength || row.size() > kCrashRowLength + 1) {
    return std::nullopt;
  }
  entry::ReportedCrash crash;
  crash.id = row[0].asUInt64();
  crash.crash = row[1].asUInt64();
  const auto age = DecodeAge(row[2]);
  crash.age = age.value_or(std::chrono::milliseconds{0});
  crash.answers_per_second = row[3].asDouble();
  if (row[4].isIntegral() && !row[4].isBool()) {
    crash.same_parts_as = row[4].asUInt64();
  }
  auto parts = crash.same_parts_as ? std::optional(std::vector<quarantine::PartId>())
                                   : DecodeParts(row[4], previous);
  if (row.size() > kHiddenColumn) {
    crash.hidden_parts = row[kHiddenColumn].asUInt();
  }
  const bool is_valid = age && parts && std::isfinite(crash.answers_per_second) &&
                        crash.answers_per_second >= 0 &&
                        (!parts->empty() || crash.hidden_parts > 0 || crash.same_parts_as);
  if (!is_valid) {
    return std::nullopt;
  }
  crash.parts = std::move(*parts);
  return crash;
}

Json::Value EncodeCrash(const entry::ReportedCrash& crash, const entry::ReportedCrash* previous) {
  Json::Value row(Json::arrayValue);
  row.append(Json::UInt64{crash.id});
  row.append(Json::UInt64{crash.crash});
  row.append(Json::Int64{crash.age.count()});
  row.append(crash.answers_per_second);
  const bool is_repeated = previous != nullptr && !crash.parts.empty() &&
                           crash.parts.size() > kMaxNumberedParts && crash.parts == previous->parts;
  row.append(crash.same_parts_as ? Json::Value(Json::UInt64{*crash.same_parts_as})
             : is_repeated       ? Json::Value(true)
                                 : EncodeParts(crash.parts));
  if (crash.hidden_parts > 0) {
    row.append(Json::UInt{crash.hidden_parts});
  }
  return row;
}

/// Decodes what a report holds for the collection of parts.
/// @return False if it is malformed.
bool DecodeCollection(const Json::Value& root, entry::CrashReport& report) {
  if (root.isMember(kSketchRequestKey)) {
    entry::SketchRequest request;
    request.bits = root[kBitsKey].asInt();
    for (const Json::Value& crash : root[kSketchRequestKey]) {
      request.crashes.push_back(crash.asUInt64());
    }
    if (request.bits < 1 || request.bits > quarantine::kPartBits) {
      return false;
    }
    report.sketch_request = std::move(request);
  }
  for (const Json::Value& row : root["sketches"]) {
    if (!row.isArray() || row.size() != kSketchRowLength) {
      return false;
    }
    auto decoded = DecodeSet(row[2]);
    if (!decoded) {
      return false;
    }
    report.sketches.push_back({row[0].asUInt64(), row[1].asUInt(), std::move(decoded->bytes)});
  }
  if (root.isMember(kCommonKey)) {
    auto decoded = DecodeSet(root[kCommonKey]);
    if (!decoded) {
      return false;
    }
    report.common = entry::CommonBuckets{std::move(decoded->set.set), decoded->set.bits,
                                         root[kAskKey].asBool()};
  }
  if (root.isMember(kAnsweredKey)) {
    auto decoded = DecodeSet(root[kAnsweredKey]);
    const auto age = DecodeAge(root[kAnsweredAgeKey]);
    if (!decoded || decoded->set.bits != quarantine::kPartBits || !age) {
      return false;
    }
    report.answered = entry::AnsweredParts{std::move(decoded->set.set), *age};
  }
  return true;
}

void EncodeCollection(const entry::CrashReport& report, Json::Value& root) {
  if (report.sketch_request) {
    root[kSketchRequestKey] = Json::Value(Json::arrayValue);
    for (const quarantine::CrashId crash : report.sketch_request->crashes) {
      root[kSketchRequestKey].append(Json::UInt64{crash});
    }
    root[kBitsKey] = report.sketch_request->bits;
  }
  for (const quarantine::Sketch& sketch : report.sketches) {
    Json::Value row(Json::arrayValue);
    row.append(Json::UInt64{sketch.crash});
    row.append(Json::UInt{sketch.prompts});
    row.append(EncodeBytes(sketch.buckets));
    root["sketches"].append(std::move(row));
  }
  if (report.common) {
    root[kCommonKey] =
        EncodeBytes(quarantine::EncodePartSet(report.common->buckets, report.common->bits));
    if (report.common->asks_for_answers) {
      root[kAskKey] = true;
    }
  }
  if (report.answered) {
    root[kAnsweredKey] =
        EncodeBytes(quarantine::EncodePartSet(report.answered->parts, quarantine::kPartBits));
    root[kAnsweredAgeKey] = Json::Int64{report.answered->age.count()};
  }
}

}  // namespace
}  // namespace internal

Json::Value EncodeCrashReport(const entry::CrashReport& report) {
  Json::Value root(Json::objectValue);
  const entry::ReportedCrash* previous = nullptr;
  for (const entry::ReportedCrash& crash : report.crashes) {
    root["crashes"].append(internal::EncodeCrash(crash, previous));
    previous = &crash;
  }
  for (const entry::ReportedAnswer& answer : report.answers) {
    Json::Value row(Json::arrayValue);
    row.append(Json::UInt{answer.part});
    row.append(Json::Int64{answer.age.count()});
    root["answers"].append(std::move(row));
  }
  internal::EncodeCollection(report, root);
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
  std::vector<quarantine::PartId> previous;
  for (const Json::Value& row : root["crashes"]) {
    auto crash = internal::DecodeCrash(row, previous);
    if (!crash) {
      return std::nullopt;
    }
    previous = crash->parts;
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
    report.answers.push_back({internal::DecodePart(row[0]), *age});
  }
  if (!internal::DecodeCollection(root, report)) {
    return std::nullopt;
  }
  if (root.isMember("digest")) {
    report.digest = root["digest"].asUInt64();
    report.is_reply = root["reply"].asBool();
  }
  return report;
}

}  // namespace snipeturn::loop
