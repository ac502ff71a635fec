#include "snipeturn/loop/age_codec.h"

#include <cstdint>

namespace snipeturn::loop {
namespace internal {
namespace {

/// Thirty years; a time point in microseconds holds ten thousand times as much.
constexpr std::int64_t kMaxAgeMs = 1'000'000'000'000;

}  // namespace
}  // namespace internal

std::optional<std::chrono::milliseconds> DecodeAge(const Json::Value& value) {
  const std::int64_t age = value.asInt64();
  return age >= 0 && age <= internal::kMaxAgeMs ? std::optional(std::chrono::milliseconds(age))
                                                : std::nullopt;
}

}  // namespace snipeturn::loop
