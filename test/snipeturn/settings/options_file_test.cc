#include "snipeturn/settings/options_file.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "snipeturn/settings/settings_fixture.h"

namespace snipeturn {
namespace {

constexpr char kDaemon[] = R"({
  "host": "h1", "zone": "z1",
  "listen": {"address": "127.0.0.1", "port": 8080}, "log": {"address": "::1", "port": 9},
  "cursor_key": "0123456789abcdef", "peer_key": "fedcba9876543210",
  "operator_keys_sha256": ["00000000000000000000000000000000000000000000000000000000000000ab"]})";

class OptionsFixture {
 protected:
  /// Returns the failure after one key was replaced or added.
  [[nodiscard]] OptionsFailure Replace(const std::string& key, const std::string& value) const {
    Json::Value json = FromJson(kDaemon);
    json[key] = FromJson(value);
    OptionsFailure failure;
    CHECK_FALSE(ParseOptions(CompactJson(json), failure));
    return failure;
  }

  OptionsFailure failure_;
};

TEST_CASE_METHOD(OptionsFixture, "options_all_keys_are_read", "[settings]") {
  Json::Value json = FromJson(kDaemon);
  json["previous_cursor_key"] = "old";
  json["tls"] = FromJson(R"({"certificate": "c.pem", "key": "k.pem"})");
  // Each field has a different value, so that two swapped fields are detected.
  json["tuning"] = FromJson(R"({"heartbeat_interval_ms": 1, "fence_ms": 2, "long_fence_ms": 3,
      "epoch_agreement_ms": 4, "no_progress_ms": 5, "caller_grace_ms": 6, "segment_ms": 7,
      "max_stalled_resumes": 8, "claim_batch_ms": 9, "claim_streams": 10, "key_margin_ms": 11,
      "warm_evidence_ms": 12, "loan_start_ms": 13, "cursor_lifetime_ms": 14, "owner_group": 15,
      "max_waiting_requests": 16, "retry_budget": 0.17, "retry_window_ms": 18,
      "critical_reserve": 0.19, "long_reserve": 0.2, "shutdown_grace_ms": 21})");
  const auto options = ParseOptions(CompactJson(json), failure_);
  REQUIRE(options);
  CHECK(options->listen == Endpoint{"127.0.0.1", 8080});
  CHECK(options->log == Endpoint{"::1", 9});
  CHECK(options->cursor_key + options->previous_cursor_key == "0123456789abcdefold");
  CHECK(options->peer_key == "fedcba9876543210");
  CHECK(options->operator_keys_sha256.size() == 1);
  CHECK(options->tls->key == "k.pem");
  const Tuning& tuning = options->tuning;
  const std::vector<std::chrono::milliseconds> durations{
      tuning.heartbeat_interval, tuning.fence,         tuning.long_fence, tuning.epoch_agreement,
      tuning.no_progress,        tuning.caller_grace,  tuning.segment,    tuning.claim_batch,
      tuning.key_margin,         tuning.warm_evidence, tuning.loan_start, tuning.cursor_lifetime,
      tuning.retry_window,       tuning.shutdown_grace};
  const std::vector<int> expected{1, 2, 3, 4, 5, 6, 7, 9, 11, 12, 13, 14, 18, 21};
  for (std::size_t i = 0; i < expected.size(); ++i) {
    CHECK(durations[i].count() == expected[i]);
  }
  CHECK(tuning.max_stalled_resumes == 8);
  CHECK(tuning.claim_streams == 10);
  CHECK(tuning.owner_group == 15);
  CHECK(tuning.max_waiting_requests == 16);
  CHECK(tuning.retry_budget == 0.17);
  CHECK(tuning.critical_reserve == 0.19);
  CHECK(tuning.long_reserve == 0.2);
}

TEST_CASE_METHOD(OptionsFixture, "options_left_out_keep_their_defaults", "[settings]") {
  const auto options = ParseOptions(kDaemon, failure_);
  REQUIRE(options);
  CHECK_FALSE(options->tls);
  CHECK(options->tuning.fence == std::chrono::seconds{6});
  CHECK(failure_.reason == OptionsReason::kNone);
}

TEST_CASE_METHOD(OptionsFixture, "options_bad_input_names_path_and_allowed_values", "[settings]") {
  const std::vector<std::vector<std::string>> table{
      {"host", "3", "/host", "a name"},
      {"listen", R"({"address": "127.0.0.1"})", "/listen", "from 1 to 65535"},
      {"listen", R"({"address": "256.0.0.1", "port": 1})", "/listen/address", "IPv4"},
      {"log", R"({"address": "127.0.0.1", "port": 0})", "/log/port", "from 1 to 65535"},
      {"operator_keys_sha256", R"(["x"])", "/operator_keys_sha256/0", "64 lower-case"},
      {"tls", R"({"certificate": "c"})", "/tls", "1 to 4096 characters"},
      {"tuning", R"({"fence": 1})", "/tuning", "fence_ms"},
      {"tuning", R"({"fence_ms": 0})", "/tuning/fence_ms", "milliseconds"},
      {"tuning", R"({"retry_budget": 1.5})", "/tuning/retry_budget", "from 0 to 1"},
      {"colour", "1", "/", "cursor_key"}};
  for (const auto& row : table) {
    INFO(row[0] << " = " << row[1]);
    const OptionsFailure failure = Replace(row[0], row[1]);
    CHECK(failure.reason == OptionsReason::kInvalid);
    REQUIRE(failure.faults.size() == 1);
    CHECK(failure.faults.front().path == row[2]);
    CHECK_THAT(failure.faults.front().allowed, Catch::Contains(row[3]));
  }
}

