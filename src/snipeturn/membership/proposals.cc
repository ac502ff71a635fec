#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "snipeturn/base/hash.h"
#include "snipeturn/base/log_catalogue.h"
#include "snipeturn/membership/epoch_record.h"

namespace snipeturn::internal {
namespace {

bool IsDue(const std::map<HostId, TimePoint>& since,
           const HostId& id,
           const Tuning& tuning,
           const Now& now) {
  const auto found = since.find(id);
  return found != since.end() && now.monotonic - found->second >= tuning.epoch_agreement;
}

/// The members of the next epoch, by id.
std::vector<Member> DueMembers(const MembershipState& state, const Tuning& tuning, const Now& now) {
  std::map<HostName, Member> members;
  if (const Epoch* epoch = AdoptedEpoch(state)) {
    for (const Member& member : epoch->members) {
      if (!IsDue(state.unreachable_since, member.id, tuning, now) &&
          !IsDue(state.drained_since, member.id, tuning, now)) {
        members.emplace(member.id.name, member);
      }
    }
  }
  // A new incarnation joins only when the former one of the same name is known to be gone.
  for (const ListedHost& host : state.listed) {
    if (IsDue(state.joinable_since, host.id, tuning, now)) {
      members.emplace(host.id.name, Member{host.id, host.endpoint, host.zone});
    }
  }
  std::vector<Member> list;
  list.reserve(members.size());
  for (auto& entry : members) {
    list.push_back(std::move(entry.second));
  }
  return list;
}

bool HaveSameIds(const std::vector<Member>& left, const std::vector<Member>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const Member& a, const Member& b) { return a.id == b.id; });
}

/// Place of this host in the order of proposers, 0 first. Live members come before hosts that are
/// about to join, which propose when no member is left.
std::optional<std::size_t> ProposerRank(const MembershipState& state,
                                        const std::vector<Member>& due,
                                        const Tuning& tuning,
                                        const Now& now) {
  std::vector<HostName> members;
  std::vector<HostName> joining;
  const Epoch* epoch = AdoptedEpoch(state);
  const auto is_member = [epoch](const HostId& id) {
    return epoch != nullptr && FindMember(*epoch, id) != nullptr;
  };
  for (const Member& member : epoch == nullptr ? std::vector<Member>{} : epoch->members) {
    if (member.id == state.self || HasRecentHeartbeat(state, member.id, tuning, now)) {
      members.push_back(member.id.name);
    }
  }
  for (const Member& member : due) {
    if (!is_member(member.id)) {
      joining.push_back(member.id.name);
    }
  }
  std::vector<HostName> order = RendezvousOrder(kMembersStream, std::move(members));
  for (HostName& name : RendezvousOrder(kMembersStream, std::move(joining))) {
    order.push_back(std::move(name));
  }
  const auto self = std::find(order.begin(), order.end(), state.self.name);
  if (self == order.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(self - order.begin());
}

/// Each rank waits for the ones above it to propose and for their record to be read.
std::chrono::milliseconds RankDelay(std::size_t rank, const Tuning& tuning) {
  return 2 * static_cast<int>(rank) * tuning.heartbeat_interval;
}

bool MayAppend(const MembershipState& state, const Tuning& tuning, const Now& now) {
  // Without a recent read up to the end of the stream the next number is not known.
  if (state.seeding || !state.log_read_began ||
      now.monotonic - *state.log_read_began >= tuning.fence / 2) {
    return false;
  }
  if (!state.proposed_at) {
    return true;
  }
  // What counts is the record that is read back, so an append without an answer is repeated.
  const auto wait = state.pending_proposal ? tuning.fence : tuning.epoch_agreement;
  return now.monotonic - *state.proposed_at >= wait;
}

/// Number of an epoch that follows none. When the stream has lost records, hosts of an unknown
/// epoch may still be alive; each record has an offset, so no epoch had a number above the next
/// offset.
std::uint64_t FirstNumber(const MembershipState& state) {
  constexpr std::uint64_t kBeyondLost = 2;
  return state.members_next == 0 ? 1 : state.members_next + kBeyondLost;
}

void Append(MembershipState& state,
            const EpochRecord& record,
            const Now& now,
            AppendId& append_ids,
            Effects& effects) {
  state.pending_proposal = append_ids++;
  state.proposed_at = now.monotonic;
  effects.emplace_back(AppendLog{*state.pending_proposal, kMembersStream, ToJson(record)});
}

}  // namespace

void ProposeEpoch(MembershipState& state,
                  const Tuning& tuning,
                  const Now& now,
                  AppendId& append_ids,
                  Effects& effects) {
  const Epoch* epoch = AdoptedEpoch(state);
  const std::vector<Member> current = epoch == nullptr ? std::vector<Member>{} : epoch->members;
  const std::vector<Member> due = DueMembers(state, tuning, now);
  if (due.empty() || HaveSameIds(due, current)) {
    state.change_seen.reset();
    return;
  }
  if (!state.change_seen) {
    state.change_seen = now.monotonic;
  }
  const auto rank = ProposerRank(state, due, tuning, now);
  if (!rank || now.monotonic - *state.change_seen < RankDelay(*rank, tuning) ||
      !MayAppend(state, tuning, now)) {
    return;
  }
  const std::uint64_t number = epoch == nullptr ? FirstNumber(state) : epoch->number + 1;
  effects.emplace_back(
      EmitLog{log_events::kEpochProposed, fmt::format("epoch={} members={}", number, due.size())});
  Append(state, {number, due, current, false}, now, append_ids, effects);
}

void RenewEpoch(MembershipState& state,
                const Tuning& tuning,
                const Now& now,
                AppendId& append_ids,
                Effects& effects) {
  const Epoch* epoch = AdoptedEpoch(state);
  if (epoch == nullptr || !state.newest_record || state.retention.count() == 0 ||
      !IsMember(state)) {
    return;
  }
  const auto rank = ProposerRank(state, {}, tuning, now);
  const auto due = state.retention / 3 + RankDelay(rank.value_or(0), tuning);
  if (!rank || now.monotonic - *state.newest_record < due || !MayAppend(state, tuning, now)) {
    return;
  }
  const Epoch* previous = FindEpoch(state, epoch->number - 1);
  const std::vector<Member> none;
  Append(state,
         {epoch->number, epoch->members, previous == nullptr ? none : previous->members, true}, now,
         append_ids, effects);
}

}  // namespace snipeturn::internal
