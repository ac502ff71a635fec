#pragma once

#include <chrono>
#include <string_view>

#include "snipeturn/entry/state.h"

namespace snipeturn::entry {

/// Hosts that read the upstream list often; two, so that one may fail unnoticed.
inline constexpr int kListReaders = 2;

/// @brief Tells whether this host is among the readers of a subject, by rendezvous hashing over the
///     hosts that were heard of late. Hosts that disagree read twice, or for a moment not at all.
/// @param state The entry state.
/// @param subject What is read.
/// @param readers How many hosts read it.
/// @param now Current time.
/// @return True when it is.
[[nodiscard]] bool IsReader(const State& state,
                            std::string_view subject,
                            int readers,
                            TimePoint now);

/// @brief Least time between two reads of the upstream list.
///
/// Readers see a notice at once and tell the others; a host that nobody tells still reads it within
/// the time in which a leaving upstream must get no more work.
[[nodiscard]] std::chrono::milliseconds ListReadInterval(const State& state, TimePoint now);

}  // namespace snipeturn::entry
