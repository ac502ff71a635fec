#include "platform/records.h"

#include <catch2/catch.hpp>

#include "platform/configuration.h"

namespace snipeturn::platform {
namespace {

TEST_CASE("upstream_valid_decoded", "[platform]") {
  std::string failure;
  const auto entry = ParseUpstream(
      "i-1", R"({"service":"s","address":"10.1.2.3:8080","zone":"z","version":"v1","slots":24,
                 "state":"draining","cold_left_ms":700,"born":1790101750402,"sequence":4,"new":{}})",
      failure);
  REQUIRE(entry);
  CHECK(entry->id == "i-1");
  CHECK(entry->endpoint.port == 8080);
  CHECK(entry->leaving);
  CHECK(entry->cold_left == std::chrono::milliseconds(700));
  CHECK(entry->start_time_ms == 1790101750402);
}

// Guards against an invalid record of another writer that is used as an upstream.
TEST_CASE("upstream_invalid_rejected", "[platform]") {
  for (const std::string text :
       {"", "{", "\x01\x02", "null", "[1]", R"({"service":"s"})",
        R"({"service":"s","address":"10.1.2.3","zone":"z","slots":24,"state":"ready"})",
        R"({"service":"s","address":"host:80","zone":"z","slots":24,"state":"ready"})",
        R"({"service":"s","address":"10.1.2.3:99999","zone":"z","slots":24,"state":"ready"})",
        R"({"service":"s","address":"10.1.2.3:80x","zone":"z","slots":24,"state":"ready"})",
        R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":24,"state":"odd"})",
        R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":"24","state":"ready"})",
        R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":0,"state":"ready"})",
        R"({"service":7,"address":"10.1.2.3:80","zone":"z","slots":24,"state":"ready"})",
        R"({"service":"s","address":["10.1.2.3:80"],"zone":"z","slots":24,"state":"ready"})"}) {
    std::string failure;
    CHECK_FALSE(ParseUpstream("i-1", text, failure));
    CHECK_FALSE(failure.empty());
  }
}

/// A record that is valid but for one field, whose text is replaced.
std::string MakeUpstreamRecord(const std::string& field, const std::string& value) {
  std::string text =
      R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":24,"state":"ready",)"
      R"("born":1790101750402,"sequence":4,"cold_left_ms":700})";
  const std::size_t begin = text.find("\"" + field + "\":") + field.size() + 3;
  return text.replace(begin, text.find_first_of(",}", begin) - begin, value);
}

// Guards against an id that breaks or forges the header of a request, a log line, or the datagrams
// to the other hosts.
TEST_CASE("upstream_idNotSendable_rejected", "[platform]") {
  const std::string text = MakeUpstreamRecord("slots", "24");
  std::string failure;
  REQUIRE(ParseUpstream("i-7f3a91c2", text, failure));
  for (const std::string& id :
       {std::string(), std::string("a b"), std::string("a\r\nTenant: other"), std::string("a\n"),
        std::string("a\0b", 3), std::string("\x7f"), std::string("\xff"),
        std::string("\xc3\xbc")}) {
    CHECK_FALSE(ParseUpstream(id, text, failure));
  }
}

// Guards against an address that forges the header of a call, or that leads to this host itself or
// to many hosts.
TEST_CASE("upstream_addressOfNoServer_rejected", "[platform]") {
  for (const std::string address :
       {R"("10.1.2.3\u0000\r\nExpect-Instance: x:80")", R"("10.1.2.3\u0000:80")", R"("0.0.0.0:80")",
        R"("0.1.2.3:80")", R"("224.0.0.1:80")", R"("255.255.255.255:80")", R"(":80")",
        R"("10.1.2.3:-80")", R"("10.1.2.3:0")", R"("10.1.2.3:")"}) {
    std::string failure;
    CHECK_FALSE(ParseUpstream("i-1", MakeUpstreamRecord("address", address), failure));
  }
}

// Guards against an upstream that seems to have room for everything: a number of slots that loses
// its upper bits.
TEST_CASE("upstream_slotsTooLarge_rejected", "[platform]") {
  for (const std::string slots : {"4294967297", "2147483648", "4294967296", "1000000000000000000",
                                  "2147483647", "1e9", "-1", "1e400", "24.5", "true"}) {
    std::string failure;
    CHECK_FALSE(ParseUpstream("i-1", MakeUpstreamRecord("slots", slots), failure));
  }
}

// Guards against a datagram that is too large to be sent: the entries go out in it.
TEST_CASE("upstream_longName_rejected", "[platform]") {
  const std::string field = GENERATE("service", "zone");
  std::string failure;
  CHECK(
      ParseUpstream("i-1", MakeUpstreamRecord(field, '"' + std::string(255, 'n') + '"'), failure));
  CHECK_FALSE(
      ParseUpstream("i-1", MakeUpstreamRecord(field, '"' + std::string(256, 'n') + '"'), failure));
}

// Guards against pauses of all hosts: a large entry, which is parsed again with each heartbeat.
TEST_CASE("upstream_veryLargeRecord_rejected", "[platform]") {
  const auto pad = [](std::size_t bytes) {
    const std::string text = MakeUpstreamRecord("sequence", "4,\"x\":[1]");
    return text + std::string(bytes - text.size(), ' ');
  };
  std::string failure;
  CHECK(ParseUpstream("i-1", pad(32768), failure));
  CHECK_FALSE(ParseUpstream("i-1", pad(32769), failure));
  CHECK(failure == "too large");
}

