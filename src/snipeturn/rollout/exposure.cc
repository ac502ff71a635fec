#include "snipeturn/rollout/exposure.h"

namespace snipeturn::rollout {
namespace {

/// Part of the share that is used. The rest covers requests that a host counts but that others
/// don't, such as those refused or repeated by their callers.
constexpr double kUsedShare = 0.8;

}  // namespace

bool MayUseTarget(const Exposure& exposure, double share) noexcept {
  return static_cast<double>(exposure.target_sends) + 1 <=
         kUsedShare * share * static_cast<double>(exposure.sends);
}

}  // namespace snipeturn::rollout
