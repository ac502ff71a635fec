#include "snipeturn/settings/document.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <array>
#include <map>
#include <set>
#include <string>

namespace snipeturn {
namespace internal {

/// A top-level key of the settings tree with the schema of its documents.
struct Section {
  const char* name;
  SchemaKind schema;
};

constexpr std::array<Section, 3> kSections{{{"services", SchemaKind::kService},
                                            {"teams", SchemaKind::kTeam},
                                            {"zones", SchemaKind::kZone}}};
constexpr char kAllowedSections[] = "an object with services, teams and zones";

const Section* FindSection(const std::string& name) noexcept {
  for (const Section& section : kSections) {
    if (name == section.name) {
      return &section;
    }
  }
  return nullptr;
}

std::optional<DocumentFault> CheckSections(const Json::Value& tree) {
  if (!tree.isObject()) {
    return DocumentFault{"/", "the root is not an object", kAllowedSections};
  }
  for (const std::string& name : tree.getMemberNames()) {
    if (FindSection(name) == nullptr) {
      return DocumentFault{"/", fmt::format("unknown key {}", ShortJson(name)), kAllowedSections};
    }
    if (!tree[name].isObject()) {
      return DocumentFault{"/" + name, fmt::format("{} is not allowed", ShortJson(tree[name])),
                           "an object of named documents"};
    }
    for (const std::string& document : tree[name].getMemberNames()) {
      if (!ParseSettingsPath("/" + document) || document.find('/') != std::string::npos) {
        return DocumentFault{"/" + name, fmt::format("bad name {}", ShortJson(document)),
                             "1 to 64 letters, digits, dots, underscores and hyphens"};
      }
    }
  }
  return std::nullopt;
}

std::optional<DocumentFault> CheckDocuments(const Json::Value& tree, const SettingsPath& changed) {
  for (const Section& section : kSections) {
    if (!changed.empty() && changed[0] != section.name) {
      continue;
    }
    const Json::Value& documents = tree[section.name];
    for (const std::string& name : documents.getMemberNames()) {
      if (changed.size() > 1 && changed[1] != name) {
        continue;
      }
      if (auto fault = CheckSchema(section.schema, documents[name],
                                   fmt::format("/{}/{}", section.name, name))) {
        return fault;
      }
    }
  }
  return std::nullopt;
}

std::string ListZones(const Json::Value& tree) {
  const auto names = tree["zones"].getMemberNames();
  return names.empty() ? "no zone is configured in /zones"
                       : fmt::format("{}", fmt::join(names, ", "));
}

std::optional<DocumentFault> CheckUpstreams(const Json::Value& tree) {
  const Json::Value& services = tree["services"];
  for (const std::string& service : services.getMemberNames()) {
    const Json::Value& upstreams = services[service]["upstreams"];
    for (const std::string& name : upstreams.getMemberNames()) {
      const Json::Value& upstream = upstreams[name];
      const std::string path = fmt::format("/services/{}/upstreams/{}", service, name);
      if (!tree["zones"].isMember(upstream["zone"].asString())) {
        return DocumentFault{path + "/zone",
                             fmt::format("unknown zone {}", ShortJson(upstream["zone"])),
                             ListZones(tree)};
      }
      if (auto fault = CheckAddress(upstream["address"], path + "/address")) {
        return fault;
      }
    }
  }
  return std::nullopt;
}

std::optional<DocumentFault> CheckTeamZones(const Json::Value& tree) {
  const Json::Value& teams = tree["teams"];
  for (const std::string& team : teams.getMemberNames()) {
    const Json::Value& zones = teams[team]["zones"];
    for (Json::ArrayIndex i = 0; i < zones.size(); ++i) {
      if (!tree["zones"].isMember(zones[i].asString())) {
        return DocumentFault{fmt::format("/teams/{}/zones/{}", team, i),
                             fmt::format("unknown zone {}", ShortJson(zones[i])), ListZones(tree)};
      }
    }
  }
  return std::nullopt;
}

/// Checks that no name is repeated. This is not part of the schemas, because valijson checks
/// uniqueItems by comparing each pair, which takes minutes for the largest value that is allowed.
std::optional<DocumentFault> CheckUniqueNames(const Json::Value& names, const std::string& path) {
  std::set<std::string> seen;
  for (Json::ArrayIndex i = 0; i < names.size(); ++i) {
    if (!seen.insert(names[i].asString()).second) {
      return DocumentFault{fmt::format("{}/{}", path, i),
                           fmt::format("{} is used twice", ShortJson(names[i])), "each name once"};
    }
  }
  return std::nullopt;
}

std::optional<DocumentFault> CheckModelAndZoneNames(const Json::Value& tree) {
  for (const char* section : {"services", "teams"}) {
    const Json::Value& documents = tree[section];
    for (const std::string& name : documents.getMemberNames()) {
      for (const char* key : {"models", "zones"}) {
        if (auto fault = CheckUniqueNames(documents[name][key],
                                          fmt::format("/{}/{}/{}", section, name, key))) {
          return fault;
        }
      }
    }
  }
  return std::nullopt;
}

/// Checks that no two organisations have the same caller key: the identity of a caller would depend
/// on the order of the teams.
std::optional<DocumentFault> CheckOrganisationKeys(const Json::Value& tree) {
  std::map<std::string, std::string> path_by_key;
  const Json::Value& teams = tree["teams"];
  for (const std::string& team : teams.getMemberNames()) {
    const Json::Value& organisations = teams[team]["organisations"];
    for (const std::string& name : organisations.getMemberNames()) {
      const std::string path = fmt::format("/teams/{}/organisations/{}", team, name);
      const auto [other, is_new] =
          path_by_key.emplace(organisations[name]["key_sha256"].asString(), path);
      if (!is_new) {
        return DocumentFault{path + "/key_sha256",
                             fmt::format("the key belongs to {}", other->second),
                             "a key of its own for each organisation"};
      }
    }
  }
  return std::nullopt;
}

std::optional<DocumentFault> CheckApplications(const Json::Value& tree) {
  const Json::Value& teams = tree["teams"];
  for (const std::string& team : teams.getMemberNames()) {
    std::set<std::string> names;
    const Json::Value& applications = teams[team]["applications"];
    for (Json::ArrayIndex i = 0; i < applications.size(); ++i) {
      if (!names.insert(applications[i]["name"].asString()).second) {
        return DocumentFault{fmt::format("/teams/{}/applications/{}/name", team, i),
                             fmt::format("{} is used twice", ShortJson(applications[i]["name"])),
                             "a name of its own for each application"};
      }
    }
  }
  return std::nullopt;
}

Application MakeApplication(const Json::Value& value) {
  return Application{value["name"].asString(),
                     ParseWorkClass(value["class"].asString()).value_or(WorkClass::kShort),
                     std::chrono::milliseconds{value["deadline_ms"].asInt64()}};
}

Route MakeRoute(const Json::Value& value) {
  return Route{value["service"].asString(),
               value["method"].asString(),
               value["path"].asString(),
               value["idempotent"].asBool(),
               ParseWorkClass(value["class"].asString()).value_or(WorkClass::kShort),
               std::chrono::milliseconds{value["deadline_ms"].asInt64()}};
}

std::set<std::string> MakeSet(const Json::Value& names) {
  std::set<std::string> set;
  for (const Json::Value& name : names) {
    set.insert(name.asString());
  }
  return set;
}

Team MakeTeam(const std::string& name, const Json::Value& value) {
  Team team;
  team.name = name;
  const Json::Value& organisations = value["organisations"];
  for (const std::string& organisation : organisations.getMemberNames()) {
    const Json::Value& entry = organisations[organisation];
    team.organisations.push_back(Organisation{organisation, entry["key_sha256"].asString(),
                                              entry.get("weight", 1.0).asDouble()});
  }
  team.models = MakeSet(value["models"]);
  team.zones = MakeSet(value["zones"]);
  for (const Json::Value& application : value["applications"]) {
    team.applications.push_back(MakeApplication(application));
  }
  for (const Json::Value& route : value["routes"]) {
    team.routes.push_back(MakeRoute(route));
  }
  return team;
}

Upstream MakeUpstream(const std::string& service,
                      const Json::Value& document,
                      const std::string& name) {
  const Json::Value& value = document["upstreams"][name];
  Upstream upstream;
  upstream.name = service + "/" + name;
  upstream.service = service;
  upstream.kind =
      document["kind"].asString() == "engine" ? ServiceKind::kEngine : ServiceKind::kPlain;
  upstream.endpoint = Endpoint{value["address"].asString(), value["port"].asInt()};
  upstream.zone = value["zone"].asString();
  upstream.slots = value["slots"].asInt();
  upstream.cold_slots = value.get("cold_slots", 1).asInt();
  upstream.leaving = value["leaving"].asBool();
  upstream.deduplicates = value["deduplicates"].asBool();
  upstream.checks_fencing = value["checks_fencing"].asBool();
  upstream.models = MakeSet(document["models"]);
  return upstream;
}

Zone MakeZone(const std::string& name, const Json::Value& value) {
  Zone zone{name, value["in_service"].asBool(), std::nullopt};
  if (value.isMember("slots")) {
    zone.slots = value["slots"].asInt();
  }
  return zone;
}

}  // namespace internal

std::optional<DocumentFault> CheckAddress(const Json::Value& address, const std::string& path) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  const std::string text = address.asString();
  if (inet_pton(AF_INET, text.c_str(), bytes.data()) == 1 ||
      inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1) {
    return std::nullopt;
  }
  return DocumentFault{path, fmt::format("{} is not allowed", ShortJson(address)),
                       "an IPv4 or IPv6 address"};
}

