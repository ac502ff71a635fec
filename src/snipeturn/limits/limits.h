#pragma once

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "snipeturn/base/host.h"
#include "snipeturn/base/time.h"
#include "snipeturn/base/timers.h"
#include "snipeturn/base/work_class.h"
#include "snipeturn/membership/membership.h"
#include "snipeturn/reducer/effect.h"
#include "snipeturn/reducer/event.h"
#include "snipeturn/settings/catalog.h"

namespace snipeturn {

/// Identifies a hold: one piece of work that occupies slots of this host.
using HoldId = std::uint64_t;

/// A slot of an upstream, and of its zone when the zone has a limit, granted to one piece of work.
struct SlotGrant {
  HoldId hold{0};
  UpstreamName upstream;
  int slot{0};
  /// Work must be sent before this time.
  TimePoint start_before{};
  /// Incarnation of the upstream as known when the slot was granted; 0 when unknown.
  Incarnation upstream_incarnation{0};
};

/// Why no slot was granted.
enum class DenialReason : std::uint8_t {
  kNone,
  /// This host is not a member yet, or its work lease (recent evidence that its epoch is in force)
  /// has expired.
  kNoWorkLease,
  /// All usable slots of this host are taken.
  kNoSlot,
  /// The remaining slots are reserved for higher classes.
  kReserved,
  /// The forecast memory use of the engine leaves no room.
  kMemory,
  /// The zone's limit is reached.
  kZoneLimit,
  kUnknownUpstream,
};

/// State of a slot that this host is responsible for.
enum class SlotPhase : std::uint8_t {
  /// The former owner, still a member, has not released it yet.
  kAwaitingRelease,
  /// The former owner was removed or is not known: waits for the releases of all members, the fence
  /// and, if a removed host's work may still run, a load report.
  kAwaitingFence,
  kFree,
  /// In use by a hold of this host.
  kHeld,
  /// On loan to another host.
  kLent,
};

/// A slot that this host owns, or owned before and is still responsible for.
struct OwnedSlot {
  SlotPhase phase{SlotPhase::kFree};
  /// False when another host owns it in the adopted epoch.
  bool owned{true};
  /// The epoch in which this host became the owner.
  std::uint64_t acquired_epoch{0};
  /// The previous owner, whose release alone is sufficient in both waiting phases; its incarnation
  /// is 0 when the owner is not known.
  HostId former_owner;
  /// Hosts that released it in phase kAwaitingFence; all members must.
  std::set<HostId> released_by;
  /// Hosts of the epochs in [fence_from_epoch, fence_until_epoch) may still start work on it.
  std::uint64_t fence_from_epoch{0};
  std::uint64_t fence_until_epoch{0};
  /// A removed host's work may still run on it, so a load report must show it to be free.
  bool needs_report{false};
  /// When all conditions other than the load report were met.
  std::optional<TimePoint> fenced_at;
  HoldId hold{0};
  /// Loan and borrower, in phase kLent.
  std::uint64_t loan{0};
  HostId borrower;
  std::optional<TimePoint> borrower_unreachable_since;
  /// Host that requested a release that was not possible yet, and the epoch of its request.
  std::optional<std::pair<HostName, std::uint64_t>> requested_by;
};

/// A slot that another host lent to this one, for one piece of work.
struct Loan {
  UpstreamName upstream;
  int slot{-1};
  HostId lender;
  std::uint64_t number{0};
  /// Lowest class that may use it.
  WorkClass work_class{WorkClass::kCritical};
  TimePoint start_before{};
  Incarnation upstream_incarnation{0};
};

/// A piece of work that occupies a slot of this host, owned or borrowed.
struct Hold {
  UpstreamName upstream;
  /// Index of the slot; -1 for a resumed generation that waits for one.
  int slot{0};
  TimePoint since{};
  /// Set for borrowed slots.
  std::optional<HostId> lender;
  std::uint64_t loan{0};
  /// The zone and its slot, when it has a limit.
  ZoneName zone;
  std::optional<int> zone_slot;
  std::optional<HostId> zone_lender;
  std::uint64_t zone_loan{0};
  /// Tokens that the work is expected to hold in the engine's memory, and those received so far.
  std::uint64_t expected_tokens{0};
  std::uint64_t tokens{0};
};

/// Warm-up state of an upstream; see docs/design.md, 4.3. Without recent evidence of warmth the
/// upstream is cold and works at its cold limit; each completed piece of work raises the limit by
/// one.
struct Ramp {
  Incarnation incarnation{0};
  /// The previous incarnation; its late responses say nothing about the current one.
  Incarnation former_incarnation{0};
  /// Incremented whenever the upstream turns cold; hosts adopt the highest one that they see.
  std::uint64_t cold_generation{0};
  /// Limit while there is recent evidence of warmth.
  int level{0};
  /// When a caller's work last showed the upstream to be warm.
  std::optional<TimePoint> last_warm_at;
  /// When the upstream last turned cold; work that started earlier is no evidence of warmth.
  std::optional<TimePoint> cold_since;
};

/// Moving average of the latency of one kind of work event.
struct LatencyBaseline {
  std::chrono::microseconds mean{0};
  int samples{0};
  /// Incremented by each slow sample and decremented by each other one, at least 0.
  int slow_score{0};
  /// When `slow_score` last rose from 0.
  TimePoint slow_since{};
};

/// Reported work on an upstream, or on all upstreams of a zone.
struct LoadSnapshot {
  /// When the earliest and the latest of the reports were measured.
  TimePoint earliest_measured{};
  TimePoint latest_measured{};
  int running{0};
};

/// What a peer last reported of its work on an upstream.
struct PeerHolds {
  /// Slots in use, when some of them are above the peer's limit.
  std::vector<int> slots_over_limit;
  /// The cold generation that the peer knew at that time.
  std::uint64_t cold_generation{0};
  TimePoint received_at{};
};

/// The classes above `short` that any team's settings route to an upstream.
struct ServedClasses {
  bool critical{true};
  bool long_answers{true};
};

struct UpstreamLimits {
  /// Slots are reserved only for classes that can be routed here.
  ServedClasses served;
  Ramp ramp;
  std::map<int, OwnedSlot> slots;
  /// Ownership of slots with an index below this is tracked across epochs: the highest capacity
  /// seen so far.
  int tracked_slots{0};
  /// Capacity, 0 when out of service, and cold limit in the current settings.
  int configured_limit{0};
  int cold_limit{1};
  /// The upstream's zone, when it has a limit.
  ZoneName limited_zone;
  bool in_service{false};
  /// min(configured_limit, ramp level) as last computed, for the heartbeat.
  int base_limit{0};
  std::map<HostName, PeerHolds> peer_holds;
  std::optional<LoadReported> report;
  /// Upstreams of one service get similar work, so the mean size of a request is kept by service.
  std::string service;
  /// Reported load that is compared with the heartbeats sent after it.
  std::optional<LoadSnapshot> compared_load;
  /// Slots of removed hosts that stay blocked by work that no member accounts for.
  int blocked_slots{0};
  LatencyBaseline first_token;
  LatencyBaseline token_gap;
};

struct LimitsState {
  std::map<UpstreamName, UpstreamLimits> upstreams;
  /// Slots of zones with a limit, by zone.
  std::map<ZoneName, UpstreamLimits> zones;
  /// Mean of the expected tokens of work that this host tried to start, by service.
  std::map<std::string, double> mean_expected_tokens;
  std::map<HoldId, Hold> holds;
  HoldId next_hold{1};
  std::uint64_t next_loan{1};
  /// Loan requests, by loan, that await a reply or were refused.
  struct PendingLoan {
    UpstreamName upstream;
    TimePoint sent{};
    HostName lender;
    WorkClass work_class{WorkClass::kShort};
    /// The lender had no slot; kept for a short backoff.
    bool refused{false};
  };
  std::map<std::uint64_t, PendingLoan> pending_loans;
  /// Loans that were granted to this host and not yet used.
  std::map<std::uint64_t, Loan> unused_loans;
  std::optional<TimePoint> loans_checked_at;
  std::uint64_t epoch{0};
};

/// The slot that a piece of work needs.
struct SlotRequest {
  UpstreamName upstream;
  WorkClass work_class{WorkClass::kShort};
  /// Prompt and expected output, in tokens; 0 for plain services.
  std::uint64_t expected_tokens{0};
};

/// @brief Grants a slot to one piece of work.
/// @param last_reason Receives why there is no grant.
/// @return The grant, or nothing.
[[nodiscard]] std::optional<SlotGrant> AcquireSlot(LimitsState& state,
                                                   const MembershipState& membership,
                                                   const Catalog& catalog,
                                                   const SlotRequest& request,
                                                   const Tuning& tuning,
                                                   const Now& now,
                                                   DenialReason& last_reason);

/// @brief Registers a resumed generation that this host did not start; it takes a free slot of this
///     host, now or when one is released, and counts as running work from then on.
[[nodiscard]] HoldId AddHoldWithoutSlot(LimitsState& state,
                                        const UpstreamName& upstream,
                                        const Now& now);

/// @brief Ends a hold, and returns a borrowed slot to its lender.
void ReleaseSlot(LimitsState& state,
                 const MembershipState& membership,
                 HoldId hold,
                 const Tuning& tuning,
                 const Now& now,
                 Effects& effects);

/// @brief Asks a peer for the loan of a slot, at most one request per upstream at a time.
void RequestLoan(LimitsState& state,
                 const MembershipState& membership,
                 const SlotRequest& request,
                 const Tuning& tuning,
                 const Now& now,
                 Effects& effects);

/// @brief Number of slots of an upstream that this host may use now: free, and below the usable
///     limit.
[[nodiscard]] int FreeSlots(const LimitsState& state,
                            const Catalog& catalog,
                            const UpstreamName& upstream,
                            const Tuning& tuning,
                            const Now& now);

/// @brief Effective limit on this host by the configured limit, the ramp, the memory limit and the
///     work that still runs on slots above it.
[[nodiscard]] int UsableLimit(const LimitsState& state,
                              const Catalog& catalog,
                              const UpstreamName& upstream,
                              const Tuning& tuning,
                              const Now& now);

/// An event in a caller's work that tells how its upstream performs.
enum class WorkEvent : std::uint8_t {
  kFirstToken,
  kToken,
  kCompleted,
  /// Refused connection, reset, timeout, or work lost by the upstream.
  kFailure,
};

/// @brief Updates warmth, suspicion and memory use from an event in a caller's work.
/// @param incarnation The upstream's incarnation, 0 when the response doesn't say.
/// @param latency Time to the first token, between tokens, or of the whole call.
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
                     Effects& effects);

