#include "snipeturn/entry/learned_capacity.h"

#include <catch2/catch.hpp>

#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/entry_fixture.h"
#include "snipeturn/entry/load.h"

namespace snipeturn::entry {
namespace {

/// Calls to three plain upstreams, one after another, each of which takes a time of its own.
class LearnedCapacityFixture : public EntryFixture {
 public:
  LearnedCapacityFixture() {
    for (const char* id : {"plain-1", "plain-2", "plain-3"}) {
      entries[id] = AddUpstream(id, "plain");
    }
  }

  void StateWorkTime(const UpstreamId& id, double work_time) {
    backpressure::Signals signals;
    signals.load = backpressure::StatedLoad{1, 0, 6, work_time};
    Apply(UpstreamSignalled{id, now, signals});
  }

  /// Sends a call and lets its upstream respond.
  UpstreamId Call(std::chrono::milliseconds slow_time) {
    ReceiveRequest("/book/a");
    const Send send = EffectsOf<Send>().at(0);
    now += send.upstream == "plain-1" ? slow_time : 100ms;
    EndAttempt(send.attempt, AttemptResult::kAnswered, 200);
    return send.upstream;
  }

  int CallsOfSlow(int count, std::chrono::milliseconds slow_time) {
    int slow = 0;
    for (int number = 0; number < count; ++number) {
      slow += Call(slow_time) == "plain-1" ? 1 : 0;
      if (number % 3 == 0) {
        ConfirmStore();
      }
    }
    return slow;
  }

  double SpeedOfSlow() { return LearnedSpeed(state, state.upstreams.at("plain-1"), now); }

