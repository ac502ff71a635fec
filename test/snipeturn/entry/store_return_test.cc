#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "snipeturn/entry/entry_fixture.h"
#include "snipeturn/entry/load.h"
#include "snipeturn/entry/readers.h"

namespace snipeturn::entry {
namespace {

/// A host that has read the store's logs up to offset 100 in era 1, and what it learns when the
/// store comes back from a copy that ends at offset 60.
class StoreReturnFixture : public EntryFixture {
 public:
  static constexpr StoreEra kEra = 1;
  static constexpr std::uint64_t kCopyEnd = 60;
  static constexpr std::chrono::milliseconds kHold{5000};

  StoreReturnFixture() {
    state.store = StoreView();
    Apply(StoreEraRead{kEra});
    state.store.awaits_versions = false;
    ConfirmAt({kEra, 100});
  }

  void ConfirmAt(StorePosition position) { Apply(StoreConfirmed{now, position}); }

  void ReturnStore(StoreEra era = kEra + 1) { Apply(StoreEraRead{era}); }

  UpstreamListed MakeRecord(const std::string& id, StorePosition position, std::int64_t count = 7) {
    UpstreamListed record;
    record.entry.id = id;
    record.entry.service = "plain";
    record.entry.zone = "zone-a";
    record.entry.endpoint = {"10.0.1.1", 80};
    record.entry.slots = 6;
    record.entry.start_time_ms = 1000;
    record.entry.sequence = count;
    record.position = position;
    return record;
  }

  /// Reads the list that the store has after its return.
  void ReadList(const std::vector<UpstreamListed>& entries, StoreEra era = kEra + 1) {
    Apply(UpstreamListRead{entries, {era, kCopyEnd}});
  }

  /// Sends a request while the keys are confirmed.
  bool IsSent() {
    state.store.confirmed = now;
    ReceiveRequest("/book/a");
    return !EffectsOf<Send>().empty();
  }

  UpstreamPhase Phase(const std::string& id) { return state.upstreams.at(id).phase; }

  PeerLoadReceived MakeTable(StorePosition position, std::optional<std::int64_t> version = 1) {
    PeerLoadReceived table;
    table.host = "host-2";
    table.zone = "zone-a";
    table.configuration_position = position;
    table.configuration_version = version;
    table.configuration_age = 200ms;
    return table;
  }

  /// Makes the other hosts the readers of the configuration.
  void MakeOthersReaders() {
    for (int number = 0; IsConfigurationReader(state, now); ++number) {
      for (const char* peer : {"host-2", "host-3", "host-4"}) {
        state.peers[peer].at = now;
      }
      state.options.host = "own-" + std::to_string(number);
    }
  }

