#include "snipeturn/quarantine/crash_log.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "snipeturn/quarantine/part_set.h"

namespace snipeturn::quarantine {
namespace internal {
namespace {

void RemoveUnusedAnswers(CrashLog& log) {
  if (log.answers.empty()) {
    return;
  }
  std::vector<PartId> used;
  for (const auto& [id, entry] : log.entries) {
    used.insert(used.end(), entry.parts.begin(), entry.parts.end());
  }
  std::sort(used.begin(), used.end());
  for (auto answer = log.answers.begin(); answer != log.answers.end();) {
    const bool is_used = std::binary_search(used.begin(), used.end(), answer->first);
    answer = is_used ? std::next(answer) : log.answers.erase(answer);
  }
}

/// How much an entry tells; the lowest makes room first.
enum class Usefulness : std::uint8_t { kNoParts, kAllAnswered, kSuspicious };

Usefulness UsefulnessOf(const CrashLog& log, const CrashEntry& entry) {
  if (entry.parts.empty()) {
    return Usefulness::kNoParts;
  }
  const bool counts = std::any_of(entry.parts.begin(), entry.parts.end(),
                                  [&](PartId part) { return CountsAgainst(log, entry, part); });
  return counts ? Usefulness::kSuspicious : Usefulness::kAllAnswered;
}

/// Removes the least useful entry to make room for a more useful or newer one.
/// @return False if there is none.
bool MakeRoom(CrashLog& log, const CrashEntry& added) {
  auto victim = log.entries.end();
  std::pair<Usefulness, TimePoint> least{UsefulnessOf(log, added), added.at};
  for (auto candidate = log.entries.begin(); candidate != log.entries.end(); ++candidate) {
    const std::pair rank{UsefulnessOf(log, candidate->second), candidate->second.at};
    if (rank < least && log.kept.count(candidate->first) == 0) {
      victim = candidate;
      least = rank;
    }
  }
  ++log.dropped;
  if (victim == log.entries.end()) {
    return false;
  }
  log.entries.erase(victim);
  RemoveUnusedAnswers(log);
  return true;
}

/// Adds what is new in a report of an attempt that the log has.
bool MergeEntry(CrashEntry& known, const CrashEntry& entry) {
  bool has_changed = false;
  if (entry.answers_per_second > known.answers_per_second) {
    known.answers_per_second = entry.answers_per_second;
    has_changed = true;
  }
  if (entry.hidden_parts < known.hidden_parts) {
    known.hidden_parts = entry.hidden_parts;
    has_changed = true;
  }
  std::vector<PartId> parts;
  std::set_union(known.parts.begin(), known.parts.end(), entry.parts.begin(), entry.parts.end(),
                 std::back_inserter(parts));
  if (parts.size() > known.parts.size()) {
    known.parts = std::move(parts);
    known.known_at = std::max(known.known_at, entry.known_at);
    has_changed = true;
  }
  return has_changed;
}

}  // namespace
}  // namespace internal

bool HasPart(const CrashEntry& entry, PartId part) noexcept {
  return std::binary_search(entry.parts.begin(), entry.parts.end(), part);
}

bool AddEntry(CrashLog& log, EntryId id, CrashEntry entry) {
  entry.parts = MakePartSet(std::move(entry.parts));
  const auto known = log.entries.find(id);
  if (known != log.entries.end()) {
    return internal::MergeEntry(known->second, entry);
  }
  if (log.entries.size() >= log.max_entries && !internal::MakeRoom(log, entry)) {
    return false;
  }
  log.entries.emplace(id, std::move(entry));
  return true;
}

bool RecordAnswer(CrashLog& log, const std::vector<PartId>& parts, TimePoint at, bool is_shared) {
  if (log.entries.empty()) {
    return false;
  }
  const PartSet answered = MakePartSet(parts);
  PartSet known;
  PartSet cleared;
  for (const auto& item : log.entries) {
    const CrashEntry& entry = item.second;
    PartSet common;
    std::set_intersection(entry.parts.begin(), entry.parts.end(), answered.begin(), answered.end(),
                          std::back_inserter(common));
    known.insert(known.end(), common.begin(), common.end());
    if (entry.at < at) {
      std::copy_if(common.begin(), common.end(), std::back_inserter(cleared),
                   [&](PartId part) { return CountsAgainst(log, entry, part); });
    }
  }
  // An answer that clears nothing more isn't recorded, so that entries of popular parts age.
  for (const PartId part : cleared) {
    log.answers[part].at = at;
  }
  for (const PartId part : known) {
    const auto answer = log.answers.find(part);
    if (is_shared && answer != log.answers.end()) {
      answer->second.shared_at = std::max(answer->second.shared_at, at);
    }
  }
  return !cleared.empty();
}

bool CountsAgainst(const CrashLog& log, const CrashEntry& entry, PartId part) {
  const auto answer = log.answers.find(part);
  return answer == log.answers.end() || answer->second.at <= entry.at;
}

std::vector<PartId> UnsharedAnswers(const CrashLog& log) {
  constexpr int kMinEntries = 2;
  std::vector<PartId> unshared;
  for (const auto& [part, answer] : log.answers) {
    int entries = 0;
    bool clears = false;
    for (const auto& [id, entry] : log.entries) {
      if (HasPart(entry, part) && entry.at >= answer.shared_at) {
        ++entries;
        clears = clears || entry.at < answer.at;
      }
    }
    if (entries >= kMinEntries && clears) {
      unshared.push_back(part);
    }
  }
  return unshared;
}

void RemoveOldEntries(CrashLog& log, TimePoint before) {
  const auto is_needed = [&log, before](EntryId id, const CrashEntry& entry) {
    return entry.at >= before || log.kept.count(id) > 0 ||
           std::any_of(entry.parts.begin(), entry.parts.end(), [&](PartId part) {
             const auto answer = log.answers.find(part);
             return answer != log.answers.end() && answer->second.at >= before;
           });
  };
  for (auto entry = log.entries.begin(); entry != log.entries.end();) {
    entry = is_needed(entry->first, entry->second) ? std::next(entry) : log.entries.erase(entry);
  }
  internal::RemoveUnusedAnswers(log);
}

std::uint64_t Digest(const CrashLog& log) noexcept {
  // Entry ids are hashes, so their sum doesn't depend on their order and rarely collides.
  std::uint64_t digest = 0;
  constexpr std::uint64_t kHiddenWeight = 0x9E3779B97F4A7C15;
  for (const auto& [id, entry] : log.entries) {
    digest += id;
    if (entry.hidden_parts > 0) {
      digest +=
          (std::uint64_t{entry.hidden_parts} << kPartBits | entry.parts.size()) * kHiddenWeight;
    }
  }
  return digest;
}

}  // namespace snipeturn::quarantine
