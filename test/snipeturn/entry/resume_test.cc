#include <catch2/catch.hpp>

#include "snipeturn/entry/entry_fixture.h"

namespace snipeturn::entry {
namespace {

/// Two engines and a stream on one of them that has made two events; its route may be resumed.
class ResumeFixture : public EntryFixture {
 public:
  ResumeFixture() {
    desired.version = 2;
    desired.routes.push_back(MakeRoute("/short/", RouteKind::kStream, "engines"));
    desired.routes.back().is_resumable = true;
    desired.routes.back().max_upstreams = 2;
    Do(DesiredStateRead{desired});
    List("engine-1", "engines");
    List("engine-2", "engines");
  }

  Send Start(std::uint64_t events) {
    Arrive("/short/a", 2000, 40);
    Send send = All<Send>().at(0);
    if (events > 0) {
      MakeEvents(send.attempt, events);
    }
    return send;
  }

  RequestArrived WithPosition(const std::string& path) {
    RequestArrived arrived;
    arrived.request = ++requests;
    arrived.head.id = "request-with-position";
    arrived.head.host = "svc.example";
    arrived.head.path = path;
    arrived.head.key = key;
    arrived.head.time_limit = time_limit;
    arrived.head.prompt_tokens = 2000;
    arrived.head.position = 3;
    return arrived;
  }
};

// Guards against a caller that comes back with a position and gets all events again.
TEST_CASE_METHOD(ResumeFixture, "caller_comesBackWithPosition_sentAfterIt", "[entry]") {
  SECTION("route that may be resumed") {
    Do(WithPosition("/short/a"));
    CHECK(All<Send>().at(0).position == 3);
  }
  SECTION("any other route begins anew") {
    Do(WithPosition("/long/a"));
    CHECK(All<Send>().at(0).position == 0);
  }
}

// Guards against a position that can't be read and is taken as the begin of the stream.
TEST_CASE_METHOD(ResumeFixture, "caller_positionUnreadable_refusedOnlyWhereItCounts", "[entry]") {
  RequestArrived arrived = WithPosition("/short/a");
  arrived.head.position.reset();
  arrived.head.has_bad_position = true;
  Do(arrived);
  REQUIRE(All<Refuse>().size() == 1);
  CHECK(All<Refuse>()[0].status == 400);
  CHECK(All<Send>().empty());
  arrived.request = ++requests;
  arrived.head.path = "/long/a";
  Do(arrived);
  CHECK(All<Send>().size() == 1);
}

// Guards against a stream that breaks off with its engine although it may go on elsewhere.
TEST_CASE_METHOD(ResumeFixture, "stream_engineLost_goesOnAtOtherEngine", "[entry]") {
  const Send first = Start(2);
  End(first.attempt, AttemptResult::kBroken, 200);
  REQUIRE(All<Send>().size() == 1);
  const Send second = All<Send>()[0];
  CHECK(second.upstream != first.upstream);
  CHECK(second.position == 2);
  CHECK_FALSE(second.resume);
  CHECK(OwnLoad(state).at(second.upstream).unread_tokens == 2000);
  MakeEvents(second.attempt, 3);
  CHECK(OwnLoad(state).at(second.upstream).unread_tokens == 0);
  End(second.attempt, AttemptResult::kStreamFinished, 200);
  CHECK(All<FinishStream>().size() == 1);
}

// Guards against more runs than the route allows.
TEST_CASE_METHOD(ResumeFixture, "stream_lostTwice_breaksOff", "[entry]") {
  const Send first = Start(2);
  List("engine-3", "engines");
  End(first.attempt, AttemptResult::kBroken, 200);
  End(All<Send>().at(0).attempt, AttemptResult::kBroken, 200);
  CHECK(All<Send>().empty());
  CHECK(All<BreakStream>().size() == 1);
}

// Guards against a second run of a stream that must not run twice.
TEST_CASE_METHOD(ResumeFixture, "stream_notResumable_breaksOff", "[entry]") {
  const Send send = Stream(2);
  End(send.attempt, AttemptResult::kBroken, 200);
  CHECK(All<Send>().empty());
  CHECK(All<BreakStream>().size() == 1);
}

// Guards against an answer of another kind behind the events that the caller has.
TEST_CASE_METHOD(ResumeFixture, "stream_secondEngineFails_brokenOffNotAnswered", "[entry]") {
  const Send first = Start(2);
  End(first.attempt, AttemptResult::kBroken, 200);
  End(All<Send>().at(0).attempt, AttemptResult::kAnswered, 500);
  CHECK(All<Relay>().empty());
  CHECK(All<Refuse>().empty());
  CHECK(All<BreakStream>().size() == 1);
}

// Guards against a lost answer that is not asked for again although the stream may be repeated.
TEST_CASE_METHOD(ResumeFixture, "stream_lostBeforeFirstEvent_repeated", "[entry]") {
  const Send first = Start(0);
  End(first.attempt, AttemptResult::kBroken, 0);
  REQUIRE(All<Send>().size() == 1);
  CHECK(All<Send>()[0].position == 0);
}

// Guards against a stream that breaks off while other engines are full for a moment.
TEST_CASE_METHOD(ResumeFixture, "stream_lostWithoutRoom_waitsForRoom", "[entry]") {
  const Send first = Start(2);
  const std::string other = first.upstream == "engine-1" ? "engine-2" : "engine-1";
  PeerLoadReceived load;
  load.host = "host-2";
  load.zone = "zone-a";
  load.load[other] = {24, 30000, 0};
  Do(load);
  End(first.attempt, AttemptResult::kBroken, 200);
  CHECK(All<Send>().empty());
  CHECK(All<BreakStream>().empty());
  load.load.clear();
  SECTION("room comes") {
    Do(load);
    REQUIRE(All<Send>().size() == 1);
    CHECK(All<Send>()[0].upstream == other);
    CHECK(All<Send>()[0].position == 2);
  }
  SECTION("no room comes") {
    for (int count = 0; count < 100 && All<BreakStream>().empty(); ++count) {
      load.load[other] = {24, 30000, 0};
      Do(load);
      Wait(100ms);
    }
    CHECK(All<BreakStream>().size() == 1);
    CHECK(All<Refuse>().empty());
  }
}

// Guards against a copy that holds memory after its stream has gone on elsewhere.
TEST_CASE_METHOD(ResumeFixture, "stream_moveFails_goesOnAnewAndFreesCopy", "[entry]") {
  const Send first = Start(2);
  List("engine-3", "engines");
  state.requests.begin()->second.expected_output_tokens = 2000;
  Leave(state.upstreams.at(first.upstream).entry);
  EndCopy(All<StartCopy>().at(0), CopyStatus::kCopied, 2);
  REQUIRE(All<StartCopy>().at(0).final);
  EndCopy(All<StartCopy>().at(0), CopyStatus::kCopied, 2);
  REQUIRE(All<Send>().at(0).resume);
  End(All<Send>().at(0).attempt, AttemptResult::kBroken, 0);
  REQUIRE(All<Send>().size() == 1);
  CHECK_FALSE(All<Send>()[0].resume);
  CHECK(All<Send>()[0].position == 2);
  CHECK(All<DropCopy>().size() == 1);
}

}  // namespace
}  // namespace snipeturn::entry
