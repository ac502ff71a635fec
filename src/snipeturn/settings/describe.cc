#include <string>

#include "snipeturn/settings/path.h"
#include "snipeturn/settings/settings.h"
#include "snipeturn/settings/snapshot.h"
#include "snipeturn/settings/write.h"

namespace snipeturn {
namespace internal {

Json::Value DescribeVersion(const SettingsState& state, const std::string& path) {
  const auto version = VersionOf(state.versions, path);
  return version ? Json::Value(Json::UInt64{*version}) : Json::Value();
}

void ListPaths(const SettingsState& state,
               const Json::Value& value,
               const std::string& path,
               Json::Value& paths) {
  Json::Value entry;
  entry["path"] = path;
  entry["version"] = DescribeVersion(state, path);
  paths.append(entry);
  if (!value.isObject()) {
    return;
  }
  for (const std::string& name : value.getMemberNames()) {
    if (value[name].isObject()) {
      ListPaths(state, value[name], (path == "/" ? "" : path) + "/" + name, paths);
    }
  }
}

}  // namespace internal

Json::Value DescribeSettings(const SettingsState& state, const std::string& path) {
  Json::Value body;
  body["path"] = path;
  body["value"] = Json::nullValue;
  body["version"] = Json::nullValue;
  body["applied"] = Json::UInt64{state.applied};
  body["ready"] = state.ready;
  if (const auto names = ParseSettingsPath(path)) {
    if (const Json::Value* value = FindValue(state.tree, *names)) {
      body["value"] = *value;
    }
    body["version"] = internal::DescribeVersion(state, path);
  }
  return body;
}

Json::Value ListSettingsPaths(const SettingsState& state, const std::string& path) {
  Json::Value body;
  body["path"] = path;
  body["applied"] = Json::UInt64{state.applied};
  body["ready"] = state.ready;
  body["paths"] = Json::arrayValue;
  const auto names = ParseSettingsPath(path);
  const Json::Value* value = names ? FindValue(state.tree, *names) : nullptr;
  if (value != nullptr) {
    internal::ListPaths(state, *value, path, body["paths"]);
  }
  return body;
}

Json::Value DescribeHistory(const SettingsState& state, const std::string& path) {
  Json::Value body;
  body["path"] = path;
  body["applied"] = Json::UInt64{state.applied};
  body["ready"] = state.ready;
  body["changes"] = Json::arrayValue;
  for (const SettingsChange& change : state.history) {
    // Changes without a valid path are listed for the root only.
    const bool is_valid = ParseSettingsPath(path) && ParseSettingsPath(change.path);
    if (path == "/" || (is_valid && PathsOverlap(path, change.path))) {
      body["changes"].append(DescribeChange(change));
    }
  }
  return body;
}

}  // namespace snipeturn
