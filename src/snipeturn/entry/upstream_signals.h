#pragma once

#include <vector>

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/event_scope.h"
#include "snipeturn/entry/state.h"

namespace snipeturn::entry {

/// @brief Returns the statements of upstreams for a message to other hosts.
/// @param state The entry state.
/// @param now Current time.
/// @param only_own Leaves out the statements that this host had from other hosts.
[[nodiscard]] std::vector<ReportedLimit> ReportedLimits(const State& state,
                                                        TimePoint now,
                                                        bool only_own);

namespace internal {

/// @brief Handles what an upstream says about itself in the head of a response.
void HandleSignals(EventScope& scope, const UpstreamSignalled& event);

/// @brief Adopts the statements of upstreams that another host reports.
void AdoptReportedLimits(EventScope& scope, const std::vector<ReportedLimit>& limits);

/// @brief Ends a limit that the upstream has not repeated for long.
void EndExpiredLimit(EventScope& scope, Upstream& upstream);

}  // namespace internal
}  // namespace snipeturn::entry
