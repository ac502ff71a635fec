#pragma once

#include <cstdint>

namespace snipeturn::standin {

/// @brief Draws a random incarnation number for a simulated process.
/// @return A number from 1 to 2^53 - 1, which every JSON parser represents exactly.
[[nodiscard]] std::uint64_t DrawIncarnation();

}  // namespace snipeturn::standin
