#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "snipeturn/base/host.h"
#include "snipeturn/reducer/attempt.h"
#include "snipeturn/reducer/platform.h"
#include "snipeturn/transport/http_client.h"

namespace snipeturn {

/// Callbacks of a running attempt.
struct AttemptHooks {
  /// Called before the connection is made and before the request is sent; false ends the attempt
  /// as AttemptResult::kUnsent.
  SendCheck may_send;
  /// Called when data arrives; true ends the exchange.
  std::function<bool()> is_abandoned;
  std::function<void(AttemptToken token)> on_token;
};

/// @brief Runs one exchange with an upstream and waits for its end.
/// @param attempt The exchange.
/// @param hooks Callbacks, called on this thread.
/// @return The result of the exchange.
[[nodiscard]] AttemptEnded RunAttempt(const StartAttempt& attempt, const AttemptHooks& hooks);

/// @brief Asks an engine to stop a generation. A failed request is not retried, because the engine
/// itself ends generations that have no reader.
/// @param cancel The generation.
/// @return True when the engine responded.
bool RunCancel(const CancelGeneration& cancel);

/// @brief Reads an upstream's load report.
/// @param upstream Name of the upstream.
/// @param endpoint Its address.
/// @param began Start time of the read; copied into the result.
/// @param last_reason Receives the reason when there is no report.
/// @return The report, or nothing.
[[nodiscard]] std::optional<LoadReported> ReadLoad(const UpstreamName& upstream,
                                                   const Endpoint& endpoint,
                                                   TimePoint began,
                                                   std::string& last_reason);

}  // namespace snipeturn
