#include "snipeturn/loop/rollout_codec.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "snipeturn/loop/age_codec.h"
#include "snipeturn/rollout/evidence.h"
#include "snipeturn/rollout/order.h"

namespace snipeturn::loop {
namespace internal {
namespace {

/// Columns of a roll-out: service, target, offset and era of the order, its age and time limit in
/// milliseconds, phase, published state or null, incarnation, rows.
constexpr Json::ArrayIndex kRolloutLength = 10;
/// Columns of a row: route, whether it is of the target, response times, pace, groups.
constexpr Json::ArrayIndex kRowLength = 5;
/// Columns of times: count, sum, sum of squares.
constexpr Json::ArrayIndex kTimesLength = 3;
/// Columns of a group: number, responses, failures.
constexpr Json::ArrayIndex kGroupLength = 3;
/// Most roll-outs of a message; an operator orders a few at a time.
constexpr Json::ArrayIndex kMaxRollouts = 64;
/// Sums go out as whole thousandths: the fractions of a message have four digits, too few for the
/// variance of times that are summed over many requests.
constexpr double kSumScale = 1000;
/// Far above the sum of any roll-out, and exact in a double.
constexpr double kMaxScaledSum = 9e15;

constexpr char kRolloutsKey[] = "rollouts";
/// Eras of the published states, in the order of the roll-outs; 0 for those that have none. They
/// are no column, since hosts of an earlier version drop longer elements.
constexpr char kPublishedErasKey[] = "rollout_eras";

constexpr std::array kStates{entry::RolloutState::kRunning, entry::RolloutState::kSucceeded,
                             entry::RolloutState::kRolledBack};
constexpr std::array kPhases{rollout::Phase::kCanary, rollout::Phase::kPromoting,
                             rollout::Phase::kSucceeded, rollout::Phase::kRolledBack};

Json::Int64 ScaleSum(double sum) {
  const double scaled = std::clamp(sum * kSumScale, -kMaxScaledSum, kMaxScaledSum);
  return std::isfinite(scaled) ? Json::Int64{std::llround(scaled)} : 0;
}

Json::Value EncodeTimes(const rollout::LogTimes& times) {
  Json::Value row(Json::arrayValue);
  row.append(Json::UInt64{times.count});
  row.append(ScaleSum(times.sum));
  row.append(ScaleSum(times.sum_of_squares));
  return row;
}

Json::Value EncodeRow(const rollout::EvidenceRow& evidence) {
  Json::Value row(Json::arrayValue);
  row.append(evidence.route);
  row.append(evidence.side == rollout::Side::kTarget);
  row.append(EncodeTimes(evidence.response));
  row.append(EncodeTimes(evidence.pace));
  Json::Value groups(Json::arrayValue);
  for (std::size_t number = 0; number < evidence.groups.size(); ++number) {
    const rollout::GroupCounts& counts = evidence.groups[number];
    if (counts.responses > 0) {
      groups.append(Json::UInt64{number});
      groups.append(Json::UInt64{counts.responses});
      groups.append(Json::UInt64{counts.failures});
    }
  }
  row.append(std::move(groups));
  return row;
}

bool IsScaledSum(const Json::Value& value) {
  return value.isInt64() && std::abs(value.asDouble()) <= kMaxScaledSum;
}

std::optional<rollout::LogTimes> DecodeTimes(const Json::Value& row) {
  if (!row.isArray() || row.size() != kTimesLength || !row[0].isUInt64() || !IsScaledSum(row[1]) ||
      !IsScaledSum(row[2]) || row[2].asInt64() < 0) {
    return std::nullopt;
  }
  return rollout::LogTimes{row[0].asUInt64(), row[1].asDouble() / kSumScale,
                           row[2].asDouble() / kSumScale};
}

bool DecodeGroups(const Json::Value& groups, rollout::EvidenceRow& evidence) {
  if (!groups.isArray() || groups.size() % kGroupLength != 0 ||
      groups.size() > kGroupLength * rollout::kUpstreamGroups) {
    return false;
  }
  for (Json::ArrayIndex column = 0; column < groups.size(); column += kGroupLength) {
    const Json::Value& number = groups[column];
    const Json::Value& responses = groups[column + 1];
    const Json::Value& failures = groups[column + 2];
    if (!number.isUInt64() || number.asUInt64() >= rollout::kUpstreamGroups ||
        !responses.isUInt64() || !failures.isUInt64() ||
        failures.asUInt64() > responses.asUInt64()) {
      return false;
    }
    evidence.groups[number.asUInt64()] = {responses.asUInt64(), failures.asUInt64()};
  }
  return true;
}

std::optional<rollout::EvidenceRow> DecodeRow(const Json::Value& row) {
  if (!row.isArray() || row.size() != kRowLength || !row[0].isString() || !row[1].isBool()) {
    return std::nullopt;
  }
  const auto response = DecodeTimes(row[2]);
  const auto pace = DecodeTimes(row[3]);
  rollout::EvidenceRow evidence;
  if (!response || !pace || !DecodeGroups(row[4], evidence)) {
    return std::nullopt;
  }
  evidence.route = row[0].asString();
  evidence.side = row[1].asBool() ? rollout::Side::kTarget : rollout::Side::kOld;
  evidence.response = *response;
  evidence.pace = *pace;
  return evidence;
}

/// Finds the value with a name.
template <typename Value, std::size_t kCount>
std::optional<Value> FindNamed(const std::array<Value, kCount>& values, const Json::Value& name) {
  const auto found = std::find_if(values.begin(), values.end(), [&name](Value candidate) {
    return name.isString() && ToString(candidate) == name.asString();
  });
  return found == values.end() ? std::nullopt : std::optional(*found);
}

/// @param row The columns of a roll-out.
bool HasColumnTypes(const Json::Value& row) {
  return row.isArray() && row.size() == kRolloutLength && row[0].isString() && row[1].isString() &&
         row[2].isUInt64() && row[3].isUInt64() && row[4].isInt64() && row[5].isInt64() &&
         row[6].isString() && (row[7].isNull() || row[7].isString()) && row[8].isUInt64() &&
         row[9].isArray() && row[9].size() <= rollout::kMaxEvidenceRows;
}

/// Decodes the columns of an element that has their types, except for the rows.
std::optional<entry::ReportedRollout> DecodeColumns(const Json::Value& row,
                                                    entry::StoreEra published_era) {
  Json::ArrayIndex column = 0;
  entry::ReportedRollout rollout;
  rollout.service = row[column++].asString();
  rollout.target = row[column++].asString();
  rollout.order.offset = row[column++].asUInt64();
  rollout.order.era = row[column++].asUInt64();
  const auto age = DecodeAge(row[column++]);
  const auto duration = DecodeAge(row[column++]);
  const auto phase = FindNamed(kPhases, row[column++]);
  const Json::Value& published = row[column++];
  if (const auto state = FindNamed(kStates, published)) {
    rollout.published = entry::RecordedState{*state, published_era};
  }
  rollout.incarnation = row[column++].asUInt64();
  if (rollout.service.empty() || rollout.target.empty() || !age || !duration || !phase ||
      (!rollout.published && !published.isNull())) {
    return std::nullopt;
  }
  rollout.age = *age;
  rollout.duration = *duration;
  rollout.phase = *phase;
  return rollout;
}

std::optional<entry::ReportedRollout> DecodeRollout(const Json::Value& row,
                                                    entry::StoreEra published_era) {
  if (!HasColumnTypes(row)) {
    return std::nullopt;
  }
  auto rollout = DecodeColumns(row, published_era);
  if (!rollout) {
    return std::nullopt;
  }
  for (const Json::Value& evidence : row[kRolloutLength - 1]) {
    auto decoded = DecodeRow(evidence);
    if (!decoded) {
      return std::nullopt;
    }
    rollout->rows.push_back(std::move(*decoded));
  }
  return rollout;
}

}  // namespace
}  // namespace internal

void EncodeRollouts(const std::vector<entry::ReportedRollout>& rollouts,
                    std::size_t max_rows,
                    Json::Value& root) {
  Json::Value& elements = root[internal::kRolloutsKey] = Json::Value(Json::arrayValue);
  Json::Value& eras = root[internal::kPublishedErasKey] = Json::Value(Json::arrayValue);
  for (const entry::ReportedRollout& rollout : rollouts) {
    if (elements.size() == internal::kMaxRollouts) {
      break;
    }
    Json::Value row(Json::arrayValue);
    row.append(rollout.service);
    row.append(rollout.target);
    row.append(Json::UInt64{rollout.order.offset});
    row.append(Json::UInt64{rollout.order.era});
    row.append(Json::Int64{rollout.age.count()});
    row.append(Json::Int64{rollout.duration.count()});
    row.append(std::string(ToString(rollout.phase)));
    row.append(rollout.published ? Json::Value(std::string(ToString(rollout.published->state)))
                                 : Json::Value());
    row.append(Json::UInt64{rollout.incarnation});
    Json::Value rows(Json::arrayValue);
    for (const rollout::EvidenceRow& evidence : rollout.rows) {
      if (rows.size() == std::min(max_rows, rollout::kMaxEvidenceRows)) {
        break;
      }
      rows.append(internal::EncodeRow(evidence));
    }
    row.append(std::move(rows));
    elements.append(std::move(row));
    eras.append(Json::UInt64{rollout.published ? rollout.published->era : 0});
  }
}

std::vector<entry::ReportedRollout> DecodeRollouts(const Json::Value& root) {
  const Json::Value& rollouts = root[internal::kRolloutsKey];
  const Json::Value& eras = root[internal::kPublishedErasKey];
  std::vector<entry::ReportedRollout> decoded;
  if (!rollouts.isArray()) {
    return decoded;
  }
  const Json::ArrayIndex count = std::min(rollouts.size(), internal::kMaxRollouts);
  for (Json::ArrayIndex index = 0; index < count; ++index) {
    // Hosts of an earlier version state no eras.
    const Json::Value era = eras.isArray() ? eras.get(index, 0) : Json::Value(0);
    if (auto rollout =
            internal::DecodeRollout(rollouts[index], era.isUInt64() ? era.asUInt64() : 0)) {
      decoded.push_back(std::move(*rollout));
    }
  }
  return decoded;
}

}  // namespace snipeturn::loop
