#pragma once

#include <string_view>

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/event_scope.h"

namespace snipeturn::entry::internal {

/// @brief Puts a version of the configuration into force, unless it is older than the current one.
void AdoptDesiredState(EventScope& scope, const DesiredStateRead& event);

void AdoptEvacuation(EventScope& scope, const EvacuationRead& event);

/// @brief Handles a complete read of the evacuations; those of other zones have ended, unless the
///     store may lack records as it came back from an older copy.
void AdoptEvacuations(EventScope& scope, const EvacuationsRead& event);

/// @brief Handles an entry of the upstream list.
void ListUpstream(EventScope& scope, const UpstreamListed& event);

/// @brief Handles the removal of an entry: the upstream leaves, or, during an outage of the store,
///     its entry may merely have expired.
void UnlistUpstream(EventScope& scope, const UpstreamUnlisted& event);

/// @brief Handles a complete read of the list; upstreams that are missing from it were removed.
void AdoptUpstreamList(EventScope& scope, const UpstreamListRead& event);

/// @brief Stops new work at an upstream and migrates its running generations.
void StartLeaving(EventScope& scope, Upstream& upstream, std::string_view reason);

/// @brief Makes the next review of the upstreams due.
void ScheduleUpstreamReview(EventScope& scope);

/// @brief Handles an upstream's own report.
void HandleReport(EventScope& scope, const UpstreamReported& event);

/// @brief Reads the reports of the engines that run this host's generations, while neither this
///     host nor a peer can read the list. The report is then the only way to learn that an engine
///     leaves.
void ReadReports(EventScope& scope);

/// @brief Makes upstreams leave whose entry did not reappear in time, removes those that have left
///     and have no work, and ends limits that upstreams have not repeated.
void ReviewUpstreams(EventScope& scope);

/// @brief Handles a read of the upstream list that missed no record.
void ConfirmList(EventScope& scope, const ListConfirmed& event);

void ConfirmStore(EventScope& scope, const StoreConfirmed& event);
void HandleStoreFailure(EventScope& scope, const StoreReadFailed& event);

}  // namespace snipeturn::entry::internal
