#include "snipeturn/settings/snapshot.h"

#include <utility>

#include "snipeturn/settings/document.h"

namespace snipeturn {
namespace internal {

std::optional<SettingsChange> ParseChange(const Json::Value& json) {
  if (!json.isObject() || !json["offset"].isUInt64()) {
    return std::nullopt;
  }
  for (const char* name : {"write_id", "path", "writer", "verdict", "detail"}) {
    if (!json[name].isString()) {
      return std::nullopt;
    }
  }
  for (const SettingsVerdict verdict :
       {SettingsVerdict::kAccepted, SettingsVerdict::kConflict, SettingsVerdict::kInvalid}) {
    if (json["verdict"].asString() == ToString(verdict)) {
      return SettingsChange{json["offset"].asUInt64(),
                            json["write_id"].asString(),
                            json["path"].asString(),
                            json["writer"].asString(),
                            verdict,
                            json["detail"].asString()};
    }
  }
  return std::nullopt;
}

bool ReadVersions(const Json::Value& json, SettingsSnapshot& snapshot) {
  for (const std::string& path : json.getMemberNames()) {
    const Json::Value& offset = json[path];
    if (!ParseSettingsPath(path) || !offset.isUInt64() || offset.asUInt64() >= snapshot.applied) {
      return false;
    }
    snapshot.versions.emplace(path, offset.asUInt64());
  }
  return true;
}

bool ReadHistory(const Json::Value& json, SettingsSnapshot& snapshot) {
  for (const Json::Value& entry : json) {
    auto change = ParseChange(entry);
    if (!change || change->offset >= snapshot.applied) {
      return false;
    }
    snapshot.history.push_back(std::move(*change));
  }
  return true;
}

}  // namespace internal

const char* ToString(SettingsVerdict verdict) noexcept {
  switch (verdict) {
    case SettingsVerdict::kAccepted:
      return "accepted";
    case SettingsVerdict::kConflict:
      return "conflict";
    case SettingsVerdict::kInvalid:
      return "invalid";
  }
  return "";
}

Json::Value DescribeChange(const SettingsChange& change) {
  Json::Value json;
  json["offset"] = Json::UInt64{change.offset};
  json["write_id"] = change.write_id;
  json["path"] = change.path;
  json["writer"] = change.writer;
  json["verdict"] = ToString(change.verdict);
  json["detail"] = change.detail;
  return json;
}

Json::Value MakeSnapshot(const SettingsState& state) {
  Json::Value json;
  json["applied"] = Json::UInt64{state.applied};
  json["tree"] = state.tree;
  json["versions"] = Json::objectValue;
  for (const auto& [path, offset] : state.versions) {
    json["versions"][path] = Json::UInt64{offset};
  }
  json["history"] = Json::arrayValue;
  const std::size_t count = std::min(state.history.size(), kMaxSnapshotHistory);
  for (auto change = state.history.end() - static_cast<std::ptrdiff_t>(count);
       change != state.history.end(); ++change) {
    json["history"].append(DescribeChange(*change));
  }
  return json;
}

std::optional<SettingsSnapshot> ParseSnapshot(const Json::Value& json) {
  if (!json.isObject() || !json["applied"].isUInt64() || !json["versions"].isObject() ||
      !json["history"].isArray() || CheckTree(json["tree"], {})) {
    return std::nullopt;
  }
  SettingsSnapshot snapshot;
  snapshot.applied = json["applied"].asUInt64();
  snapshot.tree = json["tree"];
  if (!internal::ReadVersions(json["versions"], snapshot) ||
      !internal::ReadHistory(json["history"], snapshot)) {
    return std::nullopt;
  }
  return snapshot;
}

}  // namespace snipeturn
