#include <catch2/catch.hpp>

#include "snipeturn/entry/entry_fixture.h"
#include "snipeturn/entry/placement.h"

namespace snipeturn::entry {
namespace {

class MigrationFixture : public EntryFixture {
 public:
  MigrationFixture() {
    source = AddUpstream("engine-1", "engines");
    send = StartStream(5);
    target = AddUpstream("engine-2", "engines");
  }

  /// Marks the source as leaving; returns the first copy call.
  StartCopy ReceiveTerminationNotice() {
    MarkLeaving(source);
    return EffectsOf<StartCopy>().at(0);
  }

  /// Ends a stream without a length by the orderly end of its connection.
  void EndWithConnection(AttemptKey attempt) {
    AttemptEnded ended;
    ended.attempt = attempt;
    ended.result = AttemptResult::kStreamFinished;
    ended.status = 200;
    ended.ends_with_connection = true;
    Apply(ended);
  }

  UpstreamEntry source;
  UpstreamEntry target;
  Send send;
};

// Guards against a request to a leaving engine after its drain period: the migration target refused
// the resume, and the request was sent back to the source (entry fuzz test, seed 2: rule DRAIN).
TEST_CASE_METHOD(MigrationFixture,
                 "resume_targetRefusesAfterDrain_notSentBackToSource",
                 "[entry]") {
  const StartCopy first = ReceiveTerminationNotice();
  now += 1450ms;
  EndCopy(first, CopyStatus::kCopied, 5);
  const StartCopy second = EffectsOf<StartCopy>().at(0);
  now += 50ms;
  EndCopy(second, CopyStatus::kCopied, 5);
  const StartCopy last = EffectsOf<StartCopy>().at(0);
  REQUIRE(last.final);
  SECTION("in time") {
    EndCopy(last, CopyStatus::kCopied, 5);
    EndAttempt(EffectsOf<Send>().at(0).attempt, AttemptResult::kNotExecuted, 503);
    CHECK(EffectsOf<Send>().at(0).upstream == "engine-1");
  }
  SECTION("late") {
    now += 400ms;
    EndCopy(last, CopyStatus::kCopied, 5);
    EndAttempt(EffectsOf<Send>().at(0).attempt, AttemptResult::kNotExecuted, 503);
    CHECK(EffectsOf<Send>().at(0).upstream == "engine-2");
  }
  SECTION("late, without room at the target") {
    now += 400ms;
    EndCopy(last, CopyStatus::kNoRoom, 5);
    REQUIRE(EffectsOf<Send>().size() == 1);
    CHECK(EffectsOf<Send>().at(0).upstream == "engine-2");
  }
}

// Guards against a generation that goes on at an engine which began to leave while the memory was
// copied there, although others have room (review/5: rule DRAIN, and it is lost as that one exits).
TEST_CASE_METHOD(MigrationFixture, "copy_targetLeaves_movedToAnotherEngine", "[entry]") {
  const StartCopy first = ReceiveTerminationNotice();
  REQUIRE(first.target == target.endpoint);
  const UpstreamEntry third = AddUpstream("engine-3", "engines", "zone-b");
  const bool is_evacuated = GENERATE(false, true);
  now += 50ms;
  if (is_evacuated) {
    const UpstreamEntry fourth = AddUpstream("engine-4", "engines", "zone-c");
    Apply(EvacuationRead{"zone-a", true});
  } else {
    MarkLeaving(target);
  }
  // The engine is still busy with the copy that was given up.
  EndCopy(first, CopyStatus::kCopied, 5);
  CHECK(EffectsOf<DropCopy>().size() == 1);
  AdvanceTime(30ms);
  REQUIRE(EffectsOf<StartCopy>().size() <= 1);
  const Migration& migration = *state.requests.at(send.request).migration;
  CHECK(migration.target != "engine-2");
  CHECK(migration.target != "engine-1");
}

// Guards against a resume at an engine after its drain period when no other engine has room.
TEST_CASE_METHOD(MigrationFixture, "resume_targetDrained_notSent", "[entry]") {
  StartCopy copy = ReceiveTerminationNotice();
  now += 50ms;
  MarkLeaving(target);
  for (std::uint64_t round = 1; round <= 8; ++round) {
    now += 260ms;
    EndCopy(copy, CopyStatus::kCopied, 5 + round);
    REQUIRE(EffectsOf<StartCopy>().size() == 1);
    copy = EffectsOf<StartCopy>()[0];
  }
  EndAttempt(send.attempt, AttemptResult::kBroken);
  EndCopy(copy, CopyStatus::kConnectionRefused);
  CHECK(EffectsOf<Send>().empty());
  CHECK(EffectsOf<BreakStream>().size() == 1);
}

// Guards against a request to an engine in an evacuated zone: a generation that was running there
// goes back to its source when its target refuses it (entry fuzz test, seed 5: rule EVAC).
TEST_CASE_METHOD(MigrationFixture, "resume_sourceZoneEvacuated_notSentBack", "[entry]") {
  target = AddUpstream("engine-3", "engines", "zone-b");
  Apply(EvacuationRead{"zone-a", true});
  const StartCopy first = ReceiveTerminationNotice();
  REQUIRE(first.target == target.endpoint);
  EndCopy(first, CopyStatus::kCopied, 5);
  const StartCopy last = EffectsOf<StartCopy>().at(0);
  REQUIRE(last.final);
  SECTION("the target refuses the request") {
    EndCopy(last, CopyStatus::kCopied, 5);
    EndAttempt(EffectsOf<Send>().at(0).attempt, AttemptResult::kNotExecuted, 503);
    REQUIRE(EffectsOf<Send>().size() == 1);
    CHECK(EffectsOf<Send>().at(0).upstream == "engine-3");
  }
  SECTION("the target has no room") {
    EndCopy(last, CopyStatus::kNoRoom, 5);
    REQUIRE(EffectsOf<Send>().size() == 1);
    CHECK(EffectsOf<Send>().at(0).upstream == "engine-3");
  }
}

// Guards against a late copy of an engine's refusal that is taken for its response to the same
// request, sent there again on the same connection: the generation would go on twice.
TEST_CASE_METHOD(MigrationFixture, "resume_sentToSameUpstreamAgain_onNewConnection", "[entry]") {
  EndCopy(ReceiveTerminationNotice(), CopyStatus::kCopied, 5);
  EndCopy(EffectsOf<StartCopy>().at(0), CopyStatus::kCopied, 5);
  const Send first = EffectsOf<Send>().at(0);
  REQUIRE(first.upstream == "engine-2");
  CHECK_FALSE(send.is_repeat);
  CHECK_FALSE(first.is_repeat);
  EndAttempt(first.attempt, AttemptResult::kNotExecuted, 503);
  const Send second = EffectsOf<Send>().at(0);
  CHECK(second.upstream == "engine-1");
  CHECK(second.is_repeat);
}

// Guards against a dead engine that looks idle because its streams broke, while the upstream list
// can't be read (incident 030b: it was chosen as migration target three seconds later).
TEST_CASE_METHOD(MigrationFixture, "engine_streamBreaks_suspectedDownUntilItResponds", "[entry]") {
  const Upstream& engine = state.upstreams.at("engine-1");
  CHECK_FALSE(IsSuspectedDown(state, engine, now));
  EndAttempt(send.attempt, AttemptResult::kBroken, 200);
  CHECK(IsSuspectedDown(state, engine, now + 10s));
  now += 1s;
  Apply(ListConfirmed{now});
  state.list_confirmed = now + 5s;  // The list is read continuously.
  CHECK_FALSE(IsSuspectedDown(state, engine, now + 5s));
  StartStream(3);
  state.upstreams.at("engine-1").last_response_at = now;
  CHECK_FALSE(IsSuspectedDown(state, engine, now));
}

// Guards against copies to one dead engine after another until the source is gone too: during a
// store outage dead engines stay listed and look idle (incident 030b).
TEST_CASE_METHOD(MigrationFixture, "migration_targetUnreachable_othersAvoidTarget", "[entry]") {
  now += 5s;  // The last read of the list is stale now.
  ConfirmStore();
  const Send other = StartStream(5, 3000, 2000);
  REQUIRE(other.upstream == "engine-2");
  AddUpstream("engine-3", "engines", "zone-b");
  DeliverEvents(send.attempt, 6);
  // Only engine 2 is known to be alive.
  EndAttempt(other.attempt, AttemptResult::kStreamFinished, 200);
  now += 2s;
  StartCopy copy = ReceiveTerminationNotice();
  const bool is_engine_2_target = copy.target == target.endpoint;
  EndCopy(copy, CopyStatus::kNoRoom);
  const UpstreamId unreachable_id = is_engine_2_target ? "engine-2" : "engine-3";
  const UpstreamId reachable_id = is_engine_2_target ? "engine-3" : "engine-2";
  CHECK(IsSuspectedDown(state, state.upstreams.at(unreachable_id), now));
  CHECK_FALSE(IsSuspectedDown(state, state.upstreams.at(reachable_id), now));
  // New streams avoid the engine at once, although it looks idle.
  for (int request = 0; request < 5; ++request) {
    CHECK(StartStream(1, 3000, 500).upstream == reachable_id);
  }
  // An event from the engine shows that it is alive.
  state.upstreams.at(unreachable_id).last_response_at = now + 1ms;
  CHECK_FALSE(IsSuspectedDown(state, state.upstreams.at(unreachable_id), now + 1ms));
}

// Guards against a generation that is lost with its reclaimed engine.
TEST_CASE_METHOD(MigrationFixture, "stream_sourceLeaves_copiedThenStoppedThenResumed", "[entry]") {
  const StartCopy first = ReceiveTerminationNotice();
  CHECK_FALSE(first.final);
  CHECK(first.target == target.endpoint);
  now += 30ms;
  EndCopy(first, CopyStatus::kCopied, 6);
  const StartCopy last = EffectsOf<StartCopy>().at(0);
  REQUIRE(last.final);
  now += 10ms;
  DeliverEvents(send.attempt, 8);
  EndCopy(last, CopyStatus::kCopied, 8);
  const Send resumed = EffectsOf<Send>().at(0);
  CHECK(resumed.upstream == "engine-2");
  REQUIRE(resumed.resume);
  CHECK(resumed.resume->handle == "handle-1");
  CHECK(resumed.resume->events == 8);
  CHECK(EffectsOf<CancelAttempt>().size() == 1);
  DeliverEvents(resumed.attempt, 9);
  CHECK(EffectsOf<RelayEvents>().size() == 1);
  EndAttempt(resumed.attempt, AttemptResult::kStreamFinished, 200);
  CHECK(EffectsOf<FinishStream>().size() == 1);
}

// Guards against events of the second engine that end a second migration during its copy: the copy
// was dropped and restarted until the engine was gone.
TEST_CASE_METHOD(MigrationFixture,
                 "migratedStream_migratesAgain_copyKeptWhileEventsArrive",
                 "[entry]") {
  const StartCopy first = ReceiveTerminationNotice();
  EndCopy(first, CopyStatus::kCopied, 5);
  EndCopy(EffectsOf<StartCopy>().at(0), CopyStatus::kCopied, 5);
  const Send resumed = EffectsOf<Send>().at(0);
  DeliverEvents(resumed.attempt, 6);
  AddUpstream("engine-3", "engines");
  MarkLeaving(target);
  REQUIRE(EffectsOf<StartCopy>().size() == 1);
  DeliverEvents(resumed.attempt, 7);
  CHECK(EffectsOf<StartCopy>().empty());
  CHECK(state.requests.begin()->second.migration);
  AdvanceTime(100ms);
  CHECK(EffectsOf<StartCopy>().empty());
}

// Guards against a stream that looks complete because its engine stopped it for a migration:
// without a length the connection is closed in order.
TEST_CASE_METHOD(MigrationFixture, "stream_withoutLengthStoppedForMigration_resumed", "[entry]") {
  EndCopy(ReceiveTerminationNotice(), CopyStatus::kCopied, 5);
  const StartCopy last = EffectsOf<StartCopy>().at(0);
  REQUIRE(last.final);
  EndWithConnection(send.attempt);
  CHECK(EffectsOf<FinishStream>().empty());
  EndCopy(last, CopyStatus::kCopied, 5);
  REQUIRE(EffectsOf<Send>().size() == 1);
  CHECK(EffectsOf<Send>().at(0).upstream == "engine-2");
}

// Guards against a stopped stream without a length that ends as complete before its last event: the
// final copy was refused after the source's drain period, and the stream's connection closed after
// that (review/3).
TEST_CASE_METHOD(MigrationFixture,
                 "stream_stopCallRefusedBeforeConnectionEnds_neverComplete",
                 "[entry]") {
  const StartCopy first = ReceiveTerminationNotice();
  now += 50ms;
  EndCopy(first, CopyStatus::kCopied, 5);
  const StartCopy last = EffectsOf<StartCopy>().at(0);
  REQUIRE(last.final);
  now += 1900ms;
  EndCopy(last, CopyStatus::kNoRoom);
  const std::vector<Send> resumed = EffectsOf<Send>();
  EndWithConnection(send.attempt);
  CHECK(EffectsOf<FinishStream>().empty());
  // The target has the memory of the first round.
  REQUIRE(resumed.size() == 1);
  CHECK(resumed[0].upstream == "engine-2");
}

// Guards against a stopped stream that ends as complete because its migration was dropped before
// its connection closed.
TEST_CASE_METHOD(MigrationFixture, "stream_stoppedWithoutHandle_neverComplete", "[entry]") {
  EndCopy(ReceiveTerminationNotice(), CopyStatus::kCopied, 5);
  const StartCopy last = EffectsOf<StartCopy>().at(0);
  REQUIRE(last.final);
  state.requests.at(send.request).migration->handle.clear();
  TurnCopyAway(last);
  EndWithConnection(send.attempt);
  CHECK(EffectsOf<FinishStream>().empty());
  EndCopy(EffectsOf<StartCopy>().at(0), CopyStatus::kUnknownRun);
  CHECK(EffectsOf<FinishStream>().empty());
  CHECK(EffectsOf<BreakStream>().size() == 1);
}

// Guards against a whole stream that is taken for a stopped one: its source refused the call that
// should have stopped it.
TEST_CASE_METHOD(MigrationFixture,
                 "stream_stopCallHadNoEffect_completeAtConnectionEnd",
                 "[entry]") {
  const CopyStatus status = GENERATE(CopyStatus::kBusy, CopyStatus::kUnknownRun);
  EndCopy(ReceiveTerminationNotice(), CopyStatus::kCopied, 5);
  EndCopy(EffectsOf<StartCopy>().at(0), status);
  EndWithConnection(send.attempt);
  CHECK(EffectsOf<FinishStream>().size() == 1);
}

// Guards against a stream that breaks although the target has a copy: its connection closed before
// the source replied that the generation is gone.
TEST_CASE_METHOD(MigrationFixture, "stream_endsBeforeStopCallFindsNoRun_resumed", "[entry]") {
  EndCopy(ReceiveTerminationNotice(), CopyStatus::kCopied, 5);
  const StartCopy last = EffectsOf<StartCopy>().at(0);
  EndWithConnection(send.attempt);
  EndCopy(last, CopyStatus::kUnknownRun);
  CHECK(EffectsOf<BreakStream>().empty());
  REQUIRE(EffectsOf<Send>().size() == 1);
  CHECK(EffectsOf<Send>().at(0).upstream == "engine-2");
}

// Guards against a generation that goes on elsewhere while its engine, which never got the call to
// stop it, still works on it: the call was reset unread on a kept connection (review/2).
TEST_CASE_METHOD(MigrationFixture, "stopCall_unanswered_repeatedBeforeResume", "[entry]") {
  const CopyStatus status = GENERATE(CopyStatus::kNoAnswer, CopyStatus::kUnsent,
                                     CopyStatus::kConnectionRefused, CopyStatus::kUnreachable);
  EndCopy(ReceiveTerminationNotice(), CopyStatus::kCopied, 5);
  const StartCopy last = EffectsOf<StartCopy>().at(0);
  REQUIRE(last.final);
  CHECK_FALSE(last.needs_new_connection);
  EndCopy(last, status);
  CHECK(EffectsOf<Send>().empty());
  AdvanceTime(70ms);
  CHECK(EffectsOf<Send>().empty());
  REQUIRE(EffectsOf<StartCopy>().size() == 1);
  const StartCopy repeated = EffectsOf<StartCopy>()[0];
  CHECK(repeated.final);
  CHECK(repeated.needs_new_connection);
  CHECK(repeated.target == target.endpoint);
  EndCopy(repeated, CopyStatus::kCopied, 5);
  REQUIRE(EffectsOf<Send>().size() == 1);
  CHECK(EffectsOf<Send>()[0].upstream == "engine-2");
}

// Guards against a generation that is taken for stopped although its events still arrive.
TEST_CASE_METHOD(MigrationFixture,
                 "stopCall_neverAnsweredWhileEventsArrive_notResumed",
                 "[entry]") {
  EndCopy(ReceiveTerminationNotice(), CopyStatus::kCopied, 5);
  StartCopy call = EffectsOf<StartCopy>().at(0);
  for (std::uint64_t round = 1; round <= 8; ++round) {
    now += 30ms;
    DeliverEvents(send.attempt, 5 + round);
    EndCopy(call, CopyStatus::kNoAnswer);
    CHECK(EffectsOf<Send>().empty());
    AdvanceTime(round < 4 ? 70ms : 340ms);
    CHECK(EffectsOf<Send>().empty());
    REQUIRE(EffectsOf<StartCopy>().size() == 1);
    call = EffectsOf<StartCopy>()[0];
  }
  EndAttempt(send.attempt, AttemptResult::kBroken);
  EndCopy(call, CopyStatus::kConnectionRefused);
  REQUIRE(EffectsOf<Send>().size() == 1);
  CHECK(EffectsOf<Send>()[0].upstream == "engine-2");
}

// Guards against a generation that goes on elsewhere while its engine works on it: the engine
// turned the call to stop it away without a handle, as it does with any call that it doesn't run
// (review/7).
TEST_CASE_METHOD(MigrationFixture,
                 "stopCall_refusedWithoutHandle_repeatedBeforeResume",
                 "[entry]") {
  EndCopy(ReceiveTerminationNotice(), CopyStatus::kCopied, 5);
  StartCopy call = EffectsOf<StartCopy>().at(0);
  for (std::uint64_t round = 1; round <= 8; ++round) {
    TurnCopyAway(call);
    CHECK(EffectsOf<Send>().empty());
    DeliverEvents(send.attempt, 5 + round);
    AdvanceTime(round < 4 ? 40ms : 340ms);
    CHECK(EffectsOf<Send>().empty());
    REQUIRE(EffectsOf<StartCopy>().size() == 1);
    call = EffectsOf<StartCopy>()[0];
    CHECK(call.final);
  }
  EndCopy(call, CopyStatus::kCopied, 13);
  REQUIRE(EffectsOf<Send>().size() == 1);
  CHECK(EffectsOf<Send>()[0].upstream == "engine-2");
}

// Guards against a stream that waits without bound for an engine that can't be reached any more.
TEST_CASE_METHOD(MigrationFixture, "stopCall_engineUnreachable_resumed", "[entry]") {
  EndCopy(ReceiveTerminationNotice(), CopyStatus::kCopied, 5);
  StartCopy call = EffectsOf<StartCopy>().at(0);
  SECTION("its host refuses connections and the stream has ended") {
    EndAttempt(send.attempt, AttemptResult::kBroken);
    EndCopy(call, CopyStatus::kConnectionRefused);
  }
  SECTION("no attempt to connect gets a response") {
    for (int round = 1; round <= 2; ++round) {
      now += 300ms;
      EndCopy(call, CopyStatus::kUnreachable);
      CHECK(EffectsOf<Send>().empty());
      AdvanceTime(70ms);
      call = EffectsOf<StartCopy>().at(0);
    }
    EndCopy(call, CopyStatus::kUnreachable);
  }
  REQUIRE(EffectsOf<Send>().size() == 1);
  CHECK(EffectsOf<Send>()[0].upstream == "engine-2");
}

// Guards against a generation that is taken for stopped because calls to stop it were reset one
// after another, faster than its events come (review/8), or because its stream ended or was silent
// meanwhile: some engines work on.
TEST_CASE_METHOD(MigrationFixture, "stopCall_neverAnswered_notResumed", "[entry]") {
  const CopyStatus status = GENERATE(CopyStatus::kNoAnswer, CopyStatus::kUnsent, CopyStatus::kBusy);
  const auto fails_after = GENERATE(1ms, 700ms);
  const bool is_cut = GENERATE(false, true);
  const bool is_silent = GENERATE(false, true);
  EndCopy(ReceiveTerminationNotice(), CopyStatus::kCopied, 5);
  StartCopy call = EffectsOf<StartCopy>().at(0);
  if (is_cut) {
    EndAttempt(send.attempt, AttemptResult::kBroken);
    CHECK(EffectsOf<Send>().empty());
  }
  for (std::uint64_t round = 1; round <= 12; ++round) {
    now += fails_after;
    EndCopy(call, status);
    CHECK(EffectsOf<Send>().empty());
    if (!is_cut && !is_silent && round % 4 == 0) {
      DeliverEvents(send.attempt, 5 + round);
    }
    AdvanceTime(round < 4 ? 70ms : 1000ms);
    CHECK(EffectsOf<Send>().empty());
    REQUIRE(EffectsOf<StartCopy>().size() == 1);
    call = EffectsOf<StartCopy>()[0];
    CHECK(call.final);
    CHECK(call.target == target.endpoint);
  }
  EndCopy(call, CopyStatus::kCopied, state.requests.at(send.request).events);
  REQUIRE(EffectsOf<Send>().size() == 1);
  CHECK(EffectsOf<Send>()[0].upstream == "engine-2");
}

// Guards against an engine in trouble that each host calls fifty times a second for each stream
// until the streams' time is over (soak with 60 daemons).
TEST_CASE_METHOD(MigrationFixture, "stopCall_failsForSeconds_repeatedMoreRarely", "[entry]") {
  EndCopy(ReceiveTerminationNotice(), CopyStatus::kCopied, 5);
  const CopyStatus status = GENERATE(CopyStatus::kNoAnswer, CopyStatus::kUnsent, CopyStatus::kBusy);
  StartCopy call = EffectsOf<StartCopy>().at(0);
  EndAttempt(send.attempt, AttemptResult::kBroken);
  int calls = 0;
  for (const TimePoint until = now + 5s; now < until;) {
    EndCopy(call, status);
    while (EffectsOf<StartCopy>().empty()) {
      AdvanceTime(5ms);
    }
    call = EffectsOf<StartCopy>()[0];
    ++calls;
  }
  CHECK(calls >= 5);
  CHECK(calls <= 25);
}

// Guards against a generation that goes on elsewhere while its engine works on it: the stream's
// connection ended during a copy, before any call to stop the generation (rule TWICE).
TEST_CASE_METHOD(MigrationFixture,
                 "stream_connectionEndsDuringCopy_stoppedBeforeResume",
                 "[entry]") {
  const bool has_earlier_copy = GENERATE(true, false);
  StartCopy copy = ReceiveTerminationNotice();
  if (has_earlier_copy) {
    now += 300ms;
    EndCopy(copy, CopyStatus::kCopied, 5);
    copy = EffectsOf<StartCopy>().at(0);
  }
  REQUIRE_FALSE(copy.final);
  EndAttempt(send.attempt, AttemptResult::kBroken);
  const CopyStatus status =
      GENERATE(CopyStatus::kCopied, CopyStatus::kNoAnswer, CopyStatus::kBusy, CopyStatus::kNoRoom);
  EndCopy(copy, status, 6);
  CHECK(EffectsOf<Send>().empty());
  CHECK(EffectsOf<BreakStream>().empty());
  if (EffectsOf<StartCopy>().empty()) {
    AdvanceTime(70ms);
  }
  REQUIRE(EffectsOf<StartCopy>().size() == 1);
  const StartCopy stop = EffectsOf<StartCopy>()[0];
  CHECK(stop.final);
  EndCopy(stop, CopyStatus::kCopied, 7);
  REQUIRE(EffectsOf<Send>().size() == 1);
  CHECK(EffectsOf<Send>()[0].upstream == "engine-2");
  CHECK(EffectsOf<Send>()[0].resume);
}

// Guards against an engine that is taken for gone because it resets connections before a call is
// written, as one does that has all the connections it accepts.
TEST_CASE_METHOD(MigrationFixture, "stopCall_connectionResetUnwritten_notResumed", "[entry]") {
  EndCopy(ReceiveTerminationNotice(), CopyStatus::kCopied, 5);
  const StartCopy call = EffectsOf<StartCopy>().at(0);
  EndAttempt(send.attempt, AttemptResult::kBroken);
  EndCopy(call, CopyStatus::kUnsent);
  CHECK(EffectsOf<Send>().empty());
  AdvanceTime(70ms);
  CHECK(EffectsOf<Send>().empty());
  CHECK(EffectsOf<StartCopy>().size() == 1);
}

// Guards against a generation that goes on elsewhere although its engine sends events of it after
// it said that it doesn't have it.
TEST_CASE_METHOD(MigrationFixture, "stopCall_eventsAfterUnknownRun_stoppedAgain", "[entry]") {
  EndCopy(ReceiveTerminationNotice(), CopyStatus::kCopied, 5);
  EndCopy(EffectsOf<StartCopy>().at(0), CopyStatus::kUnknownRun);
  now += 10ms;
  DeliverEvents(send.attempt, 6);
  AdvanceTime(70ms);
  CHECK(EffectsOf<Send>().empty());
  REQUIRE(EffectsOf<StartCopy>().size() == 1);
  CHECK(EffectsOf<StartCopy>()[0].final);
}

// Guards against a copy that is dropped, and its stream lost, because the call that stopped the
// generation got no response and its engine doesn't know the generation any more.
TEST_CASE_METHOD(MigrationFixture,
                 "stopCall_repeatedFindsNoRun_resumedFromEarlierCopy",
                 "[entry]") {
  EndCopy(ReceiveTerminationNotice(), CopyStatus::kCopied, 5);
  EndCopy(EffectsOf<StartCopy>().at(0), CopyStatus::kNoAnswer);
  AdvanceTime(50ms);
  EndCopy(EffectsOf<StartCopy>().at(0), CopyStatus::kUnknownRun);
  CHECK(EffectsOf<DropCopy>().empty());
  EndWithConnection(send.attempt);
  CHECK(EffectsOf<FinishStream>().empty());
  REQUIRE(EffectsOf<Send>().size() == 1);
  CHECK(EffectsOf<Send>()[0].upstream == "engine-2");
}

// Guards against a generation that exceeds its forecast and is never migrated, because it is
// expected to end at any moment.
TEST_CASE_METHOD(MigrationFixture, "stream_longerThanForecast_migrated", "[entry]") {
  for (std::uint64_t event = 6; event <= 900; ++event) {
    now += 25ms;
    DeliverEvents(send.attempt, event);
  }
  ConfirmStore();
  MarkLeaving(source);
  CHECK(EffectsOf<StartCopy>().size() == 1);
}

// Guards against a generation that is stopped for a migration after its last event: no engine has
// anything left to send, and the stream counts as truncated.
TEST_CASE_METHOD(MigrationFixture, "stream_atMaxOutput_notStoppedForMigration", "[entry]") {
  const std::uint64_t last_event = max_output_tokens / 4;
  SECTION("before the first copy") {
    DeliverEvents(send.attempt, last_event);
    ConfirmStore();
    MarkLeaving(source);
    CHECK(EffectsOf<StartCopy>().empty());
  }
  SECTION("during a copy") {
    const StartCopy first = ReceiveTerminationNotice();
    DeliverEvents(send.attempt, last_event);
    EndCopy(first, CopyStatus::kCopied, last_event);
    for (const StartCopy& copy : EffectsOf<StartCopy>()) {
      CHECK_FALSE(copy.final);
    }
  }
  EndAttempt(send.attempt, AttemptResult::kStreamFinished, 200);
  CHECK(EffectsOf<FinishStream>().size() == 1);
}

// Guards against a stream that is cut, or sent a second time with a used copy, because its target
// begins to leave before it has sent an event (entry fuzz test, seed 78).
TEST_CASE_METHOD(MigrationFixture, "resume_targetLeavesBeforeFirstEvent_runContinues", "[entry]") {
  const UpstreamEntry third = AddUpstream("engine-3", "engines", "zone-c");
  target = AddUpstream("engine-4", "engines", "zone-b");
  const StartCopy first = ReceiveTerminationNotice();
  EndCopy(first, CopyStatus::kCopied, 5);
  EndCopy(EffectsOf<StartCopy>().at(0), CopyStatus::kCopied, 5);
  const Send resumed = EffectsOf<Send>().at(0);
  target = state.upstreams.at(resumed.upstream).entry;
  const bool is_evacuated = GENERATE(false, true);
  if (is_evacuated) {
    Apply(EvacuationRead{target.zone, true});
  }
  MarkLeaving(target);
  CHECK(EffectsOf<CancelAttempt>().empty());
  CHECK(EffectsOf<Send>().empty());
  CHECK(EffectsOf<BreakStream>().empty());
  REQUIRE(state.requests.count(send.request) == 1);
  DeliverEvents(resumed.attempt, 6);
  REQUIRE(EffectsOf<StartCopy>().size() == 1);
  CHECK(EffectsOf<StartCopy>()[0].source == target.endpoint);
}

// Guards against a migration that is aborted and its copy dropped because the engine is busy with
// an earlier call.
TEST_CASE_METHOD(MigrationFixture, "copy_engineBusy_retriedForSameTarget", "[entry]") {
  const StartCopy first = ReceiveTerminationNotice();
  EndCopy(first, CopyStatus::kCopied, 6);
  const StartCopy last = EffectsOf<StartCopy>().at(0);
  EndCopy(last, CopyStatus::kBusy);
  CHECK(EffectsOf<DropCopy>().empty());
  AdvanceTime(50ms);
  REQUIRE(EffectsOf<StartCopy>().size() == 1);
  CHECK(EffectsOf<StartCopy>()[0].target == target.endpoint);
  CHECK(EffectsOf<StartCopy>()[0].final);
}

// Guards against a stream that is broken when its source dies, although the target has a copy to
// resume from.
TEST_CASE_METHOD(MigrationFixture, "stream_sourceDiesAfterFirstCopy_resumesFromCopy", "[entry]") {
  const StartCopy first = ReceiveTerminationNotice();
  now += 300ms;
  EndCopy(first, CopyStatus::kCopied, 6);
  const StartCopy second = EffectsOf<StartCopy>().at(0);
  CHECK_FALSE(second.final);
  EndAttempt(send.attempt, AttemptResult::kBroken);
  CHECK(EffectsOf<BreakStream>().empty());
  EndCopy(second, CopyStatus::kConnectionRefused);
  const std::vector<Send> sends = EffectsOf<Send>();
  REQUIRE(sends.size() == 1);
  CHECK(sends[0].resume);
}

// Guards against a stream that is broken although the target has a copy, because the reply to a
// later copy round fails before the source's connection is seen to end.
TEST_CASE_METHOD(MigrationFixture, "laterRound_failsBeforeSourceEnds_copyIsKept", "[entry]") {
  const CopyStatus status = GENERATE(CopyStatus::kConnectionRefused, CopyStatus::kUnknownRun);
  const StartCopy first = ReceiveTerminationNotice();
  now += 300ms;
  EndCopy(first, CopyStatus::kCopied, 6);
  EndCopy(EffectsOf<StartCopy>().at(0), status);
  CHECK(EffectsOf<DropCopy>().empty());
  EndAttempt(send.attempt, AttemptResult::kBroken);
  CHECK(EffectsOf<BreakStream>().empty());
  REQUIRE(EffectsOf<Send>().size() == 1);
  CHECK(EffectsOf<Send>()[0].upstream == "engine-2");
  CHECK(EffectsOf<Send>()[0].resume->handle == "handle-1");
}

// Guards against a stream that waits for a copy which nobody makes: its source ends while the next
// try is scheduled.
TEST_CASE_METHOD(MigrationFixture, "copy_sourceEndsWhileRetryIsScheduled_streamEnds", "[entry]") {
  EndCopy(ReceiveTerminationNotice(), CopyStatus::kBusy);
  EndAttempt(send.attempt, AttemptResult::kBroken);
  // Its engine may work on, and can then still stop and move it.
  REQUIRE(EffectsOf<StartCopy>().size() == 1);
  const StartCopy stop = EffectsOf<StartCopy>()[0];
  CHECK(stop.final);
  SECTION("the engine has it") {
    EndCopy(stop, CopyStatus::kCopied, 6);
    REQUIRE(EffectsOf<Send>().size() == 1);
    CHECK(EffectsOf<Send>()[0].resume);
  }
  SECTION("the engine doesn't have it or can't be reached") {
    EndCopy(stop, GENERATE(CopyStatus::kUnknownRun, CopyStatus::kConnectionRefused));
    CHECK(EffectsOf<BreakStream>().size() == 1);
    CHECK(state.requests.empty());
  }
}

// Guards against a pause that the caller notices: a generation that is stopped while the links are
// busy with other copies waits for them. Its engine may end at any time; the copy is enough then.
TEST_CASE_METHOD(MigrationFixture, "stream_linksBusyUntilSourceEnds_neverStopped", "[entry]") {
  StartCopy copy = ReceiveTerminationNotice();
  for (std::uint64_t round = 1; round <= 8; ++round) {
    now += 250ms;
    EndCopy(copy, CopyStatus::kCopied, 5 + round);
    REQUIRE(EffectsOf<StartCopy>().size() == 1);
    copy = EffectsOf<StartCopy>()[0];
    CHECK_FALSE(copy.final);
  }
  EndAttempt(send.attempt, AttemptResult::kBroken);
  EndCopy(copy, CopyStatus::kConnectionRefused);
  REQUIRE(EffectsOf<Send>().size() == 1);
  CHECK(EffectsOf<Send>()[0].resume);
}

// Guards against a stream that is lost because the target has no room for the final copy: the
// source still has the memory.
TEST_CASE_METHOD(MigrationFixture, "finalCopy_noRoomAtTarget_resumesAtSource", "[entry]") {
  const StartCopy first = ReceiveTerminationNotice();
  EndCopy(first, CopyStatus::kCopied, 6);
  const StartCopy last = EffectsOf<StartCopy>().at(0);
  EndCopy(last, CopyStatus::kNoRoom);
  REQUIRE(EffectsOf<Send>().size() == 1);
  CHECK(EffectsOf<Send>()[0].upstream == "engine-1");
}

// Guards against generations that are lost with an engine whose termination notice can't be read
// because the store is down.
TEST_CASE_METHOD(MigrationFixture, "stream_storeDownAndEngineReportsLeaving_migrated", "[entry]") {
  Apply(ListConfirmed{now});
  AdvanceTime(1000ms);
  CHECK(EffectsOf<ReadReport>().empty());
  AdvanceTime(1000ms);
  REQUIRE_FALSE(EffectsOf<ReadReport>().empty());
  CHECK(EffectsOf<ReadReport>()[0].upstream == "engine-1");
  Apply(UpstreamReported{"engine-1", 999, true});
  CHECK(EffectsOf<StartCopy>().empty());  // A report of an earlier process of the engine.
  Apply(UpstreamReported{"engine-1", 1000, true});
  CHECK(EffectsOf<StartCopy>().size() == 1);
}

// Guards against needless report requests to engines while a peer reads the upstream list.
TEST_CASE_METHOD(MigrationFixture, "stream_peerReadsList_noReportsRequested", "[entry]") {
  PeerLoadReceived load;
  load.host = "host-2";
  for (int round = 0; round < 10; ++round) {
    load.list_age = 100ms;
    Apply(load);
    AdvanceTime(400ms);
    CHECK(EffectsOf<ReadReport>().empty());
  }
}

// Guards against a copy that keeps engine memory after its caller has disconnected.
TEST_CASE_METHOD(MigrationFixture, "migration_callerDisconnects_copyDropped", "[entry]") {
  const StartCopy first = ReceiveTerminationNotice();
  Apply(CallerDisconnected{send.request});
  CHECK(EffectsOf<CancelAttempt>().size() == 1);
  CopyEnded ended;
  ended.request = first.request;
  ended.copy = first.copy;
  ended.status = CopyStatus::kCopied;
  ended.handle = "handle-1";
  Apply(ended);
  CHECK(EffectsOf<DropCopy>().size() == 1);
}

}  // namespace
}  // namespace snipeturn::entry
