#include "snipeturn/entry/cells.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "snipeturn/entry/entry_fixture.h"
#include "snipeturn/entry/load_broadcast.h"
#include "snipeturn/entry/placement.h"
#include "snipeturn/entry/readers.h"

namespace snipeturn::entry {
namespace {

constexpr int kZones = 6;

std::string ZoneOf(int host) {
  return "zone-" + std::to_string(host % kZones);
}

std::string NameOf(int host) {
  return "host-" + std::to_string(host);
}

/// One host of a large deployment whose hosts are listed in the store.
class CellsFixture : public EntryFixture {
 public:
  CellsFixture() {
    state.options.host = NameOf(0);
    state.options.zone = ZoneOf(0);
  }

  void SetHosts(int hosts) {
    HostsRead read;
    read.hosts = hosts;
    for (int host = 1; host < hosts; ++host) {
      read.zones[NameOf(host)] = ZoneOf(host);
    }
    Apply(read);
  }

  PeerLoadReceived Table(int host, const std::string& upstream, std::uint64_t tokens) const {
    PeerLoadReceived table;
    table.host = NameOf(host);
    table.zone = ZoneOf(host);
    table.cell = ZoneOf(host);
    if (tokens > 0) {
      table.load[upstream] = {1, tokens, 0};
    }
    return table;
  }

  CellLoadReceived Sum(const std::string& zone, const std::string& upstream, std::uint64_t tokens) {
    CellLoadReceived sum;
    sum.cell = sum.zone = zone;
    sum.hosts = 49;
    sum.load[upstream] = {1, tokens, 0};
    return sum;
  }

  std::uint64_t Tokens(const std::string& upstream) const {
    const LoadTable total = TotalLoad(state, now);
    const auto found = total.find(upstream);
    return found == total.end() ? 0 : found->second.tokens;
  }

  /// Receives a load table of every other host.
  void ReceiveAllTables(int hosts) {
    for (int host = 1; host < hosts; ++host) {
      Apply(Table(host, "", 0));
    }
  }

  Audience Select() { return SelectAudience(broadcast, state, state.cell_by_host.size(), now); }

