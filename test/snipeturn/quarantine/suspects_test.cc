#include "snipeturn/quarantine/suspects.h"

#include <catch2/catch.hpp>

#include <string>

namespace snipeturn::quarantine {
namespace {

using namespace std::chrono_literals;

/// Lost attempts at a fleet that begins 50 answers a second.
class SuspectsFixture {
 public:
  static constexpr PartId kDeadly = 1;
  static constexpr PartId kTopic = 2;
  static constexpr PartId kShared = 3;

  /// An attempt is lost at an engine of its own.
  EntryId Lose(std::vector<PartId> parts, CrashId crash = 0) {
    parts.push_back(++last_ + 1000);
    CrashEntry entry;
    entry.crash = crash == 0 ? last_ + 500000 : crash;
    entry.at = now;
    entry.parts = std::move(parts);
    entry.answers_per_second = answers_per_second;
    CHECK(AddEntry(log, last_, std::move(entry)));
    return last_;
  }

  void Answer(const std::vector<PartId>& parts) { RecordAnswer(log, parts, now, false); }

  std::vector<Suspect> Find() const { return FindSuspects(log, now + kHoldTime); }

  CrashLog log;
  TimePoint now{1000s};
  EntryId last_{0};
  double answers_per_second{50};
};

// Guards against a part that keeps crashing upstreams because its suspicion needs more crashes.
TEST_CASE_METHOD(SuspectsFixture, "part_threeCrashesWithoutAnswer_suspected", "[quarantine]") {
  for (int count = 0; count < 3; ++count) {
    CHECK(Find().empty());
    Lose({kShared, kDeadly});
    now += 1s;
    Answer({kShared});
  }
  REQUIRE(Find().size() == 1);
  CHECK(Find()[0].parts == std::vector<PartId>{kDeadly});
  CHECK(Find()[0].trial_at > now + 5min);
  CHECK(Matches(Find()[0], {7, kDeadly, 8}));
  CHECK_FALSE(Matches(Find()[0], {7, kShared, 8}));
}

// Guards against a part that the host of its losses can't tell from chance, though others can.
TEST_CASE_METHOD(SuspectsFixture, "part_rateCorrectedByOthers_suspected", "[quarantine]") {
  answers_per_second = 0;
  std::vector<EntryId> lost;
  for (int count = 0; count < 3; ++count) {
    lost.push_back(Lose({kShared, kDeadly}));
    now += 1s;
    Answer({kShared});
  }
  CHECK(Find().empty());
  CrashEntry corrected = log.entries.at(lost.back());
  corrected.answers_per_second = 50;
  CHECK(AddEntry(log, lost.back(), corrected));
  CHECK(Find().size() == 1);
  // A lower rate is no news.
  corrected.answers_per_second = 20;
  CHECK_FALSE(AddEntry(log, lost.back(), corrected));
  CHECK(log.entries.at(lost.back()).answers_per_second == 50);
}

// Guards against sound prompts that are held back because they were lost beside a harmful one.
TEST_CASE_METHOD(SuspectsFixture, "part_answeredAfterCrashes_notSuspected", "[quarantine]") {
  for (int count = 0; count < 5; ++count) {
    Lose({kShared, kTopic});
    now += 1s;
  }
  Answer({kTopic});
  const auto suspects = Find();
  REQUIRE(suspects.size() == 1);
  CHECK(suspects[0].parts == std::vector<PartId>{kShared});
  Answer({kShared});
  CHECK(Find().empty());
}

// Guards against a suspicion of all prompts of a topic where only one addition to them is harmful.
TEST_CASE_METHOD(SuspectsFixture,
                 "parts_alwaysLostTogether_onlyTogetherSuspected",
                 "[quarantine]") {
  for (int count = 0; count < 3; ++count) {
    Lose({kTopic, kDeadly});
    now += 1s;
  }
  REQUIRE(Find().size() == 1);
  CHECK(Find()[0].parts == std::vector<PartId>{kDeadly, kTopic});
  CHECK_FALSE(Matches(Find()[0], {kTopic, 9}));
  SECTION("an answer without one of them clears the other") {
    Answer({kTopic});
    REQUIRE(Find().size() == 1);
    CHECK(Find()[0].parts == std::vector<PartId>{kDeadly});
  }
  SECTION("crashes without one of them clear it") {
    Lose({kDeadly, 77});
    now += 1s;
    Lose({kDeadly, 78});
    REQUIRE(Find().size() == 1);
    CHECK(Find()[0].parts == std::vector<PartId>{kDeadly});
  }
}

// Guards against prompts that are suspected because a rack or zone took their upstreams down.
TEST_CASE_METHOD(SuspectsFixture, "part_crashesAtOneMoment_notSuspected", "[quarantine]") {
  for (int count = 0; count < 10; ++count) {
    Lose({kShared, kTopic});
    now += 20ms;
  }
  CHECK(Find().empty());
}

// Guards against suspicions while attempts are lost for other reasons, whatever their prompts.
TEST_CASE_METHOD(SuspectsFixture, "rareParts_manyOtherLosses_notSuspected", "[quarantine]") {
  answers_per_second = 5;
  for (PartId part = 100; part < 120; ++part) {
    Lose({kShared, part});
    now += 300ms;
    Lose({kShared, kTopic});
    Answer({kShared});
  }
  // The topic was lost twenty times without an answer: that is no chance any more.
  REQUIRE(Find().size() == 1);
  CHECK(Find()[0].parts == std::vector<PartId>{kTopic});
  Answer({kTopic});
  CHECK(Find().empty());
  for (PartId part = 100; part < 104; ++part) {
    for (int count = 0; count < 2; ++count) {
      now += 300ms;
      Lose({kShared, part});
    }
  }
  Answer({kShared});
  CHECK(Find().empty());
}

// Guards against a single request that a caller repeats until no upstream is left.
TEST_CASE_METHOD(SuspectsFixture, "sameRequest_repeated_onlyItSuspected", "[quarantine]") {
  for (int count = 0; count < 3; ++count) {
    CrashEntry entry;
    entry.crash = ++last_;
    entry.at = now;
    entry.parts = {kShared, kTopic, 42};
    entry.answers_per_second = answers_per_second;
    AddEntry(log, last_, std::move(entry));
    now += 1s;
  }
  REQUIRE(Find().size() == 1);
  CHECK(Matches(Find()[0], {kShared, kTopic, 42}));
  CHECK_FALSE(Matches(Find()[0], {kShared, kTopic, 43}));
}

// Guards against a crash that counts several times because several hosts lost attempts in it.
TEST_CASE_METHOD(SuspectsFixture, "part_severalAttemptsOfOneCrash_countOnce", "[quarantine]") {
  for (int count = 0; count < 4; ++count) {
    Lose({kShared, kDeadly}, 9);
    now += 300ms;
  }
  CHECK(Find().empty());
}

// Guards against a harmful part that costs upstreams every few minutes because it is tried so
// often.
TEST_CASE_METHOD(SuspectsFixture, "part_crashesInTrials_triedEverLessOften", "[quarantine]") {
  for (int count = 0; count < 3; ++count) {
    Lose({kDeadly});
    now += 1s;
  }
  auto delay = 0us;
  for (int trial = 0; trial < 6; ++trial) {
    const Suspect suspect = Find().at(0);
    CHECK(suspect.trial_at - suspect.last_crash_at >= delay);
    CHECK(suspect.trial_at - suspect.last_crash_at <= 24h);
    delay = suspect.trial_at - suspect.last_crash_at;
    log.kept = {suspect.entries.begin(), suspect.entries.end()};
    now = suspect.trial_at + 1s;
    RemoveOldEntries(log, now - kEntryTtl);
    Lose({kDeadly});
    now += 1s;
  }
  CHECK(delay >= 2h);
}

// Guards against memory that grows with the number of crashes, and against a quarantine that ends
// because the log is full.
TEST_CASE_METHOD(SuspectsFixture, "log_full_keepsEntriesOfQuarantine", "[quarantine]") {
  for (int count = 0; count < 3; ++count) {
    Lose({kDeadly});
    now += 1s;
  }
  for (const Suspect& suspect : Find()) {
    log.kept.insert(suspect.entries.begin(), suspect.entries.end());
  }
  for (PartId part = 10000; part < 11000; ++part) {
    Lose({part});
    now += 300ms;
  }
  CHECK(log.entries.size() <= kMaxEntries);
  const auto suspects = Find();
  REQUIRE(suspects.size() == 1);
  CHECK(suspects[0].parts == std::vector<PartId>{kDeadly});
  RemoveOldEntries(log, now + 1h);
  CHECK(log.entries.size() == 3);
  CHECK(log.answers.empty());
}

// Guards against a fifth deadly part that is never held back.
TEST_CASE_METHOD(SuspectsFixture, "parts_manyDeadly_allSuspected", "[quarantine]") {
  constexpr PartId kParts = 6;
  log.max_entries = 1000;
  for (int crash = 0; crash < 3; ++crash) {
    for (PartId part = 1; part <= kParts; ++part) {
      Lose({part * 1000000});
      now += 1s;
    }
  }
  CHECK(Find().size() == kParts);
}

// Guards against a deadly part that is never found as each crash takes more prompts than the log
// has room for.
TEST_CASE_METHOD(SuspectsFixture, "log_manyPromptsPerCrash_suspiciousEntriesStay", "[quarantine]") {
  for (CrashId crash = 1; crash <= 3; ++crash) {
    Lose({kDeadly}, crash);
    for (std::size_t count = 0; count < 2 * kMaxEntries; ++count) {
      CrashEntry entry;
      entry.crash = crash;
      entry.at = now + 1ms;
      entry.hidden_parts = 3;
      entry.answers_per_second = answers_per_second;
      AddEntry(log, ++last_ + 1000000, std::move(entry));
    }
    now += 1s;
  }
  CHECK(log.entries.size() <= kMaxEntries);
  CHECK(log.dropped > 0);
  REQUIRE(Find().size() == 1);
  CHECK(Find()[0].parts == std::vector<PartId>{kDeadly});
}

// Guards against a quarantine that differs between hosts as one of them lacks parts of an entry.
TEST_CASE_METHOD(SuspectsFixture, "entry_furtherParts_mergedAndInDigest", "[quarantine]") {
  CrashEntry entry;
  entry.crash = 1;
  entry.at = now;
  entry.hidden_parts = 900;
  CHECK(AddEntry(log, 5, entry));
  CHECK_FALSE(AddEntry(log, 5, entry));
  const std::uint64_t digest = Digest(log);
  entry.parts = {kDeadly};
  entry.hidden_parts = 899;
  CHECK(AddEntry(log, 5, entry));
  CHECK(Digest(log) != digest);
  entry.parts = {kTopic};
  CHECK(AddEntry(log, 5, entry));
  CHECK(log.entries.at(5).parts == std::vector<PartId>{kDeadly, kTopic});
}

}  // namespace
}  // namespace snipeturn::quarantine
