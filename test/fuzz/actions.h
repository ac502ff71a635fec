#pragma once

#include <vector>

#include "fuzz/driver.h"
#include "fuzz/harness.h"

namespace snipeturn {

using Action = FuzzAction<Harness>;

/// @brief All actions that the fuzz test draws from.
[[nodiscard]] const std::vector<Action>& Actions();

}  // namespace snipeturn
