#pragma once

#include <string_view>

#include "snipeturn/entry/desired_state.h"

namespace snipeturn::entry {

/// @brief Finds the route of a request: equal host name, longest matching path prefix.
/// @param desired The configuration in force.
/// @param host Host name without a port, in lower case as those of the routes.
/// @param path Path, with or without a query.
/// @return The route, or nullptr when none matches.
[[nodiscard]] const Route* FindRoute(const DesiredState& desired,
                                     std::string_view host,
                                     std::string_view path) noexcept;

/// @brief Chooses the service of a request by the route's weights.
/// @param route The route; it has at least one service.
/// @param request_id The caller's request id; its hash decides, so that all hosts choose alike.
/// @return The service's name.
[[nodiscard]] const std::string& ChooseService(const Route& route,
                                               std::string_view request_id) noexcept;

}  // namespace snipeturn::entry
