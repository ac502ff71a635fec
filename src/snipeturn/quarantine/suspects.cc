#include "snipeturn/quarantine/suspects.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace snipeturn::quarantine {
namespace internal {
namespace {

/// Fewest crashes that lead to a suspicion.
constexpr int kMinCrashes = 3;
/// Crashes closer together count as one: a rack or a zone takes many upstreams down at once.
constexpr std::chrono::milliseconds kMinCrashInterval{250};
/// Largest probability that all attempts of a sound part are lost by chance.
constexpr double kMaxChance = 1e-3;
/// Crashes that a part of a narrower suspicion needs beyond it to be suspected alone.
constexpr int kMinUnexplainedCrashes = 2;
/// Time from the last crash to the first trial. It is longer by this factor for each trial that
/// failed, so that a part that stays harmful costs a few upstreams a day.
constexpr std::chrono::minutes kFirstTrialDelay{10};
constexpr int kTrialDelayFactor = 4;
constexpr std::chrono::hours kMaxTrialDelay{24};
/// Crashes at least this far apart belong to different rounds of trials.
constexpr std::chrono::minutes kMinRoundInterval{5};
/// Most entries that are kept for one suspicion, and most suspicions.
constexpr std::size_t kMaxKeptEntries = 8;
constexpr std::size_t kMaxSuspects = 4;

using EntryPointer = const std::pair<const EntryId, CrashEntry>*;
using EntryPointers = std::vector<EntryPointer>;

/// First entry of each crash, in order of time, at least `interval` apart.
std::vector<TimePoint> SeparateTimes(const EntryPointers& entries,
                                     std::chrono::microseconds interval) {
  std::set<CrashId> crashes;
  std::vector<TimePoint> times;
  for (const EntryPointer entry : entries) {
    const bool is_new = crashes.insert(entry->second.crash).second;
    if (is_new && (times.empty() || entry->second.at - times.back() >= interval)) {
      times.push_back(entry->second.at);
    }
  }
  return times;
}

int CountCrashes(const EntryPointers& entries) {
  return static_cast<int>(SeparateTimes(entries, kMinCrashInterval).size());
}

/// Probability that a sound part lost as many attempts in a row as this one did.
double ChanceOfLosses(const EntryPointers& against,
                      const EntryPointers& all,
                      const std::set<CrashId>& explained,
                      int crashes) {
  const TimePoint first = against.front()->second.at;
  const TimePoint last = against.back()->second.at;
  std::set<CrashId> own;
  for (const EntryPointer entry : against) {
    own.insert(entry->second.crash);
  }
  double others = 0;
  double rate = 0;
  for (const EntryPointer entry : all) {
    if (entry->second.at < first || entry->second.at > last + kMinCrashInterval) {
      continue;
    }
    rate = std::max(rate, entry->second.answers_per_second);
    const CrashId crash = entry->second.crash;
    others += own.count(crash) == 0 && explained.count(crash) == 0 ? 1 : 0;
  }
  const std::chrono::duration<double> span = last - first;
  const double answers = rate * std::max(1.0, span.count());
  const double loss_rate = (others + 1) / (answers + others + 2);
  return std::pow(loss_rate, crashes);
}

std::vector<PartId> SortedParts(const CrashEntry& entry) {
  std::vector<PartId> parts = entry.parts;
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  return parts;
}

std::chrono::microseconds TrialDelay(const EntryPointers& entries) {
  std::chrono::microseconds delay = kFirstTrialDelay;
  const std::size_t rounds = SeparateTimes(entries, kMinRoundInterval).size();
  for (std::size_t round = 1; round < rounds && delay < kMaxTrialDelay; ++round) {
    delay *= kTrialDelayFactor;
  }
  return std::min<std::chrono::microseconds>(delay, kMaxTrialDelay);
}

/// A part with the entries that count against it, and the parts that share all of them.
struct Candidate {
  PartId part{0};
  EntryPointers entries;
  std::vector<PartId> companions;
  int crashes{0};
};

Candidate MakeCandidate(PartId part,
                        EntryPointers entries,
                        const std::map<PartId, EntryPointers>& entries_by_part) {
  Candidate candidate;
  candidate.part = part;
  candidate.companions = SortedParts(entries.front()->second);
  for (const EntryPointer entry : entries) {
    const std::vector<PartId> parts = SortedParts(entry->second);
    std::vector<PartId> common;
    std::set_intersection(candidate.companions.begin(), candidate.companions.end(), parts.begin(),
                          parts.end(), std::back_inserter(common));
    candidate.companions = std::move(common);
  }
  // A part that got an answer since the first of the crashes is sound.
  const auto is_cleared = [&](PartId companion) {
    const EntryPointers& against = entries_by_part.at(companion);
    return std::find(against.begin(), against.end(), entries.front()) == against.end();
  };
  candidate.companions.erase(
      std::remove_if(candidate.companions.begin(), candidate.companions.end(), is_cleared),
      candidate.companions.end());
  candidate.crashes = CountCrashes(entries);
  candidate.entries = std::move(entries);
  return candidate;
}

Suspect MakeSuspect(const Candidate& candidate) {
  Suspect suspect;
  suspect.parts = candidate.companions;
  suspect.crashes = candidate.crashes;
  suspect.last_crash_at = candidate.entries.back()->second.at;
  suspect.trial_at = suspect.last_crash_at + TrialDelay(candidate.entries);
  const std::size_t skipped =
      candidate.entries.size() - std::min(candidate.entries.size(), kMaxKeptEntries);
  for (std::size_t index = skipped; index < candidate.entries.size(); ++index) {
    suspect.entries.push_back(candidate.entries[index]->first);
  }
  return suspect;
}

EntryPointers EntriesByTime(const CrashLog& log, TimePoint now) {
  EntryPointers entries;
  for (const auto& entry : log.entries) {
    if (now - entry.second.at >= kHoldTime) {
      entries.push_back(&entry);
    }
  }
  std::sort(entries.begin(), entries.end(), [](EntryPointer left, EntryPointer right) {
    return std::tie(left->second.at, left->first) < std::tie(right->second.at, right->first);
  });
  return entries;
}

EntryPointers Unexplained(const EntryPointers& entries, const std::set<CrashId>& explained) {
  EntryPointers left;
  std::copy_if(entries.begin(), entries.end(), std::back_inserter(left),
               [&](EntryPointer entry) { return explained.count(entry->second.crash) == 0; });
  return left;
}

}  // namespace
}  // namespace internal

