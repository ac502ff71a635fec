#include <fmt/format.h>

#include <algorithm>

#include "snipeturn/base/log_catalogue.h"
#include "snipeturn/limits/resource.h"

namespace snipeturn {
namespace internal {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// A sample is slow if it exceeds both six times the mean latency and a floor above ordinary
// scheduling noise. An upstream becomes suspect when slow samples outnumber the others by three,
// so that single outliers have no effect.
constexpr int kSlowFactor = 6;
constexpr milliseconds kSlowFirstToken{500};
constexpr milliseconds kSlowGap{30};
constexpr int kSlowSamples = 3;
// A stall of this host makes many gaps slow at one moment; a cold upstream stays slow for longer.
constexpr milliseconds kSlowGapSpan{200};
// With fewer samples the mean is too uncertain to judge a sample by.
constexpr int kMinBaselineSamples = 8;
constexpr int kMeanWeight = 16;
// Slow samples move the mean slowly, so that it doesn't adapt to a cold upstream before the
// upstream is detected, but still follows a lasting change.
constexpr int kSlowWeight = 256;
// One outage fails many pieces of work at once; these failures count as a single suspicion.
constexpr milliseconds kMinSuspicionInterval{1000};

/// @brief Adds a sample.
/// @return True when it is slow.
bool AddSample(LatencyBaseline& baseline,
               microseconds latency,
               microseconds floor,
               const Now& now) {
  const bool judged = baseline.samples >= kMinBaselineSamples;
  const bool slow = judged && latency > floor && latency > kSlowFactor * baseline.mean;
  if (slow && baseline.slow_score == 0) {
    baseline.slow_since = now.monotonic;
  }
  baseline.slow_score = slow ? baseline.slow_score + 1 : std::max(0, baseline.slow_score - 1);
  if (baseline.samples == 0) {
    baseline.mean = latency;
  } else {
    const microseconds sample =
        judged ? std::min(latency, 2 * baseline.mean + milliseconds{1}) : latency;
    const int weight = slow ? kSlowWeight : std::min(baseline.samples + 1, kMeanWeight);
    baseline.mean += (sample - baseline.mean) / weight;
  }
  baseline.samples = std::min(baseline.samples + 1, kMeanWeight);
  return slow;
}

bool IsRecent(const std::optional<TimePoint>& last_warm_at, const Tuning& tuning, const Now& now) {
  return last_warm_at && now.monotonic - *last_warm_at < tuning.warm_evidence;
}

void RaiseLevel(UpstreamLimits& limits, const Tuning& tuning, const Now& now) {
  RecordWarmth(limits, tuning, now);
  limits.ramp.level = std::min(std::max(limits.ramp.level, ColdLevel(limits)) + 1,
                               std::max(limits.tracked_slots, ColdLevel(limits)));
}

/// Adopts a peer's incarnation and cold generation when that generation is higher.
void AdoptColdGeneration(UpstreamLimits& limits,
                         Incarnation incarnation,
                         std::uint64_t cold_generation,
                         const Now& now) {
  if (cold_generation <= limits.ramp.cold_generation) {
    return;
  }
  limits.ramp.cold_generation = cold_generation;
  if (incarnation != 0 && incarnation != limits.ramp.former_incarnation) {
    limits.ramp.incarnation = incarnation;
  }
  RestartRamp(limits, now);
}

void MergeWarmth(UpstreamLimits& limits,
                 const UpstreamGossip& gossip,
                 TimePoint sent_after,
                 const Tuning& tuning,
                 const Now& now) {
  const std::optional<TimePoint> last_warm_at = sent_after - gossip.warm_evidence_age;
  if (gossip.cold_generation != limits.ramp.cold_generation ||
      !IsRecent(last_warm_at, tuning, now) ||
      (gossip.incarnation != limits.ramp.incarnation && gossip.incarnation != 0 &&
       limits.ramp.incarnation != 0)) {
    return;
  }
  const int level = IsRecent(limits.ramp.last_warm_at, tuning, now) ? limits.ramp.level : 0;
  limits.ramp.level = std::max(level, gossip.level);
  limits.ramp.last_warm_at =
      std::max(limits.ramp.last_warm_at.value_or(*last_warm_at), *last_warm_at);
}

}  // namespace

int ColdLevel(const UpstreamLimits& limits) noexcept {
  return std::max(1, limits.cold_limit);
}

int RampLevel(const UpstreamLimits& limits, const Tuning& tuning, const Now& now) {
  const int cold_limit = ColdLevel(limits);
  return IsRecent(limits.ramp.last_warm_at, tuning, now) ? std::max(cold_limit, limits.ramp.level)
                                                         : cold_limit;
}

void RecordWarmth(UpstreamLimits& limits, const Tuning& tuning, const Now& now) {
  if (!IsRecent(limits.ramp.last_warm_at, tuning, now)) {
    limits.ramp.level = ColdLevel(limits);
  }
  limits.ramp.last_warm_at = now.monotonic;
}

void RestartRamp(UpstreamLimits& limits, const Now& now) {
  limits.ramp.level = ColdLevel(limits);
  limits.ramp.last_warm_at.reset();
  limits.ramp.cold_since = now.monotonic;
  limits.base_limit = std::min(limits.configured_limit, ColdLevel(limits));
  limits.first_token.slow_score = 0;
  limits.token_gap.slow_score = 0;
}

void MarkSuspect(LimitsState& state,
                 const MembershipState& membership,
                 const UpstreamName& upstream,
                 std::string_view reason,
                 const Tuning& tuning,
                 const Now& now,
                 Effects& effects) {
  UpstreamLimits& limits = state.upstreams.at(upstream);
  ++limits.ramp.cold_generation;
  RestartRamp(limits, now);
  effects.emplace_back(EmitLog{log_events::kUpstreamSuspect,
                               fmt::format("upstream={} cold_generation={} why={}", upstream,
                                           limits.ramp.cold_generation, reason)});
  UpstreamGossip gossip;
  gossip.upstream = upstream;
  for (const HostName& host : HeartbeatRecipients(membership, {gossip}, tuning)) {
    SendToPeer(membership, host,
               UpstreamSuspected{upstream, limits.ramp.incarnation, limits.ramp.cold_generation},
               effects);
  }
}

void HandleUpstreamSuspected(LimitsState& state, const UpstreamSuspected& suspect, const Now& now) {
  const auto found = state.upstreams.find(suspect.upstream);
  if (found != state.upstreams.end()) {
    AdoptColdGeneration(found->second, suspect.incarnation, suspect.cold_generation, now);
  }
}

void UpdateIncarnation(LimitsState& state,
                       const MembershipState& membership,
                       const UpstreamName& upstream,
                       Incarnation incarnation,
                       const Tuning& tuning,
                       const Now& now,
                       Effects& effects) {
  Ramp& ramp = state.upstreams.at(upstream).ramp;
  if (incarnation == 0 || incarnation == ramp.incarnation ||
      incarnation == ramp.former_incarnation) {
    return;
  }
  const bool first = ramp.incarnation == 0;
  ramp.former_incarnation = ramp.incarnation;
  ramp.incarnation = incarnation;
  if (!first) {
    MarkSuspect(state, membership, upstream, "incarnation", tuning, now, effects);
  }
}

}  // namespace internal

