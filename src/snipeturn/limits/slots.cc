#include <algorithm>

#include "snipeturn/limits/resource.h"

namespace snipeturn {
namespace internal {
namespace {

/// A free slot of this host, or a loan to it.
struct SlotChoice {
  std::optional<int> slot;
  std::optional<std::uint64_t> loan;
};

/// A resumed generation that has no slot of a resource yet.
Hold* FindHoldWithoutSlot(LimitsState& state, const std::string& resource, HoldId& id) {
  for (auto& [hold_id, hold] : state.holds) {
    const bool waits = hold.upstream == resource ? hold.slot < 0
                                                 : !hold.zone.empty() && !hold.zone_slot &&
                                                       ZoneResource(hold.zone) == resource;
    if (waits) {
      id = hold_id;
      return &hold;
    }
  }
  return nullptr;
}

void AssignSlot(Hold& hold, const std::string& resource, int index) {
  if (hold.upstream == resource) {
    hold.slot = index;
  } else {
    hold.zone_slot = index;
  }
}

std::optional<std::uint64_t> ChooseLoan(const LimitsState& state,
                                        const std::string& resource,
                                        WorkClass work_class,
                                        int limit,
                                        const Now& now) {
  for (const auto& [number, loan] : state.unused_loans) {
    // The limit may have fallen since the slot was lent.
    if (loan.upstream == resource && work_class <= loan.work_class && loan.slot < limit &&
        now.monotonic < loan.start_before) {
      return number;
    }
  }
  return std::nullopt;
}

/// Critical work uses the reserved slots, at the highest indices, first, so that the others stay
/// free for lower classes.
std::optional<int> ChooseSlot(const UpstreamLimits& limits, int class_limit, bool highest) {
  std::optional<int> chosen;
  for (const auto& [index, slot] : limits.slots) {
    if (index >= class_limit) {
      break;
    }
    if (slot.owned && slot.phase == SlotPhase::kFree) {
      chosen = index;
      if (!highest) {
        break;
      }
    }
  }
  return chosen;
}

std::optional<SlotChoice> ChooseSlotOrLoan(const LimitsState& state,
                                           const std::string& resource,
                                           const UpstreamLimits& limits,
                                           WorkClass work_class,
                                           bool has_work_lease,
                                           const Tuning& tuning,
                                           const Now& now) {
  if (IsPeerWorkUnknown(limits, tuning, now)) {
    return std::nullopt;
  }
  const int limit = EffectiveLimit(state, resource, limits, tuning, now);
  if (const auto loan = ChooseLoan(state, resource, work_class, limit, now)) {
    return SlotChoice{std::nullopt, loan};
  }
  if (!has_work_lease) {
    return std::nullopt;
  }
  const auto slot = ChooseSlot(limits, ClassLimit(limit, work_class, limits.served, tuning),
                               work_class == WorkClass::kCritical);
  return slot ? std::optional<SlotChoice>(SlotChoice{slot, std::nullopt}) : std::nullopt;
}

/// Why an upstream gave no slot.
DenialReason ExplainDenial(const LimitsState& state,
                           const SlotRequest& request,
                           const UpstreamLimits& limits,
                           bool has_work_lease,
                           const Tuning& tuning,
                           const Now& now) {
  if (!has_work_lease) {
    return DenialReason::kNoWorkLease;
  }
  const int limit = EffectiveLimit(state, request.upstream, limits, tuning, now);
  if (ChooseSlot(limits, limit, false)) {
    return DenialReason::kReserved;
  }
  const int without_memory = LimitWithoutMemory(state, request.upstream, limits, tuning, now);
  return ChooseSlot(limits, without_memory, false) ? DenialReason::kMemory : DenialReason::kNoSlot;
}

/// Marks a chosen slot or loan as used by a hold.
/// @return The time before which the work must start.
TimePoint UseChoice(LimitsState& state,
                    UpstreamLimits& limits,
                    const SlotChoice& choice,
                    HoldId id,
                    TimePoint start_deadline,
                    std::optional<HostId>& lender,
                    std::uint64_t& loan_number,
                    int& index) {
  if (choice.loan) {
    const auto loan = state.unused_loans.find(*choice.loan);
    lender = loan->second.lender;
    loan_number = loan->second.number;
    index = loan->second.slot;
    const TimePoint start_before = loan->second.start_before;
    state.unused_loans.erase(loan);
    return start_before;
  }
  index = *choice.slot;
  OwnedSlot& slot = limits.slots.at(index);
  slot.phase = SlotPhase::kHeld;
  slot.hold = id;
  return start_deadline;
}

int CountFree(const LimitsState& state,
              const std::string& resource,
              const UpstreamLimits& limits,
              const Tuning& tuning,
              const Now& now) {
  const int limit = EffectiveLimit(state, resource, limits, tuning, now);
  const auto own = std::count_if(limits.slots.begin(), limits.slots.end(), [&](const auto& entry) {
    return entry.first < limit && entry.second.owned && entry.second.phase == SlotPhase::kFree;
  });
  const auto lent =
      std::count_if(state.unused_loans.begin(), state.unused_loans.end(), [&](const auto& entry) {
        return entry.second.upstream == resource && entry.second.slot < limit &&
               now.monotonic < entry.second.start_before;
      });
  return static_cast<int>(own + lent);
}

/// Returns one of the slots of a hold that ended.
void ReturnSlot(LimitsState& state,
                const MembershipState& membership,
                const std::string& resource,
                int index,
                HoldId id,
                const std::optional<HostId>& lender,
                std::uint64_t loan,
                Effects& effects) {
  if (lender) {
    SendToPeer(membership, lender->name, LoanReturned{loan, resource}, effects);
  }
  // A borrowed slot may have become this host's own in the meantime.
  const UpstreamLimits* limits = FindResource(state, resource);
  const auto slot = limits == nullptr ? decltype(limits->slots.end()){} : limits->slots.find(index);
  if (limits != nullptr && slot != limits->slots.end() && slot->second.hold == id &&
      slot->second.phase == SlotPhase::kHeld) {
    FreeSlot(state, membership, resource, index, effects);
  }
}

}  // namespace

void MakeUsable(LimitsState& state, const std::string& resource, int index, OwnedSlot& slot) {
  slot.phase = SlotPhase::kFree;
  slot.fenced_at.reset();
  slot.released_by.clear();
  // A repeated release by the former owner must not end a later wait for a lost borrower.
  slot.former_owner = HostId{};
  for (const auto& [id, hold] : state.holds) {
    if (UsesSlot(hold, resource, index)) {
      slot.phase = SlotPhase::kHeld;
      slot.hold = id;
      return;
    }
  }
  HoldId id = 0;
  Hold* waiting = slot.owned ? FindHoldWithoutSlot(state, resource, id) : nullptr;
  if (waiting != nullptr) {
    AssignSlot(*waiting, resource, index);
    slot.phase = SlotPhase::kHeld;
    slot.hold = id;
  }
}

void EraseIfReleased(UpstreamLimits& limits, int index) {
  const auto slot = limits.slots.find(index);
  if (slot != limits.slots.end() && !slot->second.owned && slot->second.phase == SlotPhase::kFree) {
    limits.slots.erase(slot);
  }
}

void FreeSlot(LimitsState& state,
              const MembershipState& membership,
              const std::string& resource,
              int index,
              Effects& effects) {
  UpstreamLimits* limits = FindResource(state, resource);
  const auto slot = limits == nullptr ? decltype(limits->slots.end()){} : limits->slots.find(index);
  if (limits == nullptr || slot == limits->slots.end() ||
      (slot->second.phase != SlotPhase::kHeld && slot->second.phase != SlotPhase::kLent)) {
    return;
  }
  MakeUsable(state, resource, index, slot->second);
  const auto requested_by = slot->second.requested_by;
  if (!slot->second.owned && slot->second.phase == SlotPhase::kFree) {
    limits->slots.erase(slot);
    if (requested_by) {
      SlotReleaseRequest repeated{requested_by->second, resource, {index}};
      HandleSlotReleaseRequest(state, membership, HostId{requested_by->first, 0}, repeated,
                               effects);
    }
  }
}

}  // namespace internal

std::optional<SlotGrant> AcquireSlot(LimitsState& state,
                                     const MembershipState& membership,
                                     const Catalog& catalog,
                                     const SlotRequest& request,
                                     const Tuning& tuning,
                                     const Now& now,
                                     DenialReason& last_reason) {
  const auto found = state.upstreams.find(request.upstream);
  if (found == state.upstreams.end() || catalog.upstreams.count(request.upstream) == 0) {
    last_reason = DenialReason::kUnknownUpstream;
    return std::nullopt;
  }
  UpstreamLimits& limits = found->second;
  internal::RecordExpectedTokens(state, limits.service, request.expected_tokens);
  const auto lease_expiry = WorkLeaseExpiry(membership, tuning, now);
  const auto choice = internal::ChooseSlotOrLoan(
      state, request.upstream, limits, request.work_class, lease_expiry.has_value(), tuning, now);
  if (!choice) {
    last_reason =
        internal::ExplainDenial(state, request, limits, lease_expiry.has_value(), tuning, now);
    return std::nullopt;
  }
  const ZoneName zone = limits.limited_zone;
  std::optional<internal::SlotChoice> zone_choice;
  if (!zone.empty()) {
    zone_choice =
        internal::ChooseSlotOrLoan(state, ZoneResource(zone), state.zones[zone], request.work_class,
                                   lease_expiry.has_value(), tuning, now);
    if (!zone_choice) {
      last_reason = DenialReason::kZoneLimit;
      return std::nullopt;
    }
  }
  const HoldId id = state.next_hold++;
  const TimePoint start_deadline = lease_expiry.value_or(now.monotonic);
  Hold hold;
  hold.upstream = request.upstream;
  hold.since = now.monotonic;
  hold.expected_tokens = request.expected_tokens;
  TimePoint start_before = internal::UseChoice(state, limits, *choice, id, start_deadline,
                                               hold.lender, hold.loan, hold.slot);
  if (zone_choice) {
    int index = 0;
    start_before = std::min(
        start_before, internal::UseChoice(state, state.zones[zone], *zone_choice, id,
                                          start_deadline, hold.zone_lender, hold.zone_loan, index));
    hold.zone = zone;
    hold.zone_slot = index;
  }
  last_reason = DenialReason::kNone;
  const SlotGrant grant{id, request.upstream, hold.slot, start_before, limits.ramp.incarnation};
  state.holds.emplace(id, hold);
  return grant;
}

HoldId AddHoldWithoutSlot(LimitsState& state, const UpstreamName& upstream, const Now& now) {
  const HoldId id = state.next_hold++;
  Hold hold;
  hold.upstream = upstream;
  hold.slot = -1;
  hold.since = now.monotonic;
  const UpstreamLimits* limits = internal::FindResource(state, upstream);
  if (limits != nullptr) {
    hold.zone = limits->limited_zone;
  }
  state.holds.emplace(id, hold);
  const std::string zone = hold.zone.empty() ? "" : ZoneResource(hold.zone);
  for (const std::string& resource : {upstream, zone}) {
    UpstreamLimits* target = internal::FindResource(state, resource);
    if (target == nullptr) {
      continue;
    }
    if (const auto free = internal::ChooseSlot(*target, target->tracked_slots, false)) {
      internal::MakeUsable(state, resource, *free, target->slots.at(*free));
    }
  }
  return id;
}

void ReleaseSlot(LimitsState& state,
                 const MembershipState& membership,
                 HoldId hold,
                 const Tuning& tuning,
                 const Now& now,
                 Effects& effects) {
  (void)tuning;
  (void)now;
  const auto found = state.holds.find(hold);
  if (found == state.holds.end()) {
    return;
  }
  const Hold released = found->second;
  state.holds.erase(found);
  if (released.slot >= 0) {
    internal::ReturnSlot(state, membership, released.upstream, released.slot, hold, released.lender,
                         released.loan, effects);
  }
  if (released.zone_slot) {
    internal::ReturnSlot(state, membership, ZoneResource(released.zone), *released.zone_slot, hold,
                         released.zone_lender, released.zone_loan, effects);
  }
}

int UsableLimit(const LimitsState& state,
                const Catalog& catalog,
                const UpstreamName& upstream,
                const Tuning& tuning,
                const Now& now) {
  const auto found = state.upstreams.find(upstream);
  if (found == state.upstreams.end() || catalog.upstreams.count(upstream) == 0) {
    return 0;
  }
  return internal::EffectiveLimit(state, upstream, found->second, tuning, now);
}

int FreeSlots(const LimitsState& state,
              const Catalog& catalog,
              const UpstreamName& upstream,
              const Tuning& tuning,
              const Now& now) {
  const auto found = state.upstreams.find(upstream);
  if (found == state.upstreams.end() || catalog.upstreams.count(upstream) == 0) {
    return 0;
  }
  int free = internal::CountFree(state, upstream, found->second, tuning, now);
  const auto zone = state.zones.find(found->second.limited_zone);
  if (!found->second.limited_zone.empty() && zone != state.zones.end()) {
    free = std::min(
        free, internal::CountFree(state, ZoneResource(zone->first), zone->second, tuning, now));
  }
  return free;
}

}  // namespace snipeturn
