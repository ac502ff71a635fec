#include "snipeturn/settings/check.h"

#include <catch2/catch.hpp>

#include <json/reader.h>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "snipeturn/settings/document.h"
#include "snipeturn/settings/path.h"

namespace snipeturn {
namespace {

constexpr char kTree[] = R"({
  "zones": {"z1": {"in_service": true}, "z2": {"in_service": true, "slots": 8}},
  "services": {
    "llm": {"kind": "engine", "models": ["m"], "upstreams": {
      "u": {"address": "127.0.0.1", "port": 80, "zone": "z1", "slots": 4, "cold_slots": 2}}},
    "ops": {"kind": "plain", "upstreams": {
      "v": {"address": "::1", "port": 81, "zone": "z2", "slots": 1}}}},
  "teams": {"t": {
    "organisations": {
      "big": {"key_sha256": "0000000000000000000000000000000000000000000000000000000000000001"},
      "tiny": {"key_sha256": "0000000000000000000000000000000000000000000000000000000000000002"}},
    "models": ["m"], "zones": ["z1", "z2"],
    "applications": [{"name": "notes", "class": "long", "deadline_ms": 60000}],
    "routes": [
      {"service": "ops", "method": "POST", "path": "/status", "idempotent": true,
       "class": "short", "deadline_ms": 1000}]}}
})";

Json::Value Parse(const std::string& text) {
  Json::Value value;
  std::istringstream(text) >> value;
  return value;
}

/// The sound tree with one value replaced; null removes it.
Json::Value With(const std::string& path, const std::string& value) {
  Json::Value tree = Parse(kTree);
  REQUIRE(SetValue(tree, *ParseSettingsPath(path), Parse(value)));
  return tree;
}

std::vector<std::string> Lines(const std::vector<DocumentFault>& faults) {
  std::vector<std::string> lines;
  for (const DocumentFault& fault : faults) {
    lines.push_back(fault.path + ": " + fault.problem);
  }
  return lines;
}

std::vector<std::string> UnusedAfter(const std::string& path, const std::string& value) {
  const Json::Value tree = With(path, value);
  REQUIRE(FindTreeFaults(tree).empty());
  return Lines(FindUnusedSettings(tree));
}

std::vector<std::string> ChangesAfter(const std::string& path, const std::string& value) {
  std::vector<std::string> lines;
  for (const SettingsDifference& change : CompareTrees(Parse(kTree), With(path, value))) {
    lines.push_back(change.kind + " " + change.path + ": " + change.effect);
  }
  return lines;
}

using Texts = std::vector<std::string>;

TEST_CASE("settingsCheck_soundTree_nothingFound", "[settings]") {
  CHECK(FindTreeFaults(Parse(kTree)).empty());
  CHECK(Lines(FindUnusedSettings(Parse(kTree))) == Texts{});
  CHECK(CompareTrees(Parse(kTree), Parse(kTree)).empty());
}

TEST_CASE("settingsCheck_unusedSettings_found", "[settings]") {
  CHECK(UnusedAfter("/services/ops", "null") ==
        Texts{"/teams/t/routes/0: service ops has no upstream", "/zones/z2: no upstream is in it"});
  CHECK(UnusedAfter("/services/llm/models", "[]") ==
        Texts{"/teams/t/models: no upstream serves model m"});
  CHECK(UnusedAfter("/teams/t/zones", "[]") ==
        Texts{"/teams/t/zones: no upstream is in service for this team"});
  CHECK(UnusedAfter("/teams/t/organisations", "{}") ==
        Texts{"/teams/t/organisations: empty: nobody can call as this team"});
  CHECK(UnusedAfter("/teams/t", R"({"organisations": {}, "models": [], "zones": ["z1"],
                                    "applications": [], "routes": []})") ==
        Texts{"/teams/t/organisations: empty: nobody can call as this team",
              "/teams/t: neither models nor routes: its organisations can call nothing"});
  CHECK(UnusedAfter("/teams/t/applications", "[]") ==
        Texts{"/teams/t/applications: empty: the team can't generate with models"});
  CHECK(UnusedAfter("/services/llm/upstreams/u/cold_slots", "5") ==
        Texts{"/services/llm: upstream llm/u: cold_slots (5) exceeds slots (4)"});
  const std::string route = R"({"service": "ops", "method": "POST", "path": "/status",
      "idempotent": true, "class": "short", "deadline_ms": 1000})";
  CHECK(UnusedAfter("/teams/t/routes", "[" + route + "," + route + "]") ==
        Texts{"/teams/t/routes/1: never matches: another route has the same service, method and "
              "path"});
}

