#pragma once

#include "snipeturn/base/time.h"

namespace snipeturn {

/// @brief Reads the monotonic clock that the reducer uses. It includes the time that the machine
/// was suspended (CLOCK_BOOTTIME), so that a resumed host detects that its leases have expired.
/// @return The time since boot.
[[nodiscard]] TimePoint ReadMonotonic() noexcept;

/// @brief Reads the monotonic clock and the wall clock.
[[nodiscard]] Now ReadNow() noexcept;

}  // namespace snipeturn
