#include "snipeturn/settings/check.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <set>
#include <utility>

#include "snipeturn/settings/catalog.h"
#include "snipeturn/settings/document.h"
#include "snipeturn/settings/path.h"

namespace snipeturn {
namespace internal {
namespace {

constexpr std::array<std::pair<const char*, SchemaKind>, 3> kDocuments{
    {{"services", SchemaKind::kService},
     {"teams", SchemaKind::kTeam},
     {"zones", SchemaKind::kZone}}};

std::vector<DocumentFault> FindFaultsOfDocuments(const Json::Value& tree) {
  std::vector<DocumentFault> faults;
  for (const auto& [section, kind] : kDocuments) {
    if (!tree.isObject() || !tree[section].isObject()) {
      continue;
    }
    for (const std::string& name : tree[section].getMemberNames()) {
      auto found =
          FindSchemaFaults(kind, tree[section][name], fmt::format("/{}/{}", section, name));
      std::move(found.begin(), found.end(), std::back_inserter(faults));
    }
  }
  return faults;
}

void CheckTeamRoutes(const Catalog& catalog,
                     const Team& team,
                     std::vector<DocumentFault>& findings) {
  for (std::size_t index = 0; index < team.routes.size(); ++index) {
    const Route& route = team.routes[index];
    const std::string path = fmt::format("/teams/{}/routes/{}", team.name, index);
    if (FindRoute(team, route.service, route.method, route.path_prefix) != &route) {
      findings.push_back(
          {path, "never matches: another route has the same service, method and path", ""});
    }
    const auto upstream =
        std::find_if(catalog.upstreams.begin(), catalog.upstreams.end(),
                     [&](const auto& item) { return item.second.service == route.service; });
    if (upstream == catalog.upstreams.end()) {
      findings.push_back({path, fmt::format("service {} has no upstream", route.service), ""});
    } else if (upstream->second.kind == ServiceKind::kEngine) {
      findings.push_back(
          {path, fmt::format("service {} has engines, which routes don't lead to", route.service),
           ""});
    }
  }
}

void CheckTeam(const Catalog& catalog, const Team& team, std::vector<DocumentFault>& findings) {
  const std::string path = "/teams/" + team.name;
  if (team.organisations.empty()) {
    findings.push_back({path + "/organisations", "empty: nobody can call as this team", ""});
  }
  const bool has_upstream =
      std::any_of(catalog.upstreams.begin(), catalog.upstreams.end(),
                  [&](const auto& item) { return IsInService(catalog, team, item.second); });
  if (!has_upstream) {
    findings.push_back({path + "/zones", "no upstream is in service for this team", ""});
  }
  for (const std::string& model : team.models) {
    const bool is_served =
        std::any_of(catalog.upstreams.begin(), catalog.upstreams.end(),
                    [&](const auto& item) { return item.second.models.count(model) > 0; });
    if (!is_served) {
      findings.push_back({path + "/models", fmt::format("no upstream serves model {}", model), ""});
    }
  }
  if (team.models.empty() && team.routes.empty()) {
    findings.push_back({path, "neither models nor routes: its organisations can call nothing", ""});
  }
  if (team.models.empty() != team.applications.empty()) {
    findings.push_back({path + (team.models.empty() ? "/models" : "/applications"),
                        "empty: the team can't generate with models", ""});
  }
  CheckTeamRoutes(catalog, team, findings);
}

void CheckZone(const Catalog& catalog, const Zone& zone, std::vector<DocumentFault>& findings) {
  const bool has_upstream =
      std::any_of(catalog.upstreams.begin(), catalog.upstreams.end(),
                  [&](const auto& item) { return item.second.zone == zone.name; });
  if (!has_upstream) {
    findings.push_back({"/zones/" + zone.name, "no upstream is in it", ""});
  }
}

/// What callers or operators notice of a value that is added, removed or changed.
std::string DescribeEffect(const SettingsPath& path,
                           const Json::Value& before,
                           const Json::Value& after) {
  const bool is_of_organisation =
      path.size() >= 4 && path[0] == "teams" && path[2] == "organisations";
  if (is_of_organisation && path.size() == 4) {
    return before.isNull() ? "its callers get access" : "its callers lose access";
  }
  if (is_of_organisation && path.back() == "key_sha256") {
    return "callers with the former key lose access";
  }
  if (path.size() == 3 && path[0] == "zones" && path[2] == "in_service") {
    return after.asBool() ? "the zone returns to service" : "the zone leaves service";
  }
  if (before.isNull() || after.isNull()) {
    return ShortJson(before.isNull() ? after : before);
  }
  return fmt::format("{} -> {}", ShortJson(before), ShortJson(after));
}

void AddDifference(const SettingsPath& path,
                   const Json::Value& before,
                   const Json::Value& after,
                   std::vector<SettingsDifference>& differences) {
  const char* kind = before.isNull() ? "added" : after.isNull() ? "removed" : "changed";
  differences.push_back({FormatSettingsPath(path), kind, DescribeEffect(path, before, after)});
}

/// Compares lists by their elements, whose order changes little.
void CompareLists(const SettingsPath& path,
                  const Json::Value& before,
                  const Json::Value& after,
                  std::vector<SettingsDifference>& differences) {
  std::multiset<std::string> removed;
  std::multiset<std::string> added;
  for (const Json::Value& element : before) {
    removed.insert(CompactJson(element));
  }
  for (const Json::Value& element : after) {
    const std::string text = CompactJson(element);
    const auto same = removed.find(text);
    if (same == removed.end()) {
      added.insert(text);
    } else {
      removed.erase(same);
    }
  }
  const std::string text = FormatSettingsPath(path);
  for (const std::string& element : removed) {
    differences.push_back({text, "removed", element});
  }
  for (const std::string& element : added) {
    differences.push_back({text, "added", element});
  }
  if (removed.empty() && added.empty()) {
    differences.push_back({text, "changed", "another order"});
  }
}

void CompareValues(SettingsPath& path,
                   const Json::Value& before,
                   const Json::Value& after,
                   std::vector<SettingsDifference>& differences) {
  if (before == after) {
    return;
  }
  if (before.isArray() && after.isArray()) {
    CompareLists(path, before, after, differences);
    return;
  }
  if (!before.isObject() || !after.isObject()) {
    AddDifference(path, before, after, differences);
    return;
  }
  std::set<std::string> names;
  for (const Json::Value& value : {before, after}) {
    const auto found = value.getMemberNames();
    names.insert(found.begin(), found.end());
  }
  for (const std::string& name : names) {
    path.push_back(name);
    CompareValues(path, before[name], after[name], differences);
    path.pop_back();
  }
}

}  // namespace
}  // namespace internal

std::vector<DocumentFault> FindTreeFaults(const Json::Value& tree) {
  const auto first = CheckTree(tree, {});
  if (!first) {
    return {};
  }
  std::vector<DocumentFault> faults = internal::FindFaultsOfDocuments(tree);
  const bool is_listed = std::any_of(faults.begin(), faults.end(), [&](const DocumentFault& fault) {
    return fault.path == first->path;
  });
  if (!is_listed) {
    faults.insert(faults.begin(), *first);
  }
  return faults;
}

std::vector<DocumentFault> FindUnusedSettings(const Json::Value& tree) {
  const Catalog catalog = BuildCatalog(tree);
  std::vector<DocumentFault> findings;
  for (const auto& [name, team] : catalog.teams) {
    internal::CheckTeam(catalog, team, findings);
  }
  for (const auto& [name, zone] : catalog.zones) {
    internal::CheckZone(catalog, zone, findings);
  }
  for (const auto& [name, upstream] : catalog.upstreams) {
    if (upstream.cold_slots > upstream.slots) {
      findings.push_back({"/services/" + upstream.service,
                          fmt::format("upstream {}: cold_slots ({}) exceeds slots ({})", name,
                                      upstream.cold_slots, upstream.slots),
                          ""});
    }
  }
  return findings;
}

std::vector<SettingsDifference> CompareTrees(const Json::Value& before, const Json::Value& after) {
  std::vector<SettingsDifference> differences;
  SettingsPath path;
  internal::CompareValues(path, before, after, differences);
  return differences;
}

}  // namespace snipeturn
