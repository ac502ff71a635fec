#include <catch2/catch.hpp>

#include "snipeturn/entry/entry_fixture.h"

namespace snipeturn::entry {
namespace {

/// Two engines, and a route whose streams are resumable and may use two upstreams.
class ResumeFixture : public EntryFixture {
 public:
  ResumeFixture() {
    desired.version = 2;
    desired.routes.push_back(MakeRoute("/short/", RouteKind::kStream, "engines"));
    desired.routes.back().is_resumable = true;
    desired.routes.back().max_upstreams = 2;
    Apply(DesiredStateRead{desired});
    AddUpstream("engine-1", "engines");
    AddUpstream("engine-2", "engines");
  }

  Send StartResumableStream(std::uint64_t events) {
    ReceiveRequest("/short/a", 2000, 40);
    Send send = EffectsOf<Send>().at(0);
    if (events > 0) {
      DeliverEvents(send.attempt, events);
    }
    return send;
  }

  /// Ends the attempt of a started stream as its engine's host goes down: the call to stop the run
  /// finds nobody.
  void LoseEngine(AttemptKey attempt, CopyStatus status = CopyStatus::kConnectionRefused) {
    EndAttempt(attempt, AttemptResult::kBroken, 200);
    CHECK(EffectsOf<Send>().empty());
    REQUIRE(EffectsOf<StartCopy>().size() == 1);
    CHECK(EffectsOf<StartCopy>()[0].final);
    EndCopy(EffectsOf<StartCopy>()[0], status);
  }

