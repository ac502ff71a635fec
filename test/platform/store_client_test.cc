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
  const LogRead read = DecodeLogRead(body, 840);
  REQUIRE(read.status == StoreStatus::kOk);
  CHECK(read.end == 842);
  REQUIRE(read.records.size() == 2);
  CHECK(read.records[0].key == "a");
  CHECK(read.records[0].value == "one");
  CHECK(read.records[1].offset == 841);
  CHECK_FALSE(read.records[1].value);
}

TEST_CASE("logRead_noNewRecords_emptyAndOk", "[platform]") {
  const LogRead read = DecodeLogRead(EncodeBigEndian(840) + EncodeBigEndian(0), 840);
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
    CHECK(DecodeLogRead(body.substr(0, length), 840).status == StoreStatus::kUnknown);
  }
}

// Guards against a record of another writer without a key, whose skipping shifts the offsets of
// later records.
TEST_CASE("logRead_recordWithoutKey_skippedAndOffsetCounted", "[platform]") {
  const std::string bad_key_length = std::string("\0\0\0\2", 4) + std::string("\x09x", 2);
  const std::string empty = std::string("\0\0\0\0", 4);
  const LogRead read = DecodeLogRead(EncodeBigEndian(13) + EncodeBigEndian(0) + bad_key_length +
                                         empty + EncodeKeyedRecord("k", "v"),
                                     10);
  REQUIRE(read.status == StoreStatus::kOk);
  REQUIRE(read.records.size() == 1);
  CHECK(read.records[0].offset == 12);
}

TEST_CASE("newestRead_page_decoded", "[platform]") {
  const NewestRead read = DecodeNewest(
      R"({"items":[{"key":"config","value":"eyJ2IjoxfQ==","offset":4},{"key":"gone","offset":5}],"has_more":true,"end":6})");
  REQUIRE(read.status == StoreStatus::kOk);
  CHECK(read.end == 6);
  CHECK(read.has_more);
  REQUIRE(read.records.size() == 2);
  CHECK(read.records[0].value == R"({"v":1})");
  CHECK_FALSE(read.records[1].value);
}

TEST_CASE("newestRead_malformed_unknown", "[platform]") {
  for (const std::string text :
       {"", "{}", R"({"items":{},"end":1})", R"({"items":[]})", "[]", R"({"items":[],"end":-1})"}) {
    CHECK(DecodeNewest(text).status == StoreStatus::kUnknown);
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
    client.SetEraCallback([this](const StoreEraChange& change) {
      changes.push_back(std::to_string(change.before) + ">" + std::to_string(change.era) + " " +
                        std::string(change.call) + " " + change.topic + " " +
                        std::to_string(change.status));
    });
  }

  /// Receives the next call and responds to it with an era.
  void Respond(const std::string& status, const std::string& era) {
    if (!connection) {
      connection.emplace(Accept());
    }
    ReadUntil(*connection, "\r\n\r\n");
    Write(*connection,
          "HTTP/1.1 " + status + "\r\nStore-Era: " + era + "\r\nContent-Length: 2\r\n\r\n{}");
  }

  void Append(const std::string& status, const std::string& era) {
    bool is_done = false;
    client.Append("keyed.t", "k", "v", [&is_done](StoreStatus /*status*/) { is_done = true; });
    Respond(status, era);
    REQUIRE(RunUntil([&is_done] { return is_done; }));
  }

  std::vector<std::string> changes;
  loop::HttpClient http;
  StoreClient client;
  std::optional<boost::asio::ip::tcp::socket> connection;
};

// Guards against a return of the store that only responses to good reads tell.
TEST_CASE_METHOD(StoreClientFixture, "append_anyStatus_eraReported", "[platform]") {
  Append("200 OK", "1");
  Append("200 OK", "1");
  CHECK(changes.empty());
  Append("503 Service Unavailable", "2");
  Append("429 Too Many Requests", "3");
  Append("412 Precondition Failed", "4");
  CHECK(changes == std::vector<std::string>{"1>2 log-append keyed.t 503",
                                            "2>3 log-append keyed.t 429",
                                            "3>4 log-append keyed.t 412"});
}

}  // namespace
}  // namespace snipeturn::platform
