#include "snipeturn/quarantine/crash_log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace snipeturn::quarantine {
namespace internal {
namespace {

bool HasPart(const CrashEntry& entry, PartId part) {
  return std::find(entry.parts.begin(), entry.parts.end(), part) != entry.parts.end();
}

void RemoveUnusedAnswers(CrashLog& log) {
  std::set<PartId> used;
  for (const auto& [id, entry] : log.entries) {
    used.insert(entry.parts.begin(), entry.parts.end());
  }
  for (auto answer = log.answers.begin(); answer != log.answers.end();) {
    answer = used.count(answer->first) > 0 ? std::next(answer) : log.answers.erase(answer);
  }
}

}  // namespace
}  // namespace internal

bool AddEntry(CrashLog& log, EntryId id, CrashEntry entry) {
  const auto known = log.entries.find(id);
  if (known != log.entries.end()) {
    const bool is_higher = entry.answers_per_second > known->second.answers_per_second;
    if (is_higher) {
      known->second.answers_per_second = entry.answers_per_second;
    }
    return is_higher;
  }
  if (log.entries.size() >= kMaxEntries) {
    auto oldest = log.entries.end();
    for (auto candidate = log.entries.begin(); candidate != log.entries.end(); ++candidate) {
      const bool is_kept = log.kept.count(candidate->first) > 0;
      if (!is_kept && (oldest == log.entries.end() || candidate->second.at < oldest->second.at)) {
        oldest = candidate;
      }
    }
    if (oldest == log.entries.end() || oldest->second.at >= entry.at) {
      return false;
    }
    log.entries.erase(oldest);
    internal::RemoveUnusedAnswers(log);
  }
  log.entries.emplace(id, std::move(entry));
  return true;
}

bool RecordAnswer(CrashLog& log, const std::vector<PartId>& parts, TimePoint at, bool is_shared) {
  bool has_cleared = false;
  for (const PartId part : parts) {
    const bool clears = std::any_of(log.entries.begin(), log.entries.end(), [&](const auto& item) {
      return internal::HasPart(item.second, part) && item.second.at < at &&
             CountsAgainst(log, item.second, part);
    });
    has_cleared = has_cleared || clears;
    // An answer that clears nothing more isn't recorded, so that entries of popular parts age.
    if (clears) {
      log.answers[part].at = at;
    }
    const auto answer = log.answers.find(part);
    if (is_shared && answer != log.answers.end()) {
      answer->second.shared_at = std::max(answer->second.shared_at, at);
    }
  }
  return has_cleared;
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
      if (internal::HasPart(entry, part) && entry.at >= answer.shared_at) {
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
  for (const auto& [id, entry] : log.entries) {
    digest += id;
  }
  return digest;
}

}  // namespace snipeturn::quarantine
