#include "snipeturn/base/hash.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace snipeturn {

std::uint64_t Hash(std::string_view text, std::uint64_t seed) noexcept {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t RendezvousWeight(std::string_view key, std::string_view candidate) noexcept {
  return Hash(candidate, Hash(key));
}

std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::vector<std::string> candidates) {
  std::vector<std::pair<std::uint64_t, std::string>> weighted;
  weighted.reserve(candidates.size());
  for (auto& candidate : candidates) {
    const std::uint64_t weight = RendezvousWeight(key, candidate);
    weighted.emplace_back(weight, std::move(candidate));
  }
  std::sort(weighted.rbegin(), weighted.rend());
  std::vector<std::string> ordered;
  ordered.reserve(weighted.size());
  for (auto& entry : weighted) {
    ordered.push_back(std::move(entry.second));
  }
  return ordered;
}

double UnitRendezvousWeight(std::string_view key, std::string_view candidate) noexcept {
  constexpr double kHashRange = 18446744073709551616.0;  // 2^64
  return static_cast<double>(RendezvousWeight(key, candidate)) / kHashRange;
}

}  // namespace snipeturn
