#include <algorithm>
#include <utility>
#include <vector>

#include "snipeturn/limits/resource.h"

namespace snipeturn::internal {
namespace {

using std::chrono::milliseconds;

// A heartbeat is compared with a load report only if it was sent at least this long after the
// report was measured, so that work that ended at about that time is not counted as running.
constexpr milliseconds kMinHeartbeatDelay{1000};
// The heartbeat must also arrive within this time after the measurement. Slots that it shows as
// held for 5 s were then taken at least 1 s before the measurement (kWorkArrivalTime), so their
// work had reached the upstream.
constexpr milliseconds kComparisonWindow{4000};
constexpr milliseconds kWorkArrivalTime{1000};
// An upstream whose report is older than the newest one of its zone by more than this counts as
// fully used.
constexpr milliseconds kZoneReportSpread{1500};

bool AllReleased(const OwnedSlot& slot, const MembershipState& membership) {
  const Epoch* epoch = AdoptedEpoch(membership);
  return epoch != nullptr &&
         std::all_of(epoch->members.begin(), epoch->members.end(), [&](const Member& member) {
           return member.id == membership.self || slot.released_by.count(member.id) > 0;
         });
}

TimePoint MeasuredAt(const LoadReported& report) {
  return report.began - report.age;
}

std::optional<LoadSnapshot> ZoneLoad(const LimitsState& state, const std::string& resource) {
  std::vector<const UpstreamLimits*> upstreams;
  std::optional<TimePoint> newest;
  for (const auto& [name, limits] : state.upstreams) {
    if (limits.limited_zone.empty() || ZoneResource(limits.limited_zone) != resource) {
      continue;
    }
    upstreams.push_back(&limits);
    if (limits.report) {
      newest = std::max(newest.value_or(MeasuredAt(*limits.report)), MeasuredAt(*limits.report));
    }
  }
  if (!newest) {
    return std::nullopt;
  }
  LoadSnapshot load{*newest, *newest, 0};
  for (const UpstreamLimits* limits : upstreams) {
    if (limits->report && *newest - MeasuredAt(*limits->report) <= kZoneReportSpread) {
      load.earliest_measured = std::min(load.earliest_measured, MeasuredAt(*limits->report));
      load.running += limits->report->running + limits->report->waiting;
    } else {
      load.running += limits->tracked_slots;
    }
  }
  return load;
}

std::optional<LoadSnapshot> NewestLoad(const LimitsState& state,
                                       const std::string& resource,
                                       const UpstreamLimits& limits) {
  if (state.upstreams.count(resource) == 0) {
    return ZoneLoad(state, resource);
  }
  if (!limits.report) {
    return std::nullopt;
  }
  const TimePoint measured = MeasuredAt(*limits.report);
  return LoadSnapshot{measured, measured, limits.report->running + limits.report->waiting};
}

/// Number of pieces of members' work that certainly ran when the load was measured.
int AccountedWork(const LimitsState& state,
                  const MembershipState& membership,
                  const std::string& resource,
                  const LoadSnapshot& load) {
  int accounted = CountHolds(state, resource, load.earliest_measured - kWorkArrivalTime);
  for (const Member& member : AdoptedEpoch(membership)->members) {
    const auto peer = membership.peers.find(member.id.name);
    if (member.id == membership.self || peer == membership.peers.end() ||
        peer->second.id != member.id || !peer->second.confirmed_at ||
        *peer->second.confirmed_at < load.latest_measured + kMinHeartbeatDelay ||
        peer->second.last_heartbeat_at > load.earliest_measured + kComparisonWindow) {
      continue;
    }
    for (const UpstreamGossip& gossip : peer->second.last.upstreams) {
      accounted += gossip.upstream == resource ? gossip.long_running_slots : 0;
    }
  }
  return accounted;
}

/// Slots that wait only for a load report.
std::vector<int> FencedSlots(const UpstreamLimits& limits) {
  std::vector<int> fenced;
  for (const auto& [index, slot] : limits.slots) {
    if (slot.phase == SlotPhase::kAwaitingFence && slot.fenced_at) {
      fenced.push_back(index);
    }
  }
  return fenced;
}

/// Frees the slots that the reported load shows to be unused. Each owner keeps as many of its own
/// slots blocked as there are pieces of work that no member accounts for, because that work may run
/// on any of them.
/// @return True when a slot became usable.
bool FreeByLoadReport(LimitsState& state,
                      const MembershipState& membership,
                      const std::string& resource,
                      UpstreamLimits& limits,
                      const Now& now) {
  std::vector<int> waiting = FencedSlots(limits);
  limits.blocked_slots = static_cast<int>(waiting.size());
  if (limits.compared_load &&
      now.monotonic > limits.compared_load->earliest_measured + kComparisonWindow) {
    limits.compared_load.reset();
  }
  if (waiting.empty()) {
    limits.compared_load.reset();
    return false;
  }
  const auto is_measured_after_fence = [&](int index, const LoadSnapshot& load) {
    return *limits.slots.at(index).fenced_at <= load.earliest_measured;
  };
  if (!limits.compared_load) {
    const auto newest = NewestLoad(state, resource, limits);
    if (newest && now.monotonic <= newest->earliest_measured + kComparisonWindow &&
        std::any_of(waiting.begin(), waiting.end(),
                    [&](int index) { return is_measured_after_fence(index, *newest); })) {
      limits.compared_load = newest;
    }
  }
  if (!limits.compared_load ||
      now.monotonic < limits.compared_load->latest_measured + kMinHeartbeatDelay) {
    return false;
  }
  const LoadSnapshot load = *limits.compared_load;
  const int unaccounted =
      std::max(0, load.running - AccountedWork(state, membership, resource, load));
  bool freed = false;
  for (std::size_t i = waiting.size(); i > static_cast<std::size_t>(unaccounted); --i) {
    const int index = waiting[i - 1];
    if (is_measured_after_fence(index, load)) {
      MakeUsable(state, resource, index, limits.slots.at(index));
      EraseIfReleased(limits, index);
      --limits.blocked_slots;
      freed = true;
    }
  }
  return freed;
}

bool FreeBlockedSlotsOf(LimitsState& state,
                        const MembershipState& membership,
                        const std::string& resource,
                        UpstreamLimits& limits,
                        const Tuning& tuning,
                        const Now& now) {
  bool usable = false;
  std::vector<int> finished;
  for (auto& [index, slot] : limits.slots) {
    if (slot.phase != SlotPhase::kAwaitingFence || slot.fenced_at ||
        !AllReleased(slot, membership) ||
        !IsFenced(membership, slot.fence_from_epoch, slot.fence_until_epoch, tuning, now)) {
      continue;
    }
    if (slot.needs_report) {
      slot.fenced_at = now.monotonic;
    } else {
      MakeUsable(state, resource, index, slot);
      finished.push_back(index);
    }
  }
  for (const int index : finished) {
    EraseIfReleased(limits, index);
    usable = true;
  }
  return FreeByLoadReport(state, membership, resource, limits, now) || usable;
}

}  // namespace

bool FreeBlockedSlots(LimitsState& state,
                      const MembershipState& membership,
                      const Tuning& tuning,
                      const Now& now) {
  bool usable = false;
  if (AdoptedEpoch(membership) != nullptr) {
    ForEachResource(state, [&](const std::string& name, UpstreamLimits& limits) {
      usable |= FreeBlockedSlotsOf(state, membership, name, limits, tuning, now);
    });
  }
  return usable;
}

}  // namespace snipeturn::internal
