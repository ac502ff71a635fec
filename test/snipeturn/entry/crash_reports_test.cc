#include <catch2/catch.hpp>

#include "snipeturn/entry/crash_world.h"

namespace snipeturn::entry {
namespace {

/// Sound requests of twenty topics at all hosts in turn; every seventh request has the deadly part.
/// All requests share the first part.
class CrashFixture {
 public:
  static quarantine::PartId Topic(std::uint64_t number) {
    return 100 + static_cast<quarantine::PartId>(number % 20);
  }

  static void Load(CrashWorld& world, int hosts, std::uint64_t& step, bool with_deadly) {
    ++step;
    if (step % 10 != 0) {
      return;
    }
    const std::uint64_t number = step / 10;
    const int host = static_cast<int>(number % static_cast<std::uint64_t>(hosts));
    if (with_deadly && number % 7 == 0) {
      world.Request(host, {CrashWorld::kSharedPart, Topic(number), CrashWorld::kDeadlyPart});
    } else {
      world.Request(host, {CrashWorld::kSharedPart, Topic(number)});
    }
  }
};

// Guards against requests with one prompt part that crash engine after engine.
TEST_CASE_METHOD(CrashFixture, "deadlyPart_afterFiveCrashes_notSentAgain", "[entry_crash]") {
  const int hosts = GENERATE(1, 7, 40);
  CrashWorld world(hosts);
  std::uint64_t step = 0;
  world.Run(5s, [&] { Load(world, hosts, step, false); });
  world.Run(20s, [&] { Load(world, hosts, step, true); });
  CHECK(world.crash_count() <= 8);
  CHECK(world.DeadlySendsAfterFifthCrash(3s) <= 3);
}

// Guards against a part that crashes engine after engine as the host to which its requests come
// begins no answers, so that it can't tell the losses from chance.
TEST_CASE_METHOD(CrashFixture, "deadlyPart_hostWithoutAnswers_heldBack", "[entry_crash]") {
  const int hosts = GENERATE(2, 7, 40);
  CrashWorld world(hosts);
  std::uint64_t step = 0;
  const auto load = [&](bool with_deadly) {
    ++step;
    if (with_deadly && step % 350 == 0) {
      world.Request(0, {CrashWorld::kSharedPart, CrashWorld::kDeadlyPart});
    }
    if (step % 18 == 0) {
      world.Request(1, {CrashWorld::kSharedPart, Topic(step)});
    }
  };
  world.Run(5s, [&] { load(false); });
  world.Run(40s, [&] { load(true); });
  CHECK(world.crash_count() <= 6);
  CHECK(world.DeadlySendsAfterFifthCrash(3s) <= 3);
  CHECK(world.sound_refusals() == 0);
}

// Guards against sound requests that pay for the harmful ones with which they share their caller
// and their other parts.
TEST_CASE_METHOD(CrashFixture, "soundRequests_besideDeadlyPart_begin", "[entry_crash]") {
  const int hosts = GENERATE(1, 7, 40);
  CrashWorld world(hosts);
  std::uint64_t step = 0;
  world.Run(5s, [&] { Load(world, hosts, step, false); });
  world.Run(10s, [&] { Load(world, hosts, step, true); });
  world.ResetCounts();
  world.Run(20s, [&] { Load(world, hosts, step, true); });
  CHECK(world.sound_refusals() == 0);
  CHECK(world.sound_begins() >= world.sound_requests() * 95 / 100);
  // The harmful ones are refused at once as not run, with a time to come back.
  REQUIRE(world.refusals() > 20);
  for (const Refuse& refuse : world.refused()) {
    CHECK(refuse.status == 503);
    CHECK(refuse.retry_after);
  }
}

// Guards against prompts that are held back because engines crash for another reason.
TEST_CASE_METHOD(CrashFixture,
                 "soundRequests_enginesCrashByThemselves_noneHeldBack",
                 "[entry_crash]") {
  const int hosts = GENERATE(1, 7, 40);
  CrashWorld world(hosts, 24);
  std::uint64_t step = 0;
  world.Run(5s, [&] { Load(world, hosts, step, false); });
  SECTION("one after the other") {
    world.Run(30s, [&] {
      Load(world, hosts, step, false);
      if (step % 40 == 0) {
        world.Crash(world.AnyEngine(step));
      }
    });
  }
  SECTION("eight at once, again and again") {
    world.Run(30s, [&] {
      Load(world, hosts, step, false);
      for (int count = 0; step % 500 == 0 && count < 8; ++count) {
        world.Crash(world.AnyEngine(step + static_cast<std::uint64_t>(count) * 3));
      }
    });
  }
  CHECK(world.crash_count() >= 40);
  CHECK(world.sound_refusals() == 0);
}

// Guards against a quarantine that a restart ends: hosts learn it from one another.
TEST_CASE_METHOD(CrashFixture, "deadlyPart_hostsRestartInTurn_notSentAgain", "[entry_crash]") {
  constexpr int kHosts = 7;
  CrashWorld world(kHosts);
  std::uint64_t step = 0;
  world.Run(5s, [&] { Load(world, kHosts, step, false); });
  world.Run(10s, [&] { Load(world, kHosts, step, true); });
  world.ResetCounts();
  const auto crashes = world.crash_count();
  int restarted = 0;
  world.Run(28s, [&] {
    if (step % 400 == 0 && restarted < kHosts) {
      world.StartHost(restarted++);
    }
    Load(world, kHosts, step, true);
  });
  CHECK(restarted == kHosts);
  // A host may send such a request before it has heard from another one.
  CHECK(world.deadly_send_count() <= 3);
  CHECK(world.crash_count() <= crashes + 3);
}

// Guards against a quarantine that is lost when all hosts restart together: the store keeps it.
TEST_CASE_METHOD(CrashFixture,
                 "deadlyPart_allHostsRestart_keptReportHoldsItBack",
                 "[entry_crash]") {
  constexpr int kHosts = 7;
  CrashWorld world(kHosts);
  std::uint64_t step = 0;
  world.Run(5s, [&] { Load(world, kHosts, step, false); });
  world.Run(10s, [&] { Load(world, kHosts, step, true); });
  world.ResetCounts();
  REQUIRE(world.saved_report);
  for (int host = 0; host < kHosts; ++host) {
    world.StartHost(host);
  }
  SECTION("one host reads the record") {
    world.Deliver(3, CrashReportReceived{"", *world.saved_report});
    world.Run(3s, [&] { Load(world, kHosts, step, false); });
    world.Run(10s, [&] { Load(world, kHosts, step, true); });
    CHECK(world.deadly_send_count() == 0);
  }
  SECTION("the store is absent, so the part is found again") {
    world.Run(20s, [&] { Load(world, kHosts, step, true); });
    CHECK(world.deadly_send_count() <= 6);
  }
}

// Guards against a part that is never served again after the fault in the engines is repaired.
TEST_CASE_METHOD(CrashFixture, "deadlyPart_enginesRepaired_servedAfterTrial", "[entry_crash]") {
  constexpr int kHosts = 3;
  CrashWorld world(kHosts);
  std::uint64_t step = 0;
  world.Run(5s, [&] { Load(world, kHosts, step, false); });
  world.Run(10s, [&] { Load(world, kHosts, step, true); });
  REQUIRE(world.state(0).quarantine.suspects.size() == 1);
  world.now = world.state(0).quarantine.suspects[0].trial_at;
  world.ResetCounts();
  SECTION("still harmful: one request is tried") {
    world.Run(8s, [&] { Load(world, kHosts, step, true); });
    CHECK(world.deadly_send_count() == 1);
    CHECK(world.state(0).quarantine.suspects.size() == 1);
  }
  SECTION("repaired: the first answer releases the part at all hosts") {
    world.is_deadly = false;
    world.Run(3s, [&] { Load(world, kHosts, step, true); });
    for (int host = 0; host < kHosts; ++host) {
      CHECK(world.state(host).quarantine.suspects.empty());
    }
    world.ResetCounts();
    world.Run(3s, [&] { Load(world, kHosts, step, true); });
    CHECK(world.refusals() == 0);
  }
}

// Guards against a request that waits in a queue, or is being read by an engine, when its part is
// quarantined, and then crashes one more engine.
TEST_CASE_METHOD(CrashFixture,
                 "deadlyPart_openRequestsAtQuarantine_endBeforeAnswer",
                 "[entry_crash]") {
  CrashWorld world(1);
  for (int count = 0; count < 3; ++count) {
    world.Request(0, {CrashWorld::kSharedPart, CrashWorld::kDeadlyPart});
    world.Run(400ms, [] {});
    world.Request(0, {CrashWorld::kSharedPart, 5});
    world.Run(400ms, [] {});
  }
  world.state(0).quarantine.suspects.clear();
  for (int count = 0; count < 40; ++count) {
    world.Request(0, {CrashWorld::kSharedPart, CrashWorld::kDeadlyPart});
  }
  CHECK(world.crash_count() == 3);
  world.Run(20ms, [] {});
  world.Deliver(
      0, CrashReportReceived{"host-9", {{{1, 2, {CrashWorld::kDeadlyPart, 9}, 50, 1s}}, {}, {}}});
  world.Run(2s, [] {});
  CHECK(world.crash_count() == 3);
  int unknown = 0;
  for (const Refuse& refuse : world.refused()) {
    CHECK((refuse.status == 502 || refuse.status == 503));
    CHECK(refuse.retry_after.has_value() == (refuse.status == 503));
    unknown += refuse.status == 502 ? 1 : 0;
  }
  CHECK(unknown > 0);
}

// Guards against a request that is taken for harmful although only its connection was reset.
TEST_CASE_METHOD(EntryFixture, "lostAttempt_upstreamStillSends_notRecorded", "[entry_crash]") {
  AddUpstream("engine-1", "engines");
  const Send stream = StartStream(1);
  RequestArrived arrived;
  arrived.request = ++requests;
  arrived.head.id = "request-x";
  arrived.head.host = "svc.example";
  arrived.head.path = "/long/a";
  arrived.head.key = key;
  arrived.head.time_limit = 30s;
  arrived.head.prompt_tokens = 100;
  arrived.head.prompt_parts = {1, 2, 3};
  Apply(arrived);
  AttemptEnded ended;
  ended.attempt = EffectsOf<Send>().at(0).attempt;
  ended.result = AttemptResult::kBroken;
  ended.is_disconnected = true;
  Apply(ended);
  CHECK(state.quarantine.log.entries.size() == 1);
  SECTION("another stream goes on") {
    AdvanceTime(100ms);
    DeliverEvents(stream.attempt, 2);
    AdvanceTime(100ms);
    CHECK(state.quarantine.log.entries.empty());
    CHECK(EffectsOf<SendCrashReport>().empty());
  }
  SECTION("nothing comes any more") {
    AdvanceTime(200ms);
    CHECK(state.quarantine.log.entries.size() == 1);
    CHECK_FALSE(EffectsOf<SendCrashReport>().empty());
  }
}

}  // namespace
}  // namespace snipeturn::entry
