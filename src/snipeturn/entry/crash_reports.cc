#include "snipeturn/entry/crash_reports.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "snipeturn/base/hash.h"
#include "snipeturn/base/timers.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/cells.h"
#include "snipeturn/entry/health.h"
#include "snipeturn/entry/lifecycle.h"
#include "snipeturn/entry/part_collection.h"
#include "snipeturn/quarantine/part_set.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// Time for an upstream to send something on another connection, which shows that it has not
/// crashed; running streams have an event several times in it.
constexpr std::chrono::milliseconds kConfirmTime{150};
/// Bytes that were sent before the crash may be read up to this much later.
constexpr std::chrono::milliseconds kMaxReadDelay{50};
/// Pause before a report is sent once more, as datagrams get lost.
constexpr std::chrono::milliseconds kRepeatDelay{200};
/// Range of the delay before answers are reported, so that one host reports them for all.
constexpr std::chrono::milliseconds kAnswerReportSpread{100};
/// Least factor by which a host's own rate of answers exceeds a reported one to be reported.
constexpr double kMinRateCorrection = 1.5;
/// Greatest age of a lost attempt for which the present rate of answers counts.
constexpr std::chrono::milliseconds kMaxRateAge{1000};
/// Rows with more parts, or with none, are sent once; hosts that miss one make up for it by
/// comparing their logs.
constexpr std::size_t kMaxRepeatedParts{32};
/// Period of reviews while entries are confirmed, reported and held.
constexpr std::chrono::milliseconds kReviewInterval{50};
constexpr std::chrono::milliseconds kIdleReviewInterval{10000};
/// Period of comparisons with another host; a host that has just started compares more often.
constexpr std::chrono::milliseconds kSyncInterval{2000};
constexpr std::chrono::milliseconds kStartSyncInterval{300};
constexpr std::uint64_t kStartSyncRounds{8};
/// A host without a load table for this long may be down.
constexpr std::chrono::milliseconds kPeerTtl{3200};
/// Estimated size of what one datagram holds; receivers read 32 KB.
constexpr std::size_t kMaxReportBytes = 20000;
/// Parts of one row of a report; the parts of a longer prompt are told in several rows.
constexpr std::size_t kMaxRowParts = 3000;
constexpr std::size_t kRowBytes = 100;
/// Estimated size of the quarantine in the store's record of a host; the store takes 256 KB.
constexpr std::size_t kMaxSavedBytes = 128 * 1024;
constexpr std::size_t kPartBytes = 6;
constexpr std::size_t kAnswerBytes = 25;
/// Time from a trial to the next one: a lost trial has been reported by then.
constexpr std::chrono::milliseconds kMinTrialInterval{2000};
constexpr std::chrono::milliseconds kMinRetryAfter{1000};
constexpr std::string_view kQuarantineSubject = "quarantine";

/// Tells whether this host acts for all hosts: it tries suspects and keeps them in the store.
bool IsFirstHost(const State& state, TimePoint now) {
  const std::uint64_t own = RendezvousWeight(kQuarantineSubject, state.options.host);
  const bool is_first_in_cell =
      std::none_of(state.peers.begin(), state.peers.end(), [&](const auto& entry) {
        const auto& [host, peer] = entry;
        return peer.cell == state.cell && now - peer.at < kPeerTtl && !peer.is_stopping &&
               RendezvousWeight(kQuarantineSubject, host) > own;
      });
  const std::uint64_t own_cell = RendezvousWeight(kQuarantineSubject, state.cell);
  return is_first_in_cell &&
         std::none_of(state.cells.begin(), state.cells.end(), [&](const auto& entry) {
           return IsFresh(entry.second, now) &&
                  RendezvousWeight(kQuarantineSubject, entry.first) > own_cell;
         });
}

/// Answers that this host begins per second.
double OwnAnswersPerSecond(const State& state, TimePoint now) {
  // Counts are halved each second, so that a steady rate sums up to rate / ln 2.
  return DecayedOutcomes(state.quarantine.answers, now).responses * std::log(2.0);
}

/// Answers that all hosts begin per second, estimated from those of this host.
double AnswersPerSecond(const State& state, TimePoint now) {
  return OwnAnswersPerSecond(state, now) * std::max(1, state.hosts);
}

