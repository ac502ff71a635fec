#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <vector>

#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/signal_world.h"

namespace snipeturn::entry {
namespace {

class LimitFixture {
 public:
  static constexpr std::chrono::milliseconds kAdjustTime{3000};
  static constexpr std::chrono::milliseconds kWindow{4000};
  static constexpr std::chrono::milliseconds kToldTime{500};

  /// Requests that an upstream with a limit may get in a window.
  static int Allowed(double per_second) {
    return static_cast<int>(1.5 * per_second * std::chrono::duration<double>(kWindow).count() + 5);
  }

  static int Most(const SignalWorld& world, const UpstreamId& id) {
    return world.MostArrivals(id, kWindow, kAdjustTime, kToldTime);
  }
};

// Guards against an upstream that gets more requests than the limit that it stated to all hosts.
TEST_CASE_METHOD(LimitFixture, "upstream_statesLimit_sumOfHostsKeepsIt", "[entry_limit]") {
  const int hosts = GENERATE(1, 9, 40, 150);
  const double limit = GENERATE(0.2, 2.5, 40.0);
  CAPTURE(hosts, limit);
  SignalWorld world(hosts);
  world.Run(2s, 200);
  world.Signal("server-1", SignalWorld::Limit(limit));
  world.Run(16s, 200);
  CHECK(Most(world, "server-1") <= Allowed(limit));
  CHECK(world.refused.empty());
}

// Guards against a limit that is forgotten while its upstream gets no request, and is exceeded by
// the next ones (the review's probe: 60 requests where 11 are allowed).
TEST_CASE_METHOD(LimitFixture, "upstream_idleAfterStatedLimit_limitKept", "[entry_limit]") {
  const int hosts = GENERATE(1, 2, 9);
  CAPTURE(hosts);
  SignalWorld world(hosts);
  world.Run(2s, 200);
  world.Signal("server-1", SignalWorld::Limit(1));
  world.Run(6s, 200);
  world.Run(20s, 0);
  world.Run(50ms, 4000);
  world.Run(4s, 20);
  CHECK(Most(world, "server-1") <= Allowed(1));
}

// Guards against callers that wait until their deadline, or come back all at once, although no
// upstream takes their requests now, and against limits that are not used up.
TEST_CASE_METHOD(LimitFixture,
                 "upstreams_allStateLimits_usedAndRestRefusedAtOnce",
                 "[entry_limit]") {
  const int hosts = GENERATE(1, 9);
  const double limit = GENERATE(2.5, 20.0);
  CAPTURE(hosts, limit);
  SignalWorld world(hosts);
  world.Run(2s, 200);
  for (const char* id : {"server-1", "server-2", "server-3"}) {
    world.Signal(id, SignalWorld::Limit(limit));
  }
  world.Run(4s, 200);
  world.ResetCounts();
  world.Run(20s, 200);
  for (const char* id : {"server-1", "server-2", "server-3"}) {
    CHECK(Most(world, id) <= Allowed(limit));
  }
  CHECK(world.answered >= 20 * 3 * limit * 0.8);
  REQUIRE(world.refused.size() > 1000);
  std::set<std::chrono::milliseconds> delays;
  for (const Refuse& refuse : world.refused) {
    CHECK(refuse.status == 503);
    REQUIRE(refuse.retry_after);
    CHECK(*refuse.retry_after >= 100ms);
    delays.insert(*refuse.retry_after);
  }
  CHECK(delays.size() > 50);
  const auto waited = std::count_if(world.refused_after.begin(), world.refused_after.end(),
                                    [](std::chrono::milliseconds after) { return after > 20ms; });
  CHECK(static_cast<std::size_t>(waited) <= world.refused.size() / 10);
}

// Guards against an upstream that stays limited after it has recovered.
TEST_CASE_METHOD(LimitFixture, "upstream_endsLimit_getsItsShareAgain", "[entry_limit]") {
  const int hosts = GENERATE(1, 9, 40, 150);
  CAPTURE(hosts);
  SignalWorld world(hosts);
  world.Run(2s, 200);
  const int usual = world.ArrivalsSince("server-1", world.now - 2s);
  world.Signal("server-1", SignalWorld::Limit(2.5));
  world.Run(8s, 200);
  world.Signal("server-1", {});
  world.Run(2s, 200);
  world.Run(2s, 200);
  CHECK(world.ArrivalsSince("server-1", world.now - 2s) >= usual / 2);
}

// Guards against a limit that ends because its upstream got no request, or holds for ever although
// the upstream no longer states it.
TEST_CASE_METHOD(LimitFixture, "limit_notRepeated_endsWithNextResponseOnly", "[entry_limit]") {
  SignalWorld world(3);
  world.Signal("server-1", SignalWorld::Limit(2.5));
  world.Run(3s, 60);
  REQUIRE(world.state(0).upstreams.at("server-1").rate_limit.requests_per_second == 2.5);
  world.Run(11s, 0);
  REQUIRE(world.state(0).upstreams.at("server-1").rate_limit.requests_per_second == 2.5);
  world.Signal("server-1", {});
  world.Run(3s, 60);
  CHECK_FALSE(world.state(0).upstreams.at("server-1").rate_limit.requests_per_second);
}

// Guards against a sum that is exceeded because hosts restart, or don't hear one another.
TEST_CASE_METHOD(LimitFixture, "upstream_statesLimit_keptThroughRestartsAndCuts", "[entry_limit]") {
  constexpr int kHosts = 40;
  constexpr double kLimit = 2.5;
  SignalWorld world(kHosts);
  world.Run(2s, 200);
  world.Signal("server-1", SignalWorld::Limit(kLimit));
  SECTION("hosts restart in turn") {
    world.Run(6s, 200);
    for (int host = 0; host < 12; ++host) {
      world.StartHost(host);
      world.Run(1s, 200);
    }
  }
  SECTION("half of the hosts don't hear the others") {
    for (int host = 0; host < kHosts; host += 2) {
      world.isolated.insert(host);
    }
    world.Run(16s, 200);
  }
  CHECK(Most(world, "server-1") <= Allowed(kLimit));
  CHECK(world.refused.empty());
}

// Guards against a response that was sent before the limit was stated and ends it.
TEST_CASE_METHOD(EntryFixture, "limit_olderResponseWithoutIt_staysInForce", "[entry_limit]") {
  AddUpstream("plain-1", "plain");
  backpressure::Signals unreadable;
  unreadable.unreadable = backpressure::SignalKind::kLimit;
  const TimePoint older = now;
  now += 10ms;
  const TimePoint newer = now;
  const auto& limit = state.upstreams.at("plain-1").rate_limit.requests_per_second;
  now += 10ms;
  Apply(UpstreamSignalled{"plain-1", newer, SignalWorld::Limit(5.0)});
  CHECK(limit == 5.0);
  now += 10ms;
  Apply(UpstreamSignalled{"plain-1", older, {}});
  CHECK(limit == 5.0);
  now += 1s;
  const TimePoint later = now;
  now += 10ms;
  SECTION("unreadable") {
    Apply(UpstreamSignalled{"plain-1", later, unreadable});
    CHECK(limit == 5.0);
  }
  SECTION("not stated") {
    Apply(UpstreamSignalled{"plain-1", later, {}});
    CHECK_FALSE(limit);
  }
}

// Guards against a log line and a message to all hosts for each response of an upstream whose limit
// varies a little.
TEST_CASE_METHOD(EntryFixture, "limit_variesSlightly_notLoggedEachTime", "[entry_limit]") {
  AddUpstream("plain-1", "plain");
  const auto& limit = state.upstreams.at("plain-1").rate_limit.requests_per_second;
  const std::uint64_t changes = state.load_changes;
  std::size_t lines = 0;
  for (const double stated : {5.0, 5.1, 4.9, 5.05, 2.5, 2.6}) {
    now += 10ms;
    Apply(UpstreamSignalled{"plain-1", now, SignalWorld::Limit(stated)});
    lines += EffectsOf<EmitLog>().size();
    CHECK(limit == stated);
  }
  CHECK(lines == 2);
  CHECK(state.load_changes == changes + 2);
}

// Guards against a hedge or a retry that exceeds a limit which the first send used up.
TEST_CASE_METHOD(EntryFixture, "limit_usedUp_noHedgeOrRetry", "[entry_limit]") {
  AddUpstream("plain-1", "plain");
  ReceiveRequest("/look/a");
  Apply(UpstreamSignalled{"plain-1", now, SignalWorld::Limit(0.5)});
  AddUpstream("plain-2", "plain");
  state.upstreams.at("plain-2").rate_limit = state.upstreams.at("plain-1").rate_limit;
  state.upstreams.at("plain-2").rate_limit.tokens = 0;
  AdvanceTime(950ms);
  CHECK(EffectsOf<Send>().empty());
  EndAttempt(state.request_by_attempt.begin()->first, AttemptResult::kNotExecuted, 503);
  CHECK(EffectsOf<Send>().empty());
}

// Guards against an upstream that takes nothing and is never heard again.
TEST_CASE_METHOD(LimitFixture, "upstream_statesZero_askedFromTimeToTime", "[entry_limit]") {
  SignalWorld world(9);
  world.Run(2s, 200);
  world.Signal("server-1", SignalWorld::Limit(0.0));
  world.Run(60s, 200);
  CHECK(Most(world, "server-1") <= Allowed(0));
  CHECK(world.ArrivalsSince("server-1", world.now - 40s) >= 1);
}

class PauseFixture {
 public:
  static constexpr std::chrono::milliseconds kGrace{500};

