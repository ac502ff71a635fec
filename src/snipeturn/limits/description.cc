#include "snipeturn/limits/resource.h"

namespace snipeturn {
namespace internal {
namespace {

const char* ToString(SlotPhase phase) {
  switch (phase) {
    case SlotPhase::kAwaitingRelease:
      return "awaiting_release";
    case SlotPhase::kAwaitingFence:
      return "awaiting_fence";
    case SlotPhase::kFree:
      return "free";
    case SlotPhase::kHeld:
      return "held";
    case SlotPhase::kLent:
      return "lent";
  }
  return "";
}

Json::Value Describe(const LimitsState& state,
                     const std::string& name,
                     const UpstreamLimits& limits,
                     const Tuning& tuning,
                     const Now& now) {
  Json::Value entry;
  entry["configured"] = limits.configured_limit;
  entry["usable"] = EffectiveLimit(state, name, limits, tuning, now);
  entry["ramp"] = RampLevel(limits, tuning, now);
  entry["cold_generation"] = Json::UInt64{limits.ramp.cold_generation};
  entry["incarnation"] = std::to_string(limits.ramp.incarnation);
  entry["blocked"] = limits.blocked_slots;
  entry["held_here"] = CountHolds(state, name, now.monotonic);
  entry["slots"] = Json::objectValue;
  for (const auto& [index, slot] : limits.slots) {
    Json::Value& count = entry["slots"][ToString(slot.phase)];
    count = count.asInt() + 1;
  }
  if (const auto memory = MemoryLimit(state, name, limits)) {
    entry["memory"] = *memory;
  }
  if (limits.report) {
    entry["reported_running"] = limits.report->running;
    entry["report_ms_ago"] = Json::Int64{
        ToMilliseconds(now.monotonic - limits.report->began + limits.report->age).count()};
  }
  return entry;
}

}  // namespace
}  // namespace internal

Json::Value DescribeLimits(const LimitsState& state,
                           const Catalog& catalog,
                           const Tuning& tuning,
                           const Now& now) {
  Json::Value body;
  body["epoch"] = Json::UInt64{state.epoch};
  body["upstreams"] = Json::objectValue;
  body["zones"] = Json::objectValue;
  for (const auto& [name, limits] : state.upstreams) {
    if (catalog.upstreams.count(name) > 0) {
      body["upstreams"][name] = internal::Describe(state, name, limits, tuning, now);
    }
  }
  for (const auto& [zone, limits] : state.zones) {
    body["zones"][zone] = internal::Describe(state, ZoneResource(zone), limits, tuning, now);
  }
  return body;
}

}  // namespace snipeturn
