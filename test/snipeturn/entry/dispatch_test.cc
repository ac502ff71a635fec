#include <catch2/catch.hpp>

#include "snipeturn/entry/entry_fixture.h"

namespace snipeturn::entry {
namespace {

/// Two routes to the engines, which have no room; the long one is the less urgent.
class QueueFixture : public EntryFixture {
 public:
  QueueFixture() {
    desired.version = 2;
    desired.routes[0].priority = 2;
    desired.routes[0].latency_objective = 4000ms;
    desired.routes.push_back(MakeRoute("/short/", RouteKind::kStream, "engines"));
    desired.routes.back().latency_objective = 1500ms;
    Apply(DesiredStateRead{desired});
    AddUpstream("engine-1", "engines");
    ReceiveLoad(30000);
  }

  void ReceiveLoad(std::uint64_t tokens) {
    PeerLoadReceived load;
    load.host = "host-2";
    load.load["engine-1"] = {2, tokens, 0};
    load.demand["engines"] = {};
    Apply(load);
  }

  /// Request that is sent when the engine gets room for one.
  RequestKey FreeRoom() {
    ReceiveLoad(22500);
    return EffectsOf<Send>().empty() ? 0 : EffectsOf<Send>()[0].request;
  }
};

// Guards against a less urgent request that misses its objective behind urgent ones that have time.
TEST_CASE_METHOD(QueueFixture, "contendedQueue_lessUrgentMustStartFirst_sentFirst", "[entry]") {
  const RequestKey first = ReceiveRequest("/long/a", 3000, 748);
  AdvanceTime(2700ms);
  ReceiveLoad(30000);
  ReceiveRequest("/short/a", 3000, 748);
  CHECK(FreeRoom() == first);
}

TEST_CASE_METHOD(QueueFixture, "contendedQueue_urgentMustStartFirst_sentFirst", "[entry]") {
  ReceiveRequest("/long/a", 3000, 748);
  const RequestKey urgent = ReceiveRequest("/short/a", 3000, 748);
  CHECK(FreeRoom() == urgent);
}

// Guards against requests that can't be on time any more making others late as well.
TEST_CASE_METHOD(QueueFixture, "contendedQueue_requestIsLate_sentLast", "[entry]") {
  ReceiveRequest("/short/a", 3000, 748);
  AdvanceTime(1040ms);
  ReceiveLoad(30000);
  const RequestKey second = ReceiveRequest("/short/a", 3000, 748);
  CHECK(FreeRoom() == second);
}

}  // namespace
}  // namespace snipeturn::entry
