#include "snipeturn/claims/claim_proof.h"

#include <algorithm>

#include "snipeturn/claims/claim_record.h"

namespace snipeturn {
namespace internal {

/// True when another host, or an earlier request on this one, may have run the key.
bool MayHaveRunElsewhere(const ClaimsState& state, const ClaimWaiter& waiter) {
  if (state.dispatched_here.count(waiter.key_digest) > 0) {
    return true;
  }
  const auto entry = state.entries.find(waiter.key_digest);
  if (entry == state.entries.end() || entry->second.phase == ClaimPhase::kUnclaimed) {
    return false;
  }
  return entry->second.claim != waiter.claim;
}

/// True when the claim stream was read to its end after the claim was given up.
bool IsReadSinceGivenUp(const ClaimsState& state, const ClaimWaiter& waiter, const Tuning& tuning) {
  const auto shard = state.shards.find(ClaimShardOf(waiter.key_digest, tuning.claim_streams));
  return waiter.query && shard != state.shards.end() && shard->second.caught_up &&
         *shard->second.caught_up >= waiter.gave_up;
}

/// True when every host that could have run the key is a member of the adopted epoch. A host that
/// was removed may have gone on for a fence, and clocks differ by the margin.
bool IsEpochOlderThanKey(const Epoch& epoch,
                         const ClaimWaiter& waiter,
                         const Tuning& tuning,
                         const Now& now) {
  const auto epoch_age = ToMilliseconds(now.monotonic - epoch.adopted) + epoch.age_at_adoption;
  const WallTime formed = now.wall - epoch_age;
  return waiter.key_issued > formed + tuning.fence + tuning.key_margin;
}

}  // namespace internal

std::vector<HostId> HostsToAsk(const MembershipState& membership) {
  std::vector<HostId> hosts;
  if (const Epoch* epoch = AdoptedEpoch(membership)) {
    for (const Member& member : epoch->members) {
      if (member.id != membership.self) {
        hosts.push_back(member.id);
      }
    }
  }
  return hosts;
}

ClaimKnowledge KnowledgeOf(const ClaimsState& state, const std::string& key_digest) {
  if (state.dispatched_here.count(key_digest) > 0) {
    return ClaimKnowledge::kDispatched;
  }
  for (const auto& [request, waiter] : state.waiters) {
    // A waiter with a query has given up its claim for good.
    if (waiter.key_digest == key_digest && !waiter.query) {
      return ClaimKnowledge::kPending;
    }
  }
  const auto entry = state.entries.find(key_digest);
  if (entry == state.entries.end() || entry->second.phase == ClaimPhase::kUnclaimed) {
    return ClaimKnowledge::kNone;
  }
  return entry->second.phase == ClaimPhase::kFinished ? ClaimKnowledge::kFinished
                                                      : ClaimKnowledge::kPending;
}

bool ProvesNotRun(const ClaimsState& state,
                  const ClaimWaiter& waiter,
                  const MembershipState& membership,
                  const Tuning& tuning,
                  const Now& now) {
  if (internal::MayHaveRunElsewhere(state, waiter)) {
    return false;
  }
  if (internal::IsReadSinceGivenUp(state, waiter, tuning)) {
    return true;
  }
  const Epoch* epoch = AdoptedEpoch(membership);
  if (epoch == nullptr || !IsMember(membership) || !waiter.query ||
      !internal::IsEpochOlderThanKey(*epoch, waiter, tuning, now)) {
    return false;
  }
  const std::vector<HostId> hosts = HostsToAsk(membership);
  return std::all_of(hosts.begin(), hosts.end(), [&waiter](const HostId& host) {
    return waiter.answered_none.count(host.name) > 0;
  });
}

}  // namespace snipeturn
