#include "platform/settings.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "snipeturn/entry/request_bytes.h"

namespace snipeturn::platform {
namespace {

using Effect = FaultEffect;

constexpr char kSettings[] = R"({"metrics_port":9464,"node":{"node_name":"f-1","zone":"z",
  "ip":"10.1.0.19","internal_ports":[7200,7215],"listen":{"front":"10.1.0.19:8740","ready":"10.1.0.19:8749"},
  "bounds":{"revoke_ms":4000,"grace_s":8,"budget_window_s":10,"retry_budget_ratio":0.2,"fail_closed":true},
  "platform":{"address":"10.200.1.7:8742"}}})";

/// Returns the valid settings with the first occurrence of a text replaced.
std::string Replace(const std::string& from, const std::string& to) {
  std::string text = kSettings;
  return text.replace(text.find(from), from.size(), to);
}

std::vector<std::string> Paths(const std::vector<Fault>& faults, Effect effect) {
  std::vector<std::string> paths;
  for (const Fault& fault : faults) {
    if (fault.effect == effect) {
      paths.push_back(fault.path);
    }
  }
  return paths;
}

// Guards against bounds of the settings that are read but not used.
TEST_CASE("settings_limitsAndContracts_used", "[platform]") {
  const auto [settings, faults] = ParseSettings(
      Replace(R"("zone":"z",)", R"("zone":"z","limits":{"memory_mb":32,"max_fds":1000},
                                  "contracts":["moves","pressure"],)"));
  REQUIRE(settings);
  CHECK(faults.empty());
  CHECK(settings->runtime.memory == 32U << 20U);
  CHECK(settings->runtime.max_descriptors == 1000);
  CHECK(settings->runtime.entry.max_upstream_bytes_of_all == entry::kMaxUpstreamBytes);
  CHECK(ParseSettings(kSettings).settings->runtime.entry.max_upstream_bytes_of_all == 0);
  const auto [odd, odd_faults] = ParseSettings(
      Replace(R"("zone":"z",)", R"("zone":"z","contracts":"pressure","limits":{"max_fds":-1},)"));
  REQUIRE(odd);
  CHECK(odd->runtime.max_descriptors == 0);
  CHECK(Paths(odd_faults, Effect::kDefaultUsed) == std::vector<std::string>{"node.contracts"});
}

TEST_CASE("settings_valid_decoded", "[platform]") {
  const auto [settings, faults] = ParseSettings(kSettings);
  REQUIRE(settings);
  CHECK(faults.empty());
  CHECK(settings->runtime.front.port == 8740);
  CHECK(settings->runtime.peer.port == 7200);
  CHECK(settings->runtime.metrics == Endpoint{"10.1.0.19", 9464});
  CHECK(settings->store == Endpoint{"10.200.1.7", 8742});
  CHECK(settings->runtime.entry.bounds.revoke == std::chrono::seconds(4));
  CHECK(settings->runtime.entry.bounds.grace == std::chrono::seconds(8));
}

// Guards against learned capacity that is in effect, or isn't, against the operator's word.
TEST_CASE("settings_learnedCapacity_onOffOrByTheHeader", "[platform]") {
  const auto parse = [](const std::string& field) {
    return ParseSettings(Replace(R"("metrics_port")", field + R"("metrics_port")"));
  };
  CHECK_FALSE(parse("").settings->runtime.entry.learned_capacity);
  CHECK(parse(R"("learned_capacity":true,)").settings->runtime.entry.learned_capacity == true);
  CHECK(parse(R"("learned_capacity":false,)").settings->runtime.entry.learned_capacity == false);
  const ParsedSettings wrong = parse(R"("learned_capacity":"yes",)");
  CHECK_FALSE(wrong.settings->runtime.entry.learned_capacity);
  CHECK(Paths(wrong.faults, Effect::kDefaultUsed) == std::vector<std::string>{"learned_capacity"});
}

// Guards against a daemon that doesn't start where it listens on all addresses of its host.
TEST_CASE("settings_listenOnAllAddresses_accepted", "[platform]") {
  const auto [settings, faults] = ParseSettings(Replace("10.1.0.19:8740", "0.0.0.0:8740"));
  CHECK(settings);
  CHECK(faults.empty());
}

// Guards against a daemon that starts with incomplete settings.
TEST_CASE("settings_fieldMissing_rejectedWithItsPath", "[platform]") {
  const std::vector<std::vector<std::string>> table{{"node_name", "node.node_name"},
                                                    {"zone", "node.zone"},
                                                    {"ip", "node.ip"},
                                                    {"internal_ports", "node.internal_ports"},
                                                    {"front", "node.listen.front"},
                                                    {"ready", "node.listen.ready"},
                                                    {"address", "node.platform.address"}};
  for (const auto& row : table) {
    INFO(row[0]);
    const auto [settings, faults] = ParseSettings(Replace("\"" + row[0] + "\"", "\"renamed\""));
    CHECK_FALSE(settings);
    CHECK(Paths(faults, Effect::kRefused) == std::vector<std::string>{row[1]});
    CHECK(Paths(faults, Effect::kIgnored).size() == 1);
  }
}

// Guards against an operator who learns of one bad field per run.
TEST_CASE("settings_manyFieldsBad_eachNamed", "[platform]") {
  const auto [settings, faults] = ParseSettings(R"({"metrics_port":0,"node":{"node_name":7,
    "zone":"z","ip":"10.1.0.19","internal_ports":["x"],"listen":{"front":"10.1.0.19"},
    "bounds":{"revoke_ms":-1,"fail_closed":"yes"},"platform":"10.200.1.7:8742"}})");
  CHECK_FALSE(settings);
  CHECK(Paths(faults, Effect::kRefused) ==
        std::vector<std::string>{"node.node_name", "node.listen.front", "node.listen.ready",
                                 "node.platform", "node.platform.address", "node.internal_ports"});
  CHECK(Paths(faults, Effect::kDefaultUsed) == std::vector<std::string>{"node.bounds.revoke_ms",
                                                                        "node.bounds.fail_closed",
                                                                        "metrics_port"});
  CHECK(JoinFaults(faults, Effect::kDefaultUsed) ==
        "node.bounds.revoke_ms: -1 is not allowed; must be a number of milliseconds; "
        "node.bounds.fail_closed: \"yes\" is not allowed; must be true or false; "
        "metrics_port: 0 is not allowed; must be a port");
}

