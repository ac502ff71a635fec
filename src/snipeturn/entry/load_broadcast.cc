#include "snipeturn/entry/load_broadcast.h"

#include <algorithm>
#include <chrono>

#include "snipeturn/entry/cells.h"
#include "snipeturn/entry/readers.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// An unchanged load table is repeated at this interval, before it expires at the receivers.
constexpr std::chrono::milliseconds kRepeatInterval{500};
/// With more peers than this, unchanged tables and decreases of load go to other zones only at
/// `kOtherZoneRepeatInterval`.
constexpr std::size_t kSmallDeploymentPeers = 16;
constexpr std::chrono::milliseconds kOtherZoneRepeatInterval{1400};
/// Minimum time between two tables.
constexpr std::chrono::milliseconds kMinInterval{20};
/// Mean time between two tables that report changes, per receiving host. Scaling it with the number
/// of hosts limits what one host receives to about 400 tables a second.
constexpr std::chrono::microseconds kIntervalPerPeer{2500};
/// Burst allowance of tables that report changes after a quiet time: enough for a burst of streams,
/// which start about 10 ms apart on one host.
constexpr double kMaxAllowance = 4;

std::chrono::microseconds ChangeInterval(std::size_t peers) noexcept {
  return std::max<std::chrono::microseconds>(kMinInterval,
                                             kIntervalPerPeer * static_cast<std::int64_t>(peers));
}

/// Refills the token bucket that limits tables of changes.
void RefillAllowance(BroadcastState& broadcast, std::size_t peers, TimePoint now) noexcept {
  const std::chrono::microseconds interval = ChangeInterval(peers);
  const std::chrono::duration<double, std::micro> passed = now - broadcast.allowance_at;
  broadcast.allowance =
      std::min(kMaxAllowance,
               broadcast.allowance + passed / std::chrono::duration<double, std::micro>(interval));
  broadcast.allowance_at = now;
}

/// Within a cell, hosts that are neither reader nor aggregator repeat an unchanged table at this
/// interval.
constexpr std::chrono::milliseconds kCellRepeatInterval{1400};
/// Minimum time between the last table and one that reports a decrease of load; until then the
/// other hosts overestimate the load.
constexpr std::chrono::milliseconds kDecreaseInterval{100};
/// Time between two sums of a cell, just under two rounds of the 100 ms housekeeping timer.
constexpr std::chrono::milliseconds kCellSumInterval{190};

/// Hosts of each other cell that forward a reader's table. One of them may be down or miss the
/// datagram, and a reader whose tables stay away for 0.9 s is considered dead.
constexpr std::size_t kForwardersPerCell = 2;
/// Minimum time between two tables that carry updates. A reader repeats the updates of the last
/// 1.2 s, a few KB, and a 20 Mbit/s link drops datagrams that arrive faster than it can carry them.
constexpr std::chrono::milliseconds kUpdateInterval{100};

