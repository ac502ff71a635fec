#include "platform/store_client.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "snipeturn/loop/http_client.h"
#include "snipeturn/loop/http_head.h"
#include "snipeturn/loop/loop_fixture.h"

namespace snipeturn::platform {
namespace {

using namespace std::chrono_literals;

std::string EncodeBigEndian(std::uint64_t number) {
  std::string bytes(8, '\0');
  for (int position = 7; position >= 0; --position) {
    bytes[static_cast<std::size_t>(position)] = static_cast<char>(number & 0xffU);
    number >>= 8U;
  }
  return bytes;
}

TEST_CASE("logRead_records_decodedWithOffsets", "[platform]") {
  const std::string body = EncodeBigEndian(842) + EncodeBigEndian(3) +
                           EncodeKeyedRecord("a", "one") + EncodeKeyedRecord("b", "");
  const LogRead read = DecodeLogRead(body, {2, 840});
  REQUIRE(read.status == StoreStatus::kOk);
  CHECK(read.end == entry::StorePosition(2, 842));
  REQUIRE(read.records.size() == 2);
  CHECK(read.records[0].key == "a");
  CHECK(read.records[0].value == "one");
  CHECK(read.records[1].position == entry::StorePosition(2, 841));
  CHECK_FALSE(read.records[1].value);
}

TEST_CASE("logRead_noNewRecords_emptyAndOk", "[platform]") {
  const LogRead read = DecodeLogRead(EncodeBigEndian(840) + EncodeBigEndian(0), {0, 840});
  CHECK(read.status == StoreStatus::kOk);
  CHECK(read.records.empty());
}

// Guards against a truncated response that counts as a read of all records.
TEST_CASE("logRead_truncatedBody_unknown", "[platform]") {
  const std::string body =
      EncodeBigEndian(841) + EncodeBigEndian(0) + EncodeKeyedRecord("key", "value");
  for (std::size_t length = 0; length < body.size(); ++length) {
    if (length == 16) {
      continue;  // End and first offset without a record: a valid response without new records.
    }
    CHECK(DecodeLogRead(body.substr(0, length), {0, 840}).status == StoreStatus::kUnknown);
  }
}

// Guards against a record of another writer without a key, whose skipping shifts the offsets of
// later records.
TEST_CASE("logRead_recordWithoutKey_skippedAndOffsetCounted", "[platform]") {
  const std::string bad_key_length = std::string("\0\0\0\2", 4) + std::string("\x09x", 2);
  const std::string empty = std::string("\0\0\0\0", 4);
  const LogRead read = DecodeLogRead(EncodeBigEndian(13) + EncodeBigEndian(0) + bad_key_length +
                                         empty + EncodeKeyedRecord("k", "v"),
                                     {0, 10});
  REQUIRE(read.status == StoreStatus::kOk);
  REQUIRE(read.records.size() == 1);
  CHECK(read.records[0].position.offset == 12);
}

TEST_CASE("newestRead_page_decoded", "[platform]") {
  const NewestRead read = DecodeNewest(
      R"({"items":[{"key":"config","value":"eyJ2IjoxfQ==","offset":4},{"key":"gone","offset":5}],"has_more":true,"end":6})",
      3);
  REQUIRE(read.status == StoreStatus::kOk);
  CHECK(read.end == entry::StorePosition(3, 6));
  CHECK(read.has_more);
  REQUIRE(read.records.size() == 2);
  CHECK(read.records[0].value == R"({"v":1})");
  CHECK_FALSE(read.records[1].value);
}

TEST_CASE("newestRead_malformed_unknown", "[platform]") {
  for (const std::string text :
       {"", "{}", R"({"items":{},"end":1})", R"({"items":[]})", "[]", R"({"items":[],"end":-1})"}) {
    CHECK(DecodeNewest(text, 0).status == StoreStatus::kUnknown);
  }
}

/// Heads of a response with the given values of `Store-Era`.
loop::HttpHead MakeEraHead(const std::vector<std::string>& values) {
  loop::HttpHead head;
  for (const std::string& value : values) {
    head.fields.push_back({"store-era", value});
  }
  return head;
}

TEST_CASE("storeEra_wholeNumber_read", "[platform]") {
  CHECK(ParseStoreEra(MakeEraHead({"0"})) == 0);
  CHECK(ParseStoreEra(MakeEraHead({"18446744073709551615"})) == 18446744073709551615U);
  CHECK(ParseStoreEra(MakeEraHead({"7", "7"})) == 7);
}

// Guards against a return of the store that is taken from a field that states none.
TEST_CASE("storeEra_absentOrUnreadable_none", "[platform]") {
  CHECK_FALSE(ParseStoreEra(MakeEraHead({})));
  for (const std::string value :
       {"", "-1", "+1", "1.0", "1e3", "0x1", "1 2", "one", "18446744073709551616"}) {
    CHECK_FALSE(ParseStoreEra(MakeEraHead({value})));
  }
  CHECK_FALSE(ParseStoreEra(MakeEraHead({"7", "8"})));
  CHECK_FALSE(ParseStoreEra(MakeEraHead({"7", "x"})));
}

/// A client of the store; the test acts as the store.
class StoreClientFixture : public loop::LoopFixture {
 public:
  StoreClientFixture() : http(context), client(http, endpoint()) {
    client.SetEraHandlers({[this](const StoreEraChange& change) {
                             const std::string before =
                                 change.before ? std::to_string(*change.before) : "";
                             changes.push_back(before + ">" + std::to_string(change.era) + " " +
                                               std::string(change.call) + " " + change.topic + " " +
                                               std::to_string(change.status));
                           },
                           [this](const std::string& values) { unreadable.push_back(values); },
                           [this] { return known_elsewhere; }});
  }

