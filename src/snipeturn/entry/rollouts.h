#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/event_scope.h"
#include "snipeturn/entry/state.h"

// Roll-outs of a new version of a service: which versions requests may use, what the hosts see of
// them, and how the outcome is decided and recorded. Nothing of this takes effect unless the
// options enable it.

namespace snipeturn::entry {

enum class VersionUse : std::uint8_t { kBarred, kAllowed, kPreferred };

/// @brief Tells how a request may use an upstream's version now.
[[nodiscard]] VersionUse UseOfVersion(const State& state,
                                      const Request& request,
                                      const Upstream& upstream,
                                      TimePoint now);

/// @brief Tells whether a request may be sent to an upstream as far as its version is concerned.
[[nodiscard]] bool MayUseVersion(const State& state,
                                 const Request& request,
                                 const Upstream& upstream,
                                 TimePoint now);

/// @brief Tells whether nothing may be sent to an upstream any more, running streams included: its
///     version was rolled back, or another one has taken over.
[[nodiscard]] bool IsVersionClosed(const State& state, const Upstream& upstream);

/// @brief Tells whether running streams leave an upstream, since another version takes over.
[[nodiscard]] bool MustLeaveVersion(const State& state, const Upstream& upstream);

/// @brief Roll-outs with this host's evidence, for its load table. Ended ones are included for a
///     while, so that all hosts learn of the end.
[[nodiscard]] std::vector<ReportedRollout> ReportedRollouts(const State& state, TimePoint now);

/// @brief Roll-outs with the sum of the evidence of this host's cell.
[[nodiscard]] std::vector<ReportedRollout> CellRollouts(const State& state, TimePoint now);

/// A number about a service's roll-out.
struct RolloutGauge {
  std::string_view name;
  std::string service;
  double value{0};
};

/// @brief Numbers about the roll-outs in force for the metrics, those of one name adjacent.
[[nodiscard]] std::vector<RolloutGauge> RolloutGauges(const State& state, TimePoint now);

namespace internal {

/// @brief Notes the version of an upstream that the list has.
void NoteVersion(EventScope& scope, const UpstreamEntry& entry);

/// @brief Handles an order, or its deletion.
void AdoptRolloutOrder(EventScope& scope, const RolloutOrderRead& event);

/// @brief Handles all orders that the store lists.
void AdoptRolloutOrders(EventScope& scope, const RolloutOrdersRead& event);

/// @brief Adopts the status that the store has, or writes the next one.
void HandleRolloutStatus(EventScope& scope, const RolloutStatusRead& event);

/// @brief Handles the result of a write.
void HandleRolloutStatusWritten(EventScope& scope, const RolloutStatusWritten& event);

/// @brief State of the order that the store is known to hold. What it held before its last return
///     from a copy may be lost.
[[nodiscard]] std::optional<RolloutState> StateInStore(const State& state, const Rollout& rollout);

/// @brief Lets final states be written again that the store may have lost by coming back from a
///     copy.
void RepublishRollouts(EventScope& scope);

/// @brief Takes in what another host, or the sum of a cell, reports.
/// @param source Name of the host, or of the cell.
void AdoptReportedRollouts(EventScope& scope,
                           const std::string& source,
                           const std::vector<ReportedRollout>& rollouts);

/// @brief Judges the evidence, changes phases, and writes the status where it is this host's turn.
void ReviewRollouts(EventScope& scope);

/// @brief Changes the phase of the roll-out in force.
/// @param reason Why, for the log.
void ChangePhase(EventScope& scope,
                 ServiceVersions& versions,
                 rollout::Phase phase,
                 std::string_view reason);

/// @brief Makes the pending order the one in force if its target has an upstream.
void ActivateRollout(EventScope& scope, ServiceVersions& versions);

/// @brief Writes the status of the roll-out in force if that is due, and is this host's turn.
void PublishRollout(EventScope& scope, Rollout& rollout);

/// @brief Schedules the next review.
void ScheduleRolloutReview(EventScope& scope);

/// @brief Time since an order.
[[nodiscard]] std::chrono::milliseconds RolloutAge(const Rollout& rollout, TimePoint now);

}  // namespace internal
}  // namespace snipeturn::entry
