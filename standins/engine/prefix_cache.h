#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace snipeturn::standin {

/// Cache of prompt prefixes in blocks of equal size, with least-recently-used eviction.
class PrefixCache {
 public:
  /// @brief Creates an empty cache.
  /// @param capacity_tokens Capacity in tokens.
  explicit PrefixCache(std::uint64_t capacity_tokens) noexcept;

  /// @brief Looks a prompt up and inserts its blocks.
  /// @param prompt The prompt.
  /// @return Number of prompt tokens that are not cached.
  [[nodiscard]] std::uint64_t LookUpAndInsert(std::string_view prompt);

  /// Removes all blocks.
  void Clear() noexcept;

 private:
  std::uint64_t capacity_blocks_;
  std::list<std::uint64_t> lru_blocks_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
};

/// @brief Counts the tokens of a text as the simulated engine does.
/// @param text The text.
/// @return One token per four bytes, rounded down, at least one.
[[nodiscard]] std::uint64_t CountTokens(std::string_view text) noexcept;

}  // namespace snipeturn::standin
