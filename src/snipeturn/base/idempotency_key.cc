#include "snipeturn/base/idempotency_key.h"

#include <charconv>
#include <string>

namespace snipeturn {
namespace internal {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionPosition = 14;
constexpr std::size_t kVariantPosition = 19;
constexpr int kHexBase = 16;

bool IsHyphenPosition(std::size_t position) noexcept {
  return position == 8 || position == 13 || position == 18 || position == 23;
}

bool IsUuid(std::string_view text) noexcept {
  if (text.size() != kUuidLength) {
    return false;
  }
  for (std::size_t position = 0; position < text.size(); ++position) {
    const bool is_hex =
        std::string_view("0123456789abcdefABCDEF").find(text[position]) != std::string_view::npos;
    if (IsHyphenPosition(position) ? text[position] != '-' : !is_hex) {
      return false;
    }
  }
  return true;
}

}  // namespace internal

std::optional<WallTime> IssueTime(std::string_view key) noexcept {
  if (!internal::IsUuid(key) || key[internal::kVersionPosition] != '7' ||
      std::string_view("89abAB").find(key[internal::kVariantPosition]) == std::string_view::npos) {
    return std::nullopt;
  }
  // The first 48 bits are the Unix time in milliseconds; a hyphen follows the first 32 of them.
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  std::from_chars(key.data(), key.data() + 8, high, internal::kHexBase);
  std::from_chars(key.data() + 9, key.data() + 13, low, internal::kHexBase);
  constexpr int kLowBits = 16;
  const auto milliseconds = static_cast<std::int64_t>((high << kLowBits) | low);
  return WallTime{std::chrono::milliseconds{milliseconds}};
}

}  // namespace snipeturn
