#include "platform/configuration.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace snipeturn::platform {
namespace {

constexpr char kConfig[] = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","path_prefix":"/x/","kind":"stream","timeout_ms":39000,
   "latency_target_ms":1800,"priority":1,"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "max_attempts":1,"public":false,"resumable":true,"gap_target_ms":180},
  {"name":"r2","host":"a.example","path_prefix":"/y/","kind":"safe","timeout_ms":1500.0,"service":"s2",
   "max_attempts":2,"public":true,"unknown":[1]}],
 "services":[{"name":"s1","health_path":"/health","max_conns":222,"cold_s":1.5,"cold_per_s":38.0,
   "engine":{"slots":24,"kv_cache_tokens":34212,"kv_token_bytes":163840,"link_mbps":24000.0,"moves":true,"stride":4}},
   {"name":"s2"}],
 "limits":{"max_header_bytes":8192,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1},{"name":"t2","api_keys":["k3"]}]})";

/// Replaces the first occurrence of `part` in the valid configuration.
std::string With(const std::string& part, const std::string& replacement) {
  std::string text = kConfig;
  const std::size_t at = text.find(part);
  REQUIRE(at != std::string::npos);
  return text.replace(at, part.size(), replacement);
}

std::vector<std::string> Lines(const ParsedConfiguration& parsed, FaultEffect effect) {
  std::vector<std::string> lines;
  for (const Fault& fault : parsed.faults.faults()) {
    if (fault.effect == effect) {
      lines.push_back(ToString(fault));
    }
  }
  return lines;
}

TEST_CASE("desiredState_valid_decoded", "[platform]") {
  std::string failure;
  const auto desired = ParseDesiredState(kConfig, failure);
  REQUIRE(desired);
  CHECK(desired->version == 7);
  REQUIRE(desired->routes.size() == 2);
  CHECK(desired->routes[0].kind == entry::RouteKind::kStream);
  CHECK(desired->routes[0].services.size() == 2);
  CHECK(desired->routes[0].timeout == std::chrono::seconds(39));
  CHECK(desired->routes[1].is_public);
  CHECK(desired->routes[0].is_resumable);
  CHECK_FALSE(desired->routes[1].is_resumable);
  CHECK(desired->routes[1].timeout == std::chrono::milliseconds(1500));
  const entry::Service& service = desired->services.at("s1");
  CHECK(service.cold_time == std::chrono::milliseconds(1500));
  REQUIRE(service.engine);
  CHECK(service.engine->memory_tokens == 34212);
  CHECK(service.engine->supports_migration);
  CHECK_FALSE(desired->services.at("s2").engine);
  CHECK(desired->caller_limits.max_body_bytes == 1000);
  CHECK(desired->organisation_by_key.at("k2").name == "t1");
  CHECK(desired->organisation_by_key.at("k1").priority == 1);
  CHECK_FALSE(desired->organisation_by_key.at("k3").priority);
}

// Guards against a configuration that is applied in part.
TEST_CASE("desiredState_invalid_rejected", "[platform]") {
  for (
      const std::string text :
      {R"()", R"({)", R"([])", R"({"version":"7","routes":[],"services":[]})",
       R"({"version":7,"routes":{},"services":[]})",
       R"({"version":7,"routes":[{"host":"a"}],"services":[]})",
       R"({"version":7,"routes":[{"host":"a","path_prefix":"/","kind":"other","timeout_ms":1}],"services":[]})",
       R"({"version":7,"routes":[],"services":[{}]})",
       R"({"version":7,"routes":[],"services":[],"tenants":[{"name":"t"}]})"}) {
    std::string failure;
    CHECK_FALSE(ParseDesiredState(text, failure));
    CHECK_FALSE(failure.empty());
  }
}

// Guards against a route that no request finds, since host names of requests are in lower case.
TEST_CASE("desiredState_hostInCapitals_lowerCase", "[platform]") {
  std::string failure;
  const auto desired = ParseDesiredState(With("a.example", "A.Example"), failure);
  REQUIRE(desired);
  CHECK(desired->routes[0].host == "a.example");
}

// Guards against routes that need no key since the list of organisations can't be read.
TEST_CASE("desiredState_tenantsOfOtherType_rejected", "[platform]") {
  for (const std::string tenants : {"{}", "7", "\"x\"", "true"}) {
    std::string failure;
    CHECK_FALSE(ParseDesiredState(
        R"({"version":7,"routes":[],"services":[],"tenants":)" + tenants + "}", failure));
    CHECK(failure == "tenants: must be a list");
  }
  std::string failure;
  CHECK(ParseDesiredState(R"({"version":7,"routes":[],"services":[],"tenants":null})", failure));
}

// Guards against numbers that change their value, or have none, in the type that holds them.
TEST_CASE("desiredState_hugeNumbers_defaultsUsed", "[platform]") {
  std::string failure;
  const auto priority =
      ParseDesiredState(With(R"("priority":1)", R"("priority":4294967297)"), failure);
  REQUIRE(priority);
  CHECK(priority->routes[0].priority == 0);
  for (const std::string tokens : {"-1", "1e300", "-1e300"}) {
    const auto memory = ParseDesiredState(With("34212", tokens), failure);
    REQUIRE(memory);
    CHECK(memory->services.at("s1").engine->memory_tokens == 0);
  }
}