  BroadcastState broadcast;
};

// Guards against cells whose size, and with it the messages of a host, grows with the deployment.
TEST_CASE_METHOD(CellsFixture, "cells_anyNumberOfHosts_sizeBounded", "[entry]") {
  for (const int hosts : {7, 88, 295, 400, 1000}) {
    SetHosts(hosts);
    CHECK(HasCells(state) == (hosts > 128));
    CHECK(CellHosts(state) <= (hosts > 128 ? 90 : hosts));
    CHECK(CellHosts(state) >= std::min(hosts, 20));
  }
}

// Guards against sums of cells that still count after the deployment has become too small for
// cells.
TEST_CASE_METHOD(CellsFixture, "cells_deploymentShrinks_allTablesCountAgain", "[entry]") {
  SetHosts(295);
  Apply(Sum("zone-1", "engine-1", 5000));
  SetHosts(100);
  CHECK_FALSE(HasCells(state));
  CHECK(Tokens("engine-1") == 0);
  Apply(Table(1, "engine-1", 3000));
  CHECK(Tokens("engine-1") == 3000);
  Apply(Sum("zone-1", "engine-1", 5000));  // From a host with an outdated host list.
  CHECK(Tokens("engine-1") == 3000);
  CHECK(EffectsOf<ForwardCellLoad>().empty());
}

// Guards against too many starts at a cold upstream while only some hosts have read the list of
// hosts: a host without cells must also count peers that broadcast to a cell.
TEST_CASE_METHOD(CellsFixture, "coldUpstream_onlyPeersHaveCells_peersCountForShare", "[entry]") {
  desired.version = 2;
  desired.services["plain"].cold_requests_per_second = 2;
  Apply(DesiredStateRead{desired});
  for (int host = 1; host < 40; ++host) {
    Apply(Table(host, "", 0));
  }
  REQUIRE_FALSE(HasCells(state));
  int starts = 0;
  for (int count = 0; count < 20; ++count) {
    UpstreamEntry entry = AddUpstream("plain-" + std::to_string(count), "plain");
    entry.cold_left = 5s;
    entry.sequence += 1;
    Apply(UpstreamListed{entry, {0, 100 + static_cast<std::uint64_t>(count)}});
    starts += IsColdLimitReached(state, state.upstreams.at(entry.id), now) ? 0 : 1;
  }
  // Two of forty hosts start at each upstream.
  CHECK(starts <= 5);
}

// Guards against a large zone that isn't divided into cells.
TEST_CASE("cells_oneZone_dividedEvenly", "[entry]") {
  std::map<std::string, int> sizes;
  for (int host = 0; host < 400; ++host) {
    ++sizes[CellName(NameOf(host), "zone-0", 400)];
  }
  CHECK(sizes.size() == 7);
  for (const auto& [cell, size] : sizes) {
    CHECK(size > 30);
    CHECK(size < 90);
  }
}

// Guards against load that counts twice: in the table of its host and in the sum of its cell.
TEST_CASE_METHOD(CellsFixture, "load_inTableAndSum_countsOnce", "[entry]") {
  SetHosts(295);
  Apply(Table(1, "engine-1", 3000));
  CHECK(Tokens("engine-1") == 3000);
  Apply(Sum("zone-1", "engine-1", 5000));
  CHECK(CountLiveCells(state, now) == 1);
  CHECK(CountLiveCells(state, now + 4s) == 0);
  CHECK(Tokens("engine-1") == 5000);
  Apply(Table(6, "engine-1", 100));  // A host of this cell.
  CHECK(Tokens("engine-1") == 5100);
  Apply(Sum("zone-0", "engine-1", 9000));
  CHECK(Tokens("engine-1") == 5100);
  // The sum has expired, and so has the table.
  now += 4s;
  CHECK(Tokens("engine-1") == 0);
}

// Guards against a cell whose load is ignored when its sums stop although its hosts' tables arrive.
TEST_CASE_METHOD(CellsFixture, "cell_sumExpired_tablesOfItsHostsCount", "[entry]") {
  SetHosts(295);
  Apply(Sum("zone-1", "engine-1", 5000));
  now += 3300ms;
  Apply(Table(1, "engine-1", 3000));
  CHECK(Tokens("engine-1") == 3000);
}

// Guards against a sum that is forwarded endlessly between cells.
TEST_CASE_METHOD(CellsFixture, "sum_ofOtherCell_forwardedOnce", "[entry]") {
  SetHosts(295);
  Apply(Sum("zone-1", "engine-1", 5000));
  REQUIRE(EffectsOf<ForwardCellLoad>().size() == 1);
  CellLoadReceived sum = EffectsOf<ForwardCellLoad>()[0].sum;
  sum.is_forwarded = true;
  Apply(sum);
  CHECK(EffectsOf<ForwardCellLoad>().empty());
}

// Guards against sums that always go to the same host of a cell, and are lost when it is down.
TEST_CASE_METHOD(CellsFixture, "sum_manyRounds_reachEachHostInTurn", "[entry]") {
  SetHosts(295);
  std::set<std::string> reached;
  for (std::uint64_t round = 0; round < 50; ++round) {
    const std::vector<std::string> targets = CellTargets(state, round, 1);
    CHECK(targets.size() == kZones - 1);
    reached.insert(targets.begin(), targets.end());
  }
  CHECK(reached.size() == 295 - 50);  // All hosts of the other cells.
}

// Guards against a reader that saturates its link by sending its table, a few KB, to each of 294
// hosts itself.
TEST_CASE_METHOD(CellsFixture, "readerTable_forAll_forwardedByTwoHostsOfEachCell", "[entry]") {
  SetHosts(295);
  const std::vector<std::string> hosts = SelectForwarders(broadcast, state);
  CHECK(hosts.size() == 2 * (kZones - 1));
  CHECK(std::set<std::string>(hosts.begin(), hosts.end()).size() == hosts.size());
  PeerLoadReceived table = Table(1, "engine-1", 3000);
  Apply(table);
  REQUIRE(EffectsOf<ForwardLoad>().size() == 1);
  table = EffectsOf<ForwardLoad>()[0].load;
  table.is_forwarded = true;
  table.broadcast_at += 1ms;
  Apply(table);
  CHECK(EffectsOf<ForwardLoad>().empty());
  Apply(Table(6, "engine-1", 3000));  // A host of this cell.
  CHECK(EffectsOf<ForwardLoad>().empty());
}

// Guards against an old table that a paused host forwards late: taken for a restart of the reader,
// it makes every host of the cell read the list.
TEST_CASE_METHOD(CellsFixture, "readerTable_forwardedLate_ignored", "[entry]") {
  SetHosts(295);
  PeerLoadReceived table = Table(1, "", 0);
  table.broadcast_at = now;
  table.last_update = 7;
  table.list_age = 100ms;
  Apply(table);
  table.is_forwarded = true;
  table.broadcast_at = now - 2s;
  table.last_update = 3;
  Apply(table);
  CHECK(EffectsOf<ReadList>().empty());
  CHECK(state.peers.at(NameOf(1)).last_update == 7);
  // The clock of a restarted machine begins anew.
  now += 3s;
  Apply(table);
  CHECK(state.peers.at(NameOf(1)).last_update == 3);
}

// Guards against a cell whose sum is no longer sent after its aggregator has died or is stopping.
TEST_CASE_METHOD(CellsFixture, "aggregator_diesOrStops_anotherTakesOver", "[entry]") {
  SetHosts(295);
  CHECK(IsCellAggregator(state, now));
  for (int host = 6; host < 295; host += kZones) {
    Apply(Table(host, "", 0));
  }
  int aggregators = 0;
  std::string aggregator;
  for (int host = 0; host < 295; host += kZones) {
    State other = state;
    other.options.host = NameOf(host);
    other.peers.erase(NameOf(host));
    other.peers[NameOf(0)] = state.peers.at(NameOf(6));
    other.peers.erase(NameOf(host));
    if (IsCellAggregator(other, now)) {
      ++aggregators;
      aggregator = NameOf(host);
    }
  }
  CHECK(aggregators == 1);
  state.options.host = aggregator == NameOf(6) ? NameOf(12) : NameOf(6);
  CHECK_FALSE(IsCellAggregator(state, now));
  state.peers[aggregator].is_stopping = true;
  int others = 0;
  for (const auto& [name, peer] : state.peers) {
    State other = state;
    other.options.host = name;
    other.peers.erase(name);
    others += name != aggregator && IsCellAggregator(other, now) ? 1 : 0;
  }
  CHECK(others >= 1);
}

// Guards against load tables that go to all hosts: their number grows with the square of the number
// of hosts.
TEST_CASE_METHOD(CellsFixture, "load_changed_broadcastToCellOnly", "[entry]") {
  SetHosts(295);
  ReceiveAllTables(295);
  REQUIRE_FALSE(IsCellAggregator(state, now));
  REQUIRE_FALSE(IsListReader(state, now));
  REQUIRE_FALSE(IsConfigurationReader(state, now));
  state.load_changes += 1;
  REQUIRE(Select() == Audience::kOwnCell);
  CHECK(IsInAudience(state, Audience::kOwnCell, NameOf(6)));
  CHECK_FALSE(IsInAudience(state, Audience::kOwnCell, NameOf(1)));
  now += 50ms;
  state.load_decreases += 1;
  CHECK(Select() == Audience::kNobody);
  now += 50ms;
  CHECK(Select() == Audience::kOwnCell);
  now += 1300ms;
  ReceiveAllTables(295);
  CHECK(Select() == Audience::kNobody);
  now += 100ms;
  CHECK(Select() == Audience::kOwnCell);
}

// Guards against readers of the store whose updates reach one cell only.
TEST_CASE_METHOD(CellsFixture, "update_ofReader_broadcastToAll", "[entry]") {
  SetHosts(295);
  Apply(Table(1, "", 0));
  REQUIRE(IsListReader(state, now));
  CHECK(Select() == Audience::kAll);
  now += 100ms;
  state.last_update += 1;
  CHECK(Select() == Audience::kAll);
  now += 100ms;
  state.store.position.offset += 1;
  CHECK(Select() == Audience::kAll);
  now += 500ms;
  CHECK(Select() == Audience::kAll);
}

// Guards against a reader whose tables for all hosts are delayed by those for its cell: the other
// hosts take it for dead and read the store themselves, with about 300 calls a second.
TEST_CASE_METHOD(CellsFixture, "reader_loadChangesOften_broadcastsToAllInTime", "[entry]") {
  SetHosts(295);
  Apply(Table(1, "", 0));
  REQUIRE(IsListReader(state, now));
  TimePoint last_broadcast_to_all = now;
  now += 1ms;
  for (int round = 0; round < 100; ++round) {
    now += 100ms;
    if (round % 3 == 0) {
      state.load_changes += 1;
    }
    if (Select() == Audience::kAll) {
      last_broadcast_to_all = now;
    }
    CHECK(now - last_broadcast_to_all <= 600ms);
  }
}

// Guards against every host reading the list when it misses an update of a host that is not a
// reader.
TEST_CASE_METHOD(CellsFixture, "update_ofNonReaderLost_listNotRead", "[entry]") {
  SetHosts(295);
  PeerLoadReceived table = Table(6, "", 0);
  Apply(table);
  table.last_update = 5;
  Apply(table);
  CHECK(EffectsOf<ReadList>().empty());
  table.last_update = 7;
  table.list_age = 100ms;
  Apply(table);
  CHECK(EffectsOf<ReadList>().size() == 1);
}

// Guards against all hosts reading the whole list when many upstreams leave at once: the oldest
// updates were dropped from the table before it was sent.
TEST_CASE_METHOD(CellsFixture, "updates_manyUpstreamsLeave_allInOneTable", "[entry]") {
  SetHosts(295);
  std::vector<UpstreamEntry> entries;
  for (int count = 0; count < 40; ++count) {
    entries.push_back(AddUpstream("engine-" + std::to_string(count), "engines"));
  }
  ConfirmStore();
  Apply(ListConfirmed{now});
  CellsFixture other;
  other.state.options.host = NameOf(1);
  other.SetHosts(295);
  other.Apply(MakeLoadBroadcast(state, now));
  CHECK(other.EffectsOf<ReadList>().empty());
  for (const UpstreamEntry& entry : entries) {
    MarkLeaving(entry);
  }
  other.Apply(MakeLoadBroadcast(state, now));
  CHECK(other.EffectsOf<ReadList>().empty());
  CHECK(other.state.upstreams.at("engine-0").phase == UpstreamPhase::kLeaving);
}

// Guards against engines of a zone that look idle because no load of that zone's hosts is known.
TEST_CASE_METHOD(CellsFixture, "zone_loadUnknown_othersPreferred", "[entry]") {
  SetHosts(295);
  AddUpstream("engine-1", "engines", "zone-1");
  AddUpstream("engine-2", "engines", "zone-2");
  Apply(Sum("zone-2", "engine-2", 3000));
  for (int count = 0; count < 3; ++count) {
    ReceiveRequest("/long/a", 1000, 200);
    CHECK(EffectsOf<Send>().at(0).upstream == "engine-2");
  }
}

// Guards against failures seen by other cells that don't affect placement.
TEST_CASE_METHOD(CellsFixture, "upstream_failsInOtherCells_othersPreferred", "[entry]") {
  SetHosts(295);
  AddUpstream("engine-1", "engines", "zone-1");
  AddUpstream("engine-2", "engines", "zone-1");
  CellLoadReceived sum = Sum("zone-1", "engine-2", 3000);
  sum.outcomes["engine-1"].count.failures = 60;
  sum.outcomes["engine-1"].hosts = 20;
  Apply(sum);
  ReceiveRequest("/long/a", 1000, 200);
  CHECK(EffectsOf<Send>().at(0).upstream == "engine-2");
}

// Guards against a cold upstream that is overloaded by hosts of different cells, which don't
// receive one another's tables.
TEST_CASE("coldUpstream_hostsInCells_sumWithinItsLimit", "[entry]") {
  for (const int hosts : {295, 400}) {
    int starts = 0;
    for (int host = 0; host < hosts; ++host) {
      CellsFixture one;
      one.state.options.host = NameOf(host);
      one.state.options.zone = ZoneOf(host);
      one.desired.version = 2;
      one.desired.services["plain"].cold_requests_per_second = 22;
      one.Apply(DesiredStateRead{one.desired});
      HostsRead read;
      read.hosts = hosts;
      for (int other = 0; other < hosts; ++other) {
        if (other != host) {
          read.zones[NameOf(other)] = ZoneOf(other);
        }
      }
      one.Apply(read);
      for (int other = 0; other < hosts; ++other) {
        const auto cell = one.state.cell_by_host.find(NameOf(other));
        if (cell != one.state.cell_by_host.end() && cell->second == one.state.cell) {
          PeerLoadReceived table = one.Table(other, "", 0);
          table.cell = cell->second;
          one.Apply(table);
        }
      }
      UpstreamEntry entry = one.AddUpstream("plain-1", "plain", "zone-0");
      entry.cold_left = 5s;
      entry.sequence += 1;
      one.Apply(UpstreamListed{entry, {0, 100}});
      for (int request = 0; request < 8; ++request) {
        one.ReceiveRequest("/book/a");
        starts += static_cast<int>(one.EffectsOf<Send>().size());
      }
    }
    CHECK(starts <= 22);
    CHECK(starts > 0);
  }
}

}  // namespace
}  // namespace snipeturn::entry