void HandleLoadReport(LimitsState& state,
                      const MembershipState& membership,
                      const Catalog& catalog,
                      const LoadReported& report,
                      const Tuning& tuning,
                      const Now& now,
                      Effects& effects);

/// @brief Merges the peer's view of warmth from a heartbeat and frees blocked slots.
void HandleGossip(LimitsState& state,
                  const MembershipState& membership,
                  const Catalog& catalog,
                  const HostId& from,
                  const Heartbeat& heartbeat,
                  const Tuning& tuning,
                  const Now& now,
                  Effects& effects);

/// @brief Handles UpstreamSuspected, SlotReleaseRequest, SlotsReleased, LoanRequest, LoanReply,
///     LoanCheck and LoanReturned.
/// @return True when a slot may have become free for waiting requests.
bool HandleLimitsMessage(LimitsState& state,
                         const MembershipState& membership,
                         const Catalog& catalog,
                         const HostId& from,
                         const PeerMessage& message,
                         const Tuning& tuning,
                         const Now& now,
                         Effects& effects);

/// @brief Applies a new epoch or changed settings to the slots that this host owns.
void UpdateSlotOwnership(LimitsState& state,
                         const MembershipState& membership,
                         const Catalog& catalog,
                         const Tuning& tuning,
                         const Now& now,
                         Effects& effects);

