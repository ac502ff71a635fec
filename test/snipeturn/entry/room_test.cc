#include "snipeturn/entry/room.h"

#include <catch2/catch.hpp>

#include "snipeturn/entry/hard_load_world.h"

namespace snipeturn::entry {
namespace {

constexpr int kEngines = 10;

Contention Classes() {
  return {true, 1500ms, 0};
}

EngineLimits Limits() {
  EngineLimits limits;
  limits.slots = 24;
  limits.memory_tokens = 30000;
  return limits;
}

TEST_CASE("reserve_noUrgentDemand_none", "[entry]") {
  const Reserve reserve = ReserveForUrgent(Classes(), {}, Limits(), kEngines);
  CHECK(reserve.memory == 0);
  CHECK(reserve.prefill == 0);
}

TEST_CASE("reserve_urgentDemand_whatItLacks", "[entry]") {
  Demand demand;
  demand.urgent_tokens_per_second = 20000;
  CHECK(ReserveForUrgent(Classes(), demand, Limits(), kEngines).memory == Approx(0.1));
  demand.urgent_tokens = 15000;
  CHECK(ReserveForUrgent(Classes(), demand, Limits(), kEngines).memory == Approx(0.05));
  demand.urgent_tokens = 40000;
  CHECK(ReserveForUrgent(Classes(), demand, Limits(), kEngines).memory == 0);
  CHECK(ReserveForUrgent(Classes(), demand, Limits(), kEngines).prefill == Approx(1.0 / 3));
  demand = {0, 0, 1e6, 0};
  CHECK(ReserveForUrgent(Classes(), demand, Limits(), kEngines).memory < 0.5);
  CHECK(ReserveForUrgent(Classes(), demand, Limits(), kEngines).prefill <= 0.5);
}

class RoomFixture : public EntryFixture {
 public:
  RoomFixture() {
    desired.version = 2;
    desired.routes[0].priority = 2;
    desired.routes[0].latency_objective = 4000ms;
    desired.routes.push_back(MakeRoute("/short/", RouteKind::kStream, "engines"));
    desired.routes.back().latency_objective = 1500ms;
    Apply(DesiredStateRead{desired});
    AddUpstream("engine-1", "engines");
    HostsRead hosts;
    hosts.hosts = 2;
    Apply(hosts);
  }

  void ReceiveDemand(double urgent_tokens_per_second) {
    PeerLoadReceived load;
    load.host = "host-2";
    load.load["engine-1"] = {5, 20000, 0};
    load.demand["engines"] = {0, 10, urgent_tokens_per_second, 0};
    Apply(load);
  }
};

// Guards against long streams that fill an engine's memory before a burst of urgent ones.
TEST_CASE_METHOD(RoomFixture, "lessUrgentRequest_urgentDemandElsewhere_leavesMemory", "[entry]") {
  ReceiveDemand(4000);
  ReceiveRequest("/long/a", 3000, 748);
  CHECK(EffectsOf<Send>().empty());
  ReceiveRequest("/short/a", 3000, 748);
  CHECK(EffectsOf<Send>().size() == 1);
}

// Guards against capacity that stays unused when the urgent demand has ended.
TEST_CASE_METHOD(RoomFixture, "lessUrgentRequest_urgentDemandEnded_usesMemory", "[entry]") {
  ReceiveDemand(4000);
  ReceiveRequest("/long/a", 3000, 748);
  ReceiveDemand(0);
  CHECK(EffectsOf<Send>().size() == 1);
}

// Guards against less urgent requests that miss their objective for room that nobody uses yet.
TEST_CASE_METHOD(RoomFixture, "lessUrgentRequest_noTimeLeftToWait_usesMemory", "[entry]") {
  ReceiveDemand(4000);
  ReceiveRequest("/long/a", 3000, 748);
  CHECK(EffectsOf<Send>().empty());
  AdvanceTime(2100ms);
  ReceiveDemand(4000);
  CHECK(EffectsOf<Send>().size() == 1);
}

TEST_CASE_METHOD(RoomFixture, "demand_noUrgentRequestFor10Seconds_none", "[entry]") {
  ReceiveRequest("/short/a", 3000, 748);
  CHECK(LocalDemand(state, now).at("engines").urgent_tokens_per_second > 3000);
  now += 1s;
  CHECK(LocalDemand(state, now).at("engines").urgent_tokens_per_second < 2000);
  now += 9s;
  CHECK(LocalDemand(state, now).at("engines").urgent_tokens_per_second == 0);
}

// Guards against hosts that count only their own callers while others' tables are missing.
TEST_CASE_METHOD(RoomFixture, "demand_hostsWithoutTables_takenForAverage", "[entry]") {
  HostsRead hosts;
  hosts.hosts = 4;
  Apply(hosts);
  Demand own;
  own.queued = 2;
  CHECK(OthersDemand(state, "engines", own, now).queued == Approx(6));
  PeerLoadReceived load;
  load.host = "host-2";
  load.demand["engines"] = {4, 0, 0, 0};
  Apply(load);
  CHECK(OthersDemand(state, "engines", own, now).queued == Approx(4 + 2 * 3));
  now += 4s;
  CHECK(OthersDemand(state, "engines", own, now).queued == Approx(6));
}

}  // namespace
}  // namespace snipeturn::entry
