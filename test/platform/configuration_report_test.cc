#include "platform/configuration_report.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "platform/configuration.h"

namespace snipeturn::platform {
namespace {

constexpr char kSound[] = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","path_prefix":"/x/","kind":"stream","timeout_ms":39000,
   "latency_target_ms":1800,"priority":1,"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "max_attempts":1,"public":false,"resumable":true,"gap_target_ms":180},
  {"name":"r2","host":"a.example","path_prefix":"/y/","kind":"safe","timeout_ms":1500.0,"service":"s2",
   "max_attempts":2,"public":true}],
 "services":[{"name":"s1","health_path":"/health","max_conns":222,"cold_s":1.5,"cold_per_s":38.0,
   "engine":{"slots":24,"kv_cache_tokens":34212,"kv_token_bytes":163840,"link_mbps":24000.0,"moves":true,"stride":4}},
   {"name":"s2"}],
 "limits":{"max_header_bytes":8192,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1},{"name":"t2","api_keys":["k3"]}]})";

std::string With(std::string text, const std::string& part, const std::string& replacement) {
  const std::size_t at = text.find(part);
  REQUIRE(at != std::string::npos);
  return text.replace(at, part.size(), replacement);
}

TEST_CASE("configurationReport_soundRecord_empty", "[platform][configuration_report]") {
  const ConfigurationReport report = CheckRecord(kSound, std::nullopt);
  CHECK(report.errors.empty());
  CHECK(report.warnings.empty());
  CHECK(report.changes.empty());
}

TEST_CASE("configurationReport_againstVersion_changesAndRefusal",
          "[platform][configuration_report]") {
  const auto in_force = ParseConfiguration(kSound).desired;
  REQUIRE(in_force);
  const ConfigurationReport same = CheckRecord(kSound, in_force);
  CHECK(same.changes.empty());
  REQUIRE(same.errors.size() == 1);
  CHECK(same.errors[0].path == "version");
  const std::string newer = With(kSound, R"("version":7)", R"("version":8)");
  const ConfigurationReport changed = CheckRecord(With(newer, "1500.0", "1000"), in_force);
  CHECK(changed.errors.empty());
  REQUIRE(changed.changes.size() == 1);
  CHECK(changed.changes[0].subject == "route a.example/y/");
}

// Guards against a field that an operator writes twice and of which only one counts.
TEST_CASE("configurationReport_duplicateName_warns", "[platform][configuration_report]") {
  const ConfigurationReport report =
      CheckRecord(With(kSound, R"("priority":1)", R"("priority":1,"priority":2)"), std::nullopt);
  CHECK(report.errors.empty());
  REQUIRE(report.warnings.size() == 1);
  CHECK(report.warnings[0].problem.find("'priority'") != std::string::npos);
}

// Guards against a record that passes the check and is refused by the hosts, or the other way
// round.
TEST_CASE("configurationReport_drawnRecords_errorsIfRefused", "[platform][configuration_report]") {
  std::mt19937 random(1);
  const std::vector<std::string> pieces{"7",    "\"x\"", "null", "{}",         "[]",
                                        "true", "-1",    "1e99", "[7]",        "[{}]",
                                        "",     "\xff",  "}",    "\"\\u0000\""};
  int refused = 0;
  constexpr int kRecords = 3000;
  for (int number = 0; number < kRecords; ++number) {
    std::string text = kSound;
    for (std::size_t count = 1 + random() % 2; count > 0; --count) {
      // Replaces the value of a field, or any part.
      std::size_t at = random() % text.size();
      std::size_t size = random() % 8;
      if (const std::size_t colon = text.find(':', at);
          colon != std::string::npos && random() % 4 > 0) {
        at = colon + 1;
        size = std::min(text.find_first_of(",}]", at), text.size()) - at;
      }
      text.replace(at, std::min(size, text.size() - at), pieces[random() % pieces.size()]);
    }
    std::string failure;
    const bool is_accepted = ParseDesiredState(text, failure).has_value();
    refused += is_accepted ? 0 : 1;
    CAPTURE(text, failure);
    CHECK(CheckRecord(text, std::nullopt).errors.empty() == is_accepted);
  }
  CHECK(refused > kRecords / 10);
  CHECK(refused < kRecords * 9 / 10);
}

}  // namespace
}  // namespace snipeturn::platform
