#include "snipeturn/entry/cells.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

#include "snipeturn/base/hash.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/dispatch.h"
#include "snipeturn/entry/health.h"
#include "snipeturn/entry/learned_capacity.h"
#include "snipeturn/entry/load.h"
#include "snipeturn/entry/rollouts.h"
#include "snipeturn/entry/upstream_signals.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// Largest deployment in which every host broadcasts to all others: at four tables a second, a host
/// receives about 500 tables a second.
constexpr int kMaxDirectHosts = 128;
/// Upper bound of the mean size of a zone's cells, which limits the messages of a host.
constexpr int kMaxMeanCellHosts = 64;
/// Sums that are older are ignored; the tables of single hosts expire after the same time.
constexpr std::chrono::milliseconds kCellSumTtl{3200};
/// A host that sent no table for this long is not considered the aggregator; the aggregator repeats
/// its table every 500 ms.
constexpr std::chrono::milliseconds kAggregatorTimeout{900};
constexpr std::string_view kAggregatorSubject = "cell sum";

void AddOutcomes(CellOutcomes& sum, const OutcomeTable& table, TimePoint now) {
  for (const auto& [id, count] : table) {
    const OutcomeCount decayed = DecayedOutcomes(count, now);
    CellOutcome& entry = sum[id];
    entry.count.failures += decayed.failures;
    entry.count.responses += decayed.responses;
    entry.count.at = now;
    entry.hosts += 1;
  }
}

}  // namespace

void AdoptHosts(EventScope& scope, const HostsRead& event) {
  State& state = scope.state;
  if (state.hosts != event.hosts) {
    Log(scope, log_events::kHosts, fmt::format("hosts={} before={}", event.hosts, state.hosts));
    state.hosts = event.hosts;
  }
  state.cell_by_host.clear();
  state.cells_in_zone = 1;
  const std::string previous_cell = std::exchange(state.cell, "");
  if (event.hosts > kMaxDirectHosts) {
    std::map<std::string, int> hosts_by_zone;
    hosts_by_zone[state.options.zone] = 1;
    for (const auto& [host, zone] : event.zones) {
      ++hosts_by_zone[zone];
    }
    for (const auto& [host, zone] : event.zones) {
      state.cell_by_host[host] = CellName(host, zone, hosts_by_zone[zone]);
    }
    const int own_hosts = hosts_by_zone[state.options.zone];
    state.cell = CellName(state.options.host, state.options.zone, own_hosts);
    state.cells_in_zone = (own_hosts + kMaxMeanCellHosts - 1) / kMaxMeanCellHosts;
  } else {
    state.cells.clear();
  }
  state.cell_hosts = 1 + static_cast<int>(std::count_if(
                             state.cell_by_host.begin(), state.cell_by_host.end(),
                             [&state](const auto& entry) { return entry.second == state.cell; }));
  if (previous_cell != state.cell) {
    Log(scope, log_events::kCell,
        fmt::format("cell={} before={} hosts={}", state.cell, previous_cell, state.cell_hosts));
  }
}

void HandleCellLoad(EventScope& scope, const CellLoadReceived& event) {
  State& state = scope.state;
  if (!HasCells(state) || event.cell == state.cell) {
    return;
  }
  CellLoad& cell = state.cells[event.cell];
  cell.at = scope.now;
  cell.zone = event.zone;
  cell.hosts = event.hosts;
  cell.load = event.load;
  cell.outcomes = event.outcomes;
  for (auto& [id, outcome] : cell.outcomes) {
    outcome.count.at = scope.now;
  }
  AdoptReportedLimits(scope, event.limits);
  AdoptReportedLeavings(scope, event.leaving);
  AdoptReportedRollouts(scope, event.cell, event.rollouts);
  AdoptReportedCapacity(scope, capacity::CellSender(event.cell), event.capacity, scope.now);
  if (!event.is_forwarded) {
    scope.effects.push_back(ForwardCellLoad{event});
  }
  DispatchQueue(scope);
}

}  // namespace internal

