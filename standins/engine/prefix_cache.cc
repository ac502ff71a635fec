#include "standins/engine/prefix_cache.h"

#include <algorithm>

#include "snipeturn/base/hash.h"

namespace snipeturn::standin {
namespace internal {

constexpr std::uint64_t kBytesPerToken = 4;
constexpr std::uint64_t kTokensPerBlock = 16;

}  // namespace internal

PrefixCache::PrefixCache(std::uint64_t capacity_tokens) noexcept
    : capacity_blocks_{capacity_tokens / internal::kTokensPerBlock} {}

std::uint64_t PrefixCache::LookUpAndInsert(std::string_view prompt) {
  constexpr std::size_t kBlock = internal::kBytesPerToken * internal::kTokensPerBlock;
  std::uint64_t cached = 0;
  std::uint64_t prefix_hash = 0;
  bool hit = true;
  for (std::size_t begin = 0; begin + kBlock <= prompt.size(); begin += kBlock) {
    prefix_hash = Hash(prompt.substr(begin, kBlock), prefix_hash);
    const auto found = blocks_.find(prefix_hash);
    hit = hit && found != blocks_.end();
    cached += hit ? internal::kTokensPerBlock : 0;
    if (found != blocks_.end()) {
      lru_blocks_.splice(lru_blocks_.begin(), lru_blocks_, found->second);
      continue;
    }
    lru_blocks_.push_front(prefix_hash);
    blocks_[prefix_hash] = lru_blocks_.begin();
    if (blocks_.size() > capacity_blocks_) {
      blocks_.erase(lru_blocks_.back());
      lru_blocks_.pop_back();
    }
  }
  return CountTokens(prompt) - std::min(cached, CountTokens(prompt));
}

void PrefixCache::Clear() noexcept {
  lru_blocks_.clear();
  blocks_.clear();
}

std::uint64_t CountTokens(std::string_view text) noexcept {
  return std::max<std::uint64_t>(1, text.size() / internal::kBytesPerToken);
}

}  // namespace snipeturn::standin
