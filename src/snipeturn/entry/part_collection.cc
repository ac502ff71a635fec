#include "snipeturn/entry/part_collection.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "snipeturn/base/hash.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/crash_reports.h"

namespace snipeturn::entry::internal {
namespace {

using quarantine::CrashId;
using quarantine::EntryId;
using quarantine::PartId;
using quarantine::PartSet;

/// Least memory of the evidence, which holds some 60,000 parts.
constexpr std::uint64_t kMinEvidenceBytes{512 * 1024};
/// Shares of the evidence's memory: the log, remembered answers, summaries; the rest holds lost
/// prompts.
constexpr std::uint64_t kLogDivisor{8};
constexpr std::uint64_t kAnswerDivisor{4};
constexpr std::uint64_t kSketchDivisor{8};
constexpr std::uint64_t kPromptDivisor{2};
/// Memory of an entry with a few parts.
constexpr std::uint64_t kEntryBytes{256};
/// Prompts with at most so many parts, and so many of them in a crash, are told to all hosts as
/// they are, which is quicker than a collection.
constexpr std::size_t kMaxInlineParts{32};
constexpr std::size_t kMaxInlinePrompts{8};
/// Crashes that a part must have in common to be suspected.
constexpr std::size_t kMinCommonCrashes{3};
/// Time for another host to take over when the one that collected before is silent.
constexpr std::chrono::milliseconds kTakeoverDelay{150};
/// Range of the delay that lets one host request summaries for all.
constexpr std::chrono::milliseconds kRequestSpread{100};
/// Time for the summaries to arrive.
constexpr std::chrono::milliseconds kReplyTime{50};
/// Range of the delay that lets one host report the answers to prompts with many common parts.
constexpr std::chrono::milliseconds kAnswerSpread{100};
/// Range of the delay that lets hosts refer to the same parts of another host.
constexpr std::chrono::milliseconds kDisclosureSpread{100};
/// Missing summaries are requested again after this time, so many times.
constexpr std::chrono::milliseconds kRepeatInterval{250};
constexpr int kMaxRepeats{3};
/// Numbers of one summary: 15 KB of a datagram at most.
constexpr std::size_t kMaxSketchParts{3000};

std::uint64_t EvidenceBytes(const Options& options) noexcept {
  return std::max(kMinEvidenceBytes, options.max_crash_evidence_bytes);
}

std::size_t MaxLostParts(const Options& options) noexcept {
  return EvidenceBytes(options) / kPromptDivisor / sizeof(PartId);
}

/// Parts of the log that no answer has cleared.
PartSet SuspiciousParts(const quarantine::CrashLog& log) {
  PartSet parts;
  for (const auto& [id, entry] : log.entries) {
    std::copy_if(entry.parts.begin(), entry.parts.end(), std::back_inserter(parts),
                 [&log, &entry = entry](PartId part) {
                   return quarantine::CountsAgainst(log, entry, part);
                 });
  }
  return quarantine::MakePartSet(std::move(parts));
}

/// Adds parts of a lost prompt to its entry.
/// @return Whether the entry has grown.
bool Disclose(EventScope& scope, const quarantine::LostPrompts::Prompt& prompt, PartSet parts) {
  QuarantineState& own = scope.state.quarantine;
  const auto known = own.log.entries.find(prompt.entry);
  quarantine::CrashEntry entry;
  entry.crash = prompt.crash;
  entry.at = prompt.at;
  entry.known_at = scope.now;
  std::size_t disclosed = parts.size();
  if (known != own.log.entries.end()) {
    PartSet added;
    std::set_difference(parts.begin(), parts.end(), known->second.parts.begin(),
                        known->second.parts.end(), std::back_inserter(added));
    if (added.empty()) {
      return false;
    }
    disclosed = known->second.parts.size() + added.size();
  }
  entry.parts = std::move(parts);
  entry.hidden_parts =
      static_cast<std::uint32_t>(prompt.parts.size() - std::min(prompt.parts.size(), disclosed));
  return !entry.parts.empty() && quarantine::AddEntry(own.log, prompt.entry, std::move(entry));
}

/// Lost attempts by crash whose parts aren't all known to all hosts.
struct HiddenCrash {
  TimePoint at{};
  std::size_t prompts{0};
  std::size_t parts{0};
};

std::map<CrashId, HiddenCrash> HiddenCrashes(const quarantine::CrashLog& log) {
  std::map<CrashId, HiddenCrash> crashes;
  for (const auto& [id, entry] : log.entries) {
    if (entry.hidden_parts > 0) {
      HiddenCrash& crash = crashes[entry.crash];
      crash.at = std::max(crash.at, entry.at);
      crash.prompts += 1;
      crash.parts += entry.hidden_parts;
    }
  }
  return crashes;
}

std::size_t CountCrashes(const quarantine::CrashLog& log) {
  std::set<CrashId> crashes;
  for (const auto& [id, entry] : log.entries) {
    crashes.insert(entry.crash);
  }
  return crashes.size();
}

/// Time from which an answer shows that a part isn't suspicious at present: fewer crashes than a
/// suspicion needs are later.
TimePoint FirstOfLastCrashes(const quarantine::CrashLog& log, TimePoint now) {
  std::map<CrashId, TimePoint> crashes;
  for (const auto& [id, entry] : log.entries) {
    if (now - entry.at >= quarantine::kHoldTime) {
      crashes.emplace(entry.crash, entry.at);
    }
  }
  std::vector<TimePoint> times;
  for (const auto& [crash, at] : crashes) {
    times.push_back(at);
  }
  std::sort(times.begin(), times.end());
  return times.size() < kMinCommonCrashes ? TimePoint{} : times[times.size() - kMinCommonCrashes];
}

std::size_t SketchBytes(const PartCollection& collection) {
  std::size_t bytes = 0;
  for (const auto& [crash, hosts] : collection.sketches) {
    for (const auto& [host, sketches] : hosts) {
      for (const quarantine::Sketch& sketch : sketches) {
        bytes += sketch.buckets.size();
      }
    }
  }
  return bytes;
}

/// The oldest of the crashes with summaries and a further one.
CrashId OldestSketchedCrash(const QuarantineState& own, CrashId further) {
  CrashId oldest = further;
  TimePoint oldest_at = TimePoint::max();
  for (const auto& [id, entry] : own.log.entries) {
    const bool is_sketched =
        entry.crash == further || own.collection.sketches.count(entry.crash) > 0;
    if (is_sketched && entry.at < oldest_at) {
      oldest = entry.crash;
      oldest_at = entry.at;
    }
  }
  return oldest;
}

/// Forgets what belongs to crashes that the log no longer has.
void RemoveOldCollections(QuarantineState& own, const std::map<CrashId, HiddenCrash>& hidden) {
  PartCollection& collection = own.collection;
  for (auto crash = collection.requested.begin(); crash != collection.requested.end();) {
    crash = hidden.count(*crash) > 0 ? std::next(crash) : collection.requested.erase(crash);
  }
  for (auto crash = collection.sketches.begin(); crash != collection.sketches.end();) {
    crash = hidden.count(crash->first) > 0 ? std::next(crash) : collection.sketches.erase(crash);
  }
}

std::size_t CollectedPrompts(const QuarantineState& own, CrashId crash) {
  std::size_t prompts = 0;
  const auto found = own.collection.sketches.find(crash);
  if (found != own.collection.sketches.end()) {
    for (const auto& [host, sketches] : found->second) {
      for (const quarantine::Sketch& sketch : sketches) {
        prompts += sketch.prompts;
      }
    }
  }
  return prompts + static_cast<std::size_t>(std::count_if(
                       own.lost.prompts.begin(), own.lost.prompts.end(),
                       [crash](const auto& prompt) { return prompt.crash == crash; }));
}

/// Requests the summaries that this host lacks.
/// @return False if it has all.
bool RequestSketches(EventScope& scope, const std::map<CrashId, HiddenCrash>& hidden) {
  QuarantineState& own = scope.state.quarantine;
  SketchRequest request;
  std::size_t parts = 0;
  for (const auto& [crash, lost] : hidden) {
    parts = std::max(parts, lost.parts);
    if (CollectedPrompts(own, crash) < lost.prompts) {
      request.crashes.push_back(crash);
    }
    own.collection.requested.insert(crash);
  }
  if (request.crashes.empty()) {
    return false;
  }
  request.bits = quarantine::SketchBits(parts);
  CrashReport report;
  report.sketch_request = std::move(request);
  SendReport(scope, "", std::move(report));
  return true;
}

/// Numbers of one crash: of the summaries, of this host's lost prompts, and of the log's parts.
PartSet BucketsOf(const QuarantineState& own, CrashId crash, int bits) {
  std::vector<std::uint32_t> buckets;
  const auto sketches = own.collection.sketches.find(crash);
  if (sketches != own.collection.sketches.end()) {
    for (const auto& [host, rows] : sketches->second) {
      for (const quarantine::Sketch& sketch : rows) {
        const auto decoded = quarantine::DecodePartSet(sketch.buckets);
        for (const std::uint32_t number : decoded ? decoded->set : PartSet{}) {
          buckets.push_back(number >> (decoded->bits - bits));
        }
      }
    }
  }
  for (const quarantine::LostPrompts::Prompt& prompt : own.lost.prompts) {
    if (prompt.crash == crash) {
      for (const PartId part : quarantine::WithoutAnswered(prompt, own.answer_memory)) {
        buckets.push_back(quarantine::BucketOf(part, bits));
      }
    }
  }
  for (const auto& [id, entry] : own.log.entries) {
    for (const PartId part : entry.crash == crash ? entry.parts : PartSet{}) {
      if (quarantine::CountsAgainst(own.log, entry, part)) {
        buckets.push_back(quarantine::BucketOf(part, bits));
      }
    }
  }
  return quarantine::MakePartSet(std::move(buckets));
}

/// Length of the shortest numbers among the summaries.
int CommonBits(const QuarantineState& own) {
  int bits = quarantine::kPartBits;
  for (const auto& [crash, hosts] : own.collection.sketches) {
    for (const auto& [host, sketches] : hosts) {
      for (const quarantine::Sketch& sketch : sketches) {
        bits = std::min(bits, static_cast<int>(static_cast<unsigned char>(sketch.buckets[0])));
      }
    }
  }
  return bits;
}

void CompareSketches(EventScope& scope) {
  QuarantineState& own = scope.state.quarantine;
  std::set<CrashId> crashes;
  for (const auto& [id, entry] : own.log.entries) {
    crashes.insert(entry.crash);
  }
  CommonBuckets common;
  common.bits = CommonBits(own);
  std::vector<PartSet> sets;
  std::size_t numbers = 0;
  for (const CrashId crash : crashes) {
    sets.push_back(BucketsOf(own, crash, common.bits));
    numbers += sets.back().size();
  }
  common.buckets = quarantine::CommonNumbers(sets, kMinCommonCrashes);
  Log(scope, log_events::kPartsCollected,
      fmt::format("crashes={} numbers={} bits={} common={}", crashes.size(), numbers, common.bits,
                  common.buckets.size()));
  if (common.buckets.empty()) {
    return;
  }
  common.asks_for_answers = common.buckets.size() > kMaxInlineParts;
  CrashReport report;
  report.common = common;
  SendReport(scope, "", std::move(report));
  HandleCommonBuckets(scope, common);
}

/// Tells all hosts the parts with common numbers that no answer has cleared.
void DiscloseCommonParts(EventScope& scope, const CommonBuckets& common) {
  QuarantineState& own = scope.state.quarantine;
  const TimePoint answers_from = FirstOfLastCrashes(own.log, scope.now);
  std::vector<EntryId> grown;
  for (const quarantine::LostPrompts::Prompt& prompt : own.lost.prompts) {
    if (scope.now - prompt.at < quarantine::kHoldTime) {
      continue;  // The next collection covers it.
    }
    PartSet parts = quarantine::WithoutAnswered(prompt, own.answer_memory);
    parts.erase(
        std::remove_if(parts.begin(), parts.end(),
                       [&](PartId part) {
                         const auto answered_at = quarantine::LastAnswer(own.answer_memory, part);
                         return (answered_at && *answered_at > answers_from) ||
                                !std::binary_search(common.buckets.begin(), common.buckets.end(),
                                                    quarantine::BucketOf(part, common.bits));
                       }),
        parts.end());
    if (Disclose(scope, prompt, std::move(parts))) {
      grown.push_back(prompt.entry);
    }
  }
  ReportEntries(scope, grown);
}

/// Reports the answers to prompts with the parts that no other host has reported.
void ReportAnsweredParts(EventScope& scope, const CommonBuckets& common) {
  QuarantineState& own = scope.state.quarantine;
  TimePoint oldest{};
  std::vector<PartId> parts =
      quarantine::AnsweredSince(own.answer_memory, FirstOfLastCrashes(own.log, scope.now), oldest);
  const PartSet& reported = own.collection.answered;
  parts.erase(std::remove_if(parts.begin(), parts.end(),
                             [&](PartId part) {
                               return !std::binary_search(
                                          common.buckets.begin(), common.buckets.end(),
                                          quarantine::BucketOf(part, common.bits)) ||
                                      std::binary_search(reported.begin(), reported.end(), part);
                             }),
              parts.end());
  if (parts.empty()) {
    return;
  }
  CrashReport report;
  report.answered =
      AnsweredParts{quarantine::MakePartSet(std::move(parts)), ToMilliseconds(scope.now - oldest)};
  SendReport(scope, "", std::move(report));
}

/// Reports answers and tells parts that are due.
void AdvanceDisclosures(EventScope& scope) {
  PartCollection& collection = scope.state.quarantine.collection;
  std::vector<PartCollection::Disclosure> disclosures = std::exchange(collection.disclosures, {});
  for (PartCollection::Disclosure& disclosure : disclosures) {
    if (!disclosure.has_reported_answers && scope.now >= disclosure.answers_due) {
      disclosure.has_reported_answers = true;
      ReportAnsweredParts(scope, disclosure.common);
    }
    if (scope.now >= disclosure.due) {
      DiscloseCommonParts(scope, disclosure.common);
    } else {
      collection.disclosures.push_back(std::move(disclosure));
    }
  }
  if (collection.disclosures.empty()) {
    collection.answered.clear();
  }
}

}  // namespace

std::size_t MaxLogEntries(const Options& options) noexcept {
  return EvidenceBytes(options) / kLogDivisor / kEntryBytes;
}

std::size_t AnswerMemoryBytes(const Options& options) noexcept {
  return EvidenceBytes(options) / kAnswerDivisor;
}

void CountDropped(EventScope& scope, std::string_view kind, std::size_t count) {
  scope.effects.push_back(AddToCounter{kCrashEvidenceDrops, std::string(kind), count});
  Log(scope, log_events::kCrashEvidenceDropped,
      fmt::format("kind={} count={} max_bytes={}", kind, count,
                  EvidenceBytes(scope.state.options)));
}

void HideParts(EventScope& scope,
               EntryId id,
               quarantine::CrashEntry& entry,
               std::size_t inline_prompts) {
  QuarantineState& own = scope.state.quarantine;
  if (entry.parts.size() <= kMaxInlineParts && inline_prompts < kMaxInlinePrompts) {
    return;
  }
  const Options& options = scope.state.options;
  quarantine::StartRecording(own.answer_memory, AnswerMemoryBytes(options));
  entry.hidden_parts = static_cast<std::uint32_t>(entry.parts.size());
  const std::size_t dropped = quarantine::AddLostPrompt(
      own.lost, {id, entry.crash, entry.at, std::move(entry.parts)}, MaxLostParts(options));
  entry.parts.clear();
  if (dropped > 0) {
    CountDropped(scope, "prompts", dropped);
  }
}

void DiscloseKnownParts(EventScope& scope, EntryId id) {
  QuarantineState& own = scope.state.quarantine;
  const auto prompt = std::find_if(own.lost.prompts.begin(), own.lost.prompts.end(),
                                   [id](const auto& lost) { return lost.entry == id; });
  if (prompt == own.lost.prompts.end()) {
    return;
  }
  const PartSet known = SuspiciousParts(own.log);
  PartSet parts;
  std::set_intersection(prompt->parts.begin(), prompt->parts.end(), known.begin(), known.end(),
                        std::back_inserter(parts));
  Disclose(scope, *prompt, std::move(parts));
}

bool ApplyRememberedAnswers(EventScope& scope, EntryId id) {
  QuarantineState& own = scope.state.quarantine;
  const auto entry = own.log.entries.find(id);
  if (entry == own.log.entries.end()) {
    return false;
  }
  std::vector<PartId> answered;
  TimePoint first = scope.now;
  for (const PartId part : entry->second.parts) {
    const auto at = quarantine::LastAnswer(own.answer_memory, part);
    if (at && *at > entry->second.at) {
      answered.push_back(part);
      first = std::min(first, *at);
    }
  }
  return !answered.empty() && quarantine::RecordAnswer(own.log, answered, first, false);
}

void HandleSketchRequest(EventScope& scope, const std::string& host, const SketchRequest& request) {
  QuarantineState& own = scope.state.quarantine;
  PartCollection& collection = own.collection;
  const std::string& self = scope.state.options.host;
  // Of two hosts that began together, one goes on.
  if (collection.collector != self || host < self) {
    collection.collector = host;
    collection.due.reset();
    collection.sketches.clear();
  }
  collection.requested.insert(request.crashes.begin(), request.crashes.end());
  CrashReport reply;
  for (const CrashId crash : request.crashes) {
    for (quarantine::Sketch& sketch : quarantine::MakeSketches(own.lost, crash, own.answer_memory,
                                                               request.bits, kMaxSketchParts)) {
      reply.sketches.push_back(std::move(sketch));
    }
  }
  if (!reply.sketches.empty()) {
    SendReport(scope, host, std::move(reply));
  }
}

void HandleSketch(EventScope& scope, const std::string& host, const quarantine::Sketch& sketch) {
  QuarantineState& own = scope.state.quarantine;
  PartCollection& collection = own.collection;
  if (collection.collector != scope.state.options.host) {
    return;  // Another host collects by now.
  }
  const std::size_t max_bytes = EvidenceBytes(scope.state.options) / kSketchDivisor;
  while (SketchBytes(collection) + sketch.buckets.size() > max_bytes) {
    // The crashes of the newest entries are compared with those to come.
    const CrashId oldest = OldestSketchedCrash(own, sketch.crash);
    CountDropped(scope, "sketches", 1);
    collection.repeat_at.reset();
    if (oldest == sketch.crash) {
      return;
    }
    collection.sketches.erase(oldest);
  }
  auto& sketches = collection.sketches[sketch.crash][host];
  if (sketch.prompts > 0) {
    sketches.clear();  // The host answers a repeated request.
  }
  sketches.push_back(sketch);
  if (!collection.compare_at) {
    collection.compare_at = scope.now;
  }
}

void HandleCommonBuckets(EventScope& scope, const CommonBuckets& common) {
  if (!common.asks_for_answers) {
    DiscloseCommonParts(scope, common);
    return;
  }
  const std::uint64_t spread = Hash(scope.state.options.host, common.buckets.size());
  PartCollection::Disclosure disclosure;
  disclosure.answers_due =
      scope.now +
      std::chrono::milliseconds(spread % static_cast<std::uint64_t>(kAnswerSpread.count()));
  disclosure.due =
      scope.now + kAnswerSpread + kReplyTime +
      std::chrono::milliseconds(spread % static_cast<std::uint64_t>(kDisclosureSpread.count()));
  disclosure.common = common;
  scope.state.quarantine.collection.disclosures.push_back(std::move(disclosure));
}

void HandleAnsweredParts(EventScope& scope, const AnsweredParts& answered) {
  QuarantineState& own = scope.state.quarantine;
  const TimePoint at = scope.now - answered.age;
  quarantine::RememberAnswer(own.answer_memory, answered.parts, at);
  quarantine::RecordAnswer(own.log, answered.parts, at, true);
  PartSet& reported = own.collection.answered;
  reported.insert(reported.end(), answered.parts.begin(), answered.parts.end());
  reported = quarantine::MakePartSet(std::move(reported));
}

std::optional<TimePoint> CollectParts(EventScope& scope) {
  QuarantineState& own = scope.state.quarantine;
  PartCollection& collection = own.collection;
  const std::map<CrashId, HiddenCrash> hidden = HiddenCrashes(own.log);
  RemoveOldCollections(own, hidden);
  if (hidden.empty()) {
    quarantine::StopRecording(own.answer_memory);
    collection = {};
    return std::nullopt;
  }
  const std::string& self = scope.state.options.host;
  const bool is_collector = collection.collector == self;
  const bool is_wanted = CountCrashes(own.log) >= kMinCommonCrashes &&
                         std::any_of(hidden.begin(), hidden.end(), [&](const auto& item) {
                           return collection.requested.count(item.first) == 0 &&
                                  scope.now - item.second.at >= quarantine::kHoldTime;
                         });
  if (!is_wanted) {
    collection.due.reset();
  } else if (!collection.due) {
    const auto spread =
        std::chrono::milliseconds(Hash(self, collection.requested.size()) %
                                  static_cast<std::uint64_t>(kRequestSpread.count()));
    collection.due = scope.now;
    if (!is_collector) {
      *collection.due += collection.collector.empty() ? spread : spread + kTakeoverDelay;
    }
  }
  if (is_wanted && scope.now >= *collection.due) {
    collection.due.reset();
    collection.collector = self;
    collection.repeats = 0;
    RequestSketches(scope, hidden);
    collection.compare_at = scope.now + kReplyTime;
    collection.repeat_at = scope.now + kRepeatInterval;
  }
  if (collection.repeat_at && scope.now >= *collection.repeat_at) {
    const bool is_repeated = collection.collector == self && collection.repeats < kMaxRepeats &&
                             RequestSketches(scope, hidden);
    ++collection.repeats;
    collection.repeat_at = is_repeated ? std::optional(scope.now + kRepeatInterval) : std::nullopt;
  }
  if (collection.compare_at && scope.now >= *collection.compare_at) {
    collection.compare_at.reset();
    if (collection.collector == self) {
      CompareSketches(scope);
    }
  }
  AdvanceDisclosures(scope);
  std::optional<TimePoint> next;
  const auto add = [&next](const std::optional<TimePoint>& due) {
    next = due && (!next || *due < *next) ? due : next;
  };
  add(collection.due);
  add(collection.compare_at);
  add(collection.repeat_at);
  for (const PartCollection::Disclosure& disclosure : collection.disclosures) {
    add(disclosure.has_reported_answers ? disclosure.due : disclosure.answers_due);
  }
  return next;
}

}  // namespace snipeturn::entry::internal
