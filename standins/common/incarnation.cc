#include "standins/common/incarnation.h"

#include <random>

namespace snipeturn::standin {

std::uint64_t DrawIncarnation() {
  constexpr std::uint64_t kMask = (std::uint64_t{1} << 53U) - 1;
  // std, because boost::random::random_device needs a compiled library besides the headers.
  std::random_device device;
  return ((std::uint64_t{device()} << 32U | device()) & kMask) | 1U;
}

}  // namespace snipeturn::standin