void ResetWarmth(LimitsState& state) {
  for (auto& [name, limits] : state.upstreams) {
    limits.ramp.level = internal::ColdLevel(limits);
    limits.ramp.last_warm_at.reset();
  }
}

void RecordWorkEvent(LimitsState& state,
                     const MembershipState& membership,
                     const Catalog& catalog,
                     const UpstreamName& upstream,
                     HoldId hold,
                     WorkEvent event,
                     Incarnation incarnation,
                     std::chrono::microseconds latency,
                     const Tuning& tuning,
                     const Now& now,
                     Effects& effects) {
  const auto found = state.upstreams.find(upstream);
  if (found == state.upstreams.end()) {
    return;
  }
  UpstreamLimits& limits = found->second;
  internal::UpdateIncarnation(state, membership, upstream, incarnation, tuning, now, effects);
  const auto hold_entry = state.holds.find(hold);
  if (hold_entry != state.holds.end() &&
      (event == WorkEvent::kToken || event == WorkEvent::kFirstToken)) {
    ++hold_entry->second.tokens;
  }
  const bool started_before_cold = hold_entry != state.holds.end() && limits.ramp.cold_since &&
                                   hold_entry->second.since < *limits.ramp.cold_since;
  if (started_before_cold || (incarnation != 0 && incarnation != limits.ramp.incarnation)) {
    return;
  }
  if (event == WorkEvent::kFailure) {
    if (!limits.ramp.cold_since ||
        now.monotonic - *limits.ramp.cold_since >= internal::kMinSuspicionInterval) {
      internal::MarkSuspect(state, membership, upstream, "failure", tuning, now, effects);
    }
    return;
  }
  const auto entry = catalog.upstreams.find(upstream);
  const bool plain = entry != catalog.upstreams.end() && entry->second.kind == ServiceKind::kPlain;
  bool slow = false;
  if (event == WorkEvent::kToken) {
    slow = internal::AddSample(limits.token_gap, latency, internal::kSlowGap, now);
  } else if (event == WorkEvent::kFirstToken || plain) {
    slow = internal::AddSample(limits.first_token, latency, internal::kSlowFirstToken, now);
  }
  const bool slow_gaps = slow && limits.token_gap.slow_score >= internal::kSlowSamples &&
                         now.monotonic - limits.token_gap.slow_since >= internal::kSlowGapSpan;
  if (slow_gaps || limits.first_token.slow_score >= internal::kSlowSamples) {
    internal::MarkSuspect(state, membership, upstream, "latency", tuning, now, effects);
  } else if (event == WorkEvent::kCompleted && limits.token_gap.slow_score == 0 &&
             limits.first_token.slow_score == 0) {
    internal::RaiseLevel(limits, tuning, now);
  } else if (!slow) {
    internal::RecordWarmth(limits, tuning, now);
  }
}