std::string CellName(std::string_view host, std::string_view zone, int hosts_in_zone) {
  const int cell_count =
      (hosts_in_zone + internal::kMaxMeanCellHosts - 1) / internal::kMaxMeanCellHosts;
  if (cell_count <= 1) {
    return std::string(zone);
  }
  return fmt::format("{}/{}", zone, Hash(host) % static_cast<std::uint64_t>(cell_count));
}

bool HasCells(const State& state) noexcept {
  return !state.cell.empty();
}

bool IsInOwnCell(const State& state, const std::string& host) {
  const auto found = state.cell_by_host.find(host);
  if (found != state.cell_by_host.end()) {
    return found->second == state.cell;
  }
  const auto peer = state.peers.find(host);
  return peer == state.peers.end() || peer->second.zone == state.options.zone;
}

int CellHosts(const State& state) noexcept {
  return HasCells(state) ? state.cell_hosts : state.hosts;
}

bool IsFresh(const CellLoad& cell, TimePoint now) noexcept {
  return now - cell.at <= internal::kCellSumTtl;
}

int CountLiveCells(const State& state, TimePoint now) {
  return static_cast<int>(
      std::count_if(state.cells.begin(), state.cells.end(),
                    [now](const auto& entry) { return IsFresh(entry.second, now); }));
}

bool CountsDirectly(const State& state, const PeerLoad& peer, TimePoint now) {
  if (peer.cell == state.cell) {
    return true;
  }
  const auto cell = state.cells.find(peer.cell);
  return cell == state.cells.end() || !IsFresh(cell->second, now);
}

bool IsZoneLoadKnown(const State& state, const std::string& zone, TimePoint now) {
  return !HasCells(state) || zone == state.options.zone ||
         std::any_of(state.cells.begin(), state.cells.end(), [&](const auto& entry) {
           return entry.second.zone == zone && IsFresh(entry.second, now);
         });
}

bool IsCellAggregator(const State& state, TimePoint now) {
  const std::uint64_t own = RendezvousWeight(internal::kAggregatorSubject, state.options.host);
  return HasCells(state) &&
         std::none_of(state.peers.begin(), state.peers.end(), [&](const auto& entry) {
           const auto& [host, peer] = entry;
           return peer.cell == state.cell && !peer.is_stopping &&
                  now - peer.at < internal::kAggregatorTimeout &&
                  RendezvousWeight(internal::kAggregatorSubject, host) > own;
         });
}

CellLoadReceived MakeCellLoad(const State& state, TimePoint now) {
  CellLoadReceived sum;
  sum.cell = state.cell;
  sum.zone = state.options.zone;
  sum.hosts = 1;
  sum.load = LocalLoad(state);
  internal::AddOutcomes(sum.outcomes, FailingUpstreams(state, now), now);
  sum.limits = ReportedLimits(state, now, false);
  sum.leaving = ReportedLeavings(state, now, false);
  sum.rollouts = CellRollouts(state, now);
  sum.capacity = ReportedCapacity(state, now, false);
  for (const auto& [host, peer] : state.peers) {
    if (peer.cell == state.cell && now - peer.at <= internal::kCellSumTtl) {
      sum.hosts += 1;
      internal::AddLoad(sum.load, peer.load);
      internal::AddOutcomes(sum.outcomes, peer.outcomes, now);
    }
  }
  return sum;
}

std::vector<std::string> CellTargets(const State& state, std::uint64_t round, std::size_t copies) {
  std::map<std::string, std::vector<const std::string*>> hosts_by_cell;
  for (const auto& [host, cell] : state.cell_by_host) {
    if (cell != state.cell) {
      hosts_by_cell[cell].push_back(&host);
    }
  }
  std::vector<std::string> targets;
  targets.reserve(hosts_by_cell.size() * copies);
  for (const auto& [cell, hosts] : hosts_by_cell) {
    for (std::size_t copy = 0; copy < std::min(copies, hosts.size()); ++copy) {
      targets.push_back(*hosts[(round + copy * hosts.size() / copies) % hosts.size()]);
    }
  }
  return targets;
}

}  // namespace snipeturn::entry
