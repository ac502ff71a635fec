#pragma once

#include <json/value.h>

#include <optional>
#include <string>

#include "snipeturn/settings/catalog.h"
#include "snipeturn/settings/path.h"
#include "snipeturn/settings/schema.h"

namespace snipeturn {

/// @brief Validates the documents of a settings tree.
/// @param tree The whole tree.
/// @param changed Only the documents at, above and below this path are checked against their
///     schemas; references between documents are checked in the whole tree.
/// @return The first fault, or nothing when the tree is valid.
[[nodiscard]] std::optional<DocumentFault> CheckTree(const Json::Value& tree,
                                                     const SettingsPath& changed);

/// @brief Checks an IP address.
/// @param address The address, a JSON string.
/// @param path Path of the address, for the fault.
/// @return The fault, or nothing when it is an IPv4 or IPv6 address.
[[nodiscard]] std::optional<DocumentFault> CheckAddress(const Json::Value& address,
                                                        const std::string& path);

/// @brief Builds the typed view of a settings tree.
/// @param tree A tree that CheckTree accepts.
/// @return The view.
[[nodiscard]] Catalog BuildCatalog(const Json::Value& tree);

}  // namespace snipeturn
