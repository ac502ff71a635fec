#include <fmt/format.h>

#include <algorithm>

#include "snipeturn/base/hash.h"
#include "snipeturn/base/log_catalogue.h"
#include "snipeturn/membership/epoch_record.h"

namespace snipeturn {
namespace internal {
namespace {

void Append(MembershipState& state,
            const EpochRecord& record,
            std::chrono::milliseconds age,
            const Now& now) {
  const bool follows = !state.epochs.empty() && state.epochs.back().number + 1 == record.number;
  if (!follows) {
    // The members of the epoch before are the former owners that a fresh host has to wait for.
    state.epochs.clear();
    if (record.number > 1) {
      state.epochs.push_back({record.number - 1, record.previous, now.monotonic, age});
    }
  }
  state.epochs.push_back({record.number, record.members, now.monotonic, age});
  state.newest_record = now.monotonic - age;
}

/// Takes one record; returns whether it changed the adopted epoch.
bool TakeRecord(MembershipState& state, const LogRecord& entry, const Now& now) {
  const auto record = ParseEpochRecord(entry.value);
  if (!record) {
    return false;
  }
  if (state.epochs.empty()) {
    Append(state, *record, entry.age, now);
    return true;
  }
  const std::uint64_t newest = state.epochs.back().number;
  if (record->number == newest && record->renewal) {
    state.newest_record = now.monotonic - entry.age;
    if (state.seeding) {
      // The first record at this number may be lost and a later one adopted in its place; a renewal
      // always repeats the first.
      state.epochs.clear();
      Append(state, *record, entry.age, now);
      return true;
    }
    return false;
  }
  if (record->number == newest + 1 || (state.seeding && record->number > newest)) {
    Append(state, *record, entry.age, now);
    return true;
  }
  return false;
}

}  // namespace

void PruneEpochs(MembershipState& state, const Tuning& tuning, const Now& now) {
  while (state.epochs.size() > 2) {
    const Epoch& successor = state.epochs[1];
    if (now.monotonic - successor.adopted + successor.age_at_adoption < tuning.long_fence) {
      break;
    }
    state.epochs.pop_front();
  }
  for (auto entry = state.adoptions.begin(); entry != state.adoptions.end();) {
    const bool known = std::any_of(
        state.epochs.begin(), state.epochs.end(),
        [&entry](const Epoch& epoch) { return FindMember(epoch, entry->first) != nullptr; });
    if (!known) {
      entry = state.adoptions.erase(entry);
      continue;
    }
    auto& times = entry->second;
    times.erase(times.begin(), times.lower_bound(state.epochs.front().number));
    ++entry;
  }
  for (auto peer = state.peers.begin(); peer != state.peers.end();) {
    const bool silent = now.monotonic - peer->second.last_heartbeat_at > 10 * tuning.long_fence;
    peer = silent ? state.peers.erase(peer) : std::next(peer);
  }
}

}  // namespace internal

const Epoch* AdoptedEpoch(const MembershipState& state) noexcept {
  return state.epochs.empty() ? nullptr : &state.epochs.back();
}

const Epoch* FindEpoch(const MembershipState& state, std::uint64_t number) noexcept {
  const auto found = std::find_if(state.epochs.begin(), state.epochs.end(),
                                  [&](const Epoch& epoch) { return epoch.number == number; });
  return found == state.epochs.end() ? nullptr : &*found;
}

const Member* FindMember(const Epoch& epoch, const HostId& id) noexcept {
  const auto found = std::find_if(epoch.members.begin(), epoch.members.end(),
                                  [&](const Member& member) { return member.id == id; });
  return found == epoch.members.end() ? nullptr : &*found;
}

bool IsMember(const MembershipState& state) noexcept {
  const Epoch* epoch = AdoptedEpoch(state);
  return epoch != nullptr && FindMember(*epoch, state.self) != nullptr;
}

std::vector<const Member*> OwnerGroup(const Epoch& epoch,
                                      const UpstreamName& upstream,
                                      const Tuning& tuning) {
  std::vector<std::pair<std::uint64_t, const Member*>> ranked;
  ranked.reserve(epoch.members.size());
  for (const Member& member : epoch.members) {
    ranked.emplace_back(RendezvousWeight(upstream, member.id.name), &member);
  }
  const auto size =
      std::min(ranked.size(), static_cast<std::size_t>(std::max(1, tuning.owner_group)));
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(size),
                    ranked.end(), [](const auto& left, const auto& right) {
                      return left.first != right.first
                                 ? left.first > right.first
                                 : left.second->id.name < right.second->id.name;
                    });
  std::vector<const Member*> group;
  group.reserve(size);
  for (std::size_t i = 0; i < size; ++i) {
    group.push_back(ranked[i].second);
  }
  return group;
}

bool HandleMembersRead(MembershipState& state,
                       const LogRead& read,
                       const Tuning& tuning,
                       const Now& now,
                       Effects& effects) {
  (void)tuning;
  if (state.members_next < read.oldest) {
    // Records are lost. What was adopted may be many epochs old, so start as a fresh host does.
    state.epochs.clear();
    state.members_next = read.oldest;
    state.seeding = true;
  }
  if (std::max(read.from, read.oldest) > state.members_next) {
    return false;
  }
  state.retention = read.retention;
  bool adopted = false;
  for (const LogRecord& record : read.records) {
    if (record.offset < state.members_next) {
      continue;
    }
    state.members_next = record.offset + 1;
    adopted |= internal::TakeRecord(state, record, now);
  }
  if (state.members_next >= read.next) {
    state.log_read_began = std::max(state.log_read_began.value_or(read.began), read.began);
    state.seeding = false;
  }
  if (adopted) {
    const Epoch& epoch = state.epochs.back();
    effects.emplace_back(EmitLog{log_events::kEpochAdopted,
                                 fmt::format("epoch={} members={} is_member={}", epoch.number,
                                             epoch.members.size(), IsMember(state))});
  }
  return adopted;
}

}  // namespace snipeturn
