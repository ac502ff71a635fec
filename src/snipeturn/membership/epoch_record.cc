#include "snipeturn/membership/epoch_record.h"

#include <algorithm>
#include <limits>
#include <string>

namespace snipeturn::internal {
namespace {

// Incarnations are written as strings: they use all 64 bits, which JSON parsers that store numbers
// as doubles would truncate.
std::optional<Incarnation> ParseIncarnation(const Json::Value& value) {
  if (value.isUInt64()) {
    return value.asUInt64();
  }
  if (!value.isString()) {
    return std::nullopt;
  }
  const std::string text = value.asString();
  if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  Incarnation incarnation = 0;
  for (const char digit : text) {
    const auto add = static_cast<Incarnation>(digit - '0');
    if (incarnation > (std::numeric_limits<Incarnation>::max() - add) / 10) {
      return std::nullopt;
    }
    incarnation = incarnation * 10 + add;
  }
  return incarnation;
}

std::optional<Member> ParseMember(const Json::Value& value) {
  if (!value.isObject() || !value["name"].isString() || !value["address"].isString() ||
      !value["port"].isInt() || !value["zone"].isString()) {
    return std::nullopt;
  }
  const auto incarnation = ParseIncarnation(value["incarnation"]);
  if (!incarnation) {
    return std::nullopt;
  }
  return Member{{value["name"].asString(), *incarnation},
                {value["address"].asString(), value["port"].asInt()},
                value["zone"].asString()};
}

std::optional<std::vector<Member>> ParseMembers(const Json::Value& value) {
  if (!value.isArray()) {
    return std::nullopt;
  }
  std::vector<Member> members;
  for (const Json::Value& entry : value) {
    const auto member = ParseMember(entry);
    if (!member) {
      return std::nullopt;
    }
    members.push_back(*member);
  }
  std::sort(members.begin(), members.end(),
            [](const Member& left, const Member& right) { return left.id < right.id; });
  const auto same_name = [](const Member& left, const Member& right) {
    return left.id.name == right.id.name;
  };
  if (std::adjacent_find(members.begin(), members.end(), same_name) != members.end()) {
    return std::nullopt;
  }
  return members;
}

Json::Value MembersToJson(const std::vector<Member>& members) {
  Json::Value list{Json::arrayValue};
  for (const Member& member : members) {
    Json::Value entry;
    entry["name"] = member.id.name;
    entry["incarnation"] = std::to_string(member.id.incarnation);
    entry["address"] = member.endpoint.address;
    entry["port"] = member.endpoint.port;
    entry["zone"] = member.zone;
    list.append(entry);
  }
  return list;
}

}  // namespace

std::optional<EpochRecord> ParseEpochRecord(const Json::Value& value) {
  if (!value.isObject() || !value["epoch"].isUInt64() || value["epoch"].asUInt64() == 0) {
    return std::nullopt;
  }
  const auto members = ParseMembers(value["members"]);
  const auto previous = ParseMembers(value["previous"]);
  if (!members || members->empty() || !previous) {
    return std::nullopt;
  }
  return EpochRecord{value["epoch"].asUInt64(), *members, *previous,
                     value["renewal"].isBool() && value["renewal"].asBool()};
}

Json::Value ToJson(const EpochRecord& record) {
  Json::Value value;
  value["epoch"] = Json::UInt64{record.number};
  value["members"] = MembersToJson(record.members);
  value["previous"] = MembersToJson(record.previous);
  value["renewal"] = record.renewal;
  return value;
}

}  // namespace snipeturn::internal