  static void BeginPauses(SignalWorld& world,
                          const UpstreamId& id,
                          std::chrono::milliseconds time) {
    world.Signal(id, SignalWorld::Pause(time));
    world.servers.at(id).refuses = true;
  }

  static void EndPauses(SignalWorld& world, const UpstreamId& id) {
    world.Signal(id, {});
    world.servers.at(id).refuses = false;
  }
};

// Guards against requests for an upstream that refused with a time for which it wants none.
TEST_CASE_METHOD(PauseFixture, "upstream_pauses_atMostTwoRequestsInPause", "[entry_pause]") {
  const int hosts = GENERATE(1, 9, 40);
  const std::chrono::milliseconds pause = GENERATE(700ms, 3000ms, 10000ms);
  CAPTURE(hosts, pause);
  SignalWorld world(hosts);
  world.Run(2s, 200);
  BeginPauses(world, "server-1", pause);
  world.Run(20s, 200);
  CHECK(world.MostInPause("server-1", pause, kGrace) <= 2);
  CHECK(world.ArrivalsSince("server-1", world.now - 1s) <= hosts * 2);
  CHECK(world.refused.empty());
  EndPauses(world, "server-1");
  world.Run(pause + 4s, 200);
  CHECK(world.ArrivalsSince("server-1", world.now - 1s) >= 15);
}

// Guards against callers that wait until their deadline while every upstream pauses, and against
// hosts that all come back at the same instant.
TEST_CASE_METHOD(PauseFixture, "upstreams_allPause_refusedAtOnceThenGradual", "[entry_pause]") {
  const int hosts = GENERATE(1, 9, 40);
  CAPTURE(hosts);
  SignalWorld world(hosts);
  world.Run(2s, 200);
  for (const char* id : {"server-1", "server-2", "server-3"}) {
    BeginPauses(world, id, 4s);
  }
  world.Run(1500ms, 200);
  for (const char* id : {"server-1", "server-2", "server-3"}) {
    EndPauses(world, id);
  }
  world.ResetCounts();
  world.Run(1s, 200);
  CHECK(world.answered < 20);
  REQUIRE(world.refused.size() > 150);
  for (const Refuse& refuse : world.refused) {
    CHECK(refuse.status == 503);
    REQUIRE(refuse.retry_after);
    CHECK(*refuse.retry_after >= 100ms);
  }
  for (const std::chrono::milliseconds after : world.refused_after) {
    CHECK(after <= 1500ms);
  }
  world.Run(5s, 200);
  // Less than half of the slots within the time of a response.
  CHECK(world.MostArrivalsWithin("server-1", 30ms, world.now - 5s) < 30);
  world.ResetCounts();
  world.Run(2s, 200);
  CHECK(world.answered >= 380);
}

// Guards against callers that pay for upstreams which pause again and again: by refusals, by sends
// in vain that use up the budget of retries, or by a service that stays slow afterwards.
TEST_CASE_METHOD(PauseFixture,
                 "halfOfUpstreams_pauseAgainAndAgain_callersServed",
                 "[entry_pause]") {
  constexpr int kHosts = 9;
  SignalWorld world(kHosts, 6);
  const std::vector<UpstreamId> pausing{"server-1", "server-2", "server-3"};
  world.Run(2s, 300);
  world.ResetCounts();
  const TimePoint begin = world.now;
  world.Run(30s, 300, [&] {
    const auto phase = ToMilliseconds(world.now - begin).count() % 4000;
    for (const UpstreamId& id : pausing) {
      if (phase == 0) {
        BeginPauses(world, id, 2s);
      } else if (phase == 1500) {
        EndPauses(world, id);
      }
    }
  });
  std::size_t in_vain = 0;
  for (const UpstreamId& id : pausing) {
    EndPauses(world, id);
    in_vain += world.servers.at(id).refusals.size();
  }
  CAPTURE(world.answered, world.refused.size(), in_vain);
  CHECK(world.answered >= 8900);
  // Eight rounds, in each of which a host may send a few requests to an upstream that refuses.
  CHECK(in_vain <= 8 * kHosts * pausing.size() * 2);
  world.Run(5s, 300);
  CHECK(world.ArrivalsSince("server-1", world.now - 1s) >= 25);
}

class RepeatedSignalFixture : public EntryFixture {
 public:
  std::size_t CountLines(const LogEvent& event) const {
    const std::vector<EmitLog> lines = EffectsOf<EmitLog>();
    return static_cast<std::size_t>(
        std::count_if(lines.begin(), lines.end(),
                      [&event](const EmitLog& line) { return line.event.number == event.number; }));
  }