  /// Receives the next call and responds to it.
  /// @param fields Further header fields, each ended by CR LF.
  void Respond(const std::string& status, const std::string& fields) {
    if (!connection) {
      connection.emplace(Accept());
    }
    ReadUntil(*connection, "\r\n\r\n");
    Write(*connection, "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 2\r\n\r\n{}");
  }

  static std::string EraField(const std::string& value) { return "Store-Era: " + value + "\r\n"; }

  AppendResult Append(const std::string& status, const std::string& fields) {
    std::optional<AppendResult> result;
    client.Append("keyed.t", "k", "v", [&result, this](const AppendResult& received) {
      result = received;
      changes_at_result = changes.size();
    });
    Respond(status, fields);
    REQUIRE(RunUntil([&result] { return result.has_value(); }));
    return *result;
  }

  std::vector<std::string> changes;
  std::size_t changes_at_result{0};
  std::vector<std::string> unreadable;
  entry::StoreEra known_elsewhere{0};
  loop::HttpClient http;
  StoreClient client;
  std::optional<boost::asio::ip::tcp::socket> connection;
};

// Guards against a record that is written although another host has written one since the read.
TEST_CASE_METHOD(StoreClientFixture, "append_partitionGrown_conflict", "[platform]") {
  std::optional<AppendResult> result;
  client.AppendAt("keyed.t", "k", "v", {3, 41},
                  [&result](const AppendResult& received) { result = received; });
  connection.emplace(Accept());
  const std::string call = ReadUntil(*connection, "\r\n\r\n");
  CHECK(call.find("POST /api/log-append?topic=keyed.t&part=0&at=41 HTTP/1.1\r\n") == 0);
  Write(*connection,
        "HTTP/1.1 412 Precondition Failed\r\nStore-Era: 3\r\nContent-Length: 10\r\n\r\n"
        "{\"end\":42}");
  REQUIRE(RunUntil([&result] { return result.has_value(); }));
  CHECK(result->status == StoreStatus::kConflict);
  CHECK(result->era == 3);
}

// Guards against a return of the store that only responses to good reads tell.
TEST_CASE_METHOD(StoreClientFixture, "append_anyStatus_higherEraReported", "[platform]") {
  Append("200 OK", EraField("1"));
  Append("200 OK", EraField("1"));
  Append("503 Service Unavailable", EraField("2"));
  Append("429 Too Many Requests", EraField("3"));
  Append("412 Precondition Failed", EraField("4"));
  CHECK(changes ==
        std::vector<std::string>{">1 log-append keyed.t 200", "1>2 log-append keyed.t 503",
                                 "2>3 log-append keyed.t 429", "3>4 log-append keyed.t 412"});
}

// Guards against records of the new log that are judged as those of the old one.
TEST_CASE_METHOD(StoreClientFixture, "append_higherEra_reportedBeforeResult", "[platform]") {
  CHECK(Append("200 OK", EraField("7")).era == 7);
  CHECK(changes_at_result == 1);
}

// Guards against a write that counts as done although the store lost it when it came back.
TEST_CASE_METHOD(StoreClientFixture, "append_responseOfEarlierEra_resultUnknown", "[platform]") {
  Append("200 OK", EraField("3"));
  const AppendResult result = Append("200 OK", EraField("2"));
  CHECK(result.status == StoreStatus::kUnknown);
  CHECK(result.era == 3);
  CHECK(changes.size() == 1);
}

// Guards against a return of the store, or none, that is made up from a response without an era.
TEST_CASE_METHOD(StoreClientFixture, "append_eraAbsentOrUnreadable_eraKnownLast", "[platform]") {
  const std::string fields =
      GENERATE("", "Store-Era: \r\n", "Store-Era: -1\r\n", "Store-Era: 99999999999999999999\r\n",
               "Store-Era: 8\r\nStore-Era: 9\r\n");
  AppendResult result = Append("200 OK", fields);
  CHECK(result.status == StoreStatus::kOk);
  CHECK(result.era == 0);
  Append("200 OK", EraField("5"));
  result = Append("200 OK", fields);
  CHECK(result.status == StoreStatus::kOk);
  CHECK(result.era == 5);
  CHECK(changes.size() == 1);
  CHECK(unreadable.size() == (fields.empty() ? 0 : 2));
}

// Guards against a host that never takes a response again that states no era, once a peer has told
// a higher one.
TEST_CASE_METHOD(StoreClientFixture, "append_higherEraKnownElsewhere_usedForResult", "[platform]") {
  Append("200 OK", EraField("1"));
  known_elsewhere = 2;
  CHECK(Append("200 OK", "").era == 2);
  CHECK(Append("200 OK", EraField("1")).status == StoreStatus::kUnknown);
  CHECK(Append("200 OK", EraField("2")).status == StoreStatus::kOk);
  CHECK(changes.size() == 2);
}

// Guards against a return that stays unknown because the response is cut off after its head.
TEST_CASE_METHOD(StoreClientFixture, "read_bodyCutOff_eraReported", "[platform]") {
  std::optional<LogRead> read;
  client.ReadLog("keyed.t", {1, 5}, 0ms, [&read](LogRead result) { read = std::move(result); });
  connection.emplace(Accept());
  ReadUntil(*connection, "\r\n\r\n");
  Write(*connection, "HTTP/1.1 200 OK\r\nStore-Era: 4\r\nContent-Length: 9\r\n\r\n{}");
  connection->close();
  REQUIRE(RunUntil([&read] { return read.has_value(); }));
  CHECK(read->status == StoreStatus::kUnknown);
  CHECK(read->era == 4);
  CHECK(changes.size() == 1);
}

// Guards against a read that waits for its timeout behind a status that is no answer, and against
// an era that is learned from it.
TEST_CASE_METHOD(StoreClientFixture, "logRead_statusOutsideProtocol_unknownAtOnce", "[platform]") {
  const std::string code = GENERATE("000", "101", "999");
  std::optional<LogRead> read;
  client.ReadLog("keyed.t", {1, 5}, 10s, [&read](LogRead result) { read = std::move(result); });
  Respond(code + " X", EraField("9"));
  REQUIRE(RunUntil([&read] { return read.has_value(); }));
  CHECK(read->status == StoreStatus::kUnknown);
  CHECK(changes.empty());
}

}  // namespace
}  // namespace snipeturn::platform