std::vector<Suspect> FindSuspects(const CrashLog& log, TimePoint now) {
  using namespace internal;
  const EntryPointers all = EntriesByTime(log, now);
  std::map<PartId, EntryPointers> entries_by_part;
  for (const EntryPointer entry : all) {
    for (const PartId part : SortedParts(entry->second)) {
      EntryPointers& against = entries_by_part[part];
      if (CountsAgainst(log, entry->second, part)) {
        against.push_back(entry);
      }
    }
  }
  std::vector<Candidate> candidates;
  for (const auto& [part, entries] : entries_by_part) {
    if (CountCrashes(entries) >= kMinCrashes) {
      candidates.push_back(MakeCandidate(part, entries, entries_by_part));
    }
  }
  // The narrowest explanation first: it costs sound requests least if it is wrong.
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& left, const Candidate& right) {
              return std::make_tuple(right.companions.size(), right.crashes, left.part) <
                     std::make_tuple(left.companions.size(), left.crashes, right.part);
            });
  std::vector<Suspect> suspects;
  std::set<CrashId> explained;
  for (const Candidate& candidate : candidates) {
    const EntryPointers unexplained = Unexplained(candidate.entries, explained);
    const auto narrower = std::find_if(suspects.begin(), suspects.end(), [&](const auto& suspect) {
      return std::binary_search(suspect.parts.begin(), suspect.parts.end(), candidate.part);
    });
    const int crashes = CountCrashes(unexplained);
    if (crashes < (narrower == suspects.end() ? kMinCrashes : kMinUnexplainedCrashes)) {
      continue;
    }
    const bool is_narrower = narrower != suspects.end();
    if (ChanceOfLosses(is_narrower ? candidate.entries : unexplained, all, explained,
                       is_narrower ? candidate.crashes : crashes) > kMaxChance) {
      continue;
    }
    for (const EntryPointer entry : candidate.entries) {
      explained.insert(entry->second.crash);
    }
    if (is_narrower) {
      *narrower = MakeSuspect(candidate);
    } else if (suspects.size() < kMaxSuspects) {
      suspects.push_back(MakeSuspect(candidate));
    }
  }
  return suspects;
}

bool Matches(const Suspect& suspect, const std::vector<PartId>& parts) {
  return !suspect.parts.empty() &&
         std::all_of(suspect.parts.begin(), suspect.parts.end(), [&parts](PartId part) {
           return std::find(parts.begin(), parts.end(), part) != parts.end();
         });
}

}  // namespace snipeturn::quarantine