  std::map<UpstreamId, UpstreamEntry> entries;
};

// Guards against a change of deployments that state nothing: same choice, message and metrics.
TEST_CASE_METHOD(LearnedCapacityFixture, "capacity_notInEffect_nothingLearned", "[entry]") {
  backpressure::Signals signals;
  signals.load = backpressure::StatedLoad{1, 0, 6, std::nullopt};
  Apply(UpstreamSignalled{"plain-1", now, signals});
  CallsOfSlow(30, 400ms);
  CHECK(SpeedOfSlow() == 1.0);
  CHECK(MakeLoadBroadcast(state, now).capacity.empty());
  CHECK(LearnedCapacities(state, now).empty());
}

// Guards against a slow upstream that gets as much as the others.
TEST_CASE_METHOD(LearnedCapacityFixture,
                 "capacity_upstreamSlow_getsLessAndPeersAreTold",
                 "[entry]") {
  SECTION("by the header") {
    StateWorkTime("plain-2", 1.0);
  }
  SECTION("by the settings") {
    Apply(OptionsChanged{state.options.bounds, true});
  }
  CallsOfSlow(20, 400ms);
  CHECK(SpeedOfSlow() < 0.6);
  CHECK(CallsOfSlow(40, 400ms) <= 4);
  Call(400ms);
  CHECK_FALSE(MakeLoadBroadcast(state, now).capacity.empty());
}

// Guards against a switch that doesn't switch off what the header enables.
TEST_CASE_METHOD(LearnedCapacityFixture, "capacity_switchedOff_headerIgnored", "[entry]") {
  Apply(OptionsChanged{state.options.bounds, false});
  StateWorkTime("plain-1", 2.5);
  CHECK(state.services_with_work_time.count("plain") == 1);
  CHECK(SpeedOfSlow() == 1.0);
}

// Guards against a new incarnation that is judged by the former one, here or by other hosts.
TEST_CASE_METHOD(LearnedCapacityFixture, "capacity_upstreamStartsAnew_forgotten", "[entry]") {
  StateWorkTime("plain-2", 1.0);
  CallsOfSlow(20, 400ms);
  PeerLoadReceived load;
  load.host = "host-2";
  load.broadcast_at = now;
  load.capacity = ReportedCapacity(state, now, true);
  REQUIRE_FALSE(load.capacity.empty());
  UpstreamEntry entry = entries.at("plain-1");
  entry.start_time_ms += 5000;
  entry.sequence = 100;
  Apply(UpstreamListed{entry, {0, 100}});
  load.capacity.front().upstream = "plain-1";
  Apply(load);
  AdvanceTime(250ms);
  CHECK(SpeedOfSlow() == 1.0);
}

// Guards against a host that waits for its own evidence while others know of a slow upstream.
TEST_CASE_METHOD(LearnedCapacityFixture, "capacity_reportedByPeers_adoptedOnce", "[entry]") {
  StateWorkTime("plain-2", 1.0);
  PeerLoadReceived load;
  load.host = "host-2";
  load.broadcast_at = now;
  for (const auto& [id, entry] : entries) {
    capacity::Row row;
    row.upstream = id;
    row.start_time_ms = entry.start_time_ms;
    row.speed_weight = 40;
    row.speed = id == "plain-1" ? -120 : 0;
    load.capacity.push_back(row);
  }
  Apply(load);
  AdvanceTime(250ms);
  const double speed = SpeedOfSlow();
  CHECK(speed < 0.5);
  Apply(load);
  AdvanceTime(250ms);
  CHECK(SpeedOfSlow() >= speed);
}

// Guards against prompts that pile up at a slow engine as if it processed them like the others.
TEST_CASE_METHOD(LearnedCapacityFixture, "engine_slow_takesFewerPendingPrompts", "[entry]") {
  AddUpstream("engine-1", "engines");
  StateWorkTime("engine-1", 1.0);
  state.upstreams.at("engine-1").capacity.own.speed = {50, -1.0};
  state.upstreams.at("engine-1").capacity.own.at = now;
  state.upstreams.at("engine-1").capacity.own.observed_at = now;
  PeerLoadReceived load;
  load.host = "host-2";
  load.load["engine-1"] = {1, 4000, 4000};
  Apply(load);
  ReceiveRequest("/long/a", 3000, 1000);
  CHECK(EffectsOf<Send>().empty());
  state.upstreams.at("engine-1").capacity.own.speed.value = 0;
  Apply(load);
  CHECK(EffectsOf<Send>().size() == 1);
}

// Guards against requests that an upstream gets above what it handles, and a limit nobody sees.
TEST_CASE_METHOD(LearnedCapacityFixture, "limit_reached_upstreamPassedOver", "[entry]") {
  StateWorkTime("plain-2", 1.0);
  capacity::Evidence& own = state.upstreams.at("plain-1").capacity.own;
  own.idle_time = {20, 0};
  own.busy_time = {20, 1.4};
  own.busy_requests = 4;
  own.at = now;
  own.observed_at = now;
  state.upstreams.at("plain-1").capacity.slots = 6;
  PeerLoadReceived load;
  load.host = "host-2";
  load.load = {{"plain-1", {3, 0, 0}}, {"plain-2", {5, 0, 0}}, {"plain-3", {5, 0, 0}}};
  Apply(load);
  ReceiveRequest("/book/a");
  CHECK(EffectsOf<Send>().at(0).upstream != "plain-1");
  CHECK(LearnedCapacities(state, now).at(0).kept_back == 1);
}

// Guards against an upstream that is slow only for what it did to one host.
TEST_CASE_METHOD(LearnedCapacityFixture,
                 "openRequests_overdue_countBeforeTheirResponse",
                 "[entry]") {
  StateWorkTime("plain-2", 1.0);
  CallsOfSlow(20, 100ms);
  const double before = SpeedOfSlow();
  for (int number = 0; number < 9; ++number) {
    ReceiveRequest("/book/a");
    const Send send = EffectsOf<Send>().at(0);
    if (send.upstream != "plain-1") {
      EndAttempt(send.attempt, AttemptResult::kAnswered, 200);
    }
  }
  AdvanceTime(600ms);
  CHECK(SpeedOfSlow() < 0.8 * before);
}

}  // namespace
}  // namespace snipeturn::entry
