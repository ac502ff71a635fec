#pragma once

#include <json/value.h>

#include "snipeturn/entry/demand.h"

namespace snipeturn::loop {

/// @brief Adds a host's demand on contended services to its load table, under a key of its own:
///     hosts of an earlier version drop a table whose rows are longer than theirs.
void EncodeDemand(const entry::DemandTable& table, Json::Value& root);

/// @brief Decodes the demand in a load table.
/// @return The demand; without the services whose figures are unusable, and empty if the host
///     states none.
/// @throw Json::Exception A value has the wrong type.
[[nodiscard]] entry::DemandTable DecodeDemand(const Json::Value& root);

}  // namespace snipeturn::loop