/// Delay within the spread of reports about one subject.
std::chrono::milliseconds ReportDelay(const State& state, std::uint64_t subject) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      Hash(state.options.host, subject) % static_cast<std::uint64_t>(kAnswerReportSpread.count())));
}

std::chrono::milliseconds AgeOf(TimePoint at, TimePoint now) {
  return std::max(std::chrono::milliseconds{0}, ToMilliseconds(now - at));
}

ReportedCrash MakeReportedCrash(quarantine::EntryId id,
                                const quarantine::CrashEntry& entry,
                                TimePoint now) {
  return {id,
          entry.crash,
          entry.parts,
          entry.answers_per_second,
          AgeOf(entry.at, now),
          entry.hidden_parts};
}

/// Rows in sequence with the same parts tell them once.
void SortByParts(CrashReport& report) {
  std::stable_sort(report.crashes.begin(), report.crashes.end(),
                   [](const auto& left, const auto& right) { return left.parts < right.parts; });
}

/// Fills datagrams of a bounded size with the rows of a report.
class ReportSplitter {
 public:
  ReportSplitter(EventScope& scope, const std::string& host) : scope_(scope), host_(host) {}

  /// @return The report to which a row of the given size is added.
  CrashReport& MakeRoom(std::size_t bytes) {
    if (used_ > 0 && used_ + bytes > kMaxReportBytes) {
      Flush();
    }
    used_ += bytes;
    return report_;
  }

  void Flush() {
    if (used_ > 0) {
      scope_.effects.push_back(SendCrashReport{host_, std::exchange(report_, {})});
    }
    used_ = 0;
  }

 private:
  EventScope& scope_;
  const std::string& host_;
  CrashReport report_;
  std::size_t used_{0};
};

void AddCrash(ReportSplitter& splitter, ReportedCrash crash) {
  while (crash.parts.size() > kMaxRowParts) {
    ReportedCrash row = crash;
    const auto end = crash.parts.begin() + static_cast<std::ptrdiff_t>(kMaxRowParts);
    row.parts.assign(crash.parts.begin(), end);
    crash.parts.erase(crash.parts.begin(), end);
    splitter.MakeRoom(kRowBytes + kMaxRowParts * kPartBytes).crashes.push_back(std::move(row));
  }
  const std::size_t bytes = kRowBytes + crash.parts.size() * kPartBytes;
  splitter.MakeRoom(bytes).crashes.push_back(std::move(crash));
}

void SendReportTwice(EventScope& scope, CrashReport report) {
  scope.state.quarantine.repeats.push_back({scope.now + kRepeatDelay, report});
  SendReport(scope, "", std::move(report));
}

void ScheduleReview(EventScope& scope, TimePoint due) {
  const TimerKey key{TimerKind::kEntryCrashReview, 0};
  const auto pending = scope.state.timers.due_by_key.find(key);
  if (pending == scope.state.timers.due_by_key.end() || due < pending->second) {
    Schedule(scope.state.timers, key, due);
  }
}

void ConfirmLostAttempts(EventScope& scope) {
  QuarantineState& own = scope.state.quarantine;
  std::vector<quarantine::EntryId> confirmed;
  while (!own.unconfirmed.empty() && scope.now - own.unconfirmed.front().at >= kConfirmTime) {
    const QuarantineState::Unconfirmed lost = std::move(own.unconfirmed.front());
    own.unconfirmed.pop_front();
    const auto entry = own.log.entries.find(lost.entry);
    if (entry == own.log.entries.end()) {
      continue;
    }
    const auto upstream = scope.state.upstreams.find(lost.upstream);
    const bool is_alive = upstream != scope.state.upstreams.end() &&
                          upstream->second.last_response_at &&
                          *upstream->second.last_response_at > lost.at + kMaxReadDelay;
    Log(scope, log_events::kAttemptLostUnstarted,
        fmt::format("upstream={} upstream_alive={} parts={} hidden_parts={} answers_per_s={:.1f}",
                    lost.upstream, is_alive, quarantine::FormatParts(entry->second.parts),
                    entry->second.hidden_parts, entry->second.answers_per_second));
    if (is_alive) {
      own.log.entries.erase(entry);
      quarantine::RemoveLostPrompt(own.lost, lost.entry);
    } else {
      DiscloseKnownParts(scope, lost.entry);
      confirmed.push_back(lost.entry);
    }
  }
  ReportEntries(scope, confirmed);
}

