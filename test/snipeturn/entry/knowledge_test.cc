#include <catch2/catch.hpp>

#include "snipeturn/entry/entry_fixture.h"
#include "snipeturn/entry/readers.h"

namespace snipeturn::entry {
namespace {

class KnowledgeFixture : public EntryFixture {
 public:
  bool IsSent() {
    Confirm();
    Arrive("/book/a");
    return !All<Send>().empty();
  }

  std::optional<Refuse> Refusal() {
    const std::vector<Refuse> refusals = All<Refuse>();
    return refusals.empty() ? std::nullopt : std::optional(refusals[0]);
  }
};

// Guards against a host that brings an older configuration back into force.
TEST_CASE_METHOD(KnowledgeFixture, "desiredState_olderVersion_ignored", "[entry]") {
  desired.version = 5;
  desired.routes.pop_back();
  Do(DesiredStateRead{desired});
  DesiredState older = desired;
  older.version = 4;
  older.routes.clear();
  Do(DesiredStateRead{older});
  CHECK(state.desired->version == 5);
  CHECK(state.desired->routes.size() == 2);
}

// Guards against a revoked key that works on a host which can't read of it.
TEST_CASE_METHOD(KnowledgeFixture, "keyedRequest_configurationNotConfirmed_refused", "[entry]") {
  List("plain-1", "plain");
  now += 4900ms;
  Arrive("/book/a");
  CHECK(All<Send>().size() == 1);
  now += 60ms;
  Arrive("/book/a");
  REQUIRE(Refusal());
  CHECK(Refusal()->status == 503);
  CHECK_FALSE(IsReady(state, now));
  Confirm();
  CHECK(IsReady(state, now));
}

// Guards against a confirmation that counts from the end of a slow read.
TEST_CASE_METHOD(KnowledgeFixture, "confirmation_slowRead_countsFromItsBegin", "[entry]") {
  List("plain-1", "plain");
  const TimePoint began = now;
  now += 4000ms;
  Do(StoreConfirmed{began});
  now += 1000ms;
  Arrive("/book/a");
  CHECK(All<Send>().empty());
}

TEST_CASE_METHOD(KnowledgeFixture, "request_unknownKeyOrRoute_refused", "[entry]") {
  List("plain-1", "plain");
  key = "other";
  Arrive("/book/a");
  CHECK(Refusal()->status == 401);
  key = std::nullopt;
  Arrive("/book/a");
  CHECK(Refusal()->status == 401);
  key = "key-1";
  Arrive("/nowhere/a");
  CHECK(Refusal()->status == 404);
}

// Guards against a host that answers 404 or 401 before it knows any configuration.
TEST_CASE("request_noConfiguration_refusedAsNotRun", "[entry]") {
  State state;
  RequestArrived arrived;
  arrived.request = 1;
  const Effects effects = Reduce(state, arrived, TimePoint(std::chrono::seconds(1)));
  const auto* refuse = std::get_if<Refuse>(&effects.at(0));
  REQUIRE(refuse);
  CHECK(refuse->status == 503);
}

TEST_CASE_METHOD(KnowledgeFixture, "upstream_leaves_getsNoNewWork", "[entry]") {
  const UpstreamEntry entry = List("plain-1", "plain");
  CHECK(IsSent());
  Leave(entry);
  CHECK_FALSE(IsSent());
}

// Guards against an outage of the store that takes all upstreams out: their entries lapse
// meanwhile.
TEST_CASE_METHOD(KnowledgeFixture, "upstream_lapsesDuringOutage_servesOn", "[entry]") {
  const UpstreamEntry entry = List("plain-1", "plain");
  Do(StoreFailed{"down"});
  Do(UpstreamUnlisted{"plain-1", 100});
  CHECK(IsSent());
  SECTION("back within two seconds") {
    Wait(1500ms);
    Do(UpstreamListed{entry, 101});
    Wait(3000ms);
    CHECK(IsSent());
  }
  SECTION("missing after two seconds") {
    Wait(2500ms);
    CHECK_FALSE(IsSent());
  }
}

TEST_CASE_METHOD(KnowledgeFixture, "upstream_entryRemovedInCalm_leavesAtOnce", "[entry]") {
  const UpstreamEntry entry = List("plain-1", "plain");
  Do(UpstreamUnlisted{"plain-1", 100});
  CHECK_FALSE(IsSent());
  Do(UpstreamListed{entry, 101});
  CHECK(IsSent());
}

// Guards against a late message of a peer that brings an upstream back which has left.
TEST_CASE_METHOD(KnowledgeFixture, "upstream_lateRecord_ignored", "[entry]") {
  const UpstreamEntry entry = List("plain-1", "plain");
  Do(UpstreamUnlisted{"plain-1", 100});
  Do(UpstreamListed{entry, 50, KnowledgeSource::kPeer});
  CHECK_FALSE(IsSent());
}

// Guards against a delayed report of a former life.
TEST_CASE_METHOD(KnowledgeFixture, "upstream_reportOfFormerLife_ignored", "[entry]") {
  UpstreamEntry entry = List("plain-1", "plain");
  entry.born = 2000;
  entry.sequence = 1;
  Do(UpstreamListed{entry, 100});
  entry.born = 1000;
  entry.sequence = 99;
  entry.leaving = true;
  Do(UpstreamListed{entry, 101});
  CHECK(IsSent());
}

// Guards against hosts that tell each other the same news for ever.
TEST_CASE_METHOD(KnowledgeFixture, "news_fromStoreToldOnce_fromPeerNot", "[entry]") {
  UpstreamEntry entry = List("plain-1", "plain");
  CHECK(All<TellPeers>().size() == 1);
  entry.sequence += 1;
  Do(UpstreamListed{entry, 100});
  CHECK(All<TellPeers>().empty());
  entry.leaving = true;
  entry.sequence += 1;
  Do(UpstreamListed{entry, 101, KnowledgeSource::kPeer});
  CHECK(All<TellPeers>().empty());
  CHECK_FALSE(IsSent());
}

TEST_CASE_METHOD(KnowledgeFixture, "zone_evacuated_getsNoNewWorkUntilBack", "[entry]") {
  List("plain-1", "plain", "zone-b");
  Do(EvacuationRead{"zone-b", true});
  CHECK_FALSE(IsSent());
  Do(EvacuationRead{"zone-b", false});
  CHECK(IsSent());
}

// Guards against a cold upstream that gets the sum of what all hosts would send.
TEST_CASE_METHOD(KnowledgeFixture, "coldUpstream_manyHosts_getsThisHostsShare", "[entry]") {
  desired.version = 2;
  desired.services["plain"].cold_requests_per_second = 20;
  Do(DesiredStateRead{desired});
  Do(HostsRead{10});
  UpstreamEntry entry = List("plain-1", "plain");
  entry.cold_left = 2s;
  entry.sequence += 1;
  Do(UpstreamListed{entry, 100});
  int sent = 0;
  for (int count = 0; count < 6; ++count) {
    sent += IsSent() ? 1 : 0;
  }
  CHECK(sent == 2);
  Wait(3000ms);
  CHECK(IsSent());
}

// Guards against a list that nobody reads, or that every host reads often.
TEST_CASE("listReaders_hostsHeard_twoReadOften", "[entry]") {
  const TimePoint now(std::chrono::seconds(10));
  int readers = 0;
  constexpr int kHosts = 20;
  for (int own = 0; own < kHosts; ++own) {
    State state;
    state.options.host = "host-" + std::to_string(own);
    for (int other = 0; other < kHosts; ++other) {
      if (other != own) {
        state.peers["host-" + std::to_string(other)].at = now;
      }
    }
    readers += ListReadInterval(state, now) < 500ms ? 1 : 0;
    CHECK(ListReadInterval(state, now) <= state.options.bounds.drain / 2);
    // Hosts that hear nobody read by themselves.
    CHECK(ListReadInterval(state, now + 5s) < 500ms);
  }
  CHECK(readers == kListReaders);
}

}  // namespace
}  // namespace snipeturn::entry
