#include "snipeturn/quarantine/lost_prompts.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace snipeturn::quarantine {
namespace internal {
namespace {

/// Bits beyond those that number the parts: one in 256 parts shares its number with one of another
/// crash, and one in 65,536 with those of two others, which is how many have to agree.
constexpr int kSpareBits = 8;
constexpr int kMinSketchBits = 12;

template <typename Predicate>
void RemoveIf(LostPrompts& lost, Predicate predicate) {
  const auto end = std::remove_if(lost.prompts.begin(), lost.prompts.end(), predicate);
  lost.prompts.erase(end, lost.prompts.end());
  lost.parts = 0;
  for (const LostPrompts::Prompt& prompt : lost.prompts) {
    lost.parts += prompt.parts.size();
  }
}

}  // namespace
}  // namespace internal

std::size_t AddLostPrompt(LostPrompts& lost, LostPrompts::Prompt prompt, std::size_t max_parts) {
  if (prompt.parts.size() > max_parts) {
    return 1;
  }
  std::size_t dropped = 0;
  std::size_t left = lost.parts;
  while (left + prompt.parts.size() > max_parts) {
    left -= lost.prompts[dropped].parts.size();
    ++dropped;
  }
  lost.prompts.erase(lost.prompts.begin(),
                     lost.prompts.begin() + static_cast<std::ptrdiff_t>(dropped));
  lost.parts = left + prompt.parts.size();
  lost.prompts.push_back(std::move(prompt));
  return dropped;
}

void RemoveLostPrompt(LostPrompts& lost, EntryId entry) {
  internal::RemoveIf(lost, [entry](const auto& prompt) { return prompt.entry == entry; });
}

void RemoveOldPrompts(LostPrompts& lost, TimePoint before) {
  if (!lost.prompts.empty() && lost.prompts.front().at < before) {
    internal::RemoveIf(lost, [before](const auto& prompt) { return prompt.at < before; });
  }
}

PartSet WithoutAnswered(const LostPrompts::Prompt& prompt, const AnswerMemory& answers) {
  PartSet parts;
  std::copy_if(prompt.parts.begin(), prompt.parts.end(), std::back_inserter(parts),
               [&](PartId part) {
                 const auto answered_at = LastAnswer(answers, part);
                 return !answered_at || *answered_at <= prompt.at;
               });
  return parts;
}

std::vector<Sketch> MakeSketches(const LostPrompts& lost,
                                 CrashId crash,
                                 const AnswerMemory& answers,
                                 int bits,
                                 std::size_t max_parts) {
  std::vector<std::uint32_t> buckets;
  std::uint32_t prompts = 0;
  for (const LostPrompts::Prompt& prompt : lost.prompts) {
    if (prompt.crash == crash) {
      ++prompts;
      for (const PartId part : WithoutAnswered(prompt, answers)) {
        buckets.push_back(BucketOf(part, bits));
      }
    }
  }
  const PartSet set = MakePartSet(std::move(buckets));
  std::vector<Sketch> sketches;
  for (std::size_t begin = 0; prompts > 0 && (begin == 0 || begin < set.size());
       begin += max_parts) {
    const std::size_t end = std::min(set.size(), begin + max_parts);
    const PartSet chunk(set.begin() + static_cast<std::ptrdiff_t>(begin),
                        set.begin() + static_cast<std::ptrdiff_t>(end));
    // Only the first one counts the prompts.
    sketches.push_back({crash, begin == 0 ? prompts : 0, EncodePartSet(chunk, bits)});
  }
  return sketches;
}

int SketchBits(std::size_t parts) noexcept {
  int bits = internal::kSpareBits;
  while (parts > 0) {
    parts /= 2;
    ++bits;
  }
  return std::clamp(bits, internal::kMinSketchBits, kPartBits);
}

PartSet CommonNumbers(const std::vector<PartSet>& sets, std::size_t min_sets) {
  std::vector<std::uint32_t> all;
  for (const PartSet& set : sets) {
    all.insert(all.end(), set.begin(), set.end());
  }
  std::sort(all.begin(), all.end());
  PartSet common;
  for (auto begin = all.begin(); begin != all.end();) {
    const auto end = std::upper_bound(begin, all.end(), *begin);
    if (static_cast<std::size_t>(end - begin) >= min_sets) {
      common.push_back(*begin);
    }
    begin = end;
  }
  return common;
}

}  // namespace snipeturn::quarantine
