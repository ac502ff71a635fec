#include <catch2/catch.hpp>

#include "snipeturn/entry/entry_fixture.h"

namespace snipeturn::entry {
namespace {

class ShutdownFixture : public EntryFixture {
 public:
  ShutdownFixture() {
    List("engine-1", "engines");
    List("plain-1", "plain");
  }

  void Hear(const std::string& host, const std::string& zone, bool is_stopping) {
    PeerLoadReceived load;
    load.host = host;
    load.zone = zone;
    load.is_stopping = is_stopping;
    Do(load);
  }
};

// Guards against a caller that spends its only return on a zone in which every host stops.
TEST_CASE_METHOD(ShutdownFixture, "stream_wholeZoneStopping_returnsAfterRestart", "[entry]") {
  Hear("host-2", "zone-a", true);
  Hear("host-3", "zone-b", false);
  Do(ShutdownRequested{});
  Wait(1000ms);
  Arrive("/long/a", 2000, 1000);
  REQUIRE(All<Refuse>().size() == 1);
  CHECK(All<Refuse>()[0].retry_after > 7000ms);
  CHECK(All<Refuse>()[0].retry_after < 9000ms);
}

// Guards against a stream that is forecast to be short, taken late and cut off by the end.
TEST_CASE_METHOD(ShutdownFixture, "stream_lateInGrace_takenOnlyIfItsBoundFits", "[entry]") {
  Do(ShutdownRequested{});
  Wait(3000ms);
  Confirm();
  Arrive("/long/a", 2000, 40);
  CHECK(All<Send>().empty());
}

// Guards against a long answer that is begun on a host which ends before it.
TEST_CASE_METHOD(ShutdownFixture, "stream_hostStopping_refusedAsNotRun", "[entry]") {
  Hear("host-2", "zone-a", false);
  Do(ShutdownRequested{});
  Arrive("/long/a", 2000, 1000);
  REQUIRE(All<Refuse>().size() == 1);
  CHECK(All<Refuse>()[0].status == 503);
  CHECK(All<Refuse>()[0].retry_after == 0ms);
  CHECK(All<Send>().empty());
}

TEST_CASE_METHOD(ShutdownFixture, "shortRequest_hostStopping_served", "[entry]") {
  Do(ShutdownRequested{});
  Wait(4000ms);
  Confirm();
  Arrive("/book/a");
  CHECK(All<Send>().size() == 1);
}

// Guards against a request that is taken in the last moment of the grace and cut off.
TEST_CASE_METHOD(ShutdownFixture, "shortRequest_graceNearlyOver_refused", "[entry]") {
  const RequestKey open = Arrive("/book/a");
  Do(ShutdownRequested{});
  Wait(7000ms);
  Confirm();
  Arrive("/book/b");
  CHECK(All<Refuse>().size() == 1);
  CHECK(state.requests.count(open) == 1);
}

// Guards against an exit that cuts off an open request within the grace.
TEST_CASE_METHOD(ShutdownFixture, "process_openRequest_exitsAfterItEnds", "[entry]") {
  Arrive("/book/a");
  const AttemptKey attempt = All<Send>().at(0).attempt;
  Do(ShutdownRequested{});
  Wait(5000ms);
  CHECK(All<Exit>().empty());
  End(attempt, AttemptResult::kAnswered, 200);
  CHECK(All<Relay>().size() == 1);
  Wait(200ms);
  CHECK(All<Exit>().size() == 1);
}

TEST_CASE_METHOD(ShutdownFixture, "readiness_hostStopping_notReady", "[entry]") {
  CHECK(IsReady(state, now));
  Do(ShutdownRequested{});
  CHECK_FALSE(IsReady(state, now));
}

}  // namespace
}  // namespace snipeturn::entry
