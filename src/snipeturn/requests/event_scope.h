#pragma once

#include <chrono>
#include <string>

#include "snipeturn/requests/requests.h"

namespace snipeturn::internal {

/// State, context, time and effects while one event is handled.
struct EventScope {
  RequestsState& state;
  RequestContext& context;
  const Now& now;
  Effects& effects;
};

/// How long an upstream may continue work whose response nobody reads. Engines keep a generation
/// without a reader for 15 s, and a cancellation may be lost, so a slot stays in use for that time
/// and one second more, in which the close reaches the engine and the engine runs its next step.
inline constexpr std::chrono::seconds kCleanUpTime{16};

/// @brief Name of the model or service whose upstreams may do the work.
/// @param request The request.
/// @return A name that is the same for all requests that wait for the same upstreams.
[[nodiscard]] std::string PoolOf(const Request& request);

/// @brief Name of an organisation's account of served tokens.
/// @param request The request.
/// @return Class, team and organisation.
[[nodiscard]] std::string AccountOf(const Request& request);

}  // namespace snipeturn::internal
