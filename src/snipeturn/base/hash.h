#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "snipeturn/base/fwd.h"

namespace snipeturn {

/// @brief Hashes text with XXH3. The result is the same on every host and in every release.
/// @param text The bytes to hash.
/// @param seed Different seeds give independent hashes of the same text.
/// @return The 64-bit hash.
[[nodiscard]] std::uint64_t Hash(std::string_view text, std::uint64_t seed = 0) noexcept;

/// @brief Orders candidates by rendezvous hashing of a key.
/// @param key The key to place.
/// @param candidates Nodes on which the key may be placed.
/// @return The candidates by falling weight; independent of the input order.
[[nodiscard]] std::vector<std::string> RendezvousOrder(std::string_view key,
                                                       std::vector<std::string> candidates);

/// @brief Rendezvous weight of a candidate for a key; the highest weight ranks first.
/// @param key The key to place.
/// @param candidate A node on which the key may be placed.
/// @return The weight.
[[nodiscard]] std::uint64_t RendezvousWeight(std::string_view key,
                                             std::string_view candidate) noexcept;

/// @brief Rendezvous weight of a candidate, scaled to the range from 0 to 1.
[[nodiscard]] double UnitRendezvousWeight(std::string_view key,
                                          std::string_view candidate) noexcept;

}  // namespace snipeturn