  RequestArrived RequestWithPosition(const std::string& path) {
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

// Guards against a caller that reconnects with a position and gets all events again.
TEST_CASE_METHOD(ResumeFixture, "caller_reconnectsWithPosition_resumedAfterIt", "[entry]") {
  SECTION("resumable route") {
    Apply(RequestWithPosition("/short/a"));
    CHECK(EffectsOf<Send>().at(0).position == 3);
  }
  SECTION("any other route starts from the beginning") {
    Apply(RequestWithPosition("/long/a"));
    CHECK(EffectsOf<Send>().at(0).position == 0);
  }
}

// Guards against an unreadable position that is taken for the start of the stream.
TEST_CASE_METHOD(ResumeFixture, "caller_positionUnreadable_refusedOnResumableRoute", "[entry]") {
  RequestArrived arrived = RequestWithPosition("/short/a");
  arrived.head.position.reset();
  arrived.head.has_bad_position = true;
  Apply(arrived);
  REQUIRE(EffectsOf<Refuse>().size() == 1);
  CHECK(EffectsOf<Refuse>()[0].status == 400);
  CHECK(EffectsOf<Send>().empty());
  arrived.request = ++requests;
  arrived.head.path = "/long/a";
  Apply(arrived);
  CHECK(EffectsOf<Send>().size() == 1);
}

// Guards against a stream that breaks with its engine although it may continue at another one.
TEST_CASE_METHOD(ResumeFixture, "stream_engineLost_continuesAtOtherEngine", "[entry]") {
  const Send first = StartResumableStream(2);
  LoseEngine(first.attempt, GENERATE(CopyStatus::kConnectionRefused, CopyStatus::kUnknownRun));
  REQUIRE(EffectsOf<Send>().size() == 1);
  const Send second = EffectsOf<Send>()[0];
  CHECK(second.upstream != first.upstream);
  CHECK(second.position == 2);
  CHECK_FALSE(second.resume);
  CHECK(LocalLoad(state).at(second.upstream).pending_prompt_tokens == 2000);
  DeliverEvents(second.attempt, 3);
  CHECK(LocalLoad(state).at(second.upstream).pending_prompt_tokens == 0);
  EndAttempt(second.attempt, AttemptResult::kStreamFinished, 200);
  CHECK(EffectsOf<FinishStream>().size() == 1);
}

// Guards against more runs of a stream than the route allows.
TEST_CASE_METHOD(ResumeFixture, "stream_engineLostTwice_broken", "[entry]") {
  const Send first = StartResumableStream(2);
  AddUpstream("engine-3", "engines");
  LoseEngine(first.attempt);
  EndAttempt(EffectsOf<Send>().at(0).attempt, AttemptResult::kBroken, 200);
  CHECK(EffectsOf<Send>().empty());
  CHECK(EffectsOf<BreakStream>().size() == 1);
}

// Guards against a second run of a stream whose route isn't resumable.
TEST_CASE_METHOD(ResumeFixture, "stream_notResumable_broken", "[entry]") {
  const Send send = StartStream(2);
  LoseEngine(send.attempt, GENERATE(CopyStatus::kConnectionRefused, CopyStatus::kUnknownRun));
  CHECK(EffectsOf<Send>().empty());
  CHECK(EffectsOf<BreakStream>().size() == 1);
}

// Guards against an error response that is relayed after events of the stream.
TEST_CASE_METHOD(ResumeFixture, "stream_secondEngineFails_brokenWithoutErrorResponse", "[entry]") {
  const Send first = StartResumableStream(2);
  LoseEngine(first.attempt);
  EndAttempt(EffectsOf<Send>().at(0).attempt, AttemptResult::kAnswered, 500);
  CHECK(EffectsOf<Relay>().empty());
  CHECK(EffectsOf<Refuse>().empty());
  CHECK(EffectsOf<BreakStream>().size() == 1);
}

// Guards against a resumable stream that isn't retried if its engine is lost before the first
// event.
TEST_CASE_METHOD(ResumeFixture, "stream_lostBeforeFirstEvent_retried", "[entry]") {
  const Send first = StartResumableStream(0);
  EndAttempt(first.attempt, AttemptResult::kBroken, 0);
  REQUIRE(EffectsOf<Send>().size() == 1);
  CHECK(EffectsOf<Send>()[0].position == 0);
}

// Guards against a stream that breaks because the other engines are full for a moment.
TEST_CASE_METHOD(ResumeFixture, "stream_lostWithoutRoom_waitsForRoom", "[entry]") {
  const Send first = StartResumableStream(2);
  const std::string other = first.upstream == "engine-1" ? "engine-2" : "engine-1";
  PeerLoadReceived load;
  load.host = "host-2";
  load.zone = "zone-a";
  load.load[other] = {24, 30000, 0};
  Apply(load);
  LoseEngine(first.attempt);
  CHECK(EffectsOf<Send>().empty());
  CHECK(EffectsOf<BreakStream>().empty());
  load.load.clear();
  SECTION("room becomes available") {
    Apply(load);
    REQUIRE(EffectsOf<Send>().size() == 1);
    CHECK(EffectsOf<Send>()[0].upstream == other);
    CHECK(EffectsOf<Send>()[0].position == 2);
  }
  SECTION("no room becomes available") {
    for (int count = 0; count < 100 && EffectsOf<BreakStream>().empty(); ++count) {
      load.load[other] = {24, 30000, 0};
      Apply(load);
      AdvanceTime(100ms);
    }
    CHECK(EffectsOf<BreakStream>().size() == 1);
    CHECK(EffectsOf<Refuse>().empty());
  }
}

// Guards against a further run of a stream that has had all its runs, after a resume that no engine
// has begun.
TEST_CASE_METHOD(ResumeFixture, "stream_allRunsUsedAndResumeUnsent_broken", "[entry]") {
  const Send first = StartResumableStream(0);
  EndAttempt(first.attempt, AttemptResult::kBroken, 0);
  const Send second = EffectsOf<Send>().at(0);
  DeliverEvents(second.attempt, 2);
  AddUpstream("engine-3", "engines");
  AddUpstream("engine-4", "engines");
  state.requests.begin()->second.expected_output_tokens = 2000;
  MarkLeaving(state.upstreams.at(second.upstream).entry);
  EndCopy(EffectsOf<StartCopy>().at(0), CopyStatus::kCopied, 2);
  EndCopy(EffectsOf<StartCopy>().at(0), CopyStatus::kCopied, 2);
  REQUIRE(EffectsOf<Send>().at(0).resume);
  while (EffectsOf<BreakStream>().empty()) {
    REQUIRE(EffectsOf<Send>().size() == 1);
    REQUIRE(EffectsOf<Send>()[0].resume);
    EndAttempt(EffectsOf<Send>()[0].attempt, AttemptResult::kUnsent, 0);
  }
  CHECK(EffectsOf<Send>().empty());
}

// Guards against a copy that keeps engine memory after its stream continued with a new generation.
TEST_CASE_METHOD(ResumeFixture, "stream_migrationFails_rerunAndCopyFreed", "[entry]") {
  const Send first = StartResumableStream(2);
  AddUpstream("engine-3", "engines");
  state.requests.begin()->second.expected_output_tokens = 2000;
  MarkLeaving(state.upstreams.at(first.upstream).entry);
  EndCopy(EffectsOf<StartCopy>().at(0), CopyStatus::kCopied, 2);
  REQUIRE(EffectsOf<StartCopy>().at(0).final);
  EndCopy(EffectsOf<StartCopy>().at(0), CopyStatus::kCopied, 2);
  REQUIRE(EffectsOf<Send>().at(0).resume);
  EndAttempt(EffectsOf<Send>().at(0).attempt, AttemptResult::kBroken, 0);
  CHECK(EffectsOf<Send>().empty());
  CHECK(EffectsOf<DropCopy>().size() == 1);
  REQUIRE(EffectsOf<StartCopy>().size() == 1);
  EndCopy(EffectsOf<StartCopy>()[0], CopyStatus::kConnectionRefused);
  REQUIRE(EffectsOf<Send>().size() == 1);
  CHECK_FALSE(EffectsOf<Send>()[0].resume);
  CHECK(EffectsOf<Send>()[0].position == 2);
}

// Guards against a stream that is broken, or begun anew while its engine works on it, because its
// connection ended: some engines work on then, and can still stop the run and move it.
TEST_CASE_METHOD(ResumeFixture, "stream_engineWorksOnAfterConnectionEnds_moved", "[entry]") {
  const bool is_resumable = GENERATE(true, false);
  const Send first = is_resumable ? StartResumableStream(2) : StartStream(2);
  const std::string other = first.upstream == "engine-1" ? "engine-2" : "engine-1";
  EndAttempt(first.attempt, AttemptResult::kBroken, 200);
  for (const CopyStatus status :
       {CopyStatus::kNoAnswer, CopyStatus::kUnsent, CopyStatus::kBusy, CopyStatus::kUnreachable}) {
    CHECK(EffectsOf<Send>().empty());
    CHECK(EffectsOf<BreakStream>().empty());
    REQUIRE(EffectsOf<StartCopy>().size() == 1);
    CHECK(EffectsOf<StartCopy>()[0].needs_new_connection);
    CHECK(EffectsOf<StartCopy>()[0].final);
    EndCopy(EffectsOf<StartCopy>()[0], status);
    CHECK(EffectsOf<Send>().empty());
    AdvanceTime(70ms);
  }
  TurnCopyAway(EffectsOf<StartCopy>().at(0));
  AdvanceTime(70ms);
  const StartCopy stop = EffectsOf<StartCopy>().at(0);
  SECTION("the other engine has room") {
    EndCopy(stop, CopyStatus::kCopied, 7);
    REQUIRE(EffectsOf<Send>().size() == 1);
    CHECK(EffectsOf<Send>()[0].upstream == other);
  }
  SECTION("the other engine has no room") {
    EndCopy(stop, CopyStatus::kNoRoom);
    REQUIRE(EffectsOf<Send>().size() == 1);
    CHECK(EffectsOf<Send>()[0].upstream == first.upstream);
  }
  REQUIRE(EffectsOf<Send>()[0].resume);
  CHECK(EffectsOf<Send>()[0].resume->events == 2);
  DeliverEvents(EffectsOf<Send>()[0].attempt, 3);
  CHECK(EffectsOf<RelayEvents>().size() == 1);
}

// Guards against a process that ends, or a stream that is never ended, because a new configuration
// has dropped the service whose engine is lost.
TEST_CASE_METHOD(ResumeFixture, "stream_lostAfterServiceWasDropped_broken", "[entry]") {
  const Send first = StartResumableStream(2);
  desired.version = 3;
  desired.services.erase("engines");
  desired.routes.erase(desired.routes.begin());
  desired.routes.pop_back();
  Apply(DesiredStateRead{desired});
  EndAttempt(first.attempt, AttemptResult::kBroken, 200);
  CHECK(EffectsOf<Send>().empty());
  CHECK(EffectsOf<BreakStream>().size() == 1);
}

// Guards against a wait for an engine that has no call to stop a run.
TEST_CASE_METHOD(ResumeFixture, "stream_engineWithoutMigrationLost_continuesAnew", "[entry]") {
  desired.version = 3;
  desired.services["engines"].engine->supports_migration = false;
  Apply(DesiredStateRead{desired});
  const Send first = StartResumableStream(2);
  EndAttempt(first.attempt, AttemptResult::kBroken, 200);
  CHECK(EffectsOf<StartCopy>().empty());
  REQUIRE(EffectsOf<Send>().size() == 1);
  CHECK(EffectsOf<Send>()[0].position == 2);
}

}  // namespace
}  // namespace snipeturn::entry
