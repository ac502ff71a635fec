#include "snipeturn/entry/queue_forecast.h"

#include <catch2/catch.hpp>

#include "snipeturn/entry/entry_fixture.h"

namespace snipeturn::entry {
namespace {

class ForecastFixture : public EntryFixture {
 public:
  ForecastFixture() {
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

  void ReceiveDemand(double queued, double sends_per_second) {
    PeerLoadReceived load;
    load.host = "host-2";
    load.load["engine-1"] = {5, 30000, 0};
    load.demand["engines"] = {queued, sends_per_second, 0, 0};
    Apply(load);
  }
};

TEST_CASE("wait_requestsAheadAndRate_forecast", "[entry]") {
  CHECK(ForecastWait(30, 20) == 1500ms);
  CHECK(ForecastWait(0, 20) == 0ms);
  CHECK_FALSE(ForecastWait(30, 0));
}

// Guards against callers that wait in a queue whose capacity comes too late for them.
TEST_CASE_METHOD(ForecastFixture, "request_capacityComesTooLate_refusedAtOnce", "[entry]") {
  time_limit = 5s;
  ReceiveDemand(400, 20);
  ReceiveRequest("/short/a", 2200, 12);
  REQUIRE(EffectsOf<Refuse>().size() == 1);
  const Refuse refuse = EffectsOf<Refuse>()[0];
  CHECK(refuse.status == 503);
  CHECK(refuse.reason == "capacity_too_late");
  REQUIRE(refuse.retry_after);
  CHECK(*refuse.retry_after <= 1667ms);
  CHECK(*refuse.retry_after > 0ms);
}

// Guards against refusals that a short wait would have made unnecessary.
TEST_CASE_METHOD(ForecastFixture, "request_capacityComesInTime_queued", "[entry]") {
  ReceiveDemand(20, 20);
  ReceiveRequest("/short/a", 2200, 12);
  CHECK(EffectsOf<Refuse>().empty());
}

// Guards against refusals by a rate that shows nothing: no request was sent lately.
TEST_CASE_METHOD(ForecastFixture, "request_nothingSentLately_queued", "[entry]") {
  ReceiveDemand(400, 0);
  ReceiveRequest("/short/a", 2200, 12);
  CHECK(EffectsOf<Refuse>().empty());
}

// Guards against callers that are refused together and return together.
TEST_CASE_METHOD(ForecastFixture, "refusals_sameForecast_retriesSpread", "[entry]") {
  std::set<std::chrono::milliseconds> times;
  for (int index = 0; index < 40; ++index) {
    Request request;
    request.head.id = "request-" + std::to_string(index);
    request.deadline = now + 30s;
    const auto time = RetryAfterWait(request, 2s, now);
    CHECK(time >= 2s);
    CHECK(time <= 3s);
    times.insert(time);
  }
  CHECK(times.size() > 30);
}

}  // namespace
}  // namespace snipeturn::entry
