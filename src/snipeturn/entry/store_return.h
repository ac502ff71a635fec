#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/event_scope.h"

namespace snipeturn::entry::internal {

/// @brief Learns the store's era from a response of the store or from a peer.
///
/// A higher era than the one known means that the store came back from an older copy: everything
/// is read anew.
/// @param scope The event.
/// @param era The era; 0 if it isn't known.
/// @param source Where it comes from, for the log.
void LearnEra(EventScope& scope, StoreEra era, std::string_view source);

}  // namespace snipeturn::entry::internal
