#include <algorithm>
#include <set>

#include "snipeturn/membership/epoch_record.h"

namespace snipeturn {
namespace internal {
namespace {

/// Keeps a time since when a condition holds.
void Follow(std::map<HostId, TimePoint>& since, const HostId& id, bool holds, const Now& now) {
  if (holds) {
    since.emplace(id, now.monotonic);
  } else {
    since.erase(id);
  }
}

std::optional<TimePoint> Recent(const std::map<HostId, TimePoint>& times,
                                const HostId& id,
                                const Tuning& tuning,
                                const Now& now) {
  const auto found = times.find(id);
  // Probes are repeated with each read of the list; one that is older than that says nothing.
  if (found == times.end() || now.monotonic - found->second > 2 * tuning.epoch_agreement) {
    return std::nullopt;
  }
  return found->second;
}

bool IsListFresh(const MembershipState& state, const Tuning& tuning, const Now& now) {
  return state.listed_at && now.monotonic - *state.listed_at <= 2 * tuning.epoch_agreement;
}

bool IsDraining(const MembershipState& state, const HostId& id) {
  if (id == state.self) {
    return state.draining;
  }
  const auto peer = state.peers.find(id.name);
  return peer != state.peers.end() && peer->second.id == id && peer->second.last.draining;
}

bool IsPresent(const MembershipState& state,
               const ListedHost& host,
               const Tuning& tuning,
               const Now& now) {
  if (host.leaving || IsDraining(state, host.id)) {
    return false;
  }
  const auto answered = Recent(state.probe_answered, host.id, tuning, now);
  const auto failed = Recent(state.probe_failed, host.id, tuning, now);
  return host.id == state.self || HasRecentHeartbeat(state, host.id, tuning, now) ||
         (answered && (!failed || *answered >= *failed));
}

bool IsGone(const MembershipState& state, const HostId& id, const Tuning& tuning, const Now& now) {
  if (id == state.self || FindListed(state, id) != nullptr ||
      HasRecentHeartbeat(state, id, tuning, now)) {
    return false;
  }
  const auto answered = Recent(state.probe_answered, id, tuning, now);
  const auto failed = Recent(state.probe_failed, id, tuning, now);
  return failed && (!answered || *failed > *answered);
}

/// A member that is leaving and needs its slots no more.
bool IsIdle(const MembershipState& state,
            const HostId& id,
            bool self_holds_slots,
            const Tuning& tuning,
            const Now& now) {
  const ListedHost* listed = FindListed(state, id);
  if (!IsDraining(state, id) && !(listed != nullptr && listed->leaving)) {
    return false;
  }
  if (id == state.self) {
    return !self_holds_slots;
  }
  if (!HasRecentHeartbeat(state, id, tuning, now)) {
    return false;
  }
  const auto& upstreams = state.peers.at(id.name).last.upstreams;
  return std::none_of(upstreams.begin(), upstreams.end(),
                      [](const UpstreamGossip& entry) { return entry.long_running_slots > 0; });
}

/// Members and listed hosts.
std::set<HostId> KnownIds(const MembershipState& state) {
  std::set<HostId> ids;
  if (const Epoch* epoch = AdoptedEpoch(state)) {
    for (const Member& member : epoch->members) {
      ids.insert(member.id);
    }
  }
  for (const ListedHost& host : state.listed) {
    ids.insert(host.id);
  }
  return ids;
}

void Forget(std::map<HostId, TimePoint>& times, const std::set<HostId>& known) {
  for (auto entry = times.begin(); entry != times.end();) {
    entry = known.count(entry->first) > 0 ? std::next(entry) : times.erase(entry);
  }
}

}  // namespace

const ListedHost* FindListed(const MembershipState& state, const HostId& id) noexcept {
  const auto found = std::find_if(state.listed.begin(), state.listed.end(),
                                  [&](const ListedHost& host) { return host.id == id; });
  return found == state.listed.end() ? nullptr : &*found;
}

void TrackMemberChanges(MembershipState& state,
                        bool self_holds_slots,
                        const Tuning& tuning,
                        const Now& now) {
  const bool fresh = IsListFresh(state, tuning, now);
  const Epoch* epoch = AdoptedEpoch(state);
  for (const HostId& id : KnownIds(state)) {
    const bool member = epoch != nullptr && FindMember(*epoch, id) != nullptr;
    const ListedHost* listed = FindListed(state, id);
    Follow(state.unreachable_since, id, fresh && IsGone(state, id, tuning, now), now);
    Follow(state.drained_since, id,
           fresh && member && IsIdle(state, id, self_holds_slots, tuning, now), now);
    Follow(state.joinable_since, id,
           fresh && !member && listed != nullptr && IsPresent(state, *listed, tuning, now), now);
  }
}

}  // namespace internal

void HandleHostList(MembershipState& state,
                    const HostListRead& list,
                    const Tuning& tuning,
                    const Now& now,
                    Effects& effects) {
  // Hosts that left the list and the epoch are kept for `long_fence`: a loan may name them.
  std::set<HostId> known = internal::KnownIds(state);
  state.listed = list.hosts;
  state.listed_at = now.monotonic;
  for (const HostId& id : internal::KnownIds(state)) {
    known.insert(id);
  }
  for (auto* times :
       {&state.joinable_since, &state.drained_since, &state.probe_answered, &state.probe_failed}) {
    internal::Forget(*times, known);
  }
  for (auto gone = state.unreachable_since.begin(); gone != state.unreachable_since.end();) {
    const bool expired =
        known.count(gone->first) == 0 && now.monotonic - gone->second > 2 * tuning.long_fence;
    gone = expired ? state.unreachable_since.erase(gone) : std::next(gone);
  }
  const Epoch* epoch = AdoptedEpoch(state);
  if (epoch != nullptr) {
    for (const Member& member : epoch->members) {
      if (member.id != state.self && internal::FindListed(state, member.id) == nullptr) {
        effects.emplace_back(ProbeHost{member.id.name, member.endpoint});
      }
    }
  }
  for (const ListedHost& host : state.listed) {
    const bool member = epoch != nullptr && FindMember(*epoch, host.id) != nullptr;
    if (host.id != state.self && !member &&
        !internal::HasRecentHeartbeat(state, host.id, tuning, now)) {
      effects.emplace_back(ProbeHost{host.id.name, host.endpoint});
    }
  }
}

void HandleProbeEnded(MembershipState& state, const ProbeEnded& probe, const Now& now) {
  for (const HostId& id : internal::KnownIds(state)) {
    if (id.name == probe.host) {
      auto& times = probe.incarnation == id.incarnation ? state.probe_answered : state.probe_failed;
      times[id] = now.monotonic;
    }
  }
}

}  // namespace snipeturn
