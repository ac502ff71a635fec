#include "platform/rollout_status.h"

#include <catch2/catch.hpp>
#include <string>
#include <variant>
#include <vector>

#include "fake_store.h"
#include "snipeturn/loop/http_client.h"
#include "snipeturn/loop/loop_fixture.h"

namespace snipeturn::platform {
namespace {

using Result = entry::StatusWriteResult;

/// A host that reads and writes statuses in a store in memory.
class RolloutStatusFixture : public loop::LoopFixture {
 public:
  RolloutStatusFixture()
      : store(acceptor),
        http(context),
        client(http, endpoint()),
        statuses(client,
                 {[this](entry::Event event) { events.push_back(std::move(event)); },
                  [this](const std::string& key, const std::string& /*reason*/) {
                    unreadable.push_back(key);
                  }}) {}

  entry::RolloutStatusRead Read() {
    events.clear();
    statuses.Read("chat");
    REQUIRE(RunUntil([this] { return !events.empty(); }));
    return std::get<entry::RolloutStatusRead>(events.front());
  }

  Result Write(entry::RolloutState state, const entry::StorePosition& end) {
    events.clear();
    statuses.Write({"chat", {"v2", state, 7}, end});
    REQUIRE(RunLongUntil([this] { return !events.empty(); }));
    return std::get<entry::RolloutStatusWritten>(events.front()).result;
  }

  /// Runs the loop until the condition holds, for longer than the store's client waits.
  bool RunLongUntil(const std::function<bool()>& condition) {
    return RunUntil(condition) || RunUntil(condition);
  }

  static constexpr const char* kTopic = "keyed.status";
  static constexpr const char* kKey = "rollout/chat";

  FakeStore store;
  loop::HttpClient http;
  StoreClient client;
  std::vector<entry::Event> events;
  std::vector<std::string> unreadable;
  RolloutStatusLog statuses;
};

TEST_CASE_METHOD(RolloutStatusFixture, "statusRead_noRecord_emptyWithEnd", "[platform]") {
  store.Write(kTopic, "rollout/chat-2", R"({"service":"chat-2","target":"v2","state":"running"})");
  const entry::RolloutStatusRead read = Read();
  CHECK(read.service == "chat");
  CHECK_FALSE(read.status);
  CHECK(read.end == entry::StorePosition(1, 1));
}

TEST_CASE_METHOD(RolloutStatusFixture, "statusWrite_read_newestReturned", "[platform]") {
  REQUIRE(Write(entry::RolloutState::kRunning, Read().end) == Result::kWritten);
  REQUIRE(Write(entry::RolloutState::kSucceeded, Read().end) == Result::kWritten);
  const entry::RolloutStatusRead read = Read();
  REQUIRE(read.status);
  CHECK(read.status->state == entry::RolloutState::kSucceeded);
  CHECK(read.status->target == "v2");
  CHECK(read.status->order == 7);
  CHECK(read.end == entry::StorePosition(1, 2));
}

// Guards against two final states for one order, of two hosts that decide differently.
TEST_CASE_METHOD(RolloutStatusFixture, "statusWrite_otherWriterFirst_conflict", "[platform]") {
  const entry::StorePosition end = Read().end;
  store.Write(kTopic, kKey, R"({"service":"chat","target":"v2","state":"rolled_back"})");
  CHECK(Write(entry::RolloutState::kSucceeded, end) == Result::kConflict);
  CHECK(Read().status.value().state == entry::RolloutState::kRolledBack);
}

// Guards against a lost response that counts as a failed write, or as a done one.
TEST_CASE_METHOD(RolloutStatusFixture, "statusWrite_responseLost_unknownUntilRead", "[platform]") {
  const bool is_done = GENERATE(true, false);
  const entry::StorePosition end = Read().end;
  (is_done ? store.lost_responses : store.lost_appends) = 1;
  CHECK(Write(entry::RolloutState::kSucceeded, end) == Result::kUnknown);
  CHECK(Read().status.has_value() == is_done);
  // Written once, whether or not the first write was done.
  CHECK((Write(entry::RolloutState::kSucceeded, end) == Result::kConflict) == is_done);
  CHECK(store.logs[kTopic].size() == 1);
}

TEST_CASE_METHOD(RolloutStatusFixture, "statusWrite_refused_told", "[platform]") {
  const entry::StorePosition end = Read().end;
  store.refused_appends = 1;
  CHECK(Write(entry::RolloutState::kSucceeded, end) == Result::kRefused);
}

// Guards against a write over a state of the new log, whose offsets were given out again.
TEST_CASE_METHOD(RolloutStatusFixture, "statusWrite_storeReturnedSinceRead_notDone", "[platform]") {
  const bool is_known = GENERATE(true, false);
  const entry::StorePosition end = Read().end;
  store.Restore({});
  if (is_known) {
    Read();
  }
  CHECK(Write(entry::RolloutState::kSucceeded, end) ==
        (is_known ? Result::kConflict : Result::kUnknown));
  CHECK(store.appends == (is_known ? 0 : 1));
}

// Guards against a status of another writer that ends the roll-outs of all hosts, or hides from the
// operators.
TEST_CASE_METHOD(RolloutStatusFixture, "statusRead_malformed_loggedAndEmpty", "[platform]") {
  store.Write(kTopic, kKey, "{}");
  CHECK_FALSE(Read().status);
  CHECK(unreadable == std::vector<std::string>{kKey});
}

// Guards against reads that pile up at a slow store.
TEST_CASE_METHOD(RolloutStatusFixture, "statusRead_duringRead_oneCall", "[platform]") {
  statuses.Read("chat");
  statuses.Read("chat");
  REQUIRE(RunUntil([this] { return !events.empty(); }));
  RunFor(std::chrono::milliseconds(100));
  CHECK(events.size() == 1);
}

// Guards against a service whose status is never read again after a failed read.
TEST_CASE_METHOD(RolloutStatusFixture, "statusRead_failed_nextSucceeds", "[platform]") {
  store.refused_reads = 1;
  statuses.Read("chat");
  REQUIRE(RunUntil([this] { return store.refused_reads == 0; }));
  RunFor(std::chrono::milliseconds(100));
  CHECK(events.empty());
  Read();
}

// Guards against a status that is overlooked because it isn't on the first page.
TEST_CASE_METHOD(RolloutStatusFixture, "statusRead_severalPages_found", "[platform]") {
  for (const char* key : {"a", "b", "c c", "d", kKey, "z"}) {
    store.Write(kTopic, key, R"({"service":"chat","target":"v2","state":"running"})");
  }
  store.page_records = 2;
  const entry::RolloutStatusRead read = Read();
  CHECK(read.status);
  CHECK(read.end == entry::StorePosition(1, 6));
}

}  // namespace
}  // namespace snipeturn::platform
