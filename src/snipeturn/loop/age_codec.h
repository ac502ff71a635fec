#pragma once

#include <json/value.h>

#include <chrono>
#include <optional>

namespace snipeturn::loop {

/// @brief Decodes the age of a statement. Throws Json::Exception on values of the wrong type.
/// @param value Milliseconds.
/// @return The age, or nothing when it is negative or above 1e12 ms: the statement would lie in the
///     future, with an overflow in the latter case, and nothing could replace it.
[[nodiscard]] std::optional<std::chrono::milliseconds> DecodeAge(const Json::Value& value);

}  // namespace snipeturn::loop
