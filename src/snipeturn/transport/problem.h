#pragma once

#include <json/value.h>

#include <string>
#include <string_view>

#include "snipeturn/reducer/caller.h"
#include "snipeturn/reducer/effect.h"
#include "snipeturn/transport/http_server.h"

namespace snipeturn {

/// @brief Returns the name of an outcome as sent to callers.
/// @param outcome The outcome.
/// @return "not_run", "unknown" or "ran".
[[nodiscard]] std::string_view ToString(Outcome outcome) noexcept;

/// @brief Encodes problem details (RFC 9457). The type is "about:blank", so the title is that of
/// the HTTP status.
/// @param problem The problem.
/// @return The object with "reason", "outcome" and, for streams, "delivered".
[[nodiscard]] Json::Value EncodeProblem(const Problem& problem);

/// @brief Creates the response that reports a problem. Responses with status 429 and 503 have a
/// Retry-After header, of 1 s unless the problem sets another time.
/// @param problem The problem.
/// @return The response.
[[nodiscard]] ServerResponse MakeProblemResponse(const Problem& problem);

/// @brief Creates the response to a request that is refused before an event is created for it.
/// @param status The HTTP status.
/// @param reason Stable reason code.
/// @param detail Description of the problem.
/// @return The response, with outcome "not_run".
[[nodiscard]] ServerResponse MakeRequestProblem(int status,
                                                const std::string& reason,
                                                const std::string& detail);

/// @brief Creates a response with a JSON body.
[[nodiscard]] ServerResponse MakeJsonResponse(int status, const Json::Value& body);

/// @brief Encodes the server-sent event of a token.
/// @param completion ID of the completion as sent to the caller.
/// @param token The token with its signed cursor.
/// @return The encoded event.
[[nodiscard]] std::string EncodeTokenEvent(const std::string& completion, const SendToken& token);

/// @brief Encodes the event that ends a completed stream.
[[nodiscard]] std::string EncodeDoneEvent();

/// @brief Encodes the event that ends a failed stream.
[[nodiscard]] std::string EncodeErrorEvent(const Problem& problem);

}  // namespace snipeturn
