#pragma once

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/work.h"

namespace snipeturn::entry::internal {

/// @brief Takes the end of a send: passes the answer on, sends again, or answers with an error.
///
/// A request is sent again, or refused as not run, only if it provably did not run; an idempotent
/// one may be repeated after any failure within its upstreams and the retry budget.
void EndAttempt(Work& work, const AttemptEnded& event);

/// @brief Takes new events of a stream.
void Progress(Work& work, const StreamProgressed& event);

}  // namespace snipeturn::entry::internal