std::optional<DocumentFault> CheckTree(const Json::Value& tree, const SettingsPath& changed) {
  if (auto fault = internal::CheckSections(tree)) {
    return fault;
  }
  if (auto fault = internal::CheckDocuments(tree, changed)) {
    return fault;
  }
  for (const auto check :
       {internal::CheckUpstreams, internal::CheckTeamZones, internal::CheckOrganisationKeys,
        internal::CheckApplications, internal::CheckModelAndZoneNames}) {
    if (auto fault = check(tree)) {
      return fault;
    }
  }
  return std::nullopt;
}

Catalog BuildCatalog(const Json::Value& tree) {
  Catalog catalog;
  for (const std::string& name : tree["zones"].getMemberNames()) {
    catalog.zones.emplace(name, internal::MakeZone(name, tree["zones"][name]));
  }
  for (const std::string& name : tree["teams"].getMemberNames()) {
    catalog.teams.emplace(name, internal::MakeTeam(name, tree["teams"][name]));
  }
  const Json::Value& services = tree["services"];
  for (const std::string& service : services.getMemberNames()) {
    for (const std::string& name : services[service]["upstreams"].getMemberNames()) {
      Upstream upstream = internal::MakeUpstream(service, services[service], name);
      catalog.upstreams.emplace(upstream.name, upstream);
    }
  }
  return catalog;
}

}  // namespace snipeturn