/// @brief Periodic work: requests for release, loan checks, fences.
/// @return True when a slot may have become free for waiting requests.
bool HandleLimitsTimer(LimitsState& state,
                       const MembershipState& membership,
                       const Catalog& catalog,
                       const Tuning& tuning,
                       Timers& timers,
                       const Now& now,
                       Effects& effects);

/// @brief Treats all upstreams as cold until callers' work or a peer's heartbeat shows warmth.
/// @param state The limits.
void ResetWarmth(LimitsState& state);

/// @brief Makes the heartbeat's entries on upstreams and zones.
[[nodiscard]] std::vector<UpstreamGossip> MakeGossip(const LimitsState& state, const Now& now);

/// @brief Name of a zone's slots in messages and hashes: "zone:" and the zone. It has no slash, as
/// opposed to the names of upstreams.
[[nodiscard]] std::string ZoneResource(const ZoneName& zone);

/// @brief Owner of a slot in an epoch by rendezvous hashing within the upstream's owner group.
[[nodiscard]] const Member* SlotOwner(const Epoch& epoch,
                                      const UpstreamName& upstream,
                                      int slot,
                                      const Tuning& tuning);

[[nodiscard]] Json::Value DescribeLimits(const LimitsState& state,
                                         const Catalog& catalog,
                                         const Tuning& tuning,
                                         const Now& now);

}  // namespace snipeturn
