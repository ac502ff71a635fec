#include "platform/store_client.h"

#include <catch2/catch.hpp>

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

}  // namespace
}  // namespace snipeturn::platform