  /// Requests a confirmation of an old read from host-2 and returns the time of the request.
  TimePoint AgeConfirmation(StorePosition table) {
    MakeOthersReaders();
    now += 2s;
    for (const char* peer : {"host-2", "host-3", "host-4"}) {
      state.peers[peer].at = now;
    }
    Apply(MakeTable(table));
    REQUIRE(state.store.requested_at == now);
    return now;
  }
};

TEST_CASE("position_laterEra_newerThanAnyOffset", "[entry]") {
  CHECK(StorePosition(1, 100) < StorePosition(2, 0));
  CHECK(StorePosition(2, 3) < StorePosition(2, 4));
  CHECK(StorePosition(1, 4) != StorePosition(2, 4));
}

// Guards against hosts that wait until the new log has passed the offset of the former one.
TEST_CASE_METHOD(StoreReturnFixture,
                 "peerTable_lowerOffsetOfNewEra_configurationIsRead",
                 "[entry]") {
  Apply(MakeTable({kEra + 1, 61}));
  CHECK(EffectsOf<ReadConfiguration>().size() == 1);
  Apply(MakeTable({kEra, 99}));
  CHECK(EffectsOf<ReadConfiguration>().empty());
}

// Guards against keys that stay confirmed by a host that still reads the log before the return.
TEST_CASE_METHOD(StoreReturnFixture, "confirmation_ofFormerEra_ignored", "[entry]") {
  ReturnStore();
  ConfirmAt({kEra + 1, kCopyEnd});
  const TimePoint requested = AgeConfirmation({kEra + 1, kCopyEnd});
  const auto before = state.store.confirmed;
  Apply(ConfirmationReceived{requested, {kEra, 40}, 1, 100ms});
  CHECK(state.store.confirmed == before);
  Apply(ConfirmationReceived{requested, {kEra + 1, kCopyEnd}, 1, 100ms});
  CHECK(state.store.confirmed == requested - 100ms);
}

// Guards against a host that misses what was written before its old offset in the new log.
TEST_CASE_METHOD(StoreReturnFixture, "confirmation_ofNewEra_configurationIsRead", "[entry]") {
  const TimePoint requested = AgeConfirmation({kEra, 100});
  const auto before = state.store.confirmed;
  Apply(ConfirmationReceived{requested, {kEra + 1, 61}, 2, 100ms});
  CHECK(EffectsOf<ReadConfiguration>().size() == 1);
  CHECK(EffectsOf<ReadSnapshots>().size() == 1);
  CHECK(state.store.confirmed == before);
}

// Guards against a host that refuses all keys, since only its peers reach the store that came back.
TEST_CASE_METHOD(StoreReturnFixture,
                 "confirmation_ofNewEraAtCutHost_countsForSameVersion",
                 "[entry]") {
  Apply(StoreReadFailed{"cut"});
  const TimePoint requested = AgeConfirmation({kEra, 100});
  const auto before = state.store.confirmed;
  const std::int64_t version = GENERATE(0, 1, 2);
  Apply(ConfirmationReceived{requested, {kEra + 1, 61}, version, 100ms});
  if (version <= 1) {
    CHECK(state.store.confirmed == requested - 100ms);
  } else {
    CHECK(state.store.confirmed == before);
  }
}

// Guards against hosts that rely on a reader that hasn't seen the return.
TEST_CASE_METHOD(StoreReturnFixture, "reader_ofFormerEra_notReliedOn", "[entry]") {
  ReturnStore();
  ConfirmAt({kEra + 1, kCopyEnd});
  MakeOthersReaders();
  PeerLoadReceived table = MakeTable({kEra, 100});
  table.list_age = 100ms;
  Apply(table);
  CHECK(PlanConfigurationReads(state, now).interval < 1s);
  CHECK_FALSE(IsUpstreamListFresh(state, now));
  table.configuration_position = {kEra + 1, kCopyEnd};
  Apply(table);
  CHECK(PlanConfigurationReads(state, now).interval > 10s);
  CHECK(IsUpstreamListFresh(state, now));
}

// Guards against a read that began before the return and counts after it.
TEST_CASE_METHOD(StoreReturnFixture, "read_ofFormerEra_confirmsNothing", "[entry]") {
  Apply(MakeTable({kEra + 1, 61}));
  const auto before = state.store.confirmed;
  now += 100ms;
  ConfirmAt({kEra, 101});
  Apply(ListConfirmed{now, {kEra, 101}});
  CHECK(state.store.confirmed == before);
  CHECK_FALSE(state.list_confirmed);
}

// Guards against a server that is used again only because the copy still lists it.
TEST_CASE_METHOD(StoreReturnFixture, "upstream_removedButInCopy_staysRemoved", "[entry]") {
  const UpstreamListed record = MakeRecord("plain-1", {kEra, 50});
  Apply(record);
  Apply(UpstreamUnlisted{"plain-1", {kEra, 80}, UpdateSource::kStore, false});
  const bool is_forgotten = GENERATE(false, true);
  if (is_forgotten) {
    AdvanceTime(6s);
    REQUIRE(state.upstreams.empty());
  }
  ReturnStore();
  UpstreamListed copy = record;
  copy.position.era = kEra + 1;
  ReadList({copy});
  CHECK_FALSE(IsSent());
  SECTION("written again by the server") {
    Apply(MakeRecord("plain-1", {kEra + 1, kCopyEnd}, 8));
    CHECK(IsSent());
  }
  SECTION("written again before this host's first read") {
    ReadList({MakeRecord("plain-1", {kEra + 1, 59}, 8)});
    CHECK(IsSent());
  }
  SECTION("still listed when the hold has ended") {
    AdvanceTime(kHold);
    CHECK(EffectsOf<ReadSnapshots>().size() == 1);
    ReadList({copy});
    CHECK(IsSent());
  }
}

// Guards against the same by way of a host that knows only the copy.
TEST_CASE_METHOD(StoreReturnFixture, "upstream_copyToldByPeer_staysRemoved", "[entry]") {
  UpstreamListed record = MakeRecord("plain-1", {kEra, 50});
  Apply(record);
  Apply(UpstreamUnlisted{"plain-1", {kEra, 80}, UpdateSource::kStore, false});
  PeerLoadReceived table = MakeTable({kEra, 100});
  Apply(table);
  record.position.era = kEra + 1;
  record.source = UpdateSource::kPeer;
  table.configuration_position = {kEra + 1, kCopyEnd};
  table.last_update = 1;
  table.recent_updates = {{1, record}};
  Apply(table);
  CHECK(EffectsOf<ReadSnapshots>().size() == 1);
  CHECK_FALSE(IsSent());
}

// Guards against a server that is dropped only because the copy is older than its start.
TEST_CASE_METHOD(StoreReturnFixture, "upstream_missingFromCopy_staysInService", "[entry]") {
  Apply(MakeRecord("plain-1", {kEra, 80}));
  ReturnStore();
  ReadList({});
  AdvanceTime(4s);
  CHECK(IsSent());
  SECTION("written again at a lower offset") {
    Apply(MakeRecord("plain-1", {kEra + 1, kCopyEnd}, 8));
    AdvanceTime(4s);
    CHECK(IsSent());
    CHECK(Phase("plain-1") == UpstreamPhase::kServing);
  }
  SECTION("not listed when the hold has ended") {
    AdvanceTime(1s);
    ReadList({});
    CHECK_FALSE(IsSent());
    // It may come back later all the same.
    Apply(MakeRecord("plain-1", {kEra + 1, kCopyEnd}, 8));
    CHECK(IsSent());
  }
  SECTION("the store is away when the hold ends") {
    Apply(StoreReadFailed{"down"});
    AdvanceTime(4s);
    CHECK(IsSent());
  }
}

// Guards against a leaving server that gets work again, as the copy doesn't know that it leaves.
TEST_CASE_METHOD(StoreReturnFixture, "upstream_leavingButReadyInCopy_staysLeaving", "[entry]") {
  UpstreamListed record = MakeRecord("plain-1", {kEra, 50});
  Apply(record);
  UpstreamListed leaving = MakeRecord("plain-1", {kEra, 80}, 8);
  leaving.entry.leaving = true;
  Apply(leaving);
  ReturnStore();
  record.position.era = kEra + 1;
  ReadList({record});
  AdvanceTime(kHold);
  ReadList({record});
  CHECK_FALSE(IsSent());
}

// Guards against a host that drops what a peer read before the return, and serves by the copy.
TEST_CASE_METHOD(StoreReturnFixture, "upstream_peerReadRemovalBeforeReturn_leaves", "[entry]") {
  ReturnStore();
  ReadList({MakeRecord("plain-1", {kEra + 1, 50})});
  CHECK(IsSent());
  PeerLoadReceived table = MakeTable({kEra, 100});
  Apply(table);
  table.last_update = 1;
  table.recent_updates = {{1, UpstreamUnlisted{"plain-1", {kEra, 80}, UpdateSource::kPeer, false}}};
  Apply(table);
  CHECK_FALSE(IsSent());
}

// Guards against a hold that ends while the second copy is new.
TEST_CASE_METHOD(StoreReturnFixture, "return_twice_holdStartsAnew", "[entry]") {
  Apply(MakeRecord("plain-1", {kEra, 80}));
  ReturnStore();
  ReadList({});
  AdvanceTime(4s);
  ReturnStore(kEra + 2);
  CHECK(EffectsOf<ReadSnapshots>().size() == 1);
  ReadList({}, kEra + 2);
  AdvanceTime(4s);
  CHECK(IsSent());
  AdvanceTime(1s);
  CHECK(EffectsOf<ReadSnapshots>().size() == 1);
}

// Guards against a late response of the former store, which takes the new one's place.
TEST_CASE_METHOD(StoreReturnFixture, "list_ofFormerEra_ignored", "[entry]") {
  Apply(MakeRecord("plain-1", {kEra, 50}));
  Apply(MakeTable({kEra + 1, 61}));
  ReadList({}, kEra);
  CHECK(Phase("plain-1") == UpstreamPhase::kServing);
}

// Guards against a zone that is used again, as the copy doesn't know that it was evacuated.
TEST_CASE_METHOD(StoreReturnFixture, "evacuation_missingFromCopy_staysInForce", "[entry]") {
  Apply(MakeRecord("plain-1", {kEra, 50}));
  Apply(EvacuationRead{"zone-a", true, {kEra, 80}});
  ReturnStore();
  Apply(EvacuationsRead{});
  CHECK_FALSE(IsSent());
  SECTION("ended by the operator") {
    Apply(EvacuationRead{"zone-a", false, {kEra + 1, kCopyEnd}});
    CHECK(IsSent());
  }
  SECTION("not written again when the hold has ended") {
    AdvanceTime(kHold);
    Apply(EvacuationsRead{});
    CHECK_FALSE(IsSent());
    AdvanceTime(5s);
    CHECK(EffectsOf<ReadSnapshots>().size() == 1);
    Apply(EvacuationsRead{});
    CHECK(IsSent());
  }
}

// Guards against a zone that is evacuated again, as the copy doesn't know that it is back.
TEST_CASE_METHOD(StoreReturnFixture, "evacuation_endedButInCopy_staysEnded", "[entry]") {
  Apply(MakeRecord("plain-1", {kEra, 50}));
  Apply(EvacuationRead{"zone-a", true, {kEra, 55}});
  Apply(EvacuationRead{"zone-a", false, {kEra, 80}});
  ReturnStore();
  SECTION("the record of the copy") {
    Apply(EvacuationsRead{{{"zone-a", true, {kEra + 1, 55}}}});
    CHECK(IsSent());
    AdvanceTime(10s);
    Apply(EvacuationsRead{{{"zone-a", true, {kEra + 1, 55}}}});
    CHECK_FALSE(IsSent());
  }
  SECTION("a record that the operator wrote after the return") {
    Apply(EvacuationsRead{{{"zone-a", true, {kEra + 1, 61}}}});
    CHECK_FALSE(IsSent());
  }
}

// Guards against a withdrawn key that is served by a host that was cut off when it was withdrawn,
// and reads the copy before it hears of its peers.
TEST_CASE_METHOD(StoreReturnFixture, "read_afterReturn_countsWhenPeersHaveReplied", "[entry]") {
  Apply(MakeTable({kEra, 100}));
  ReturnStore();
  const auto requests = EffectsOf<RequestConfirmation>();
  REQUIRE(requests.size() == 1);
  const auto before = state.store.confirmed;
  now += 10ms;
  ConfirmAt({kEra + 1, kCopyEnd});
  CHECK(state.store.confirmed == before);
  const TimePoint read = now;
  now += 10ms;
  Apply(ConfirmationReceived{requests[0].requested_at, {kEra, 100}, 1, 100ms, "host-2"});
  CHECK(state.store.confirmed == read);
}

// Guards against a withdrawn key that is served, as only the peers have read of it.
TEST_CASE_METHOD(StoreReturnFixture, "read_olderThanPeersVersion_confirmsNothing", "[entry]") {
  ReturnStore();
  Apply(MakeTable({kEra, 100}, 2));
  const auto before = state.store.confirmed;
  now += 1s;
  ConfirmAt({kEra + 1, kCopyEnd});
  CHECK(state.store.confirmed == before);
  SECTION("written again by the operator") {
    desired.version = 2;
    Apply(DesiredStateRead{desired});
    ConfirmAt({kEra + 1, 61});
    CHECK(state.store.confirmed == now);
  }
  SECTION("not written again") {
    now += 31s;
    ConfirmAt({kEra + 1, kCopyEnd});
    CHECK(state.store.confirmed == now);
  }
}

/// A host that has just started and has read the configuration.
class NewHostFixture : public EntryFixture {
 public:
  NewHostFixture() {
    state = State();
    state.options.host = "host-1";
    state.options.zone = "zone-a";
    Apply(StoreEraRead{2});
  }