void ReportAnswers(EventScope& scope) {
  QuarantineState& own = scope.state.quarantine;
  const std::vector<quarantine::PartId> unshared = quarantine::UnsharedAnswers(own.log);
  if (unshared.empty()) {
    own.answers_due.reset();
    return;
  }
  if (!own.answers_due) {
    own.answers_due = scope.now + ReportDelay(scope.state, unshared.front());
  }
  if (scope.now < *own.answers_due) {
    return;
  }
  own.answers_due.reset();
  CrashReport report;
  for (const quarantine::PartId part : unshared) {
    quarantine::PartAnswer& answer = own.log.answers.at(part);
    answer.shared_at = answer.at;
    report.answers.push_back({part, AgeOf(answer.at, scope.now)});
  }
  SendReportTwice(scope, std::move(report));
}

/// Notes a rate of answers that the host of a lost attempt doesn't know, as the requests that begin
/// answers may all come to other hosts than the harmful ones.
void CorrectRate(EventScope& scope, quarantine::EntryId id) {
  QuarantineState& own = scope.state.quarantine;
  const auto entry = own.log.entries.find(id);
  if (entry == own.log.entries.end() || scope.now - entry->second.at > kMaxRateAge) {
    return;
  }
  // The sum over all hosts is at least this, whatever the share of this host is.
  const double rate = OwnAnswersPerSecond(scope.state, scope.now);
  if (rate > kMinRateCorrection * entry->second.answers_per_second) {
    entry->second.answers_per_second = rate;
    const TimePoint due = scope.now + ReportDelay(scope.state, id);
    own.rate_corrections.push_back({due, id, rate});
    ScheduleReview(scope, due);
  }
}

void ReportRates(EventScope& scope) {
  QuarantineState& own = scope.state.quarantine;
  CrashReport report;
  auto& corrections = own.rate_corrections;
  for (auto correction = corrections.begin(); correction != corrections.end();) {
    if (scope.now < correction->due) {
      ++correction;
      continue;
    }
    const auto entry = own.log.entries.find(correction->entry);
    // Otherwise another host has told a higher rate.
    if (entry != own.log.entries.end() &&
        entry->second.answers_per_second <= correction->answers_per_second) {
      report.crashes.push_back(MakeReportedCrash(entry->first, entry->second, scope.now));
    }
    correction = corrections.erase(correction);
  }
  if (!report.crashes.empty()) {
    SendReportTwice(scope, std::move(report));
  }
}

void SendRepeats(EventScope& scope) {
  auto& repeats = scope.state.quarantine.repeats;
  while (!repeats.empty() && repeats.front().due <= scope.now) {
    SendReport(scope, "", std::move(repeats.front().report));
    repeats.pop_front();
  }
}

/// Suspects that fit the record in the store, those with the fewest parts first.
std::vector<const quarantine::Suspect*> SavedSuspects(const State& state) {
  std::vector<const quarantine::Suspect*> suspects;
  for (const quarantine::Suspect& suspect : state.quarantine.suspects) {
    suspects.push_back(&suspect);
  }
  std::stable_sort(suspects.begin(), suspects.end(), [](const auto* left, const auto* right) {
    return left->parts.size() < right->parts.size();
  });
  std::size_t bytes = 0;
  std::size_t count = 0;
  for (; count < suspects.size(); ++count) {
    // Entries of one suspect tell their parts once.
    bytes +=
        suspects[count]->entries.size() * kRowBytes + suspects[count]->parts.size() * kPartBytes;
    if (bytes > kMaxSavedBytes) {
      break;
    }
  }
  suspects.resize(count);
  return suspects;
}

const quarantine::Suspect* FindSuspect(const State& state,
                                       const std::vector<quarantine::PartId>& parts) {
  const auto& suspects = state.quarantine.suspects;
  const auto found = std::find_if(suspects.begin(), suspects.end(), [&parts](const auto& suspect) {
    return quarantine::Matches(suspect, parts);
  });
  return found == suspects.end() ? nullptr : &*found;
}

bool IsTrial(const State& state, const quarantine::Suspect& suspect, RequestKey key) {
  const auto trial = state.quarantine.trials.find(suspect.parts.front());
  return trial != state.quarantine.trials.end() && trial->second.request == key;
}

