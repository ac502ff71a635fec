#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "snipeturn/requests/event_scope.h"
#include "snipeturn/requests/refusal.h"

namespace snipeturn::internal {

/// @brief Finds an open request.
/// @return The request, or nullptr.
[[nodiscard]] Request* FindRequest(RequestsState& state, RequestId id);

/// @brief The hold for the request's work.
/// @return The hold, or 0 when it has none.
[[nodiscard]] HoldId HoldOf(const Request& request) noexcept;

/// @brief Releases the hold of work that has certainly ended.
void ReleaseHold(EventScope& scope, Request& request);

/// @brief Detaches the hold of work that may still run, and schedules its release.
void ReleaseHoldLater(EventScope& scope, Request& request, TimePoint until);

/// @brief Ends the exchange and the generation of a request whose response is no longer needed, and
///     keeps its hold for kCleanUpTime.
void StopWork(EventScope& scope, Request& request);

/// @brief Abandons the open exchange, if there is one.
void AbandonOpenAttempt(EventScope& scope, Request& request);

/// @brief Asks the engine to stop the request's generation, if it is known.
void CancelKnownGeneration(EventScope& scope, const Request& request);

/// @brief Sends a refusal to the caller, ends the claim, and closes the request.
/// @param status Overrides the refusal's status.
/// @param retry_after Overrides the default Retry-After.
void Refuse(EventScope& scope,
            Request& request,
            const Refusal& refusal,
            std::optional<int> status = std::nullopt,
            std::optional<std::chrono::seconds> retry_after = std::nullopt);

/// @brief Sends a refusal to the caller, unless it has disconnected, and keeps the request open.
void SendRefusal(EventScope& scope,
                 const Request& request,
                 const Refusal& refusal,
                 std::optional<int> status = std::nullopt,
                 std::optional<std::chrono::seconds> retry_after = std::nullopt);

/// @brief Sends the complete response to the caller and closes the request.
void FinishRequest(EventScope& scope,
                   Request& request,
                   int status,
                   std::string content_type,
                   std::string body);

/// @brief Removes a request and its timers.
void CloseRequest(EventScope& scope, Request& request);

}  // namespace snipeturn::internal
