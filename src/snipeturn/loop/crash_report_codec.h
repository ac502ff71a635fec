#pragma once

#include <json/value.h>

#include <optional>

#include "snipeturn/entry/event.h"

namespace snipeturn::loop {

/// @brief Encodes a crash report as a JSON object, for a datagram or a record of the store.
[[nodiscard]] Json::Value EncodeCrashReport(const entry::CrashReport& report);

/// @brief Decodes a crash report. Throws Json::Exception on values of the wrong type.
/// @return The report, or nothing when a row is malformed.
[[nodiscard]] std::optional<entry::CrashReport> DecodeCrashReport(const Json::Value& root);

}  // namespace snipeturn::loop
