#include "platform/unreadable_records.h"

#include <catch2/catch.hpp>

namespace snipeturn::platform {
namespace {

using namespace std::chrono_literals;

// Guards against a log that consists of one odd entry, which is written again with each heartbeat.
TEST_CASE("unreadableRecord_writtenAgain_loggedOnceAMinute", "[platform]") {
  UnreadableRecords records;
  const TimePoint begin{1h};
  int lines = 0;
  for (auto time = 0s; time < 150s; time += 1s) {
    lines += records.Describe("servers", "odd", "no", begin + time) ? 1 : 0;
  }
  CHECK(lines == 3);
  CHECK(records.Describe("servers", "other", "no", begin + 150s) ==
        "topic=servers key=other left_out=29 reason=no");
}

// Guards against memory and lines without bound: very many odd entries.
TEST_CASE("unreadableRecords_veryMany_linesBounded", "[platform]") {
  UnreadableRecords records;
  const TimePoint begin{1h};
  int lines = 0;
  for (int key = 0; key < 5000; ++key) {
    lines += records.Describe("servers", std::to_string(key), "no", begin) ? 1 : 0;
  }
  CHECK(lines == 128);
  CHECK(records.Describe("servers", "last", "no", begin + 61s));
}

// Guards against a key that looks like other fields, and one that is no text.
TEST_CASE("unreadableRecord_oddKey_oneWord", "[platform]") {
  UnreadableRecords records;
  CHECK(records.Describe("servers", "a b=c\\\n\xff", "no", TimePoint{1h}) ==
        "topic=servers key=a\\x20b=c\\x5c\\x0a\\xff left_out=0 reason=no");
}

}  // namespace
}  // namespace snipeturn::platform
