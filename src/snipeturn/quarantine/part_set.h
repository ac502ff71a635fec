#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "snipeturn/quarantine/fwd.h"

namespace snipeturn::quarantine {

/// Sorted, distinct numbers: part ids, or the first bits of part ids.
using PartSet = std::vector<std::uint32_t>;

/// Bits of a part id.
inline constexpr int kPartBits = 32;

/// @brief Identifies a prompt part.
/// @param text Id of the part as the caller states it.
/// @return The same number on every host.
[[nodiscard]] PartId HashPart(std::string_view text) noexcept;

/// @brief Sorts numbers and removes repeated ones.
[[nodiscard]] PartSet MakePartSet(std::vector<std::uint32_t> numbers);

/// @brief Formats parts for a log line: the first few, and the number of the others.
[[nodiscard]] std::string FormatParts(const std::vector<PartId>& parts);

/// @brief Encodes a set with Rice codes of the gaps between its numbers, which take some two bits
///     more than the logarithm of the mean gap.
/// @param set The set; its numbers have at most `bits` bits.
/// @param bits Length of the numbers, from 1 to `kPartBits`.
[[nodiscard]] std::string EncodePartSet(const PartSet& set, int bits);

/// Numbers that were decoded, and their length.
struct DecodedPartSet {
  PartSet set;
  int bits{kPartBits};
};

/// @brief Decodes a set.
/// @return The set, or nothing when the bytes are malformed.
[[nodiscard]] std::optional<DecodedPartSet> DecodePartSet(std::string_view bytes);

}  // namespace snipeturn::quarantine
