#pragma once

#include <chrono>
#include <string>

#include "snipeturn/entry/fwd.h"

namespace snipeturn::loop::internal {

/// Timeout of a connect to an upstream: a few round trips between availability zones.
inline constexpr std::chrono::milliseconds kConnectTimeout{250};

/// @brief Name of the pool of connections to an upstream, which requests and calls share.
[[nodiscard]] inline std::string PoolName(const entry::UpstreamId& upstream) {
  return "upstream/" + upstream;
}

}  // namespace snipeturn::loop::internal