/// Ends the requests that match a new suspect and have no answer yet, before an upstream begins to
/// answer them.
void EndHeldRequests(EventScope& scope) {
  std::vector<RequestKey> keys;
  for (const auto& [key, request] : scope.state.requests) {
    const quarantine::Suspect* suspect = FindSuspect(scope.state, request.head.prompt_parts);
    if (!request.is_started && suspect != nullptr && !IsTrial(scope.state, *suspect, key)) {
      keys.push_back(key);
    }
  }
  for (const RequestKey key : keys) {
    const auto found = scope.state.requests.find(key);
    if (found == scope.state.requests.end()) {
      continue;
    }
    Request& request = found->second;
    if (request.runs > 0) {
      RefuseRequest(scope, request, 502, "prompt_part_crashes_upstreams");
    } else {
      const quarantine::Suspect* suspect = FindSuspect(scope.state, request.head.prompt_parts);
      RefuseRequest(scope, request, 503, "prompt_part_crashes_upstreams",
                    std::max(kMinRetryAfter, ToMilliseconds(suspect->trial_at - scope.now)));
    }
  }
}

void AdoptSuspects(EventScope& scope, std::vector<quarantine::Suspect> suspects) {
  QuarantineState& own = scope.state.quarantine;
  const auto contains = [](const std::vector<quarantine::Suspect>& list, const auto& parts) {
    return std::any_of(list.begin(), list.end(),
                       [&parts](const auto& suspect) { return suspect.parts == parts; });
  };
  const std::vector<quarantine::Suspect> before = std::exchange(own.suspects, std::move(suspects));
  bool has_changed = false;
  bool is_wider = false;
  for (const quarantine::Suspect& suspect : own.suspects) {
    if (!contains(before, suspect.parts)) {
      is_wider = true;
      IncrementCounter(scope, kQuarantines, "begun");
      Log(scope, log_events::kPartsQuarantined,
          fmt::format("parts={} part_count={} crashes={} entries={} trial_in_ms={}",
                      quarantine::FormatParts(suspect.parts), suspect.parts.size(), suspect.crashes,
                      own.log.entries.size(),
                      ToMilliseconds(suspect.trial_at - scope.now).count()));
    }
  }
  for (const quarantine::Suspect& suspect : before) {
    if (!contains(own.suspects, suspect.parts)) {
      has_changed = true;
      own.trials.erase(suspect.parts.front());
      IncrementCounter(scope, kQuarantines, "ended");
      Log(scope, log_events::kPartsReleased,
          fmt::format("parts={}", quarantine::FormatParts(suspect.parts)));
    }
  }
  own.log.kept.clear();
  for (const quarantine::Suspect& suspect : own.suspects) {
    own.log.kept.insert(suspect.entries.begin(), suspect.entries.end());
  }
  if ((has_changed || is_wider) && IsFirstHost(scope.state, scope.now)) {
    const std::size_t saved = SavedSuspects(scope.state).size();
    if (saved < own.suspects.size()) {
      CountDropped(scope, "suspects", own.suspects.size() - saved);
    }
    scope.effects.push_back(SaveCrashReport{MakeSavedCrashReport(scope.state, scope.now)});
  }
  if (is_wider) {
    EndHeldRequests(scope);
  }
}

}  // namespace