// Guards against an operator who learns of one bad value per run.
TEST_CASE_METHOD(OptionsFixture, "options_many_bad_values_are_each_named", "[settings]") {
  Json::Value json = FromJson(kDaemon);
  json.removeMember("zone");
  json.removeMember("peer_key");
  json["colour"] = 1;
  json["listen"] = FromJson(R"({"address": "256.0.0.1", "port": 0, "side": 1})");
  json["log"] = FromJson(R"({"address": "256.0.0.1", "port": 9})");
  json["operator_keys_sha256"] = FromJson(R"(["x", 7])");
  json["tls"] = "c.pem";
  json["tuning"] = FromJson(R"({"fence": 1, "fence_ms": 0, "retry_budget": 2, "segment_ms": "1"})");
  CHECK_FALSE(ParseOptions(CompactJson(json), failure_));
  CHECK(failure_.reason == OptionsReason::kInvalid);
  std::vector<std::string> found;
  for (const DocumentFault& fault : failure_.faults) {
    found.push_back(fault.path + " " + fault.problem);
  }
  std::sort(found.begin(), found.end());
  CHECK(found == std::vector<std::string>{
                     "/ the key \"peer_key\" is missing", "/ the key \"zone\" is missing",
                     "/ unknown key \"colour\"", "/listen unknown key \"side\"",
                     "/listen/address \"256.0.0.1\" is not allowed",
                     "/listen/port 0 is not allowed", "/log/address \"256.0.0.1\" is not allowed",
                     "/operator_keys_sha256/0 \"x\" is not allowed",
                     "/operator_keys_sha256/1 7 is not allowed", "/tls \"c.pem\" is not allowed",
                     "/tuning unknown key \"fence\"", "/tuning/fence_ms 0 is not allowed",
                     "/tuning/retry_budget 2 is not allowed",
                     "/tuning/segment_ms \"1\" is not allowed"});
}

// Guards against an error message that contains a secret, here one that is refused as too short.
TEST_CASE_METHOD(OptionsFixture, "options_bad_secret_is_not_shown", "[settings]") {
  const OptionsFailure failure = Replace("cursor_key", R"("hunter2")");
  REQUIRE(failure.faults.size() == 1);
  CHECK(failure.faults.front().path == "/cursor_key");
  CHECK(ToString(failure.faults.front()).find("hunter2") == std::string::npos);
}

TEST_CASE_METHOD(OptionsFixture, "options_text_that_is_not_json_is_refused", "[settings]") {
  for (const std::string text :
       {"", "{", "[]x", "{\"host\": \"a\", \"host\": \"b\"}", "// comment\n{}", "{} {}"}) {
    INFO(text);
    CHECK_FALSE(ParseOptions(text, failure_));
    CHECK(failure_.reason == OptionsReason::kNotJson);
  }
  CHECK_FALSE(ParseOptions(std::string(100000, '['), failure_));
  CHECK(failure_.reason == OptionsReason::kNotJson);
  CHECK_FALSE(ParseOptions("[]", failure_));
  CHECK(failure_.reason == OptionsReason::kInvalid);
}

// Guards against a syntax error without its place in the file.
TEST_CASE_METHOD(OptionsFixture, "options_syntax_error_has_line_and_column", "[settings]") {
  CHECK_FALSE(ParseOptions("{\"host\": \"a\",\n \"zone\" 1}", failure_));
  REQUIRE(failure_.faults.size() == 1);
  CHECK_THAT(ToString(failure_.faults.front()), Catch::Contains("line 2, column 9: "));
}

TEST_CASE_METHOD(OptionsFixture, "options_file_unreadable_or_too_large_is_refused", "[settings]") {
  CHECK_FALSE(ReadOptionsFile("/nowhere/daemon.json", failure_));
  CHECK(failure_.reason == OptionsReason::kUnreadable);
  CHECK_FALSE(ReadOptionsFile("/", failure_));
  CHECK(failure_.reason == OptionsReason::kUnreadable);
  CHECK_FALSE(ReadOptionsFile("/dev/zero", failure_));
  CHECK(failure_.reason == OptionsReason::kTooLarge);
  CHECK_FALSE(ParseOptions(std::string(kMaxOptionsSize, ' '), failure_));
  CHECK(failure_.reason == OptionsReason::kNotJson);
}

}  // namespace
}  // namespace snipeturn
