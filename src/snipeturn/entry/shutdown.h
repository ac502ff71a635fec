#pragma once

#include <chrono>
#include <string>

#include "snipeturn/entry/event_scope.h"
#include "snipeturn/entry/request.h"

namespace snipeturn::entry::internal {

/// @brief Starts the planned stop of the process: the host is no longer ready, and requests that
///     would outlive the process are refused. Does nothing during a stop.
void BeginShutdown(EventScope& scope);

/// @brief Exits once no request is open and the load balancer sends no more callers, or when the
///     grace period is nearly over; schedules the next check otherwise.
///
/// Refuses queued requests that would no longer end in time.
/// Requests that are open at the end of the grace period get a response that says whether they may
/// have run; a started stream is broken. After the exit was decided, every request is refused.
void CheckShutdown(EventScope& scope);

/// @brief Tells whether a stream that hasn't begun may be passed on only as a whole, since its host
///     stops and may end before the rest has arrived.
[[nodiscard]] bool MustArriveWhole(const EventScope& scope, const Request& request);

/// @brief Tells whether a request that is sent now would be cut off by the process's exit.
///
/// A request ends at its deadline at the latest. If that comes too late, the times that its service
/// took of late decide; without an observation it would outlive the process.
[[nodiscard]] bool WouldOutliveProcess(const EventScope& scope, const Request& request);

/// @return Fields of a log line that tell how a request stands to the planned stop, with a space in
///     front: milliseconds from SIGTERM to its arrival, forecast of its duration, and time left in
///     the grace period; empty if the host isn't stopping.
[[nodiscard]] std::string DescribeShutdown(const EventScope& scope, const Request& request);

/// @return Retry-After for a caller that this stopping host refuses: zero if another host of the
///     zone keeps running, else the time until this host serves again.
[[nodiscard]] std::chrono::milliseconds RetryAfterShutdown(const EventScope& scope);

}  // namespace snipeturn::entry::internal
