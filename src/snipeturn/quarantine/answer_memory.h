#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "snipeturn/base/time.h"
#include "snipeturn/quarantine/fwd.h"

namespace snipeturn::quarantine {

/// Parts of the prompts that got an answer lately, in a table of a fixed size. When many parts meet
/// in one place, the one whose answer is oldest makes room.
struct AnswerMemory {
  struct Slot {
    PartId part{0};
    /// Time of the answer in units of `kAnswerTimeUnit`; 0 in an empty slot.
    std::uint32_t at{0};
  };
  static constexpr std::size_t kSlotsPerPlace = 4;
  using Place = std::array<Slot, kSlotsPerPlace>;
  /// Empty until `StartRecording`; a power of two.
  std::vector<Place> places;
};

/// Times are rounded down to this unit, which keeps 2 years in 32 bits.
inline constexpr std::chrono::microseconds kAnswerTimeUnit{16384};

/// @brief Allocates the table, unless it exists.
/// @param max_bytes Bound of its memory.
void StartRecording(AnswerMemory& memory, std::size_t max_bytes);

/// @brief Frees the table.
void StopRecording(AnswerMemory& memory);

/// @brief Records that an upstream began to answer a prompt. Does nothing before `StartRecording`.
void RememberAnswer(AnswerMemory& memory, const std::vector<PartId>& parts, TimePoint at);

/// @brief Parts whose last answer is later than a time.
/// @param oldest Set to the time of the oldest of these answers.
[[nodiscard]] std::vector<PartId> AnsweredSince(const AnswerMemory& memory,
                                                TimePoint time,
                                                TimePoint& oldest);

/// @return Time of the last answer to a prompt with a part, as far as it is remembered; at most
///     `kAnswerTimeUnit` too early.
[[nodiscard]] std::optional<TimePoint> LastAnswer(const AnswerMemory& memory, PartId part) noexcept;

}  // namespace snipeturn::quarantine