// Guards against a bound that is replaced by its default without a message.
TEST_CASE("settings_boundOfWrongType_defaultUsedAndNamed", "[platform]") {
  const auto [settings, faults] = ParseSettings(Replace("4000", "\"4000\""));
  REQUIRE(settings);
  CHECK(settings->runtime.entry.bounds.revoke == entry::Bounds{}.revoke);
  CHECK(Paths(faults, Effect::kDefaultUsed) == std::vector<std::string>{"node.bounds.revoke_ms"});
}

// Guards against refusing a field that a newer platform adds.
TEST_CASE("settings_unknownFields_ignoredAndNamed", "[platform]") {
  std::string text = Replace("\"bounds\":{", "\"colour\":1,\"bounds\":{\"new_ms\":1,");
  text.replace(text.find("\"front\""), 0, "\"side\":1,");
  const auto [settings, faults] = ParseSettings(text);
  CHECK(settings);
  CHECK(faults.size() == 3);
  CHECK(Paths(faults, Effect::kIgnored) ==
        std::vector<std::string>{"node.bounds.new_ms", "node.colour", "node.listen.side"});
}

// Guards against a syntax error without its place in the file.
TEST_CASE("settings_notJson_rejectedWithLineAndColumn", "[platform]") {
  const auto [settings, faults] = ParseSettings("{\"node\":\n  {\"zone\" 1}}");
  CHECK_FALSE(settings);
  REQUIRE(faults.size() == 1);
  CHECK_THAT(ToString(faults.front()), Catch::Contains("line 2, column 11"));
  for (const std::string& text :
       std::vector<std::string>{"", "[]", "\"text\"", std::string(100000, '[')}) {
    INFO(text.substr(0, 10));
    const auto refused = ParseSettings(text);
    CHECK_FALSE(refused.settings);
    CHECK(refused.faults.size() == 1);
  }
}

// Guards against roll-outs in a deployment that hasn't enabled them.
TEST_CASE("settings_contracts_rolloutEnabledOnlyIfNamed", "[platform]") {
  const auto is_enabled = [](const std::string& contracts) {
    const auto parsed = ParseSettings(Replace("\"zone\":\"z\"", "\"zone\":\"z\"" + contracts));
    return parsed.settings.value().runtime.entry.rollouts_enabled;
  };
  CHECK(is_enabled(R"(,"contracts":["pressure","rollout"])"));
  CHECK_FALSE(is_enabled(""));
  CHECK_FALSE(is_enabled(R"(,"contracts":["rollouts"])"));
  CHECK_FALSE(is_enabled(R"(,"contracts":"rollout")"));
  CHECK_FALSE(is_enabled(R"(,"contracts":["rollout",7])"));
}

TEST_CASE("settings_rolloutBounds_decoded", "[platform]") {
  const auto [settings, faults] = ParseSettings(Replace(
      "\"grace_s\":8", R"("canary_share":0.2,"canary_slack":7,"rollback_ms":3000,"outer_ms":4000,)"
                       R"("config_apply_ms":1000)"));
  REQUIRE(settings);
  CHECK(faults.empty());
  const entry::Bounds& bounds = settings->runtime.entry.bounds;
  CHECK(bounds.canary_share == 0.2);
  CHECK(bounds.canary_slack == 7);
  CHECK(bounds.rollback == std::chrono::seconds(3));
  CHECK(bounds.outer == std::chrono::seconds(4));
  CHECK(bounds.config_apply == std::chrono::seconds(1));
}

// Guards against a share that lets a version under trial get all requests.
TEST_CASE("settings_canaryShareOutOfRange_defaultUsed", "[platform]") {
  const std::string share = GENERATE("1.1", "-0.1", "\"0.1\"");
  const auto parsed = ParseSettings(Replace("\"grace_s\":8", "\"canary_share\":" + share));
  REQUIRE(parsed.settings);
  CHECK(Paths(parsed.faults, Effect::kDefaultUsed) ==
        std::vector<std::string>{"node.bounds.canary_share"});
  CHECK(parsed.settings->runtime.entry.bounds.canary_share == 0.1);
}

}  // namespace
}  // namespace snipeturn::platform
