#pragma once

#include <cstdint>
#include <tuple>

namespace snipeturn::entry {

/// Number of times that the store has come back from an older copy; 0 for a store that states none.
using StoreEra = std::uint64_t;

/// Position in the log of a topic. A store that comes back from an older copy gives offsets out
/// again, so an offset alone says neither which record is meant nor which of two is newer.
struct StorePosition {
  constexpr StorePosition() noexcept = default;

  /// Both parts are required, so that no offset is taken for a position.
  constexpr StorePosition(StoreEra store_era, std::uint64_t log_offset) noexcept
      : era(store_era), offset(log_offset) {}

  StoreEra era{0};
  std::uint64_t offset{0};
};

[[nodiscard]] constexpr bool operator==(const StorePosition& left,
                                        const StorePosition& right) noexcept {
  return left.era == right.era && left.offset == right.offset;
}

[[nodiscard]] constexpr bool operator!=(const StorePosition& left,
                                        const StorePosition& right) noexcept {
  return !(left == right);
}

/// Orders positions by their era, since all of a later era were given out after those of an earlier
/// one.
[[nodiscard]] constexpr bool operator<(const StorePosition& left,
                                       const StorePosition& right) noexcept {
  return std::tie(left.era, left.offset) < std::tie(right.era, right.offset);
}

[[nodiscard]] constexpr bool operator>(const StorePosition& left,
                                       const StorePosition& right) noexcept {
  return right < left;
}

}  // namespace snipeturn::entry
