#pragma once

#include <json/value.h>

#include <optional>
#include <vector>

#include "snipeturn/entry/event.h"

namespace snipeturn::loop {

/// @brief Tells whether an upstream of the updates has a version.
[[nodiscard]] bool HasVersions(const std::vector<entry::PeerUpdate>& updates);

/// @brief Encodes recent updates of the upstream list into a load table: rows, and apart from them
///     their eras and the versions of the upstreams.
/// @param updates The updates, the oldest first.
/// @param root The message.
void EncodeListUpdates(const std::vector<entry::PeerUpdate>& updates, Json::Value& root);

/// @brief Decodes the recent updates of a load table. Throws Json::Exception on values of the wrong
///     type.
/// @param root The message.
/// @return The updates, or nothing when a row is malformed. An update with a malformed version is
///     left out: its receiver sees the gap in the numbers and reads the list.
[[nodiscard]] std::optional<std::vector<entry::PeerUpdate>> DecodeListUpdates(
    const Json::Value& root);

}  // namespace snipeturn::loop
