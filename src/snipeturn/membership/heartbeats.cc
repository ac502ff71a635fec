#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "snipeturn/base/hash.h"
#include "snipeturn/membership/epoch_record.h"

namespace snipeturn {
namespace internal {
namespace {

// A host that missed two of its heartbeats in a row is not counted as heard.
constexpr int kHeardIntervals = 3;

std::optional<Endpoint> FindEndpoint(const MembershipState& state, const HostName& host) {
  const auto listed = std::find_if(state.listed.begin(), state.listed.end(),
                                   [&](const ListedHost& entry) { return entry.id.name == host; });
  if (listed != state.listed.end()) {
    return listed->endpoint;
  }
  for (auto epoch = state.epochs.rbegin(); epoch != state.epochs.rend(); ++epoch) {
    for (const Member& member : epoch->members) {
      if (member.id.name == host) {
        return member.endpoint;
      }
    }
  }
  const auto peer = state.peers.find(host);
  if (peer != state.peers.end() && peer->second.endpoint.port != 0) {
    return peer->second.endpoint;
  }
  return std::nullopt;
}

void NextSequence(MembershipState& state, const Tuning& tuning, const Now& now) {
  if (state.heartbeat_sequence == 0) {
    // 52 bits: the number survives JSON readers that hold numbers as doubles.
    state.heartbeat_sequence = Hash(std::to_string(state.self.incarnation)) >> 12U;
  }
  ++state.heartbeat_sequence;
  state.heartbeats_sent[state.heartbeat_sequence] = now.monotonic;
  while (state.heartbeats_sent.begin()->second + 2 * tuning.fence < now.monotonic) {
    state.heartbeats_sent.erase(state.heartbeats_sent.begin());
  }
}

}  // namespace

bool HasRecentHeartbeat(const MembershipState& state,
                        const HostId& id,
                        const Tuning& tuning,
                        const Now& now) {
  const auto peer = state.peers.find(id.name);
  return peer != state.peers.end() && peer->second.id == id &&
         now.monotonic - peer->second.last_heartbeat_at <
             kHeardIntervals * tuning.heartbeat_interval;
}

void SendHeartbeats(MembershipState& state,
                    const std::vector<UpstreamGossip>& gossip,
                    LogOffset settings_offset,
                    const Tuning& tuning,
                    const Now& now,
                    Effects& effects) {
  NextSequence(state, tuning, now);
  Heartbeat heartbeat;
  heartbeat.sequence = state.heartbeat_sequence;
  // While seeding, the newest record seen may be older than what this host confirmed before.
  heartbeat.epoch = state.epochs.empty() || state.seeding ? 0 : state.epochs.back().number;
  heartbeat.log_read_age = state.log_read_began
                               ? ToMilliseconds(now.monotonic - *state.log_read_began)
                               : std::chrono::hours{24};
  heartbeat.settings_offset = settings_offset;
  heartbeat.draining = state.draining;
  heartbeat.upstreams = gossip;
  for (const HostName& host : HeartbeatRecipients(state, gossip, tuning)) {
    const auto peer = state.peers.find(host);
    heartbeat.echo = peer == state.peers.end() ? 0 : peer->second.last.sequence;
    SendToPeer(state, host, heartbeat, effects);
  }
}

}  // namespace internal

std::vector<HostName> HeartbeatRecipients(const MembershipState& state,
                                          const std::vector<UpstreamGossip>& gossip,
                                          const Tuning& tuning) {
  const Epoch* epoch = AdoptedEpoch(state);
  std::set<HostName> hosts;
  if (epoch != nullptr) {
    for (const Member& member : epoch->members) {
      hosts.insert(member.id.name);
    }
  }
  if (hosts.size() <= static_cast<std::size_t>(tuning.owner_group)) {
    // Listed hosts that are not members yet need the warmth of upstreams and the settings offset.
    for (const ListedHost& listed : state.listed) {
      hosts.insert(listed.id.name);
    }
  } else {
    hosts.clear();
    for (const UpstreamGossip& entry : gossip) {
      const auto group = OwnerGroup(*epoch, entry.upstream, tuning);
      if (std::any_of(group.begin(), group.end(),
                      [&](const Member* member) { return member->id == state.self; })) {
        for (const Member* member : group) {
          hosts.insert(member->id.name);
        }
      }
    }
  }
  hosts.erase(state.self.name);
  return {hosts.begin(), hosts.end()};
}

void HandleHeartbeat(MembershipState& state,
                     const HostId& from,
                     const Heartbeat& heartbeat,
                     const Now& now) {
  if (from.name == state.self.name) {
    return;
  }
  state.settings_known = std::max(state.settings_known, heartbeat.settings_offset);
  PeerView& peer = state.peers[from.name];
  const bool first = peer.id.incarnation == 0;
  if (!first && peer.id != from) {
    // A delayed heartbeat of an earlier life must not hide the current one, which is heard often.
    const Epoch* epoch = AdoptedEpoch(state);
    const bool displaces_member = epoch != nullptr && FindMember(*epoch, peer.id) != nullptr;
    const bool silent = now.monotonic - peer.last_heartbeat_at >= std::chrono::milliseconds{1500};
    if (!silent && (displaces_member || heartbeat.epoch <= peer.last.epoch)) {
      return;
    }
    peer = PeerView{};
  } else if (!first && heartbeat.sequence <= peer.last.sequence) {
    return;
  }
  peer.id = from;
  peer.last = heartbeat;
  peer.last_heartbeat_at = now.monotonic;
  const auto sent = state.heartbeats_sent.find(heartbeat.echo);
  peer.confirmed_at =
      sent == state.heartbeats_sent.end() ? std::nullopt : std::optional{sent->second};
  state.adoptions[from].emplace(heartbeat.epoch, now.monotonic);
}

void SendToPeer(const MembershipState& state,
                const HostName& host,
                PeerMessage message,
                Effects& effects) {
  const auto endpoint = internal::FindEndpoint(state, host);
  if (endpoint && host != state.self.name) {
    effects.emplace_back(SendPeer{host, *endpoint, std::move(message)});
  }
}

void HandleMembershipTimer(MembershipState& state,
                           const std::vector<UpstreamGossip>& gossip,
                           LogOffset settings_offset,
                           const Tuning& tuning,
                           Timers& timers,
                           const Now& now,
                           AppendId& append_ids,
                           Effects& effects) {
  const bool holds_slots =
      std::any_of(gossip.begin(), gossip.end(),
                  [](const UpstreamGossip& entry) { return entry.long_running_slots > 0; });
  internal::TrackMemberChanges(state, holds_slots, tuning, now);
  internal::SendHeartbeats(state, gossip, settings_offset, tuning, now, effects);
  internal::ProposeEpoch(state, tuning, now, append_ids, effects);
  internal::RenewEpoch(state, tuning, now, append_ids, effects);
  internal::PruneEpochs(state, tuning, now);
  Schedule(timers, {TimerKind::kMembership, 0}, now.monotonic + tuning.heartbeat_interval);
}

}  // namespace snipeturn
