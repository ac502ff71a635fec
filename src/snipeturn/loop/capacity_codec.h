#pragma once

#include <json/value.h>

#include <vector>

#include "snipeturn/capacity/summary.h"

namespace snipeturn::loop {

/// @brief Adds a host's evidence on upstreams to a load table, under a key of its own. Hosts of an
///     earlier release ignore the key.
void EncodeCapacity(Json::Value& table, const std::vector<capacity::Row>& rows);

/// @brief Decodes the evidence of a load table. Throws Json::Exception on values of the wrong type.
/// @return The rows, at most `capacity::kMaxRows`; rows of another length are left out, as a later
///     release may send them.
[[nodiscard]] std::vector<capacity::Row> DecodeCapacity(const Json::Value& table);

}  // namespace snipeturn::loop
