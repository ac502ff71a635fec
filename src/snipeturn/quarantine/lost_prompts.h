#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "snipeturn/base/time.h"
#include "snipeturn/quarantine/answer_memory.h"
#include "snipeturn/quarantine/fwd.h"
#include "snipeturn/quarantine/part_set.h"

namespace snipeturn::quarantine {

/// Attempts of this host that were lost, with all parts of their prompts. Other hosts are told only
/// those parts that crashes have in common, so that long prompts cost them little.
struct LostPrompts {
  struct Prompt {
    EntryId entry{0};
    CrashId crash{0};
    TimePoint at{};
    PartSet parts;
  };
  std::vector<Prompt> prompts;
  /// Sum over the prompts.
  std::size_t parts{0};
};

/// @brief Adds a prompt.
/// @param max_parts Bound of the parts of all prompts. The oldest prompts make room, as later ones
///     are compared with later crashes.
/// @return Number of prompts that were dropped; the new one is among them if it is larger than the
///     bound.
[[nodiscard]] std::size_t AddLostPrompt(LostPrompts& lost,
                                        LostPrompts::Prompt prompt,
                                        std::size_t max_parts);

/// @brief Removes a prompt whose upstream proved alive.
void RemoveLostPrompt(LostPrompts& lost, EntryId entry);

/// @brief Removes prompts that were lost before a time.
void RemoveOldPrompts(LostPrompts& lost, TimePoint before);

/// @brief Removes parts that are known to be sound: an answer to a prompt with them began after the
///     loss.
[[nodiscard]] PartSet WithoutAnswered(const LostPrompts::Prompt& prompt,
                                      const AnswerMemory& answers);

/// Compact summary of the parts that a host lost in one crash.
struct Sketch {
  CrashId crash{0};
  /// Lost prompts that it covers.
  std::uint32_t prompts{0};
  /// First bits of the parts; see `EncodePartSet`.
  std::string buckets;
};

/// @brief Summarizes the prompts that were lost in a crash, without answered parts.
/// @param max_parts Most parts of one summary, which must fit a message; more give several.
/// @return The summaries; empty if no prompt was lost.
[[nodiscard]] std::vector<Sketch> MakeSketches(const LostPrompts& lost,
                                               CrashId crash,
                                               const AnswerMemory& answers,
                                               int bits,
                                               std::size_t max_parts);

/// @brief First bits of a part.
[[nodiscard]] constexpr std::uint32_t BucketOf(PartId part, int bits) noexcept {
  return part >> (kPartBits - bits);
}

/// @brief Length of the summaries' numbers: few parts of different prompts have the same.
/// @param parts Parts that were lost in one crash.
[[nodiscard]] int SketchBits(std::size_t parts) noexcept;

/// @brief Numbers that several sets have in common.
/// @param sets One set for each crash.
/// @param min_sets Fewest sets that have the number.
[[nodiscard]] PartSet CommonNumbers(const std::vector<PartSet>& sets, std::size_t min_sets);

}  // namespace snipeturn::quarantine
