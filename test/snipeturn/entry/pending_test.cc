#include "snipeturn/entry/pending.h"

#include <catch2/catch.hpp>

#include "snipeturn/entry/hard_load_world.h"

namespace snipeturn::entry {
namespace {

class PendingFixture : public EntryFixture {
 public:
  PendingFixture() {
    desired.version = 2;
    desired.routes[0].priority = 2;
    desired.routes[0].latency_objective = 4000ms;
    desired.routes.push_back(MakeRoute("/short/", RouteKind::kStream, "engines"));
    desired.routes.back().latency_objective = 1500ms;
    Apply(DesiredStateRead{desired});
    HostsRead hosts;
    hosts.hosts = 2;
    Apply(hosts);
  }

  void ReceivePending(const std::string& upstream, std::uint64_t pending) {
    PeerLoadReceived load;
    load.host = "host-2";
    load.load[upstream] = {2, 4000, pending};
    load.demand["engines"] = {};
    Apply(load);
  }

  Request MakeLong() const {
    Request request;
    request.priority = 2;
    request.latency_objective = 4000ms;
    request.head.prompt_tokens = 3000;
    request.arrived = now;
    return request;
  }
};

// Guards against less urgent requests that fill an engine with prompts up to their own objective.
TEST_CASE_METHOD(PendingFixture,
                 "lessUrgentRequest_promptsPending_waitsForUrgentObjective",
                 "[entry]") {
  AddUpstream("engine-1", "engines");
  ReceivePending("engine-1", 5000);
  ReceiveRequest("/long/a", 3000, 748);
  CHECK(EffectsOf<Send>().empty());
  ReceivePending("engine-1", 4000);
  CHECK(EffectsOf<Send>().size() == 1);
}

TEST_CASE_METHOD(PendingFixture, "allowance_timeRunsOut_followsTimeLeft", "[entry]") {
  const Contention& contention = *ContentionOf(state, "engines");
  const Request request = MakeLong();
  CHECK(LatestStart(request) == now + 3500ms);
  CHECK(PrefillAllowance(contention, request, now) == 750ms);
  CHECK(PrefillAllowance(contention, request, now + 2s) == 1500ms);
  CHECK(PrefillAllowance(contention, request, now + 2500ms) == 1000ms);
  CHECK(PrefillAllowance(contention, request, now + 3s) == 500ms);
  CHECK(PrefillAllowance(contention, request, now + 5s) == 187500us);
}

// Guards against prompts that count as pending long after they were processed.
TEST_CASE_METHOD(PendingFixture, "expectedLoad_tableAges_promptsProcessed", "[entry]") {
  AddUpstream("engine-1", "engines");
  ReceivePending("engine-1", 4000);
  now += 300ms;
  CHECK(ExpectedLoad(state, now)["engine-1"].pending_prompt_tokens == 2200);
  CHECK(TotalLoad(state, now)["engine-1"].pending_prompt_tokens == 4000);
  now += 2s;
  CHECK(ExpectedLoad(state, now)["engine-1"].pending_prompt_tokens == 0);
}

// Guards against urgent streams that are late in the engines while less urgent ones have time.
TEST_CASE("hardLoad_burstOfShortStreams_moreOnTime", "[entry]") {
  HardLoadWorld::Options options;
  options.longs_per_second = 12;
  options.shorts_per_second = 10;
  options.burst_per_second = 55;
  options.burst_from = 2s;
  options.burst_until = 5s;
  options.has_classes = false;
  HardLoadWorld before(options);
  before.Run();
  options.has_classes = true;
  HardLoadWorld after(options);
  after.Run();
  CHECK(after.shorts().OnTimeShare() > before.shorts().OnTimeShare() + 0.02);
  CHECK(after.shorts().late < before.shorts().late);
  CHECK(after.longs().OnTimeShare() > 0.97);
}

}  // namespace
}  // namespace snipeturn::entry