void SendReport(EventScope& scope, const std::string& host, CrashReport report) {
  ReportSplitter splitter(scope, host);
  for (ReportedCrash& crash : report.crashes) {
    AddCrash(splitter, std::move(crash));
  }
  for (const ReportedAnswer& answer : report.answers) {
    splitter.MakeRoom(kAnswerBytes).answers.push_back(answer);
  }
  for (quarantine::Sketch& sketch : report.sketches) {
    // A third more as text.
    const std::size_t bytes = kRowBytes + sketch.buckets.size() * 4 / 3;
    splitter.MakeRoom(bytes).sketches.push_back(std::move(sketch));
  }
  if (report.common) {
    const quarantine::PartSet& buckets = report.common->buckets;
    for (std::size_t begin = 0; begin < buckets.size(); begin += kMaxRowParts) {
      const std::size_t end = std::min(buckets.size(), begin + kMaxRowParts);
      splitter.MakeRoom((end - begin) * kPartBytes).common =
          CommonBuckets{{buckets.begin() + static_cast<std::ptrdiff_t>(begin),
                         buckets.begin() + static_cast<std::ptrdiff_t>(end)},
                        report.common->bits,
                        report.common->asks_for_answers};
      splitter.Flush();  // A report has one set.
    }
  }
  if (report.answered) {
    const quarantine::PartSet& parts = report.answered->parts;
    for (std::size_t begin = 0; begin < parts.size(); begin += kMaxRowParts) {
      const std::size_t end = std::min(parts.size(), begin + kMaxRowParts);
      splitter.MakeRoom((end - begin) * kPartBytes).answered =
          AnsweredParts{{parts.begin() + static_cast<std::ptrdiff_t>(begin),
                         parts.begin() + static_cast<std::ptrdiff_t>(end)},
                        report.answered->age};
      splitter.Flush();
    }
  }
  if (report.sketch_request) {
    const std::size_t bytes = kRowBytes + report.sketch_request->crashes.size() * kAnswerBytes;
    splitter.MakeRoom(bytes).sketch_request = std::move(report.sketch_request);
  }
  if (report.digest) {
    CrashReport& last = splitter.MakeRoom(kRowBytes);
    last.digest = report.digest;
    last.is_reply = report.is_reply;
  }
  splitter.Flush();
}

void ReportEntries(EventScope& scope, const std::vector<quarantine::EntryId>& ids) {
  const quarantine::CrashLog& log = scope.state.quarantine.log;
  CrashReport report;
  // Entries whose parts the receivers know when they read the present one.
  std::set<quarantine::EntryId> untold(ids.begin(), ids.end());
  for (const quarantine::EntryId id : ids) {
    const auto entry = log.entries.find(id);
    if (entry != log.entries.end()) {
      ReportedCrash crash = MakeReportedCrash(id, entry->second, scope.now);
      if (crash.parts.size() > kMaxRepeatedParts) {
        const auto same =
            std::find_if(log.entries.begin(), log.entries.end(), [&](const auto& item) {
              return untold.count(item.first) == 0 && item.second.parts == crash.parts;
            });
        if (same != log.entries.end()) {
          crash.same_parts_as = same->first;
          crash.parts.clear();
        }
      }
      report.crashes.push_back(std::move(crash));
    }
    untold.erase(id);
  }
  if (!report.crashes.empty()) {
    CrashReport repeat;
    std::copy_if(report.crashes.begin(), report.crashes.end(), std::back_inserter(repeat.crashes),
                 [](const ReportedCrash& crash) {
                   return !crash.parts.empty() && crash.parts.size() <= kMaxRepeatedParts;
                 });
    if (!repeat.crashes.empty()) {
      scope.state.quarantine.repeats.push_back({scope.now + kRepeatDelay, std::move(repeat)});
    }
    SendReport(scope, "", std::move(report));
    ScheduleReview(scope, scope.now);
  }
}

void RecordLostAttempt(EventScope& scope,
                       const Request& request,
                       const Attempt& attempt,
                       const AttemptEnded& event) {
  // A prompt of one part has no part that it shares with others.
  constexpr std::size_t kMinParts = 2;
  if (event.result != AttemptResult::kBroken || !event.is_disconnected || attempt.is_resume ||
      !attempt.is_reading_prompt || request.is_started ||
      request.head.prompt_parts.size() < kMinParts) {
    return;
  }
  const auto upstream = scope.state.upstreams.find(attempt.upstream);
  std::int64_t start_time_ms = 0;
  if (upstream != scope.state.upstreams.end()) {
    if (upstream->second.phase == UpstreamPhase::kLeaving && !upstream->second.was_unlisted) {
      return;  // It was about to end anyway.
    }
    start_time_ms = upstream->second.entry.start_time_ms;
  }
  QuarantineState& own = scope.state.quarantine;
  const quarantine::EntryId id = Hash(fmt::format("{}/{}", request.head.id, attempt.upstream));
  quarantine::CrashEntry entry;
  entry.crash = Hash(attempt.upstream, static_cast<std::uint64_t>(start_time_ms));
  entry.at = scope.now;
  entry.parts = quarantine::MakePartSet(request.head.prompt_parts);
  entry.answers_per_second = AnswersPerSecond(scope.state, scope.now);
  const auto inline_prompts = static_cast<std::size_t>(std::count_if(
      own.unconfirmed.begin(), own.unconfirmed.end(),
      [&](const auto& lost) { return lost.upstream == attempt.upstream && !lost.is_hidden; }));
  HideParts(scope, id, entry, inline_prompts);
  const bool is_hidden = entry.hidden_parts > 0;
  own.log.max_entries = MaxLogEntries(scope.state.options);
  if (quarantine::AddEntry(own.log, id, std::move(entry))) {
    own.unconfirmed.push_back({id, attempt.upstream, scope.now, is_hidden});
    ScheduleReview(scope, scope.now + kConfirmTime);
  }
}