  void ReadConfiguration() {
    Apply(DesiredStateRead{desired});
    Apply(StoreConfirmed{now, {2, 10}});
  }

  [[nodiscard]] bool IsInService() const { return IsReady(state, now); }
};

// Guards against a host that starts between the return and the rewriting and serves by the copy.
TEST_CASE_METHOD(NewHostFixture, "newHost_peerHasNewerVersion_doesNotServe", "[entry]") {
  Apply(HostsRead{3, {{"host-2", "zone-a"}, {"host-3", "zone-b"}}});
  const auto requests = EffectsOf<RequestConfirmation>();
  REQUIRE(requests.size() == 2);
  ReadConfiguration();
  CHECK_FALSE(IsInService());
  Apply(ConfirmationReceived{requests[0].requested_at, {2, 10}, 1, 100ms, "host-3"});
  CHECK_FALSE(IsInService());  // The other peer may know more.
  Apply(ConfirmationReceived{requests[0].requested_at, {1, 90}, 2, 100ms, "host-2"});
  AdvanceTime(2s);
  CHECK_FALSE(IsInService());
  ReceiveRequest("/book/a");
  const auto refusals = EffectsOf<Refuse>();
  REQUIRE(refusals.size() == 1);
  CHECK(refusals[0].status == 503);
  desired.version = 2;
  ReadConfiguration();
  CHECK(IsInService());
}

TEST_CASE_METHOD(NewHostFixture, "newHost_peerHasSameVersion_servesAtOnce", "[entry]") {
  Apply(HostsRead{2, {{"host-2", "zone-a"}}});
  ReadConfiguration();
  CHECK_FALSE(IsInService());
  Apply(ConfirmationReceived{now, {2, 10}, 1, 100ms, "host-2"});
  CHECK(IsInService());
}

// Guards against a host that serves by the copy, which lacks the records of its peers, too.
TEST_CASE_METHOD(NewHostFixture, "newHost_noPeersListed_waitsForTable", "[entry]") {
  const bool is_list_first = GENERATE(true, false);
  CAPTURE(is_list_first);
  if (is_list_first) {
    Apply(HostsRead{});
    ReadConfiguration();
  } else {
    ReadConfiguration();
    Apply(HostsRead{});
  }
  AdvanceTime(500ms);
  CHECK_FALSE(IsInService());
  SECTION("a peer with a newer version") {
    PeerLoadReceived table;
    table.host = "host-2";
    table.configuration_version = 2;
    Apply(table);
    AdvanceTime(2s);
    CHECK_FALSE(IsInService());
  }
  SECTION("no peer") {
    AdvanceTime(150ms);
    CHECK(IsInService());
  }
}

// Guards against a restarted host that serves by the copy because its peers, restarted before it,
// haven't read the lost version and know of it only from processes that have ended (review/10).
TEST_CASE_METHOD(NewHostFixture, "newHost_peersOnlyKnowOfVersion_toldOfIt", "[entry]") {
  ReadConfiguration();
  PeerLoadReceived table;
  table.host = "host-2";
  table.configuration_version = 9;
  Apply(table);
  const std::int64_t own = state.desired->version;
  const auto told_version = [this] {
    Apply(ConfirmationRequested{"host-3", TimePoint{7s}});
    return EffectsOf<SendConfirmation>().at(0).version;
  };
  CHECK(told_version() == 9);
  CHECK(MakeLoadBroadcast(state, now).configuration_version == 9);
  SECTION("the version is written again") {
    desired.version = 9;
    Apply(DesiredStateRead{desired});
    CHECK(told_version() == 9);
  }
  SECTION("nobody writes it again") {
    ReadConfiguration();
    AdvanceTime(31s);
    ReadConfiguration();
    CHECK(told_version() == own);
    CHECK(MakeLoadBroadcast(state, now).configuration_version == own);
  }
}

// Guards against hosts that refuse for 0.3 s when all start together: none has a confirmed read.
TEST_CASE_METHOD(NewHostFixture, "newHost_peerHasJustStarted_servesAtOnce", "[entry]") {
  Apply(HostsRead{2, {{"host-2", "zone-a"}}});
  ReadConfiguration();
  Apply(ConfirmationRequested{"host-2", TimePoint{7s}});
  const auto replies = EffectsOf<SendConfirmation>();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].age > state.options.bounds.revoke);
  AdvanceTime(50ms);  // The first request was lost, as host-2 didn't listen yet.
  CHECK(EffectsOf<RequestConfirmation>().size() == 1);
  Apply(ConfirmationReceived{now, {}, 0, replies[0].age, "host-2"});
  CHECK(IsInService());
}

// Guards against hosts that wait for one another when all have just started.
TEST_CASE_METHOD(NewHostFixture, "newHost_silentPeers_servesAfterDelay", "[entry]") {
  ReadConfiguration();
  Apply(HostsRead{2, {{"host-2", "zone-a"}}});
  AdvanceTime(250ms);
  CHECK_FALSE(IsInService());
  AdvanceTime(100ms);
  CHECK(IsInService());
}

}  // namespace
}  // namespace snipeturn::entry