// Guards against an entry that holds for ever: all later entries seem to be of an earlier start.
TEST_CASE("upstream_startOrSequenceInvalid_rejected", "[platform]") {
  std::string failure;
  REQUIRE(ParseUpstream("i-1", MakeUpstreamRecord("born", "null"), failure));
  REQUIRE(ParseUpstream("i-1", MakeUpstreamRecord("cold_left_ms", "-0.5"), failure));
  CHECK_FALSE(ParseUpstream("i-1", MakeUpstreamRecord("born", "-1"), failure));
  CHECK_FALSE(ParseUpstream("i-1", MakeUpstreamRecord("sequence", "-1"), failure));
  for (const char* field : {"born", "sequence", "cold_left_ms"}) {
    for (const std::string number :
         {"9223372036854775807", "9223372036854775808", "1e18", "\"4\"", "[4]", "1e400"}) {
      INFO(field << " " << number);
      CHECK_FALSE(ParseUpstream("i-1", MakeUpstreamRecord(field, number), failure));
    }
  }
}

// Guards against a record of another writer that is used in part: bytes follow its object.
TEST_CASE("upstream_bytesAfterObject_rejected", "[platform]") {
  const std::string text = MakeUpstreamRecord("slots", "24");
  std::string failure;
  REQUIRE(ParseUpstream("i-1", text + " \n", failure));
  for (const std::string& rest : {std::string("}"), std::string("x"), std::string(R"({"slots":1})"),
                                  std::string("\0", 1), std::string("\xff")}) {
    CHECK_FALSE(ParseUpstream("i-1", text + rest, failure));
  }
}

// Guards against a record that crashes all daemons: the JSON reader throws on deep nesting.
TEST_CASE("anyRecord_deeplyNested_rejected", "[platform]") {
  const std::string nested = R"({"service":)" + std::string(5000, '[');
  std::string failure;
  CHECK_FALSE(ParseUpstream("i-1", nested, failure));
  CHECK_FALSE(ParseDesiredState(nested, failure));
  CHECK_FALSE(ParseHost(nested));
}

// Guards against an older record of a host that replaces a newer one, also after its restart, which
// begins the sequence anew.
TEST_CASE("hostRecord_writtenLater_toldByTime", "[platform]") {
  const auto make = [](std::int64_t sequence, int written_ms) {
    HostRecord record{{"10.0.0.1", 7200}, "zone-a", sequence};
    record.written_at = WallTime(std::chrono::milliseconds(written_ms));
    return *ParseHost(WriteHost(record));
  };
  const HostRecord known = make(9, 5000);
  CHECK_FALSE(IsWrittenLater(known, known));
  CHECK_FALSE(IsWrittenLater(make(8, 4000), known));
  CHECK(IsWrittenLater(make(1, 6000), known));
  CHECK_FALSE(IsWrittenLater(make(10, 4000), known));
  CHECK(IsWrittenLater(make(2, 0), make(1, 0)));
}

TEST_CASE("hostRecord_roundTrip_preserved", "[platform]") {
  const auto record = ParseHost(WriteHost({{"10.0.0.1", 7200}, "zone-a", 9}));
  CHECK(record->zone == "zone-a");
  REQUIRE(record);
  CHECK(record->peer == Endpoint{"10.0.0.1", 7200});
  CHECK(record->sequence == 9);
  CHECK_FALSE(ParseHost("{}"));
  CHECK_FALSE(ParseHost("x"));
}

// Guards against a quarantine that is lost when all hosts restart, and against a host that is
// unknown because its record has a damaged crash report.
TEST_CASE("hostRecord_crashReport_keptOrDropped", "[platform]") {
  HostRecord record{{"10.0.0.1", 7200}, "zone-a", 9};
  record.crash_report.crashes = {{1, 2, {3, 4}, 5, std::chrono::milliseconds(60)}};
  record.written_at = WallTime(std::chrono::milliseconds(1700000000123));
  const auto parsed = ParseHost(WriteHost(record));
  REQUIRE(parsed);
  REQUIRE(parsed->crash_report.crashes.size() == 1);
  CHECK(parsed->crash_report.crashes[0].parts == record.crash_report.crashes[0].parts);
  CHECK(parsed->crash_report.crashes[0].age == std::chrono::milliseconds(60));
  CHECK(parsed->written_at == record.written_at);
  const auto damaged = ParseHost(
      R"({"peer":"10.0.0.1:7200","zone":"z","sequence":1,"crash_report":{"crashes":["x"]}})");
  REQUIRE(damaged);
  CHECK(damaged->crash_report.crashes.empty());
}

// Guards against a crash that counts for ever: with an overflow, its time lies in the future.
TEST_CASE("hostRecord_crashTimeOutOfRange_crashReportDropped", "[platform]") {
  const std::string written =
      GENERATE("1700000000123", "-9000000000000000000", "9000000000000000000");
  const std::string age = GENERATE("60", "18446743073709552", "9223372036854775807");
  const bool is_valid = written == "1700000000123" && age == "60";
  const auto record =
      ParseHost(R"({"peer":"10.0.0.1:7200","zone":"z","sequence":1,"written_ms":)" + written +
                R"(,"crash_report":{"crashes":[[1,2,)" + age + R"(,5.0,[3]]]}})");
  REQUIRE(record);
  CHECK(record->crash_report.crashes.size() == (is_valid ? 1 : 0));
}

}  // namespace
}  // namespace snipeturn::platform
