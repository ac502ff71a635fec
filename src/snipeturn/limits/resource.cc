#include "snipeturn/limits/resource.h"

#include <algorithm>
#include <cmath>

namespace snipeturn {

std::string ZoneResource(const ZoneName& zone) {
  return "zone:" + zone;
}

namespace internal {
namespace {

constexpr std::string_view kZonePrefix = "zone:";

/// Number of reserved slots: the share, rounded, but at least one slot is left to lower classes.
/// @param left Slots that are not reserved for a higher class.
int ReserveSize(int limit, double share, int left) {
  return std::clamp(static_cast<int>(std::lround(limit * share)), 0, std::max(0, left - 1));
}

}  // namespace

UpstreamLimits* FindResource(LimitsState& state, const std::string& resource) {
  const bool is_zone = resource.rfind(kZonePrefix, 0) == 0;
  auto& resources = is_zone ? state.zones : state.upstreams;
  const auto found = resources.find(is_zone ? resource.substr(kZonePrefix.size()) : resource);
  return found == resources.end() ? nullptr : &found->second;
}

const UpstreamLimits* FindResource(const LimitsState& state, const std::string& resource) {
  const bool is_zone = resource.rfind(kZonePrefix, 0) == 0;
  const auto& resources = is_zone ? state.zones : state.upstreams;
  const auto found = resources.find(is_zone ? resource.substr(kZonePrefix.size()) : resource);
  return found == resources.end() ? nullptr : &found->second;
}

int ClassLimit(int limit, WorkClass work_class, const ServedClasses& served, const Tuning& tuning) {
  if (work_class == WorkClass::kCritical) {
    return limit;
  }
  const double critical_share = served.critical ? tuning.critical_reserve : 0.0;
  const int not_critical = limit - ReserveSize(limit, critical_share, limit);
  if (work_class == WorkClass::kLong) {
    return not_critical;
  }
  const double long_share = served.long_answers ? tuning.long_reserve : 0.0;
  return not_critical - ReserveSize(limit, long_share, not_critical);
}

int BaseLimit(const std::string& resource,
              const UpstreamLimits& limits,
              const Tuning& tuning,
              const Now& now) {
  if (resource.rfind(kZonePrefix, 0) == 0) {
    return limits.configured_limit;
  }
  return std::min(limits.configured_limit, RampLevel(limits, tuning, now));
}

std::vector<int> UsedSlotsOverLimit(const LimitsState& state,
                                    const std::string& resource,
                                    int limit) {
  std::vector<int> used;
  for (const auto& [id, hold] : state.holds) {
    if (UsesSlot(hold, resource, -1)) {
      used.push_back(hold.upstream == resource ? hold.slot : *hold.zone_slot);
    }
  }
  const bool any_over_limit =
      std::any_of(used.begin(), used.end(), [&](int slot) { return slot >= limit; });
  return any_over_limit ? used : std::vector<int>{};
}

bool IsPeerWorkUnknown(const UpstreamLimits& limits, const Tuning& tuning, const Now& now) {
  // Two heartbeat intervals and the transmission time. After that, a silent peer counts with the
  // holds that it last reported.
  const auto wait = 2 * tuning.heartbeat_interval + std::chrono::milliseconds{200};
  if (!limits.ramp.cold_since || now.monotonic - *limits.ramp.cold_since > wait) {
    return false;
  }
  return std::any_of(limits.peer_holds.begin(), limits.peer_holds.end(), [&](const auto& entry) {
    return now.monotonic - entry.second.received_at < tuning.fence / 2 &&
           entry.second.cold_generation < limits.ramp.cold_generation;
  });
}

int LimitWithoutMemory(const LimitsState& state,
                       const std::string& resource,
                       const UpstreamLimits& limits,
                       const Tuning& tuning,
                       const Now& now) {
  const int base = BaseLimit(resource, limits, tuning, now);
  std::vector<int> used = UsedSlotsOverLimit(state, resource, base);
  for (const auto& [host, holds] : limits.peer_holds) {
    // A peer without a heartbeat for that long has lost its work lease or has failed.
    if (now.monotonic - holds.received_at < tuning.fence / 2) {
      used.insert(used.end(), holds.slots_over_limit.begin(), holds.slots_over_limit.end());
    }
  }
  const auto above = [&used](int limit) {
    return static_cast<int>(
        std::count_if(used.begin(), used.end(), [limit](int slot) { return slot >= limit; }));
  };
  int limit = base;
  while (limit > 0 && limit + above(limit) > base) {
    --limit;
  }
  return limit;
}

int EffectiveLimit(const LimitsState& state,
                   const std::string& resource,
                   const UpstreamLimits& limits,
                   const Tuning& tuning,
                   const Now& now) {
  const int limit = LimitWithoutMemory(state, resource, limits, tuning, now);
  if (resource.rfind(kZonePrefix, 0) == 0) {
    return limit;
  }
  return std::min(limit, MemoryLimit(state, resource, limits).value_or(limit));
}

bool UsesSlot(const Hold& hold, const std::string& resource, int slot) {
  if (hold.upstream == resource) {
    return slot < 0 ? hold.slot >= 0 : hold.slot == slot;
  }
  if (hold.zone.empty() || !hold.zone_slot || ZoneResource(hold.zone) != resource) {
    return false;
  }
  return slot < 0 || *hold.zone_slot == slot;
}

int CountHolds(const LimitsState& state, const std::string& resource, TimePoint started_before) {
  return static_cast<int>(
      std::count_if(state.holds.begin(), state.holds.end(), [&](const auto& entry) {
        return entry.second.since <= started_before && UsesSlot(entry.second, resource, -1);
      }));
}

}  // namespace internal
}  // namespace snipeturn
