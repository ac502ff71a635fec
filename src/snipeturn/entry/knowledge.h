#pragma once

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/work.h"

namespace snipeturn::entry::internal {

/// @brief Takes a version of the configuration; an older one than that in force is ignored.
void AdoptDesiredState(Work& work, const DesiredStateRead& event);

void AdoptEvacuation(Work& work, const EvacuationRead& event);

/// @brief Takes an entry of the upstream list.
void ListUpstream(Work& work, const UpstreamListed& event);

/// @brief Takes the removal of an entry: the upstream leaves, or its entry lapsed with the store.
void UnlistUpstream(Work& work, const UpstreamUnlisted& event);

/// @brief Takes the whole list: what is missing was removed.
void AdoptUpstreamList(Work& work, const UpstreamListRead& event);

/// @brief Takes an upstream's own report.
void TakeReport(Work& work, const UpstreamReported& event);

/// @brief Asks the engines that run this host's generations for their reports, while neither this
///     host nor one that it hears can read the list: a notice to leave is seen there only then.
void ReadReports(Work& work);

/// @brief A lapsed upstream's time is over, or a gone one's work has ended.
void ReviewUpstreams(Work& work);

void ConfirmStore(Work& work, const StoreConfirmed& event);
void FailStore(Work& work, const StoreFailed& event);

}  // namespace snipeturn::entry::internal