TEST_CASE("settingsCheck_changes_namedWithEffect", "[settings]") {
  CHECK(ChangesAfter("/teams/t/organisations/tiny", "null") ==
        Texts{"removed /teams/t/organisations/tiny: its callers lose access"});
  CHECK(ChangesAfter("/teams/t/organisations/big/key_sha256", "\"x\"") ==
        Texts{"changed /teams/t/organisations/big/key_sha256: callers with the former key lose "
              "access"});
  CHECK(ChangesAfter("/zones/z1/in_service", "false") ==
        Texts{"changed /zones/z1/in_service: the zone leaves service"});
  CHECK(ChangesAfter("/zones/z2/slots", "9") == Texts{"changed /zones/z2/slots: 8 -> 9"});
  CHECK(ChangesAfter("/teams/t/zones", "[\"z2\"]") == Texts{"removed /teams/t/zones: \"z1\""});
  CHECK(ChangesAfter("/teams/t/zones", "[\"z2\",\"z1\"]") ==
        Texts{"changed /teams/t/zones: another order"});
}

// Guards against a tree that passes the check and is refused by the daemons, or the other way
// round.
TEST_CASE("settingsCheck_drawnTrees_faultsIfRefused", "[settings]") {
  const std::vector<std::string> paths{"/zones",
                                       "/zones/z1",
                                       "/zones/z1/in_service",
                                       "/services",
                                       "/services/llm/models",
                                       "/services/llm/kind",
                                       "/services/llm/upstreams/u/zone",
                                       "/services/llm/upstreams/u/address",
                                       "/services/ops/upstreams/v/slots",
                                       "/teams/t/zones",
                                       "/teams/t/models",
                                       "/teams/t/organisations/big/key_sha256",
                                       "/teams/t/organisations/new",
                                       "/teams/t/routes",
                                       "/teams/t/applications",
                                       "/other"};
  const std::vector<std::string> values{
      "null",      "7",
      "-1",        "1e99",
      "true",      "\"z1\"",
      "\"x\"",     "{}",
      "[]",        "[\"m\",\"m\"]",
      "[\"z1\"]",  "\"0000000000000000000000000000000000000000000000000000000000000002\"",
      "{\"a\":{}}"};
  std::mt19937 random(1);
  int refused = 0;
  constexpr int kTrees = 2000;
  for (int number = 0; number < kTrees; ++number) {
    Json::Value tree = Parse(kTree);
    for (std::size_t count = random() % 3; count > 0; --count) {
      const std::string& path = paths[random() % paths.size()];
      const std::string& value = values[random() % values.size()];
      // A value above the path may have been replaced by one that isn't an object.
      (void)SetValue(tree, *ParseSettingsPath(path), Parse(value));
    }
    const bool is_accepted = !CheckTree(tree, {});
    refused += is_accepted ? 0 : 1;
    CAPTURE(CompactJson(tree));
    CHECK(FindTreeFaults(tree).empty() == is_accepted);
    if (is_accepted) {
      (void)FindUnusedSettings(tree);
    }
  }
  CHECK(refused > kTrees / 10);
  CHECK(refused < kTrees * 95 / 100);
}

}  // namespace
}  // namespace snipeturn