void HandleLoadReport(LimitsState& state,
                      const MembershipState& membership,
                      const Catalog& catalog,
                      const LoadReported& report,
                      const Tuning& tuning,
                      const Now& now,
                      Effects& effects) {
  (void)catalog;
  const auto found = state.upstreams.find(report.upstream);
  if (found == state.upstreams.end()) {
    return;
  }
  UpstreamLimits& limits = found->second;
  if (limits.report && report.began - report.age < limits.report->began - limits.report->age) {
    return;
  }
  limits.report = report;
  internal::UpdateIncarnation(state, membership, report.upstream, report.incarnation, tuning, now,
                              effects);
  (void)internal::FreeBlockedSlots(state, membership, tuning, now);
}

void HandleGossip(LimitsState& state,
                  const MembershipState& membership,
                  const Catalog& catalog,
                  const HostId& from,
                  const Heartbeat& heartbeat,
                  const Tuning& tuning,
                  const Now& now,
                  Effects& effects) {
  (void)catalog;
  (void)effects;
  // Evidence has a known age only in the newest heartbeat of a peer, and only if that heartbeat
  // echoes one of this host's.
  const auto peer = membership.peers.find(from.name);
  const bool dated = peer != membership.peers.end() && peer->second.id == from &&
                     peer->second.last.sequence == heartbeat.sequence && peer->second.confirmed_at;
  for (const UpstreamGossip& gossip : heartbeat.upstreams) {
    UpstreamLimits* limits = internal::FindResource(state, gossip.upstream);
    if (limits == nullptr) {
      continue;
    }
    internal::AdoptColdGeneration(*limits, gossip.incarnation, gossip.cold_generation, now);
    if (dated) {
      internal::MergeWarmth(*limits, gossip, *peer->second.confirmed_at, tuning, now);
      limits->peer_holds[from.name] = {gossip.used_slots_over_limit, gossip.cold_generation,
                                       now.monotonic};
    }
  }
  (void)internal::FreeBlockedSlots(state, membership, tuning, now);
}

std::vector<UpstreamGossip> MakeGossip(const LimitsState& state, const Now& now) {
  // Exceeds the window in which reports and heartbeats are compared; see blocked_slots.cc.
  constexpr std::chrono::milliseconds kLongRunning{5000};
  std::vector<UpstreamGossip> list;
  internal::ForEachResource(state, [&](const std::string& name, const UpstreamLimits& limits) {
    UpstreamGossip gossip;
    gossip.upstream = name;
    gossip.incarnation = limits.ramp.incarnation;
    gossip.cold_generation = limits.ramp.cold_generation;
    gossip.level = limits.ramp.level;
    gossip.warm_evidence_age = limits.ramp.last_warm_at
                                   ? ToMilliseconds(now.monotonic - *limits.ramp.last_warm_at)
                                   : std::chrono::hours{24};
    gossip.used_slots_over_limit = internal::UsedSlotsOverLimit(state, name, limits.base_limit);
    gossip.long_running_slots = internal::CountHolds(state, name, now.monotonic - kLongRunning);
    list.push_back(gossip);
  });
  return list;
}

}  // namespace snipeturn
