#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "snipeturn/limits/resource.h"

namespace snipeturn {
namespace internal {
namespace {

/// Addressee of a release request, and the epoch in which this host became the owner of its slots.
using ReleaseRequestKey = std::pair<HostName, std::uint64_t>;

/// Tells whether this host may release a slot: it neither uses nor lends the slot, nor waits for
/// another host that may use it.
bool CanRelease(const LimitsState& state,
                const UpstreamLimits& limits,
                const std::string& resource,
                int index,
                std::uint64_t epoch) {
  if (state.epoch < epoch || index >= limits.tracked_slots) {
    return false;
  }
  const bool in_use = std::any_of(state.holds.begin(), state.holds.end(), [&](const auto& entry) {
    return UsesSlot(entry.second, resource, index);
  });
  const bool has_unused_loan =
      std::any_of(state.unused_loans.begin(), state.unused_loans.end(), [&](const auto& entry) {
        return entry.second.upstream == resource && entry.second.slot == index;
      });
  if (in_use || has_unused_loan) {
    return false;
  }
  const auto slot = limits.slots.find(index);
  if (slot == limits.slots.end()) {
    return true;
  }
  // An owner of a later epoch waits for the requesting host, which must not wait for it in turn.
  return slot->second.acquired_epoch > epoch && slot->second.phase != SlotPhase::kLent;
}

}  // namespace

void RequestReleases(const LimitsState& state,
                     const MembershipState& membership,
                     Effects& effects) {
  const Epoch* epoch = AdoptedEpoch(membership);
  if (epoch == nullptr) {
    return;
  }
  ForEachResource(state, [&](const std::string& name, const UpstreamLimits& limits) {
    std::map<ReleaseRequestKey, std::vector<int>> release_requests;
    for (const auto& [index, slot] : limits.slots) {
      if (slot.phase == SlotPhase::kAwaitingRelease) {
        release_requests[{slot.former_owner.name, slot.acquired_epoch}].push_back(index);
      } else if (slot.phase == SlotPhase::kAwaitingFence) {
        // A host that left by a planned shutdown still replies, and its release makes waiting for
        // the fence and the load report unnecessary.
        if (slot.former_owner.incarnation != 0) {
          release_requests[{slot.former_owner.name, slot.acquired_epoch}].push_back(index);
        }
        for (const Member& member : epoch->members) {
          if (member.id != membership.self && slot.released_by.count(member.id) == 0) {
            release_requests[{member.id.name, slot.acquired_epoch}].push_back(index);
          }
        }
      }
    }
    for (const auto& [release_request, slots] : release_requests) {
      SendToPeer(membership, release_request.first,
                 SlotReleaseRequest{release_request.second, name, slots}, effects);
    }
  });
}

void HandleSlotReleaseRequest(LimitsState& state,
                              const MembershipState& membership,
                              const HostId& from,
                              const SlotReleaseRequest& message,
                              Effects& effects) {
  UpstreamLimits* limits = FindResource(state, message.upstream);
  if (limits == nullptr) {
    return;
  }
  std::vector<int> released;
  for (const int index : message.slots) {
    if (CanRelease(state, *limits, message.upstream, index, message.epoch)) {
      released.push_back(index);
      continue;
    }
    const auto slot = limits->slots.find(index);
    if (slot != limits->slots.end() && !slot->second.owned) {
      slot->second.requested_by = std::make_pair(from.name, message.epoch);
    }
  }
  if (!released.empty()) {
    SendToPeer(membership, from.name, SlotsReleased{message.epoch, message.upstream, released},
               effects);
  }
}

bool HandleSlotsReleased(LimitsState& state, const HostId& from, const SlotsReleased& message) {
  UpstreamLimits* limits = FindResource(state, message.upstream);
  if (limits == nullptr) {
    return false;
  }
  bool usable = false;
  for (const int index : message.slots) {
    const auto found = limits->slots.find(index);
    if (found == limits->slots.end() || found->second.acquired_epoch != message.epoch) {
      continue;
    }
    OwnedSlot& slot = found->second;
    const bool awaited =
        slot.phase == SlotPhase::kAwaitingRelease || slot.phase == SlotPhase::kAwaitingFence;
    if (awaited && slot.former_owner == from) {
      MakeUsable(state, message.upstream, index, slot);
      EraseIfReleased(*limits, index);
      usable = true;
    } else if (slot.phase == SlotPhase::kAwaitingFence) {
      slot.released_by.insert(from);
    }
  }
  return usable;
}

}  // namespace internal

bool HandleLimitsMessage(LimitsState& state,
                         const MembershipState& membership,
                         const Catalog& catalog,
                         const HostId& from,
                         const PeerMessage& message,
                         const Tuning& tuning,
                         const Now& now,
                         Effects& effects) {
  (void)catalog;
  if (from.name == membership.self.name) {
    return false;
  }
  if (const auto* suspect = std::get_if<UpstreamSuspected>(&message)) {
    internal::HandleUpstreamSuspected(state, *suspect, now);
  } else if (const auto* release_request = std::get_if<SlotReleaseRequest>(&message)) {
    internal::HandleSlotReleaseRequest(state, membership, from, *release_request, effects);
  } else if (const auto* released = std::get_if<SlotsReleased>(&message)) {
    const bool usable = internal::HandleSlotsReleased(state, from, *released);
    return internal::FreeBlockedSlots(state, membership, tuning, now) || usable;
  } else if (const auto* loan_request = std::get_if<LoanRequest>(&message)) {
    internal::HandleLoanRequest(state, membership, from, *loan_request, tuning, now, effects);
  } else if (const auto* loan_reply = std::get_if<LoanReply>(&message)) {
    return internal::HandleLoanReply(state, membership, from, *loan_reply, tuning, now, effects);
  } else if (const auto* loan_check = std::get_if<LoanCheck>(&message)) {
    internal::HandleLoanCheck(state, membership, from, *loan_check, tuning, now, effects);
  } else if (const auto* returned = std::get_if<LoanReturned>(&message)) {
    return internal::HandleLoanReturned(state, membership, from, *returned, effects);
  }
  return false;
}

bool HandleLimitsTimer(LimitsState& state,
                       const MembershipState& membership,
                       const Catalog& catalog,
                       const Tuning& tuning,
                       Timers& timers,
                       const Now& now,
                       Effects& effects) {
  (void)catalog;
  internal::ForEachResource(state, [&](const std::string& name, UpstreamLimits& limits) {
    limits.base_limit = internal::BaseLimit(name, limits, tuning, now);
  });
  internal::MaintainLoans(state, membership, tuning, now, effects);
  internal::RequestReleases(state, membership, effects);
  const bool usable = internal::FreeBlockedSlots(state, membership, tuning, now);
  Schedule(timers, {TimerKind::kLimits, 0}, now.monotonic + tuning.heartbeat_interval);
  return usable;
}

}  // namespace snipeturn
