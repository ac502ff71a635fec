#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "snipeturn/limits/limits.h"

namespace snipeturn::internal {

/// Limit of an upstream without evidence of warmth.
[[nodiscard]] int ColdLevel(const UpstreamLimits& limits) noexcept;

/// Current limit of the ramp.
[[nodiscard]] int RampLevel(const UpstreamLimits& limits, const Tuning& tuning, const Now& now);

/// @brief Updates the mean number of tokens that a service's requests are expected to need.
/// @param expected Expected tokens of a request; 0 for plain services.
void RecordExpectedTokens(LimitsState& state, const std::string& service, std::uint64_t expected);

/// Pieces of work that fit into the upstream's memory, or nothing without a report of memory.
[[nodiscard]] std::optional<int> MemoryLimit(const LimitsState& state,
                                             const UpstreamName& upstream,
                                             const UpstreamLimits& limits);

/// min(configured_limit, ramp level), regardless of memory and of work on slots above it.
[[nodiscard]] int BaseLimit(const std::string& resource,
                            const UpstreamLimits& limits,
                            const Tuning& tuning,
                            const Now& now);

/// Slots of a resource that this host's work uses, or none when all are below the limit.
[[nodiscard]] std::vector<int> UsedSlotsOverLimit(const LimitsState& state,
                                                  const std::string& resource,
                                                  int limit);

/// The largest limit that, together with the work on slots above it, stays within the base limit.
[[nodiscard]] int LimitWithoutMemory(const LimitsState& state,
                                     const std::string& resource,
                                     const UpstreamLimits& limits,
                                     const Tuning& tuning,
                                     const Now& now);

/// Effective limit of an upstream or a zone.
[[nodiscard]] int EffectiveLimit(const LimitsState& state,
                                 const std::string& resource,
                                 const UpstreamLimits& limits,
                                 const Tuning& tuning,
                                 const Now& now);

/// Tells whether a peer may run work that this host doesn't know of. After an upstream turned cold,
/// a peer's earlier work is known once its heartbeat names the new cold generation. Until then it
/// may use slots above the lowered limit, and no work starts.
[[nodiscard]] bool IsPeerWorkUnknown(const UpstreamLimits& limits,
                                     const Tuning& tuning,
                                     const Now& now);

/// Number of slots, from index 0, that a class may use within a limit.
[[nodiscard]] int ClassLimit(int limit,
                             WorkClass work_class,
                             const ServedClasses& served,
                             const Tuning& tuning);

/// The upstream or zone with a resource's name.
[[nodiscard]] UpstreamLimits* FindResource(LimitsState& state, const std::string& resource);
[[nodiscard]] const UpstreamLimits* FindResource(const LimitsState& state,
                                                 const std::string& resource);

/// Calls `visit(name, limits)` for each upstream and zone.
template <typename State, typename Visit>
void ForEachResource(State& state, Visit&& visit) {
  for (auto& [name, limits] : state.upstreams) {
    visit(name, limits);
  }
  for (auto& [zone, limits] : state.zones) {
    visit(ZoneResource(zone), limits);
  }
}

/// Tells whether a hold uses a slot of a resource; `slot` -1 means any.
[[nodiscard]] bool UsesSlot(const Hold& hold, const std::string& resource, int slot);

/// Number of holds on slots of a resource that started at `started_before` or earlier.
[[nodiscard]] int CountHolds(const LimitsState& state,
                             const std::string& resource,
                             TimePoint started_before);

/// Makes a slot usable by this host: held if its own work still runs there, else free.
void MakeUsable(LimitsState& state, const std::string& resource, int index, OwnedSlot& slot);

/// Erases a slot that is free and owned by another host.
void EraseIfReleased(UpstreamLimits& limits, int index);

/// Frees a slot, or passes it to a resumed generation without one or to its new owner.
void FreeSlot(LimitsState& state,
              const MembershipState& membership,
              const std::string& resource,
              int index,
              Effects& effects);

/// Updates the ownership of a resource's slots from an epoch.
/// @param before The preceding epoch, or nullptr when it is not known.
void ApplyEpoch(LimitsState& state,
                const MembershipState& membership,
                const std::string& resource,
                UpstreamLimits& limits,
                int from_index,
                const Epoch* before,
                const Epoch& epoch,
                const Tuning& tuning);

/// Requests the releases that this host waits for.
void RequestReleases(const LimitsState& state, const MembershipState& membership, Effects& effects);

/// Frees the slots in phase kAwaitingFence whose fence has passed and, where a load report is
/// needed, whose work has ended.
/// @return True when a slot became usable.
bool FreeBlockedSlots(LimitsState& state,
                      const MembershipState& membership,
                      const Tuning& tuning,
                      const Now& now);

void HandleSlotReleaseRequest(LimitsState& state,
                              const MembershipState& membership,
                              const HostId& from,
                              const SlotReleaseRequest& message,
                              Effects& effects);
bool HandleSlotsReleased(LimitsState& state, const HostId& from, const SlotsReleased& message);

void HandleLoanRequest(LimitsState& state,
                       const MembershipState& membership,
                       const HostId& from,
                       const LoanRequest& message,
                       const Tuning& tuning,
                       const Now& now,
                       Effects& effects);
bool HandleLoanReply(LimitsState& state,
                     const MembershipState& membership,
                     const HostId& from,
                     const LoanReply& message,
                     const Tuning& tuning,
                     const Now& now,
                     Effects& effects);
void HandleLoanCheck(const LimitsState& state,
                     const MembershipState& membership,
                     const HostId& from,
                     const LoanCheck& message,
                     const Tuning& tuning,
                     const Now& now,
                     Effects& effects);
bool HandleLoanReturned(LimitsState& state,
                        const MembershipState& membership,
                        const HostId& from,
                        const LoanReturned& message,
                        Effects& effects);

/// Periodic work on loans: checks, expiry, lost borrowers.
void MaintainLoans(LimitsState& state,
                   const MembershipState& membership,
                   const Tuning& tuning,
                   const Now& now,
                   Effects& effects);

/// Returns unused loans whose lender does not own the slot any more.
void ReturnStaleLoans(LimitsState& state,
                      const MembershipState& membership,
                      const Tuning& tuning,
                      Effects& effects);

/// Records an upstream's incarnation as seen in a response or a report.
void UpdateIncarnation(LimitsState& state,
                       const MembershipState& membership,
                       const UpstreamName& upstream,
                       Incarnation incarnation,
                       const Tuning& tuning,
                       const Now& now,
                       Effects& effects);

/// Records evidence that the upstream is warm.
void RecordWarmth(UpstreamLimits& limits, const Tuning& tuning, const Now& now);

/// Restarts an upstream's ramp on this host only.
void RestartRamp(UpstreamLimits& limits, const Now& now);

/// Applies a peer's suspicion.
void HandleUpstreamSuspected(LimitsState& state, const UpstreamSuspected& suspect, const Now& now);

/// Raises the cold generation, restarts the ramp and notifies the members.
void MarkSuspect(LimitsState& state,
                 const MembershipState& membership,
                 const UpstreamName& upstream,
                 std::string_view reason,
                 const Tuning& tuning,
                 const Now& now,
                 Effects& effects);

}  // namespace snipeturn::internal