// Guards against an operator who has to look for a fault by hand.
TEST_CASE("configuration_faults_eachHasItsPath", "[platform]") {
  CHECK(Lines(ParseConfiguration(With(R"("kind":"safe")", R"("kind":"sure")")),
              FaultEffect::kRefused) ==
        std::vector<std::string>{
            "routes[1].kind: \"sure\" is not allowed; must be safe, unsafe or stream"});
  CHECK(
      Lines(ParseConfiguration(With(R"("timeout_ms":39000,)", "")), FaultEffect::kRefused) ==
      std::vector<std::string>{"routes[0].timeout_ms: missing; must be a number of milliseconds"});
  CHECK(
      Lines(ParseConfiguration(With(R"("max_attempts":2)", R"("max_attempts":"2")")),
            FaultEffect::kDefaultUsed) ==
      std::vector<std::string>{"routes[1].max_attempts: \"2\" is not allowed; must be an integer"});
  CHECK(Lines(ParseConfiguration(With(R"("weight":10)", R"("weight":0)")), FaultEffect::kIgnored) ==
        std::vector<std::string>{
            "routes[0].split[1].weight: 0 is not allowed; must be a number above 0",
            "routes[1].unknown: unknown field"});
  CHECK(
      Lines(ParseConfiguration(With(R"({"name":"s2"})", R"({"name":"s1"})")), FaultEffect::kIgnored)
          .back() == "services[1].name: an earlier entry has this name, and counts");
  CHECK(ParseConfiguration(kConfig).faults.Count(FaultEffect::kDefaultUsed) == 0);
}

// Guards against keys of callers in messages and logs.
TEST_CASE("configuration_faultsOfKeys_hideKeys", "[platform]") {
  for (const std::string& text :
       {With(R"(["k3"])", R"(["k1"])"), With(R"(["k3"])", R"("k1")"),
        With(R"(["k1","k2"])", R"({"k1":"k2"})"), With(R"("k2")", "[\"k1\"]")}) {
    const ParsedConfiguration parsed = ParseConfiguration(text);
    std::size_t faults = 0;
    for (const Fault& fault : parsed.faults.faults()) {
      CHECK(ToString(fault).find("k1") == std::string::npos);
      faults += fault.path.rfind("tenants", 0) == 0 ? 1 : 0;
    }
    CHECK(faults == 1);
  }
  CHECK(Lines(ParseConfiguration(With(R"(["k3"])", R"(["k1"])")), FaultEffect::kIgnored).back() ==
        "tenants[1].api_keys[0]: same key as tenants[0].api_keys[0], which isn't used: its callers "
        "belong to t2");
}

// Guards against keys of callers in messages and logs when an operator puts them into a wrong
// field.
TEST_CASE("configuration_keysInOtherFields_hidden", "[platform]") {
  const std::string priority = R"("priority":1},{"name":"t2")";
  for (const std::string& text : {With(R"("name":"t2")", R"("name":["k1"])"),
                                  With(R"({"name":"t2","api_keys":["k3"]})", R"("k1")"),
                                  With(priority, R"("priority":"k1"},{"name":"t2")"),
                                  With(priority, R"("api_key":"k1"},{"name":"t2")"),
                                  With(priority, R"("k1":"t1"},{"name":"t2")")}) {
    const ParsedConfiguration parsed = ParseConfiguration(text);
    std::size_t faults = 0;
    for (const Fault& fault : parsed.faults.faults()) {
      CHECK(ToString(fault).find("k1") == std::string::npos);
      faults += fault.path.rfind("tenants", 0) == 0 ? 1 : 0;
    }
    CHECK(faults > 0);
  }
  CHECK(
      Lines(ParseConfiguration(With(priority, R"("priority":"k1"},{"name":"t2")")),
            FaultEffect::kDefaultUsed) ==
      std::vector<std::string>{"tenants[0].priority: a string is not allowed; must be an integer"});
}

// Guards against log lines as long as the record.
TEST_CASE("configuration_longSyntaxError_cut", "[platform]") {
  std::string failure;
  CHECK_FALSE(ParseDesiredState(std::string(100000, '1'), failure));
  CHECK(failure.size() < 300);
  CHECK_FALSE(
      ParseDesiredState(With("\"a.example\"", "[\"" + std::string(100000, 'x') + "\"]"), failure));
  CHECK(failure.size() < 300);
}

// Guards against memory and logs that grow with the faults of a record.
TEST_CASE("configuration_manyFaults_counted", "[platform]") {
  std::string text = R"({"version":7,"services":[],"routes":[)";
  for (int route = 0; route < 5000; ++route) {
    text += std::string(route > 0 ? "," : "") + R"({"other":")" + std::string(200, 'x') + "\"}";
  }
  const ParsedConfiguration parsed = ParseConfiguration(text + "]}");
  CHECK_FALSE(parsed.desired);
  CHECK(parsed.faults.Count(FaultEffect::kRefused) == 20000);
  CHECK(parsed.faults.Count(FaultEffect::kIgnored) == 5000);
  CHECK(parsed.faults.faults().size() == 2000);
}

}  // namespace
}  // namespace snipeturn::platform
