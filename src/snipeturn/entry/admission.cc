#include "snipeturn/entry/admission.h"

#include <algorithm>
#include <chrono>

#include "snipeturn/base/hash.h"
#include "snipeturn/entry/cells.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// A host without a load broadcast for this long is considered down.
constexpr std::chrono::seconds kHostTtl{4};

bool IsLiveInCell(const State& state, const PeerLoad& peer, TimePoint now) {
  const bool is_in_own_cell = !HasCells(state) || peer.cell == state.cell;
  return is_in_own_cell && now - peer.at < kHostTtl;
}

/// Tells whether this host is one of those that may send under a limit. A host that hears only some
/// of the others counts itself in only as far as its part of the deployment allows.
bool IsSender(const State& state, const UpstreamId& upstream, int senders, TimePoint now) {
  const int hosts = CellHosts(state);
  if (hosts <= senders) {
    return true;
  }
  const auto heard = std::count_if(state.peers.begin(), state.peers.end(), [&](const auto& entry) {
    return IsLiveInCell(state, entry.second, now);
  });
  const double part = std::min(1.0, static_cast<double>(heard + 1) / hosts);
  return CountHostsRankedBefore(state, upstream, now) + 1 <= senders * part;
}

}  // namespace

int CountHostsRankedBefore(const State& state, const UpstreamId& upstream, TimePoint now) {
  const std::uint64_t own = RendezvousWeight(upstream, state.options.host);
  return static_cast<int>(
      std::count_if(state.peers.begin(), state.peers.end(), [&](const auto& entry) {
        return IsLiveInCell(state, entry.second, now) &&
               RendezvousWeight(upstream, entry.first) > own;
      }));
}

}  // namespace internal

std::optional<double> PermittedRate(const State& state, const Upstream& upstream, TimePoint now) {
  const std::optional<double>& limit = upstream.rate_limit.requests_per_second;
  if (!limit) {
    return std::nullopt;
  }
  // With cells, only hosts of the upstream's own zone send to it, since only the hosts of a zone
  // know one another well enough to divide the limit.
  if (HasCells(state) && upstream.entry.zone != state.options.zone) {
    return 0;
  }
  const int cells = HasCells(state) ? std::max(1, state.cells_in_zone) : 1;
  const int senders =
      std::max(1, std::min(CellHosts(state), backpressure::MaxSendingHosts(*limit) / cells));
  if (!internal::IsSender(state, upstream.entry.id, senders, now)) {
    return 0;
  }
  return backpressure::HostRate(*limit, senders * cells);
}

TimePoint AvailableFrom(const State& state, const Upstream& upstream, TimePoint now) {
  const TimePoint after_pause = backpressure::NextStart(upstream.pause, now);
  const std::optional<double> rate = PermittedRate(state, upstream, now);
  return rate ? std::max(after_pause, backpressure::NextStart(upstream.rate_limit, *rate, now))
              : after_pause;
}

void RecordRequest(const State& state, Upstream& upstream, TimePoint now) {
  backpressure::RecordStart(upstream.pause, now);
  if (const std::optional<double> rate = PermittedRate(state, upstream, now)) {
    backpressure::RecordStart(upstream.rate_limit, *rate, now);
  }
}

}  // namespace snipeturn::entry
