#include <algorithm>
#include <vector>

#include "snipeturn/base/hash.h"
#include "snipeturn/limits/resource.h"

namespace snipeturn {
namespace internal {
namespace {

const Member* OwnerInGroup(const std::vector<const Member*>& group,
                           const UpstreamName& upstream,
                           int slot) {
  const std::string key = upstream + '#' + std::to_string(slot);
  const Member* owner = nullptr;
  std::uint64_t best = 0;
  for (const Member* member : group) {
    const std::uint64_t weight = RendezvousWeight(key, member->id.name);
    if (owner == nullptr || weight > best || (weight == best && member->id.name < owner->id.name)) {
      owner = member;
      best = weight;
    }
  }
  return owner;
}

/// Requires all members' releases and the fence; `needs_report` when a removed host may have work.
void AwaitFence(OwnedSlot& slot,
                const MembershipState& membership,
                std::uint64_t until,
                bool needs_report) {
  slot.phase = SlotPhase::kAwaitingFence;
  slot.released_by.clear();
  slot.fence_from_epoch = membership.epochs.front().number;
  slot.fence_until_epoch = until;
  slot.needs_report = needs_report;
  slot.fenced_at.reset();
}

/// Sets the phase of a slot that becomes this host's in an epoch. `former` owned it before.
void BeginOwnership(LimitsState& state,
                    const MembershipState& membership,
                    const std::string& resource,
                    int index,
                    OwnedSlot& slot,
                    const Member* former,
                    const Epoch& epoch) {
  slot.acquired_epoch = epoch.number;
  if (former == nullptr && epoch.number == 1) {
    MakeUsable(state, resource, index, slot);
  } else if (former == nullptr || former->id == membership.self) {
    // The slot was not tracked so far, for example because the capacity was raised. If the epoch
    // before has no members, its record was lost, and unknown hosts may have work on the slot.
    const Epoch* before = FindEpoch(membership, epoch.number - 1);
    const bool lost = before != nullptr && before->members.empty();
    AwaitFence(slot, membership, epoch.number, lost);
  } else if (FindMember(epoch, former->id) != nullptr) {
    slot.phase = SlotPhase::kAwaitingRelease;
    slot.former_owner = former->id;
  } else {
    AwaitFence(slot, membership, epoch.number, true);
    slot.former_owner = former->id;
  }
}

/// Updates a slot that this host is already responsible for, in a later epoch.
void UpdatePhase(OwnedSlot& slot,
                 const MembershipState& membership,
                 const Epoch* before,
                 const Epoch& epoch) {
  if (slot.phase == SlotPhase::kAwaitingRelease &&
      FindMember(epoch, slot.former_owner) == nullptr) {
    AwaitFence(slot, membership, epoch.number, true);
  } else if (slot.phase == SlotPhase::kAwaitingFence && before != nullptr) {
    // A host that was removed before it released the slot may have work on it.
    for (const Member& member : before->members) {
      if (FindMember(epoch, member.id) == nullptr && slot.released_by.count(member.id) == 0) {
        slot.fence_until_epoch = epoch.number;
        slot.needs_report = true;
        slot.fenced_at.reset();
      }
    }
  }
}

bool ServesClass(const Team& team, const Upstream& upstream, WorkClass work_class) {
  if (upstream.kind == ServiceKind::kPlain) {
    return std::any_of(team.routes.begin(), team.routes.end(), [&](const Route& route) {
      return route.service == upstream.service && route.work_class == work_class;
    });
  }
  const bool has_model =
      std::any_of(team.models.begin(), team.models.end(),
                  [&](const std::string& model) { return upstream.models.count(model) > 0; });
  return has_model &&
         std::any_of(team.applications.begin(), team.applications.end(),
                     [&](const Application& each) { return each.work_class == work_class; });
}

ServedClasses ClassesServedBy(const Catalog& catalog, const Upstream& upstream) {
  const auto served_to_any = [&](WorkClass work_class) {
    return std::any_of(catalog.teams.begin(), catalog.teams.end(), [&](const auto& entry) {
      return ServesClass(entry.second, upstream, work_class);
    });
  };
  return {served_to_any(WorkClass::kCritical), served_to_any(WorkClass::kLong)};
}

/// Applies an upstream's settings; an upstream that enters service starts cold.
void ApplySettings(UpstreamLimits& limits,
                   int slots,
                   int cold_limit,
                   bool in_service,
                   const Now& now) {
  limits.cold_limit = cold_limit;
  if (in_service && !limits.in_service) {
    // Also for a new upstream. Peers apply the same settings; the higher generation keeps an older
    // ramp level in a peer's heartbeat from being adopted.
    ++limits.ramp.cold_generation;
    RestartRamp(limits, now);
  }
  limits.in_service = in_service;
  limits.configured_limit = in_service ? std::max(0, slots) : 0;
}

/// Applies all retained epochs to newly tracked slots, and the new epochs to the others.
void ApplyEpochs(LimitsState& state,
                 const MembershipState& membership,
                 const std::string& resource,
                 UpstreamLimits& limits,
                 int capacity,
                 const Tuning& tuning) {
  const int tracked_before = limits.tracked_slots;
  limits.tracked_slots = std::max(limits.tracked_slots, capacity);
  const Epoch* before = nullptr;
  for (const Epoch& epoch : membership.epochs) {
    if (epoch.members.empty()) {
      // The epoch's record was lost, so the owners of its slots are not known.
      continue;
    }
    const int from = epoch.number > state.epoch ? 0 : tracked_before;
    if (from < limits.tracked_slots) {
      ApplyEpoch(state, membership, resource, limits, from, before, epoch, tuning);
    }
    before = &epoch;
  }
}

void ApplyAllSettings(LimitsState& state, const Catalog& catalog, const Now& now) {
  for (auto& [name, limits] : state.upstreams) {
    if (catalog.upstreams.count(name) == 0) {
      ApplySettings(limits, 0, limits.cold_limit, false, now);
    }
  }
  for (auto& [name, limits] : state.zones) {
    limits.configured_limit = 0;
  }
  for (const auto& [name, zone] : catalog.zones) {
    if (zone.slots) {
      UpstreamLimits& limits = state.zones[name];
      limits.in_service = zone.in_service;
      limits.configured_limit = zone.in_service ? *zone.slots : 0;
    }
  }
  for (const auto& [name, upstream] : catalog.upstreams) {
    const auto zone = catalog.zones.find(upstream.zone);
    const bool has_zone = zone != catalog.zones.end();
    UpstreamLimits& limits = state.upstreams[name];
    limits.service = upstream.service;
    limits.served = ClassesServedBy(catalog, upstream);
    ApplySettings(limits, upstream.slots, upstream.cold_slots,
                  !upstream.leaving && (!has_zone || zone->second.in_service), now);
    limits.limited_zone = has_zone && zone->second.slots ? upstream.zone : ZoneName{};
  }
}

int CapacityOf(const Catalog& catalog, const std::string& resource) {
  const auto upstream = catalog.upstreams.find(resource);
  if (upstream != catalog.upstreams.end()) {
    return upstream->second.slots;
  }
  for (const auto& [name, zone] : catalog.zones) {
    if (zone.slots && ZoneResource(name) == resource) {
      return *zone.slots;
    }
  }
  return 0;
}

}  // namespace

void ApplyEpoch(LimitsState& state,
                const MembershipState& membership,
                const std::string& resource,
                UpstreamLimits& limits,
                int from_index,
                const Epoch* before,
                const Epoch& epoch,
                const Tuning& tuning) {
  const auto group = OwnerGroup(epoch, resource, tuning);
  const auto former_group =
      before == nullptr ? std::vector<const Member*>{} : OwnerGroup(*before, resource, tuning);
  const bool was_member = before == nullptr || FindMember(*before, membership.self) != nullptr;
  for (int index = from_index; index < limits.tracked_slots; ++index) {
    const bool owned = OwnerInGroup(group, resource, index)->id == membership.self;
    const auto found = limits.slots.find(index);
    if (found != limits.slots.end() && owned && !was_member) {
      // While this host was removed, another host may have taken the slot without its release.
      // Work of this host that still runs on the slot is found in `holds`.
      found->second = OwnedSlot{};
      BeginOwnership(state, membership, resource, index, found->second,
                     OwnerInGroup(former_group, resource, index), epoch);
    } else if (found != limits.slots.end()) {
      UpdatePhase(found->second, membership, before, epoch);
      if (owned) {
        found->second.requested_by.reset();
      }
      found->second.owned = owned;
      EraseIfReleased(limits, index);
    } else if (owned) {
      BeginOwnership(state, membership, resource, index, limits.slots[index],
                     OwnerInGroup(former_group, resource, index), epoch);
    }
  }
}

}  // namespace internal

const Member* SlotOwner(const Epoch& epoch,
                        const UpstreamName& upstream,
                        int slot,
                        const Tuning& tuning) {
  return internal::OwnerInGroup(OwnerGroup(epoch, upstream, tuning), upstream, slot);
}

void UpdateSlotOwnership(LimitsState& state,
                         const MembershipState& membership,
                         const Catalog& catalog,
                         const Tuning& tuning,
                         const Now& now,
                         Effects& effects) {
  internal::ApplyAllSettings(state, catalog, now);
  const Epoch* epoch = AdoptedEpoch(membership);
  if (epoch == nullptr) {
    return;
  }
  const bool records_lost = state.epoch != 0 && FindEpoch(membership, state.epoch) == nullptr;
  internal::ForEachResource(state, [&](const std::string& name, UpstreamLimits& limits) {
    if (records_lost) {
      limits.slots.clear();
    }
    internal::ApplyEpochs(state, membership, name, limits, internal::CapacityOf(catalog, name),
                          tuning);
  });
  state.epoch = epoch->number;
  internal::ReturnStaleLoans(state, membership, tuning, effects);
  (void)internal::FreeBlockedSlots(state, membership, tuning, now);
  internal::RequestReleases(state, membership, effects);
}

}  // namespace snipeturn
