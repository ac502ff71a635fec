#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "snipeturn/reducer/caller.h"
#include "snipeturn/reducer/operator_command.h"
#include "snipeturn/settings/options.h"
#include "snipeturn/transport/http_server.h"

namespace snipeturn {

/// Why a request was refused before an event was created for it.
struct RequestRefusal {
  int status{400};
  /// Stable reason code, see docs/events.md.
  std::string reason;
  std::string detail;
};

/// @brief Parses and validates `POST /v1/completions`.
/// @param request The HTTP request.
/// @param last_refusal Receives the reason when the request is refused.
/// @return The caller's request without its ID, or nothing when it is refused.
[[nodiscard]] std::optional<CallerRequest> ReadCompletion(const ServerRequest& request,
                                                          RequestRefusal& last_refusal);

/// @brief Parses and validates a call below `/services/`.
/// @param request The HTTP request.
/// @param last_refusal Receives the reason when the request is refused.
/// @return The caller's request without its ID, or nothing when it is refused.
[[nodiscard]] std::optional<CallerRequest> ReadCall(const ServerRequest& request,
                                                    RequestRefusal& last_refusal);

/// @brief Parses and validates a request below `/operator/`; its key must have been checked before.
/// @param request The HTTP request.
/// @param last_refusal Receives the reason when the request is refused.
/// @return The command, or nothing when it is refused.
[[nodiscard]] std::optional<OperatorCommand> ReadOperatorCommand(const ServerRequest& request,
                                                                 RequestRefusal& last_refusal);

/// @brief Checks an operator's bearer key in constant time, whichever digest matches.
/// @param request The HTTP request.
/// @param options The daemon's options.
/// @return True when the options contain the key's digest.
[[nodiscard]] bool IsOperator(const ServerRequest& request, const Options& options);

/// @brief Checks whether a path may be forwarded to a service. Empty segments, dot segments,
/// backslashes and percent-encoded forms of dots, slashes, backslashes, NUL and percent signs are
/// unsafe, because a service could resolve them to a path outside a route's prefix.
/// @param path The path, starting with "/", without the query.
/// @return True when the path is safe.
[[nodiscard]] bool IsSafePath(std::string_view path) noexcept;

}  // namespace snipeturn
