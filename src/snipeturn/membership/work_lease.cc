#include <algorithm>
#include <vector>

#include "snipeturn/membership/epoch_record.h"

namespace snipeturn {
namespace internal {
namespace {

std::size_t Majority(const Epoch& epoch) {
  return epoch.members.size() / 2 + 1;
}

/// When the newest set of confirmations by a majority was given, or nothing without one.
std::optional<TimePoint> MajorityConfirmed(const MembershipState& state,
                                           const Epoch& epoch,
                                           const Now& now) {
  std::vector<TimePoint> confirmed_at{now.monotonic};
  for (const Member& member : epoch.members) {
    const auto peer = state.peers.find(member.id.name);
    if (member.id != state.self && peer != state.peers.end() && peer->second.id == member.id &&
        peer->second.last.epoch == epoch.number && peer->second.confirmed_at) {
      confirmed_at.push_back(*peer->second.confirmed_at);
    }
  }
  const std::size_t needed = Majority(epoch);
  if (confirmed_at.size() < needed) {
    return std::nullopt;
  }
  std::sort(confirmed_at.rbegin(), confirmed_at.rend());
  return confirmed_at[needed - 1];
}

/// When a host was first known to have adopted an epoch after `number`.
std::optional<TimePoint> LeftAt(const MembershipState& state,
                                const HostId& id,
                                std::uint64_t number) {
  std::optional<TimePoint> earliest;
  const auto take = [&earliest](TimePoint time) {
    earliest = earliest ? std::min(*earliest, time) : time;
  };
  if (id == state.self) {
    for (const Epoch& epoch : state.epochs) {
      if (epoch.number > number) {
        take(epoch.adopted);
      }
    }
    return earliest;
  }
  const auto adoptions = state.adoptions.find(id);
  if (adoptions != state.adoptions.end()) {
    for (auto entry = adoptions->second.upper_bound(number); entry != adoptions->second.end();
         ++entry) {
      take(entry->second);
    }
  }
  return earliest;
}

/// Tells whether nobody can start work under an epoch any more, given the one that followed it.
bool IsSettled(const MembershipState& state,
               const Epoch& epoch,
               const Epoch& successor,
               const Tuning& tuning,
               const Now& now) {
  const auto since_adoption = now.monotonic - successor.adopted;
  if (since_adoption + successor.age_at_adoption >= tuning.long_fence) {
    return true;
  }
  if (since_adoption < tuning.fence) {
    return false;
  }
  std::size_t left = 0;
  for (const Member& member : epoch.members) {
    const auto left_at = LeftAt(state, member.id, epoch.number);
    left += left_at && now.monotonic - *left_at >= tuning.fence ? 1 : 0;
  }
  return left >= Majority(epoch);
}

/// Start of the newest log read that this host and the peers which confirm its epoch rest on.
std::optional<TimePoint> NewestLogRead(const MembershipState& state, const Epoch& epoch) {
  std::optional<TimePoint> newest = state.log_read_began;
  for (const Member& member : epoch.members) {
    const auto peer = state.peers.find(member.id.name);
    if (peer == state.peers.end() || peer->second.id != member.id || !peer->second.confirmed_at ||
        peer->second.last.epoch != epoch.number) {
      continue;
    }
    const TimePoint read = *peer->second.confirmed_at - peer->second.last.log_read_age;
    newest = newest ? std::max(*newest, read) : read;
  }
  return newest;
}

/// The log may have dropped the epoch's record and hosts that start may have formed another epoch
/// without this one's members. A record is renewed before a third of the retention has passed, so
/// it is still there half of the retention after the last read.
bool MayEpochBeLost(const MembershipState& state, const Epoch& epoch, const Now& now) {
  const auto newest = NewestLogRead(state, epoch);
  return state.retention > std::chrono::milliseconds{0} &&
         (!newest || now.monotonic - *newest > state.retention / 2);
}

/// A peer has newer settings than this host, which does not read them from the log. They may take a
/// zone out of service, so a confirmation of the epoch alone is no permission.
bool IsBehindInSettings(const MembershipState& state, const Tuning& tuning, const Now& now) {
  const bool reads =
      state.settings_read_began && now.monotonic - *state.settings_read_began < tuning.fence / 2;
  return state.settings_known > state.settings_applied && !reads;
}

}  // namespace
}  // namespace internal

std::optional<TimePoint> WorkLeaseExpiry(const MembershipState& state,
                                         const Tuning& tuning,
                                         const Now& now) {
  if (!IsMember(state) || state.seeding || internal::IsBehindInSettings(state, tuning, now)) {
    return std::nullopt;
  }
  std::optional<TimePoint> evidence = state.log_read_began;
  const auto confirmed_at = internal::MajorityConfirmed(state, *AdoptedEpoch(state), now);
  if (confirmed_at && !internal::MayEpochBeLost(state, *AdoptedEpoch(state), now) &&
      (!evidence || *confirmed_at > *evidence)) {
    evidence = confirmed_at;
  }
  if (!evidence || *evidence + tuning.fence / 2 <= now.monotonic) {
    return std::nullopt;
  }
  return *evidence + tuning.fence / 2;
}

bool MayStartWork(const MembershipState& state, const Tuning& tuning, const Now& now) {
  return WorkLeaseExpiry(state, tuning, now).has_value();
}

bool IsFenced(const MembershipState& state,
              std::uint64_t since,
              std::uint64_t until,
              const Tuning& tuning,
              const Now& now) {
  for (std::size_t i = 0; i + 1 < state.epochs.size(); ++i) {
    const Epoch& epoch = state.epochs[i];
    if (epoch.number >= since && epoch.number < until &&
        !internal::IsSettled(state, epoch, state.epochs[i + 1], tuning, now)) {
      return false;
    }
  }
  // Epochs that are not kept any more were settled by `long_fence`.
  return true;
}

bool IsFencedSince(const MembershipState& state,
                   std::uint64_t since,
                   const Tuning& tuning,
                   const Now& now) {
  const Epoch* epoch = AdoptedEpoch(state);
  return epoch != nullptr && IsFenced(state, since, epoch->number, tuning, now);
}

bool MayBeAlive(const MembershipState& state,
                const HostId& id,
                const Tuning& tuning,
                const Now& now) {
  if (id == state.self) {
    return true;
  }
  const auto gone = state.unreachable_since.find(id);
  if (gone != state.unreachable_since.end() &&
      now.monotonic - gone->second >= tuning.epoch_agreement) {
    return false;
  }
  const Epoch* epoch = AdoptedEpoch(state);
  if (epoch == nullptr || FindMember(*epoch, id) != nullptr) {
    return true;
  }
  const bool was_member =
      std::any_of(state.epochs.begin(), state.epochs.end(),
                  [&id](const Epoch& former) { return FindMember(former, id) != nullptr; });
  if (was_member) {
    return false;
  }
  // A host that has not joined yet is known by its heartbeats or the platform's list.
  return internal::HasRecentHeartbeat(state, id, tuning, now) || !state.listed_at ||
         internal::FindListed(state, id) != nullptr;
}

}  // namespace snipeturn
