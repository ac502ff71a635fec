#include "snipeturn/entry/plain_admission.h"

#include <algorithm>

namespace snipeturn::entry {
namespace internal {
namespace {

/// Share of the objective that a plain request may spend at its upstream; the rest covers the way
/// there and back, and requests that other hosts sent since their last table.
constexpr double kPlainResponseShare = 0.7;

}  // namespace
}  // namespace internal

double PlainOvercommit(std::chrono::milliseconds objective,
                       std::optional<std::chrono::microseconds> response,
                       double max_factor) noexcept {
  if (!response || response->count() <= 0) {
    return 1;
  }
  const std::chrono::duration<double> allowed = objective * internal::kPlainResponseShare;
  return std::clamp(allowed / std::chrono::duration<double>(*response), 1.0, max_factor);
}

}  // namespace snipeturn::entry
