#include <catch2/catch.hpp>

#include <map>
#include <string>

#include "snipeturn/entry/entry_fixture.h"

namespace snipeturn::entry {
namespace {

class ShutdownFixture : public EntryFixture {
 public:
  ShutdownFixture() {
    AddUpstream("engine-1", "engines");
    AddUpstream("plain-1", "plain");
  }

  void ReceivePeerState(const std::string& host, const std::string& zone, bool is_stopping) {
    PeerLoadReceived load;
    load.host = host;
    load.zone = zone;
    load.is_stopping = is_stopping;
    Apply(load);
  }
};

// Guards against a caller that uses up its only retry in a zone in which every host is shutting
// down.
TEST_CASE_METHOD(ShutdownFixture, "stream_wholeZoneStopping_retryAfterRestart", "[entry]") {
  ReceivePeerState("host-2", "zone-a", true);
  ReceivePeerState("host-3", "zone-b", false);
  Apply(ShutdownRequested{});
  AdvanceTime(1000ms);
  ReceiveRequest("/long/a", 2000, 1000);
  REQUIRE(EffectsOf<Refuse>().size() == 1);
  CHECK(EffectsOf<Refuse>()[0].retry_after > 7000ms);
  CHECK(EffectsOf<Refuse>()[0].retry_after < 9000ms);
}

// Guards against a stream that is admitted late in shutdown by its short forecast and then cut off
// by the exit: its maximum length decides.
TEST_CASE_METHOD(ShutdownFixture, "stream_lateInGrace_admittedOnlyIfMaxLengthFits", "[entry]") {
  Apply(ShutdownRequested{});
  AdvanceTime(3000ms);
  ConfirmStore();
  ReceiveRequest("/long/a", 2000, 40);
  CHECK(EffectsOf<Send>().empty());
}

// Guards against a long stream that starts on a host which exits before the stream ends.
TEST_CASE_METHOD(ShutdownFixture, "stream_hostStopping_refusedAsNotRun", "[entry]") {
  ReceivePeerState("host-2", "zone-a", false);
  Apply(ShutdownRequested{});
  ReceiveRequest("/long/a", 2000, 1000);
  REQUIRE(EffectsOf<Refuse>().size() == 1);
  CHECK(EffectsOf<Refuse>()[0].status == 503);
  CHECK(EffectsOf<Refuse>()[0].retry_after == 0ms);
  CHECK(EffectsOf<Send>().empty());
}

TEST_CASE_METHOD(ShutdownFixture, "shortRequest_hostStopping_served", "[entry]") {
  ReceiveRequest("/book/open");  // Keeps the process from exiting.
  Apply(ShutdownRequested{});
  AdvanceTime(4000ms);
  ConfirmStore();
  ReceiveRequest("/book/a");
  CHECK(EffectsOf<Send>().size() == 1);
}

// Guards against a request that is admitted at the end of the grace period and cut off by the exit.
TEST_CASE_METHOD(ShutdownFixture, "shortRequest_graceNearlyOver_refused", "[entry]") {
  const RequestKey open = ReceiveRequest("/book/a");
  Apply(ShutdownRequested{});
  AdvanceTime(7000ms);
  ConfirmStore();
  ReceiveRequest("/book/b");
  CHECK(EffectsOf<Refuse>().size() == 1);
  CHECK(state.requests.count(open) == 1);
}

// Guards against requests that come late in the grace period of a planned stop, are passed on to
// slow upstreams and are given up at its end, among them requests that may not be repeated.
TEST_CASE_METHOD(ShutdownFixture, "requestsThroughGrace_slowUpstream_noneGivenUp", "[entry]") {
  const std::chrono::milliseconds response_time = GENERATE(50ms, 700ms, 1500ms, 2500ms);
  const std::string path = GENERATE("/book/a", "/look/a");
  CAPTURE(response_time, path);
  time_limit = GENERATE(900ms, 6000ms);
  std::map<AttemptKey, TimePoint> due;
  int served = 0;
  int refused = 0;
  const auto handle = [&] {
    for (const Send& send : EffectsOf<Send>()) {
      due[send.attempt] = now + response_time;
    }
    served += static_cast<int>(EffectsOf<Relay>().size());
    for (const Refuse& refuse : EffectsOf<Refuse>()) {
      CHECK(refuse.reason == (refuse.status == 504 ? "timeout" : "stopping"));
      CHECK(refuse.status != 502);
      ++refused;
    }
  };
  const auto run = [&](std::chrono::milliseconds time) {
    for (std::chrono::milliseconds passed{0}; passed < time; passed += 20ms) {
      AdvanceTime(20ms);
      handle();
      ConfirmStore();
      ReceiveRequest(path);
      handle();
      while (!due.empty() && due.begin()->second <= now) {
        const AttemptKey attempt = due.begin()->first;
        due.erase(due.begin());
        EndAttempt(attempt, AttemptResult::kAnswered, 200);
        handle();
      }
    }
  };
  state.upstreams.at("plain-1").entry.slots = 1000;
  run(5s);
  Apply(ShutdownRequested{});
  handle();
  refused = 0;
  run(state.options.bounds.grace);
  CHECK(refused > 0);
  CHECK((served > 0) == (response_time < *time_limit));
}

// Guards against an exit that cuts off an open request within the grace period.
TEST_CASE_METHOD(ShutdownFixture, "process_openRequest_exitsAfterItEnds", "[entry]") {
  ReceiveRequest("/book/a");
  const AttemptKey attempt = EffectsOf<Send>().at(0).attempt;
  Apply(ShutdownRequested{});
  AdvanceTime(5000ms);
  CHECK(EffectsOf<Exit>().empty());
  EndAttempt(attempt, AttemptResult::kAnswered, 200);
  CHECK(EffectsOf<Relay>().size() == 1);
  AdvanceTime(200ms);
  CHECK(EffectsOf<Exit>().size() == 1);
}

// Guards against a request that is passed on between the decision to exit and the end of the
// process, which cuts it off without a response.
TEST_CASE_METHOD(ShutdownFixture, "request_exitDecided_refusedAsNotRun", "[entry]") {
  Apply(ShutdownRequested{});
  AdvanceTime(2600ms);
  REQUIRE(EffectsOf<Exit>().size() == 1);
  CHECK(EffectsOf<Exit>()[0].deadline < now - 2600ms + state.options.bounds.grace);
  ConfirmStore();
  for (const char* path : {"/book/a", "/look/a", "/long/a"}) {
    ReceiveRequest(path, 100, 4);
    CHECK(EffectsOf<Send>().empty());
    REQUIRE(EffectsOf<Refuse>().size() == 1);
    CHECK(EffectsOf<Refuse>()[0].status == 503);
    CHECK(EffectsOf<Refuse>()[0].retry_after > 0ms);
  }
  CHECK(state.requests.empty());
}

// Guards against requests that are cut off at the end of the grace period without a response that
// says whether they have run, and against queued ones that are sent just before the exit.
TEST_CASE_METHOD(ShutdownFixture, "openRequests_graceOver_endTruthfully", "[entry]") {
  const Send stream = StartStream(3);
  ReceiveRequest("/book/a");
  const RequestKey sent = requests;
  // Fills the plain upstream, so that the last request waits in the queue.
  RequestKey queued = 0;
  while (queued == 0) {
    const RequestKey request = ReceiveRequest("/book/a");
    queued = EffectsOf<Send>().empty() ? request : 0;
  }
  Apply(ShutdownRequested{});
  state.requests.at(queued).deadline = now + 20s;
  Cancel(state.timers, {TimerKind::kEntryHold, queued});
  AdvanceTime(state.options.bounds.grace - 400ms);
  REQUIRE(EffectsOf<Exit>().size() == 1);
  CHECK(EffectsOf<Send>().empty());
  REQUIRE(EffectsOf<BreakStream>().size() == 1);
  CHECK(EffectsOf<BreakStream>()[0].request == stream.request);
  for (const Refuse& refuse : EffectsOf<Refuse>()) {
    CHECK(refuse.status == (refuse.request == queued ? 503 : 502));
    CHECK(refuse.request >= sent);
  }
  CHECK(state.requests.empty());
}

TEST_CASE_METHOD(ShutdownFixture, "readiness_hostStopping_notReady", "[entry]") {
  CHECK(IsReady(state, now));
  Apply(ShutdownRequested{});
  CHECK_FALSE(IsReady(state, now));
}

}  // namespace
}  // namespace snipeturn::entry
