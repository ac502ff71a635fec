#pragma once

#include <json/value.h>

#include <optional>
#include <vector>

#include "snipeturn/entry/event.h"

namespace snipeturn::loop {

/// @brief Encodes the limits that upstreams stated as an array of rows, for a message to other
/// hosts.
[[nodiscard]] Json::Value EncodeLimits(const std::vector<entry::ReportedLimit>& limits);

/// @brief Decodes rows of stated limits. Throws Json::Exception on values of the wrong type.
/// @return The limits, or nothing when a row is malformed.
[[nodiscard]] std::optional<std::vector<entry::ReportedLimit>> DecodeLimits(
    const Json::Value& rows);

/// @brief Encodes the upstreams that said that they are leaving as an array of rows.
[[nodiscard]] Json::Value EncodeLeavings(const std::vector<entry::ReportedLeaving>& leaving);

/// @brief Decodes rows of leaving upstreams. Throws Json::Exception on values of the wrong type.
/// @return The upstreams, or nothing when a row is malformed.
[[nodiscard]] std::optional<std::vector<entry::ReportedLeaving>> DecodeLeavings(
    const Json::Value& rows);

}  // namespace snipeturn::loop