void RecordBegunAnswer(EventScope& scope, const Request& request) {
  if (request.head.prompt_parts.empty()) {
    return;
  }
  QuarantineState& own = scope.state.quarantine;
  CountOutcome(own.answers, SendOutcome::kAnswered, scope.now);
  quarantine::RememberAnswer(own.answer_memory, request.head.prompt_parts, scope.now);
  if (quarantine::RecordAnswer(own.log, request.head.prompt_parts, scope.now, false)) {
    ScheduleReview(scope, scope.now);
  }
}

std::optional<std::chrono::milliseconds> HoldBack(EventScope& scope,
                                                  const RequestHead& head,
                                                  RequestKey key) {
  State& state = scope.state;
  const quarantine::Suspect* suspect = FindSuspect(state, head.prompt_parts);
  if (suspect == nullptr) {
    return std::nullopt;
  }
  const quarantine::PartId part = suspect->parts.front();
  const auto trial = state.quarantine.trials.find(part);
  const bool is_tried =
      trial != state.quarantine.trials.end() && (state.requests.count(trial->second.request) > 0 ||
                                                 scope.now - trial->second.at < kMinTrialInterval);
  if (scope.now >= suspect->trial_at && !is_tried && IsFirstHost(state, scope.now)) {
    state.quarantine.trials[part] = {key, scope.now};
    Log(scope, log_events::kQuarantineTrial,
        fmt::format("id={} parts={}", head.id, quarantine::FormatParts(suspect->parts)));
    return std::nullopt;
  }
  return std::max(kMinRetryAfter, ToMilliseconds(suspect->trial_at - scope.now));
}

bool MayRetryPrompt(const State& state, const Request& request) {
  return request.is_started || FindSuspect(state, request.head.prompt_parts) == nullptr;
}

void HandleCrashReport(EventScope& scope, const CrashReportReceived& event) {
  QuarantineState& own = scope.state.quarantine;
  own.log.max_entries = MaxLogEntries(scope.state.options);
  bool has_news = false;
  for (const ReportedCrash& crash : event.report.crashes) {
    quarantine::CrashEntry entry;
    entry.crash = crash.crash;
    entry.at = scope.now - crash.age;
    entry.parts = crash.parts;
    if (crash.same_parts_as) {
      const auto other = own.log.entries.find(*crash.same_parts_as);
      if (other == own.log.entries.end()) {
        continue;  // The report of the other entry was lost; the next comparison makes up for it.
      }
      entry.parts = other->second.parts;
    }
    entry.answers_per_second = crash.answers_per_second;
    entry.hidden_parts = crash.hidden_parts;
    if (crash.hidden_parts > 0) {
      entry.known_at = scope.now;
      quarantine::StartRecording(own.answer_memory, AnswerMemoryBytes(scope.state.options));
    }
    if (quarantine::AddEntry(own.log, crash.id, std::move(entry))) {
      has_news = true;
      ApplyRememberedAnswers(scope, crash.id);
    }
    CorrectRate(scope, crash.id);
  }
  for (const ReportedAnswer& answer : event.report.answers) {
    has_news =
        quarantine::RecordAnswer(own.log, {answer.part}, scope.now - answer.age, true) || has_news;
  }
  if (event.report.sketch_request) {
    HandleSketchRequest(scope, event.host, *event.report.sketch_request);
  }
  for (const quarantine::Sketch& sketch : event.report.sketches) {
    HandleSketch(scope, event.host, sketch);
    has_news = true;
  }
  if (event.report.answered) {
    HandleAnsweredParts(scope, *event.report.answered);
    has_news = true;
  }
  if (event.report.common) {
    HandleCommonBuckets(scope, *event.report.common);
    has_news = true;
  }
  if (has_news) {
    ScheduleReview(scope, scope.now);
  }
  if (event.report.digest && *event.report.digest != quarantine::Digest(own.log)) {
    CrashReport reply;
    for (const auto& [id, entry] : own.log.entries) {
      reply.crashes.push_back(MakeReportedCrash(id, entry, scope.now));
    }
    SortByParts(reply);
    for (const auto& [part, answer] : own.log.answers) {
      reply.answers.push_back({part, AgeOf(answer.at, scope.now)});
    }
    if (!event.report.is_reply) {
      reply.digest = quarantine::Digest(own.log);
      reply.is_reply = true;
    }
    SendReport(scope, event.host, std::move(reply));
  }
}

