#include <catch2/catch.hpp>

#include "snipeturn/entry/entry_fixture.h"
#include "snipeturn/entry/readers.h"

namespace snipeturn::entry {
namespace {

class StoreUpdatesFixture : public EntryFixture {
 public:
  bool IsSent() {
    ConfirmStore();
    ReceiveRequest("/book/a");
    return !EffectsOf<Send>().empty();
  }

  static PeerUpdate MakeUpdate(std::uint64_t number) {
    return {number, UpstreamUnlisted{"gone", {0, number}, UpdateSource::kPeer}};
  }

  std::optional<Refuse> Refusal() {
    const std::vector<Refuse> refusals = EffectsOf<Refuse>();
    return refusals.empty() ? std::nullopt : std::optional(refusals[0]);
  }
};

// Guards against a host that puts an older configuration back into force.
TEST_CASE_METHOD(StoreUpdatesFixture, "desiredState_olderVersion_ignored", "[entry]") {
  desired.version = 5;
  desired.routes.pop_back();
  Apply(DesiredStateRead{desired});
  DesiredState older = desired;
  older.version = 4;
  older.routes.clear();
  Apply(DesiredStateRead{older});
  CHECK(state.desired->version == 5);
  CHECK(state.desired->routes.size() == 2);
}

// Guards against a revoked key that works on a host that can't read of the revocation.
TEST_CASE_METHOD(StoreUpdatesFixture, "keyedRequest_configurationNotConfirmed_refused", "[entry]") {
  AddUpstream("plain-1", "plain");
  now += 4900ms;
  ReceiveRequest("/book/a");
  CHECK(EffectsOf<Send>().size() == 1);
  now += 60ms;
  ReceiveRequest("/book/a");
  REQUIRE(Refusal());
  CHECK(Refusal()->status == 503);
  CHECK_FALSE(IsReady(state, now));
  ConfirmStore();
  CHECK(IsReady(state, now));
}

// Guards against a confirmation whose age counts from the end of a slow read.
TEST_CASE_METHOD(StoreUpdatesFixture, "confirmation_slowRead_ageCountsFromReadStart", "[entry]") {
  AddUpstream("plain-1", "plain");
  const TimePoint began = now;
  now += 4000ms;
  Apply(StoreConfirmed{began});
  now += 1000ms;
  ReceiveRequest("/book/a");
  CHECK(EffectsOf<Send>().empty());
}

TEST_CASE_METHOD(StoreUpdatesFixture, "request_unknownKeyOrRoute_refused", "[entry]") {
  AddUpstream("plain-1", "plain");
  key = "other";
  ReceiveRequest("/book/a");
  CHECK(Refusal()->status == 401);
  key = std::nullopt;
  ReceiveRequest("/book/a");
  CHECK(Refusal()->status == 401);
  key = "key-1";
  ReceiveRequest("/nowhere/a");
  CHECK(Refusal()->status == 404);
}

// Guards against a host that responds with 404 or 401 before it knows any configuration.
TEST_CASE("request_noConfiguration_refusedAsNotRun", "[entry]") {
  State state;
  RequestArrived arrived;
  arrived.request = 1;
  const Effects effects = Reduce(state, arrived, TimePoint(std::chrono::seconds(1)));
  const auto* refuse = std::get_if<Refuse>(&effects.at(0));
  REQUIRE(refuse);
  CHECK(refuse->status == 503);
}

TEST_CASE_METHOD(StoreUpdatesFixture, "upstream_leaves_getsNoNewWork", "[entry]") {
  const UpstreamEntry entry = AddUpstream("plain-1", "plain");
  CHECK(IsSent());
  MarkLeaving(entry);
  CHECK_FALSE(IsSent());
}

// Guards against an outage of the store that takes all upstreams out of service: their entries
// expire during the outage.
TEST_CASE_METHOD(StoreUpdatesFixture, "upstream_expiresDuringOutage_staysInService", "[entry]") {
  const UpstreamEntry entry = AddUpstream("plain-1", "plain");
  Apply(StoreReadFailed{"down"});
  Apply(UpstreamUnlisted{"plain-1", {0, 100}});
  CHECK(IsSent());
  SECTION("reappears within two seconds") {
    AdvanceTime(1500ms);
    Apply(UpstreamListed{entry, {0, 101}});
    AdvanceTime(3000ms);
    CHECK(IsSent());
  }
  SECTION("missing after two seconds") {
    AdvanceTime(2500ms);
    CHECK_FALSE(IsSent());
    // It is written again later all the same.
    Apply(UpstreamListed{entry, {0, 101}});
    CHECK(IsSent());
  }
}

// Guards against streams that are lost with an engine whose entry was removed: a host that the
// store turns away took the removal, which its peers read without failures, for an expired entry.
TEST_CASE_METHOD(StoreUpdatesFixture,
                 "upstream_peerReadsRemovalDuringOwnOutage_leaves",
                 "[entry]") {
  AddUpstream("engine-1", "engines");
  AddUpstream("engine-2", "engines");
  ReceiveRequest("/long/a", 3000, 2000);
  const Send send = EffectsOf<Send>().at(0);
  DeliverEvents(send.attempt, 5);
  Apply(StoreReadFailed{"status 429"});
  PeerLoadReceived load;
  load.host = "host-2";
  Apply(load);
  load.last_update = 1;
  UpstreamUnlisted removed{send.upstream, {0, 100}, UpdateSource::kPeer, false};
  SECTION("peer reads the store without failures") {
    load.recent_updates = {{1, removed}};
    Apply(load);
    CHECK(EffectsOf<StartCopy>().size() == 1);
  }
  SECTION("peer is turned away too: the upstream is asked") {
    removed.may_have_expired = true;
    load.recent_updates = {{1, removed}};
    load.list_age = 0ms;
    Apply(load);
    CHECK(EffectsOf<StartCopy>().empty());
    AdvanceTime(400ms);
    REQUIRE_FALSE(EffectsOf<ReadReport>().empty());
    CHECK(EffectsOf<ReadReport>()[0].upstream == send.upstream);
  }
}

// Guards against a request to a server that has left, sent 2.1 s after its entry was removed: a
// host whose zone had been cut off from the store until a moment before took the removal for that
// of an entry which had expired, although the server had written it since
// (review/days-2/zone-cuts).
TEST_CASE_METHOD(StoreUpdatesFixture,
                 "upstream_writtenSinceOutageThenRemoved_leavesAtOnce",
                 "[entry]") {
  UpstreamEntry entry = AddUpstream("plain-1", "plain");
  Apply(StoreReadFailed{"connect timeout"});
  now += 100ms;
  entry.sequence += 1;
  SECTION("written after the first read") {
    Apply(ListConfirmed{now, {0, 100}});
    now += 300ms;
    Apply(UpstreamListed{entry, {0, 100}});
    now += 600ms;
    Apply(UpstreamUnlisted{"plain-1", {0, 101}});
    CHECK_FALSE(IsSent());
  }
  SECTION("written before the first read, maybe before the outage") {
    Apply(UpstreamListed{entry, {0, 99}});
    Apply(ListConfirmed{now, {0, 100}});
    now += 900ms;
    Apply(UpstreamUnlisted{"plain-1", {0, 101}});
    CHECK(IsSent());
  }
  SECTION("the read began before the last failure") {
    const TimePoint began = now;
    now += 100ms;
    Apply(StoreReadFailed{"timeout"});
    Apply(ListConfirmed{began, {0, 100}});
    Apply(UpstreamListed{entry, {0, 100}});
    Apply(UpstreamUnlisted{"plain-1", {0, 101}});
    CHECK(IsSent());
  }
}

// Guards against removals that a host passes on without saying whether it could read the store.
TEST_CASE_METHOD(StoreUpdatesFixture, "removal_readInOutage_toldAsPossiblyExpired", "[entry]") {
  const bool is_outage = GENERATE(true, false);
  AddUpstream("plain-1", "plain");
  if (is_outage) {
    Apply(StoreReadFailed{"down"});
  }
  Apply(UpstreamUnlisted{"plain-1", {0, 100}});
  const PeerLoadReceived table = MakeLoadBroadcast(state, now);
  const auto* told = std::get_if<UpstreamUnlisted>(&table.recent_updates.back().notice);
  REQUIRE(told != nullptr);
  CHECK(told->may_have_expired == is_outage);
}

TEST_CASE_METHOD(StoreUpdatesFixture,
                 "upstream_entryRemovedWithoutOutage_leavesAtOnce",
                 "[entry]") {
  const UpstreamEntry entry = AddUpstream("plain-1", "plain");
  Apply(UpstreamUnlisted{"plain-1", {0, 100}});
  CHECK_FALSE(IsSent());
  Apply(UpstreamListed{entry, {0, 101}});
  CHECK(IsSent());
}

// Guards against a late message of a peer that returns a removed upstream to service.
TEST_CASE_METHOD(StoreUpdatesFixture, "upstream_lateRecord_ignored", "[entry]") {
  const UpstreamEntry entry = AddUpstream("plain-1", "plain");
  Apply(UpstreamUnlisted{"plain-1", {0, 100}});
  Apply(UpstreamListed{entry, {0, 50}, UpdateSource::kPeer});
  CHECK_FALSE(IsSent());
}

// Guards against a delayed report of an earlier incarnation.
TEST_CASE_METHOD(StoreUpdatesFixture, "upstream_reportOfEarlierIncarnation_ignored", "[entry]") {
  UpstreamEntry entry = AddUpstream("plain-1", "plain");
  entry.start_time_ms = 2000;
  entry.sequence = 1;
  Apply(UpstreamListed{entry, {0, 100}});
  entry.start_time_ms = 1000;
  entry.sequence = 99;
  entry.leaving = true;
  Apply(UpstreamListed{entry, {0, 101}});
  CHECK(IsSent());
}

// Guards against hosts that exchange the same update endlessly.
TEST_CASE_METHOD(StoreUpdatesFixture, "update_fromStoreBroadcastOnce_fromPeerNot", "[entry]") {
  UpstreamEntry entry = AddUpstream("plain-1", "plain");
  CHECK(state.last_update == 1);
  entry.sequence += 1;
  Apply(UpstreamListed{entry, {0, 100}});
  CHECK(state.last_update == 1);
  entry.leaving = true;
  entry.sequence += 1;
  Apply(UpstreamListed{entry, {0, 101}, UpdateSource::kPeer});
  CHECK(state.last_update == 1);
  CHECK_FALSE(IsSent());
}

TEST_CASE_METHOD(StoreUpdatesFixture, "zone_evacuated_getsNoNewWorkUntilReturn", "[entry]") {
  AddUpstream("plain-1", "plain", "zone-b");
  Apply(EvacuationRead{"zone-b", true});
  CHECK_FALSE(IsSent());
  Apply(EvacuationRead{"zone-b", false});
  CHECK(IsSent());
}

// Guards against a cold upstream to which each host sends the whole permitted rate.
TEST_CASE_METHOD(StoreUpdatesFixture, "coldUpstream_manyHosts_getsThisHostsShare", "[entry]") {
  desired.version = 2;
  desired.services["plain"].cold_requests_per_second = 20;
  Apply(DesiredStateRead{desired});
  Apply(HostsRead{10, {}});
  UpstreamEntry entry = AddUpstream("plain-1", "plain");
  entry.cold_left = 2s;
  entry.sequence += 1;
  Apply(UpstreamListed{entry, {0, 100}});
  int sent = 0;
  for (int count = 0; count < 6; ++count) {
    sent += IsSent() ? 1 : 0;
  }
  CHECK(sent == 2);
  AdvanceTime(3000ms);
  CHECK(IsSent());
}

// Guards against an upstream list that no host reads, or that every host reads often.
TEST_CASE("listReaders_manyPeers_twoReadOften", "[entry]") {
  const TimePoint now(std::chrono::seconds(10));
  int first = 0;
  int second = 0;
  constexpr int kHosts = 20;
  for (int own = 0; own < kHosts; ++own) {
    State state;
    state.options.host = "host-" + std::to_string(own);
    for (int other = 0; other < kHosts; ++other) {
      if (other != own) {
        PeerLoad& peer = state.peers["host-" + std::to_string(other)];
        peer.at = now;
        peer.list_confirmed = now;
      }
    }
    first += ListReadInterval(state, now) < 200ms ? 1 : 0;
    second += ListReadInterval(state, now) < 500ms ? 1 : 0;
    // A host without live peers reads the list itself.
    CHECK(ListReadInterval(state, now + 5s) < 500ms);
    // A reader that is cut off from the store doesn't count.
    for (auto& [host, peer] : state.peers) {
      peer.list_confirmed = now - 2s;
    }
    CHECK(ListReadInterval(state, now) <= state.options.bounds.drain / 2);
  }
  CHECK(first == 1);
  CHECK(second == 2);
}

// Guards against a change of the configuration that a host sees only with its own next regular
// read.
TEST_CASE_METHOD(StoreUpdatesFixture, "configuration_peerHasReadFurther_readAtOnce", "[entry]") {
  Apply(StoreConfirmed{now, {0, 10}});
  PeerLoadReceived load;
  load.host = "host-2";
  load.configuration_position = {0, 10};
  Apply(load);
  CHECK(EffectsOf<ReadConfiguration>().empty());
  load.configuration_position = {0, 11};
  Apply(load);
  CHECK(EffectsOf<ReadConfiguration>().size() == 1);
}

// Guards against hosts that can't confirm keys after the store is back, and against hosts that all
// read it constantly.
TEST_CASE_METHOD(StoreUpdatesFixture, "storeUnreachable_peerReadsAgain_readAtOnce", "[entry]") {
  PeerLoadReceived load;
  load.host = "host-2";
  load.configuration_age = 100ms;
  Apply(load);
  CHECK(EffectsOf<ReadConfiguration>().empty());
  Apply(StoreReadFailed{"down"});
  load.configuration_age = 3s;
  Apply(load);
  CHECK(EffectsOf<ReadConfiguration>().empty());
  load.configuration_age = 100ms;
  Apply(load);
  CHECK(EffectsOf<ReadConfiguration>().size() == 1);
  // If only this host can't reach the store, the backoff after failed reads applies: each of 29
  // hosts that were cut off read four times a second (haedal-hq-grown trouble-1, seed 11).
  now += 300ms;
  Apply(load);
  CHECK(EffectsOf<ReadConfiguration>().empty());
  load.configuration_position = {0, 12};
  Apply(load);
  CHECK(EffectsOf<ReadConfiguration>().empty());
  // This host was cut off from all others: it reads at once when their tables arrive again.
  now += 3s;
  Apply(load);
  CHECK(EffectsOf<ReadConfiguration>().size() == 1);
}

// Guards against a host that misses a change for over two seconds because the reader that it relies
// on is cut off from the store (fuzzing scenario links_fail, seed 265235276028: rule CONFIG).
TEST_CASE_METHOD(StoreUpdatesFixture,
                 "configurationReads_readerCutOff_hostReadsInTime",
                 "[entry]") {
  state.peers["peer-1"].at = now;
  state.peers["peer-2"].at = now;
  state.peers["peer-3"].at = now;
  const std::string own = [this] {
    // Finds a name that ranks behind all three peers.
    for (int number = 0;; ++number) {
      state.options.host = "host-" + std::to_string(number);
      if (ReaderRank(state, "configuration", now) == 3) {
        return state.options.host;
      }
    }
  }();
  CHECK_FALSE(IsConfigurationReader(state, now));
  constexpr auto kApply = 2000ms;
  constexpr auto kIntervalCheck = 300ms;
  // The reader's last read ended just before the change; measures the time until this host reads.
  state.peers["peer-1"].configuration_confirmed = now;
  auto relied = 0ms;
  while (PlanConfigurationReads(state, now).interval > 1000ms) {
    now += 50ms;
    relied += 50ms;
    for (auto& [host, peer] : state.peers) {
      peer.at = now;
    }
  }
  CHECK(relied + kIntervalCheck + PlanConfigurationReads(state, now).interval / 10 < kApply);
}

// Guards against keys that expire, and a host that reports not ready, in normal operation: the age
// of a confirmation is up to the interval, or twice the wait. No reader replies to requests here.
TEST_CASE_METHOD(StoreUpdatesFixture, "configurationReads_anyRank_keepHostReady", "[entry]") {
  for (int hosts = 0; hosts < 12; ++hosts) {
    const ConfigurationReadPlan reads = PlanConfigurationReads(state, now);
    const TimePoint read_at = now;
    auto interval = 0ms;
    while (PlanConfigurationReads(state, now).interval > interval) {
      interval += 50ms;
      now = read_at + interval;
      for (auto& [host, peer] : state.peers) {
        peer.at = now;
        peer.configuration_confirmed = now;
      }
    }
    constexpr auto kIntervalCheck = 300ms;
    CHECK(2 * reads.wait + interval + kIntervalCheck < state.options.bounds.revoke * 6 / 10);
    Apply(StoreConfirmed{now, {0, 10}});
    PeerLoad& peer = state.peers["peer-" + std::to_string(hosts)];
    peer.at = now;
    peer.configuration_confirmed = now;
  }
  CHECK(PlanConfigurationReads(state, now + 5s).wait > 0ms);
}

// Guards against a lost datagram after which a host keeps using an upstream that has left.
TEST_CASE_METHOD(StoreUpdatesFixture, "peerUpdate_lost_listIsRead", "[entry]") {
  PeerLoadReceived load;
  load.host = "host-2";
  Apply(load);
  CHECK(EffectsOf<ReadList>().empty());
  CHECK(EffectsOf<ReadConfiguration>().empty());
  load.last_update = 1;
  load.recent_updates = {MakeUpdate(1)};
  Apply(load);
  CHECK(EffectsOf<ReadList>().empty());
  SECTION("the next table repeats it") {
    load.last_update = 3;
    load.recent_updates = {MakeUpdate(1), MakeUpdate(2), MakeUpdate(3)};
    Apply(load);
    CHECK(EffectsOf<ReadList>().empty());
  }
  SECTION("it is not repeated") {
    load.last_update = 3;
    load.recent_updates = {MakeUpdate(3)};
    Apply(load);
    CHECK(EffectsOf<ReadList>().size() == 1);
  }
  SECTION("no later update arrives") {
    load.last_update = 2;
    load.recent_updates.clear();
    Apply(load);
    CHECK(EffectsOf<ReadList>().size() == 1);
  }
  SECTION("nothing was lost") {
    Apply(load);
    CHECK(EffectsOf<ReadList>().empty());
  }
}

}  // namespace
}  // namespace snipeturn::entry