  /// Delivers the responses to requests that were all in flight, 1 ms apart.
  std::size_t RespondToAll(const backpressure::Signals& signals, const LogEvent& event) {
    constexpr int kInFlight = 12;
    const TimePoint sent_at = now;
    std::size_t lines = 0;
    for (int response = 0; response < kInFlight; ++response) {
      now += 1ms;
      Apply(UpstreamSignalled{"plain-1", sent_at, signals});
      lines += CountLines(event);
    }
    return lines;
  }
};

// Guards against a log line for each of many requests that were in flight at an upstream when it
// began to refuse, or to say that it is leaving.
TEST_CASE_METHOD(RepeatedSignalFixture,
                 "signals_ofManyRequestsInFlight_loggedOnce",
                 "[entry_pause]") {
  AddUpstream("plain-1", "plain");
  SECTION("pause") {
    CHECK(RespondToAll(SignalWorld::Pause(2s), log_events::kPauseStated) == 1);
    const TimePoint until = state.upstreams.at("plain-1").pause.until;
    CHECK(until >= now + 2s);
    CHECK(RespondToAll(SignalWorld::Pause(6s), log_events::kPauseStated) == 1);
    CHECK(RespondToAll(SignalWorld::Pause(1s), log_events::kPauseStated) == 0);
    CHECK(state.upstreams.at("plain-1").pause.until >= until + 4s);
  }
  SECTION("leaving") {
    CHECK(RespondToAll(SignalWorld::Leaving(), log_events::kUpstreamLeaving) == 1);
    CHECK(RespondToAll({}, log_events::kUpstreamListed) == 0);
    ReceiveRequest("/look/a");
    CHECK(EffectsOf<Send>().empty());
  }
}

// Guards against a pause whose end can't be seen in the log, or that is logged again and again.
TEST_CASE_METHOD(RepeatedSignalFixture, "pause_ends_loggedOnce", "[entry_pause]") {
  AddUpstream("plain-1", "plain");
  Apply(UpstreamSignalled{"plain-1", now, SignalWorld::Pause(2s)});
  AdvanceTime(1900ms);
  CHECK(CountLines(log_events::kPauseEnded) == 0);
  AdvanceTime(1s);
  CHECK(CountLines(log_events::kPauseEnded) == 1);
  AdvanceTime(3s);
  CHECK(CountLines(log_events::kPauseEnded) == 0);
}

// Guards against a new process that is out of service, or limited, by what its predecessor said in
// the response to a request that was sent to the predecessor.
TEST_CASE_METHOD(EntryFixture, "signals_ofFormerIncarnation_ignored", "[entry_pause]") {
  const backpressure::Signals signals =
      GENERATE(SignalWorld::Leaving(), SignalWorld::Pause(5s), SignalWorld::Limit(0.0));
  UpstreamEntry entry = AddUpstream("plain-1", "plain");
  ReceiveRequest("/book/a");
  const TimePoint sent_at = now;
  now += 10ms;
  entry.start_time_ms += 1000;
  entry.sequence = ++sequence;
  Apply(UpstreamListed{entry, {0, static_cast<std::uint64_t>(sequence)}});
  now += 10ms;
  Apply(UpstreamSignalled{"plain-1", sent_at, signals});
  ReceiveRequest("/look/a");
  CHECK(EffectsOf<Send>().size() == 1);
}

// Guards against a pause, or a notice, of an upstream that holds for another one: one that was
// registered later with the same address, or a new process under the same id.
TEST_CASE_METHOD(EntryFixture, "signals_newerRegistration_notBound", "[entry_pause]") {
  const backpressure::Signals signals =
      GENERATE(SignalWorld::Leaving(), SignalWorld::Pause(5s), SignalWorld::Limit(0.0));
  const bool has_new_id = GENERATE(true, false);
  CAPTURE(has_new_id);
  UpstreamEntry entry = AddUpstream("plain-1", "plain");
  state.upstreams.at("plain-1").rate_limit.tokens = 0;
  now += 10ms;
  Apply(UpstreamSignalled{"plain-1", now, signals});
  now += 10ms;
  entry.id = has_new_id ? "plain-2" : "plain-1";
  entry.start_time_ms += 1000;
  entry.sequence = ++sequence;
  Apply(UpstreamListed{entry, {0, static_cast<std::uint64_t>(sequence)}});
  ReceiveRequest("/look/a");
  REQUIRE(EffectsOf<Send>().size() == 1);
  CHECK(EffectsOf<Send>()[0].upstream == entry.id);
}

class LeavingFixture {};

// Guards against new work for an upstream that says in its responses that it is leaving, also from
// hosts that it hasn't told.
TEST_CASE_METHOD(LeavingFixture, "upstream_saysLeaving_noNewWork", "[entry_leaving]") {
  const int hosts = GENERATE(1, 9, 40, 150);
  CAPTURE(hosts);
  SignalWorld world(hosts);
  world.Run(2s, 200);
  world.Signal("server-1", SignalWorld::Leaving());
  world.Run(1s, 200);
  const TimePoint since = world.now;
  // The store lists it as serving until it is gone, and longer than it takes to be forgotten.
  world.Run(12s, 200, [&] {
    if (ToMilliseconds(world.now - since).count() % 1000 == 0) {
      world.ListServer("server-1");
    }
  });
  CHECK(world.ArrivalsFromTold("server-1") == 0);
  CHECK(world.ArrivalsSince("server-1", since) == 0);
  CHECK(world.refused.empty());
  SECTION("its entry goes and comes back") {
    world.DeliverToAll(UpstreamUnlisted{"server-1", {0, 5000}, UpdateSource::kStore, false});
    world.Run(500ms, 200);
    world.DeliverToAll(UpstreamListed{world.servers.at("server-1").entry, {0, 5001}});
    world.Run(2s, 200);
    CHECK(world.ArrivalsSince("server-1", since) == 0);
  }
  SECTION("another process takes its place") {
    world.RestartServer("server-1");
    world.Run(2s, 200);
    CHECK(world.ArrivalsSince("server-1", since) > 30);
  }
}

// Guards against a host that can't hear others or the store and goes on sending.
TEST_CASE_METHOD(LeavingFixture, "upstream_saysLeaving_isolatedHostStops", "[entry_leaving]") {
  SignalWorld world(9);
  world.isolated = {0, 3, 8};
  world.Run(2s, 200);
  world.Signal("server-1", SignalWorld::Leaving());
  world.Run(5s, 200);
  CHECK(world.ArrivalsFromTold("server-1") == 0);
}

// Guards against an upstream that says wrongly that it is leaving and is out for ever.
TEST_CASE_METHOD(EntryFixture,
                 "leaving_saidWronglyAndListed_servesAfterMinutes",
                 "[entry_leaving]") {
  UpstreamEntry entry = AddUpstream("plain-1", "plain");
  Apply(UpstreamSignalled{"plain-1", now, SignalWorld::Leaving()});
  const auto list = [&] {
    entry.sequence = ++sequence;
    Apply(UpstreamListed{entry, {0, static_cast<std::uint64_t>(sequence)}});
    ConfirmStore();
    ReceiveRequest("/look/a");
    return EffectsOf<Send>().size();
  };
  CHECK(list() == 0);
  now += 100s;
  CHECK(list() == 0);
  now += 21s;
  CHECK(list() == 1);
}

// Guards against callers that wait for upstreams all of which are leaving, and against a service
// that stays out when one comes.
TEST_CASE_METHOD(LeavingFixture,
                 "upstreams_allSayLeaving_refusedAtOnceUntilOneComes",
                 "[entry_leaving]") {
  SignalWorld world(9);
  world.Run(2s, 200);
  for (const char* id : {"server-1", "server-2", "server-3"}) {
    world.Signal(id, SignalWorld::Leaving());
  }
  world.Run(1s, 200);
  world.ResetCounts();
  world.Run(1s, 200);
  CHECK(world.answered == 0);
  REQUIRE(world.refused.size() > 190);
  for (const std::chrono::milliseconds after : world.refused_after) {
    CHECK(after <= 20ms);
  }
  for (const Refuse& refuse : world.refused) {
    CHECK(refuse.status == 503);
    CHECK(refuse.retry_after.value_or(0ms) >= 500ms);
  }
  world.RestartServer("server-2");
  world.ResetCounts();
  world.Run(2s, 200);
  CHECK(world.answered >= 380);
}

// Guards against a generation that is lost because its engine said only in a response that it
// leaves.
TEST_CASE_METHOD(EntryFixture, "engine_saysLeaving_generationsMigrate", "[entry_leaving]") {
  const UpstreamEntry source = AddUpstream("engine-1", "engines");
  StartStream(5);
  AddUpstream("engine-2", "engines");
  SECTION("to this host") {
    Apply(UpstreamSignalled{"engine-1", now, SignalWorld::Leaving()});
    REQUIRE(EffectsOf<StartCopy>().size() == 1);
    CHECK(MakeLoadBroadcast(state, now).leaving.size() == 1);
  }
  SECTION("in a response to a call") {
    Apply(UpstreamSignalled{"engine-1", now, SignalWorld::Leaving(), false});
    REQUIRE(EffectsOf<StartCopy>().size() == 1);
  }
  SECTION("to another host") {
    PeerLoadReceived load;
    load.host = "host-2";
    load.leaving = {{"engine-1", source.start_time_ms}};
    Apply(load);
    REQUIRE(EffectsOf<StartCopy>().size() == 1);
    CHECK(MakeLoadBroadcast(state, now).leaving.empty());
  }
  SECTION("another incarnation") {
    PeerLoadReceived load;
    load.host = "host-2";
    load.leaving = {{"engine-1", source.start_time_ms - 1}};
    Apply(load);
    CHECK(EffectsOf<StartCopy>().empty());
  }
}

}  // namespace
}  // namespace snipeturn::entry
