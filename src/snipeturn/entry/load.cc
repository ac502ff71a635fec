#include "snipeturn/entry/load.h"

#include "snipeturn/entry/cells.h"
#include "snipeturn/entry/forecast.h"
#include "snipeturn/entry/health.h"
#include "snipeturn/entry/learned_capacity.h"
#include "snipeturn/entry/readers.h"
#include "snipeturn/entry/rollouts.h"
#include "snipeturn/entry/store_return.h"
#include "snipeturn/entry/upstream_signals.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// A host without a load broadcast for this long has died or is partitioned off, and its work ends
/// soon.
constexpr std::chrono::milliseconds kPeerLoadTtl{3200};

/// How long a failed connection is broadcast to other hosts; by then the entry of a dead upstream
/// has been removed.
constexpr std::chrono::milliseconds kUnreachableTtl{1000};
/// Updates are repeated in broadcasts for this long, so that they go out at least twice more.
constexpr std::chrono::milliseconds kUpdateRebroadcastDuration{1200};

}  // namespace

void AddLoad(LoadTable& sum, const LoadTable& table) {
  for (const auto& [id, load] : table) {
    UpstreamLoad& entry = sum[id];
    entry.requests += load.requests;
    entry.tokens += load.tokens;
    entry.pending_prompt_tokens += load.pending_prompt_tokens;
  }
}

}  // namespace internal

PeerLoadReceived MakeLoadBroadcast(const State& state, TimePoint now) {
  PeerLoadReceived table;
  table.host = state.options.host;
  table.zone = state.options.zone;
  table.cell = state.cell;
  table.broadcast_at = now;
  table.is_stopping = state.is_stopping;
  table.last_update = state.last_update;
  for (const State::RecentUpdate& recent : state.recent_updates) {
    if (now - recent.at < internal::kUpdateRebroadcastDuration) {
      table.recent_updates.push_back(recent.update);
    }
  }
  table.configuration_position = state.store.position;
  if (const std::int64_t version = NewestKnownVersion(state, now); version > 0) {
    table.configuration_version = version;
  }
  if (state.store.confirmed && IsConfigurationReader(state, now)) {
    table.configuration_age = ToMilliseconds(now - state.store.read_at);
  }
  if (state.list_confirmed && IsListReader(state, now)) {
    table.list_age = ToMilliseconds(now - *state.list_confirmed);
  }
  table.load = LocalLoad(state);
  table.unreachable_upstreams = UnreachableUpstreams(state, now);
  table.outcomes = FailingUpstreams(state, now);
  table.limits = ReportedLimits(state, now, true);
  table.leaving = ReportedLeavings(state, now, true);
  table.rollouts = ReportedRollouts(state, now);
  table.capacity = ReportedCapacity(state, now, true);
  return table;
}

std::uint64_t ExpectedMemoryTokens(const Request& request) noexcept {
  if (request.kind != RouteKind::kStream) {
    return 0;
  }
  return ReservedTokens(request.head.prompt_tokens, OutputTokens(request),
                        request.expected_output_tokens);
}

LoadTable LocalLoad(const State& state) {
  LoadTable table;
  for (const auto& [key, request] : state.requests) {
    const std::uint64_t tokens = ExpectedMemoryTokens(request);
    for (const Attempt& attempt : request.attempts) {
      UpstreamLoad& load = table[attempt.upstream];
      load.requests += 1;
      load.tokens += tokens;
      if (attempt.is_reading_prompt) {
        load.pending_prompt_tokens += request.head.prompt_tokens;
      }
    }
    if (request.migration && request.migration->step != MigrationStep::kResuming) {
      UpstreamLoad& load = table[request.migration->target];
      load.requests += 1;
      load.tokens += tokens;
    }
  }
  return table;
}

std::vector<UpstreamId> UnreachableUpstreams(const State& state, TimePoint now) {
  std::vector<UpstreamId> unreachable;
  for (const auto& [id, upstream] : state.upstreams) {
    if (upstream.connect_failed_at &&
        now - *upstream.connect_failed_at < internal::kUnreachableTtl) {
      unreachable.push_back(id);
    }
  }
  return unreachable;
}

LoadTable TotalLoad(const State& state, TimePoint now) {
  LoadTable table = LocalLoad(state);
  for (const auto& [host, peer] : state.peers) {
    if (now - peer.at <= internal::kPeerLoadTtl && CountsDirectly(state, peer, now)) {
      internal::AddLoad(table, peer.load);
    }
  }
  for (const auto& [name, cell] : state.cells) {
    if (IsFresh(cell, now)) {
      internal::AddLoad(table, cell.load);
    }
  }
  return table;
}

}  // namespace snipeturn::entry