void ReviewCrashes(EventScope& scope) {
  QuarantineState& own = scope.state.quarantine;
  ConfirmLostAttempts(scope);
  ReportAnswers(scope);
  ReportRates(scope);
  SendRepeats(scope);
  AdoptSuspects(scope, quarantine::FindSuspects(own.log, scope.now));
  quarantine::RemoveOldEntries(own.log, scope.now - quarantine::kEntryTtl);
  quarantine::RemoveOldPrompts(own.lost, scope.now - quarantine::kEntryTtl);
  const std::optional<TimePoint> collection_due = CollectParts(scope);
  if (own.log.dropped > own.logged_drops) {
    CountDropped(scope, "entries", own.log.dropped - own.logged_drops);
    own.logged_drops = own.log.dropped;
  }
  const bool has_recent =
      std::any_of(own.log.entries.begin(), own.log.entries.end(), [&scope](const auto& entry) {
        return scope.now - entry.second.at < quarantine::kHoldTime + kReviewInterval ||
               scope.now - entry.second.known_at <
                   quarantine::kDisclosureHoldTime + kReviewInterval;
      });
  if (has_recent || !own.repeats.empty() || !own.rate_corrections.empty() || own.answers_due) {
    ScheduleReview(scope, scope.now + kReviewInterval);
  } else if (!own.log.entries.empty()) {
    ScheduleReview(scope, scope.now + kIdleReviewInterval);
  }
  if (collection_due) {
    ScheduleReview(scope, *collection_due);
  }
}

void SyncCrashLog(EventScope& scope) {
  State& state = scope.state;
  std::vector<std::string> live;
  for (const auto& [host, peer] : state.peers) {
    if (scope.now - peer.at < kPeerTtl) {
      live.push_back(host);
    }
  }
  QuarantineState& own = state.quarantine;
  if (!live.empty()) {
    CrashReport report;
    report.digest = quarantine::Digest(own.log);
    const std::uint64_t pick = Hash(state.options.host, own.sync_round++) % live.size();
    SendReport(scope, live[pick], std::move(report));
  }
  Schedule(state.timers, {TimerKind::kEntryCrashSync, 0},
           scope.now + (own.sync_round < kStartSyncRounds ? kStartSyncInterval : kSyncInterval));
}

}  // namespace internal

CrashReport MakeSavedCrashReport(const State& state, TimePoint now) {
  CrashReport report;
  if (!internal::IsFirstHost(state, now)) {
    return report;
  }
  // The parts of a suspect are all that its entries must prove.
  std::map<quarantine::EntryId, quarantine::PartSet> parts;
  for (const quarantine::Suspect* suspect : internal::SavedSuspects(state)) {
    for (const quarantine::EntryId id : suspect->entries) {
      parts[id].insert(parts[id].end(), suspect->parts.begin(), suspect->parts.end());
    }
  }
  for (auto& [id, saved] : parts) {
    const auto entry = state.quarantine.log.entries.find(id);
    if (entry != state.quarantine.log.entries.end()) {
      ReportedCrash crash = internal::MakeReportedCrash(id, entry->second, now);
      crash.parts = quarantine::MakePartSet(std::move(saved));
      crash.hidden_parts = 0;
      report.crashes.push_back(std::move(crash));
    }
  }
  internal::SortByParts(report);
  return report;
}

}  // namespace snipeturn::entry
