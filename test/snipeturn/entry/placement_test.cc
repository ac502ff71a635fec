#include <catch2/catch.hpp>

#include "snipeturn/entry/entry_fixture.h"

namespace snipeturn::entry {
namespace {

class PlacementFixture : public EntryFixture {
 public:
  std::string Place(std::uint64_t prompt, std::uint64_t hint) {
    ReceiveRequest("/long/a", prompt, hint);
    const std::vector<Send> sends = EffectsOf<Send>();
    return sends.empty() ? "" : sends[0].upstream;
  }

  void ReceiveLoad(const std::string& upstream, std::uint64_t tokens, int count = 1) {
    PeerLoadReceived load;
    load.host = "host-2";
    load.load[upstream] = {count, tokens, 0};
    Apply(load);
  }
};

// Guards against an engine that runs out of memory because each host counts only its own requests.
TEST_CASE_METHOD(PlacementFixture, "engine_fullOfPeerRequests_notChosen", "[entry]") {
  AddUpstream("engine-1", "engines");
  AddUpstream("engine-2", "engines", "zone-b");
  ReceiveLoad("engine-1", 25000);
  CHECK(Place(3000, 1000) == "engine-2");
}

// Guards against requests to a leaving upstream. A host that was partitioned from the store when
// the entry was removed took the entry for an expired one (hunted day zone_leaves_and_returns, seed
// 830848609653).
TEST_CASE_METHOD(PlacementFixture, "upstream_entryRemovedDuringOutage_chosenLast", "[entry]") {
  AddUpstream("engine-1", "engines");
  AddUpstream("engine-2", "engines", "zone-b");
  Apply(StoreReadFailed{"no answer"});
  Apply(UpstreamUnlisted{"engine-1", {0, 10}});
  CHECK(Place(3000, 1000) == "engine-2");
  // The entries may have expired because of the outage, so the upstreams are still used.
  Apply(UpstreamUnlisted{"engine-2", {0, 11}});
  CHECK_FALSE(Place(3000, 1000).empty());
}

TEST_CASE_METHOD(PlacementFixture, "request_noRoomAnywhere_queuedUntilThereIsRoom", "[entry]") {
  AddUpstream("engine-1", "engines");
  ReceiveLoad("engine-1", 26000);
  CHECK(Place(3000, 1000).empty());
  CHECK(EffectsOf<Refuse>().empty());
  ReceiveLoad("engine-1", 10000);
  CHECK(EffectsOf<Send>().size() == 1);
}

// Guards against a caller that is queued until its time limit instead of getting a Retry-After.
TEST_CASE_METHOD(PlacementFixture, "request_noRoomForLong_refusedWithRetryAfter", "[entry]") {
  time_limit = 6s;
  AddUpstream("engine-1", "engines");
  for (int round = 0; round < 8; ++round) {
    ReceiveLoad("engine-1", 26000);
    if (round == 0) {
      CHECK(Place(3000, 1000).empty());
    }
    AdvanceTime(250ms);
    if (!EffectsOf<Refuse>().empty()) {
      break;
    }
  }
  REQUIRE(EffectsOf<Refuse>().size() == 1);
  CHECK(EffectsOf<Refuse>()[0].status == 503);
  REQUIRE(EffectsOf<Refuse>()[0].retry_after);
  CHECK(*EffectsOf<Refuse>()[0].retry_after <= 2s);
}

// Guards against requests that wait behind others of lower priority.
TEST_CASE_METHOD(PlacementFixture, "queue_roomFreed_highestPriorityFirst", "[entry]") {
  desired.version = 2;
  desired.routes.push_back(MakeRoute("/urgent/", RouteKind::kStream, "engines"));
  desired.routes[0].priority = 1;
  Apply(DesiredStateRead{desired});
  AddUpstream("engine-1", "engines");
  ReceiveLoad("engine-1", 27000);
  Place(3000, 1000);
  ReceiveRequest("/urgent/a", 3000, 1000);
  const RequestKey urgent = requests;
  ReceiveLoad("engine-1", 22500);
  REQUIRE(EffectsOf<Send>().size() == 1);
  CHECK(EffectsOf<Send>()[0].request == urgent);
}

TEST_CASE_METHOD(PlacementFixture, "peerLoad_noBroadcasts_expires", "[entry]") {
  AddUpstream("engine-1", "engines");
  ReceiveLoad("engine-1", 26000);
  now += 4s;
  ConfirmStore();
  CHECK(Place(3000, 1000) == "engine-1");
}

// Guards against requests to other zones while the local zone has room.
TEST_CASE_METHOD(PlacementFixture, "plainRequest_zoneHasRoom_staysInZone", "[entry]") {
  AddUpstream("plain-1", "plain", "zone-b");
  AddUpstream("plain-2", "plain", "zone-a");
  AddUpstream("plain-3", "plain", "zone-c");
  for (int count = 0; count < 5; ++count) {
    ReceiveRequest("/book/a");
    REQUIRE(EffectsOf<Send>().size() == 1);
    CHECK(EffectsOf<Send>()[0].upstream == "plain-2");
    EndAttempt(EffectsOf<Send>()[0].attempt, AttemptResult::kAnswered, 200);
  }
}

// Guards against an upstream that fails some of its requests but is chosen as often as the others.
TEST_CASE_METHOD(PlacementFixture, "upstream_failsOften_othersPreferred", "[entry]") {
  AddUpstream("plain-1", "plain");
  AddUpstream("plain-2", "plain");
  int to_failing = 0;
  for (int count = 0; count < 200; ++count) {
    now += 300ms;
    ConfirmStore();
    ReceiveRequest("/book/a");
    const Send send = EffectsOf<Send>().at(0);
    const bool is_failing = send.upstream == "plain-1";
    to_failing += is_failing && count >= 100 ? 1 : 0;
    EndAttempt(send.attempt, is_failing ? AttemptResult::kBroken : AttemptResult::kAnswered, 200);
  }
  CHECK(to_failing < 20);
}

}  // namespace
}  // namespace snipeturn::entry
