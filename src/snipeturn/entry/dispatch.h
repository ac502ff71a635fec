#pragma once

#include "snipeturn/entry/work.h"

namespace snipeturn::entry::internal {

/// @brief Sends a request at once if there is room, else lets it wait or refuses it.
void Enqueue(Work& work, Request& request);

/// @brief Sends waiting requests for which there is room now, in order of priority, share of the
///     organisation and arrival.
void DispatchQueue(Work& work);

/// @brief The longest wait of a queued request is over: refuses it.
void EndHold(Work& work, Request& request);

/// @brief Sends a second copy of an idempotent request whose answer is overdue.
void Hedge(Work& work, Request& request);

/// @brief Sends a request to an upstream.
/// @param work The event's work.
/// @param request The request.
/// @param upstream Where to.
/// @param resume The copy to go on from, or nothing.
void SendTo(Work& work, Request& request, Upstream& upstream, std::optional<Resume> resume);

}  // namespace snipeturn::entry::internal