/// Selects the audience in a deployment with cells: tables of the store's readers go to all hosts,
/// other tables only to the hosts of the cell.
Audience SelectCellAudience(BroadcastState& broadcast, const State& state, TimePoint now) {
  // Without any known peer a host can't tell whether it is a reader.
  const bool is_reader =
      !state.peers.empty() && (IsListReader(state, now) || IsConfigurationReader(state, now));
  const bool has_updates =
      broadcast.last_update != state.last_update || broadcast.configuration != state.store.position;
  const bool has_changed = broadcast.changes != state.load_changes;
  const bool has_decreased = broadcast.decreases != state.load_decreases;
  const auto since = now - broadcast.broadcast_at;
  RefillAllowance(broadcast, static_cast<std::size_t>(CellHosts(state)), now);
  const auto repeat_interval =
      is_reader || IsCellAggregator(state, now) ? kRepeatInterval : kCellRepeatInterval;
  const auto min_interval = has_changed ? kMinInterval : kDecreaseInterval;
  // Tables for the cell must not delay those for all: hosts that miss the latter consider the
  // reader dead and read the store themselves.
  const bool is_due_for_all = is_reader && now - broadcast.broadcast_to_all_at >= kRepeatInterval;
  const bool is_due = has_updates ? since >= kUpdateInterval
                      : has_changed || has_decreased
                          ? since >= min_interval && broadcast.allowance >= 1
                          : since >= repeat_interval;
  if (!is_due && !is_due_for_all) {
    return Audience::kNobody;
  }
  if (has_changed || has_decreased) {
    broadcast.allowance = std::max(0.0, broadcast.allowance - 1);
  }
  broadcast.changes = state.load_changes;
  broadcast.decreases = state.load_decreases;
  broadcast.last_update = state.last_update;
  broadcast.configuration = state.store.position;
  broadcast.broadcast_at = now;
  if (is_due_for_all || (is_reader && has_updates)) {
    broadcast.broadcast_to_all_at = now;
    return Audience::kAll;
  }
  return Audience::kOwnCell;
}

}  // namespace
}  // namespace internal

Audience SelectAudience(BroadcastState& broadcast,
                        const State& state,
                        std::size_t peers,
                        TimePoint now) {
  if (HasCells(state)) {
    return internal::SelectCellAudience(broadcast, state, now);
  }
  const bool has_updates = broadcast.last_update != state.last_update;
  const bool has_changed = broadcast.changes != state.load_changes;
  const auto since = now - broadcast.broadcast_at;
  internal::RefillAllowance(broadcast, peers, now);
  const bool is_due = has_updates   ? since >= internal::kMinInterval
                      : has_changed ? since >= internal::kMinInterval && broadcast.allowance >= 1
                                    : since >= internal::kRepeatInterval;
  if (peers == 0 || !is_due) {
    return Audience::kNobody;
  }
  const bool is_for_all =
      has_updates || has_changed || peers <= internal::kSmallDeploymentPeers ||
      now - broadcast.broadcast_to_all_at >= internal::kOtherZoneRepeatInterval ||
      IsListReader(state, now) || IsConfigurationReader(state, now);
  if (has_changed) {
    broadcast.allowance = std::max(0.0, broadcast.allowance - 1);
  }
  broadcast.changes = state.load_changes;
  broadcast.last_update = state.last_update;
  broadcast.broadcast_at = now;
  if (is_for_all) {
    broadcast.broadcast_to_all_at = now;
  }
  return is_for_all ? Audience::kAll : Audience::kOwnZone;
}

std::chrono::microseconds TableInterval(const State& state) noexcept {
  const auto peers = static_cast<std::size_t>(std::max(0, CellHosts(state) - 1));
  const std::chrono::microseconds interval = internal::ChangeInterval(peers);
  return HasCells(state) ? std::max<std::chrono::microseconds>(interval, internal::kCellSumInterval)
                         : interval;
}

bool IsInAudience(const State& state, Audience audience, const std::string& host) {
  switch (audience) {
    case Audience::kNobody:
      return false;
    case Audience::kOwnZone: {
      const auto peer = state.peers.find(host);
      return peer == state.peers.end() || peer->second.zone == state.options.zone;
    }
    case Audience::kOwnCell:
      return IsInOwnCell(state, host);
    case Audience::kAll:
      return true;
  }
  return true;
}

std::vector<std::string> SelectCellTargets(BroadcastState& broadcast,
                                           const State& state,
                                           TimePoint now) {
  if (now - broadcast.cell_broadcast_at < internal::kCellSumInterval ||
      !IsCellAggregator(state, now)) {
    return {};
  }
  broadcast.cell_broadcast_at = now;
  return CellTargets(state, broadcast.cell_rounds++, 1);
}

std::vector<std::string> SelectForwarders(BroadcastState& broadcast, const State& state) {
  return CellTargets(state, broadcast.cell_rounds++, internal::kForwardersPerCell);
}

}  // namespace snipeturn::entry
