#pragma once

#include <json/value.h>

#include <vector>

#include "snipeturn/entry/event.h"

namespace snipeturn::loop {

/// @brief Encodes what a host or a cell knows of roll-outs, for a message to other hosts.
/// @param rollouts The roll-outs.
/// @param max_rows Most rows of evidence of each service; further ones are left out.
/// @param root The message, which gets the roll-outs.
void EncodeRollouts(const std::vector<entry::ReportedRollout>& rollouts,
                    std::size_t max_rows,
                    Json::Value& root);

/// @brief Decodes roll-outs. Throws nothing.
/// @param root The message, an object.
/// @return The roll-outs that are well-formed; others are dropped, as the rest of the message is of
///     use without them.
[[nodiscard]] std::vector<entry::ReportedRollout> DecodeRollouts(const Json::Value& root);

}  // namespace snipeturn::loop
