#include "snipeturn/quarantine/suspects.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "snipeturn/quarantine/part_set.h"

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
/// Most entries that are kept for one suspicion: enough to find it again, and the newest, which
/// give the time of the next trial.
constexpr std::size_t kMaxKeptEntries = 8;

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

std::chrono::microseconds TrialDelay(const EntryPointers& entries) {
  std::chrono::microseconds delay = kFirstTrialDelay;
  const std::size_t rounds = SeparateTimes(entries, kMinRoundInterval).size();
  for (std::size_t round = 1; round < rounds && delay < kMaxTrialDelay; ++round) {
    delay *= kTrialDelayFactor;
  }
  return std::min<std::chrono::microseconds>(delay, kMaxTrialDelay);
}

/// Parts with the same entries against them, and all parts that share these entries.
struct Candidate {
  /// The least of the parts.
  PartId part{0};
  EntryPointers entries;
  std::vector<PartId> companions;
  int crashes{0};
};

Candidate MakeCandidate(const CrashLog& log, PartId part, EntryPointers entries) {
  Candidate candidate;
  candidate.part = part;
  candidate.companions = entries.front()->second.parts;
  for (const EntryPointer entry : entries) {
    std::vector<PartId> common;
    std::set_intersection(candidate.companions.begin(), candidate.companions.end(),
                          entry->second.parts.begin(), entry->second.parts.end(),
                          std::back_inserter(common));
    candidate.companions = std::move(common);
  }
  // A part that got an answer since the first of the crashes is sound.
  const auto is_cleared = [&](PartId companion) {
    return !CountsAgainst(log, entries.front()->second, companion);
  };
  candidate.companions.erase(
      std::remove_if(candidate.companions.begin(), candidate.companions.end(), is_cleared),
      candidate.companions.end());
  candidate.crashes = CountCrashes(entries);
  candidate.entries = std::move(entries);
  return candidate;
}

/// Groups the parts by the entries that count against them. Parts of one group have the same
/// companions and crashes, so that prompts with many parts cost little more than those with few.
std::vector<Candidate> MakeCandidates(const CrashLog& log, const EntryPointers& entries) {
  std::vector<std::pair<PartId, std::uint32_t>> against;
  for (std::size_t index = 0; index < entries.size(); ++index) {
    for (const PartId part : entries[index]->second.parts) {
      if (CountsAgainst(log, entries[index]->second, part)) {
        against.emplace_back(part, static_cast<std::uint32_t>(index));
      }
    }
  }
  std::sort(against.begin(), against.end());
  std::map<std::vector<std::uint32_t>, PartId> groups;
  for (auto begin = against.begin(); begin != against.end();) {
    const auto end = std::find_if(begin, against.end(), [part = begin->first](const auto& item) {
      return item.first != part;
    });
    if (end - begin >= kMinCrashes) {
      std::vector<std::uint32_t> group;
      std::transform(begin, end, std::back_inserter(group),
                     [](const auto& item) { return item.second; });
      groups.emplace(std::move(group), begin->first);
    }
    begin = end;
  }
  std::vector<Candidate> candidates;
  for (const auto& [group, part] : groups) {
    EntryPointers own;
    for (const std::uint32_t index : group) {
      own.push_back(entries[index]);
    }
    if (CountCrashes(own) >= kMinCrashes) {
      candidates.push_back(MakeCandidate(log, part, std::move(own)));
    }
  }
  return candidates;
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
    if (now - entry.second.at >= kHoldTime && now - entry.second.known_at >= kDisclosureHoldTime) {
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
  std::vector<Candidate> candidates = MakeCandidates(log, all);
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
    } else {
      suspects.push_back(MakeSuspect(candidate));
    }
  }
  return suspects;
}

bool Matches(const Suspect& suspect, const std::vector<PartId>& parts) {
  // Most suspects have one part; to sort the prompt's parts pays off for many.
  constexpr std::size_t kMaxLinear = 8;
  if (suspect.parts.empty() || suspect.parts.size() > parts.size()) {
    return false;
  }
  if (suspect.parts.size() <= kMaxLinear) {
    return std::all_of(suspect.parts.begin(), suspect.parts.end(), [&parts](PartId part) {
      return std::find(parts.begin(), parts.end(), part) != parts.end();
    });
  }
  const PartSet sorted = MakePartSet(parts);
  return std::includes(sorted.begin(), sorted.end(), suspect.parts.begin(), suspect.parts.end());
}

}  // namespace snipeturn::quarantine
