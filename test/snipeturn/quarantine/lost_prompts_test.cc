#include "snipeturn/quarantine/lost_prompts.h"

#include <catch2/catch.hpp>

namespace snipeturn::quarantine {
namespace {

using namespace std::chrono_literals;

class LostPromptsFixture {
 public:
  LostPromptsFixture() { StartRecording(answers, 65536); }

  std::size_t Lose(CrashId crash, const PartSet& parts, std::size_t max_parts = 1000) {
    now += 1s;
    return AddLostPrompt(lost, {++last, crash, now, parts}, max_parts);
  }

  LostPrompts lost;
  AnswerMemory answers;
  TimePoint now{1000s};
  EntryId last{0};
};

// Guards against memory that grows with the lost prompts; the newest stay, as they are compared
// with the crashes to come.
TEST_CASE_METHOD(LostPromptsFixture, "lostPrompts_full_oldestDropped", "[quarantine]") {
  CHECK(Lose(1, {1, 2, 3}, 7) == 0);
  CHECK(Lose(2, {4, 5, 6}, 7) == 0);
  CHECK(Lose(3, {7, 8}, 7) == 1);
  CHECK(lost.parts == 5);
  CHECK(lost.prompts.front().crash == 2);
  CHECK(Lose(4, {1, 2, 3, 4, 5, 6, 7, 8}, 7) == 1);
  CHECK(lost.prompts.size() == 2);
  RemoveLostPrompt(lost, lost.prompts.front().entry);
  CHECK(lost.parts == 2);
  RemoveOldPrompts(lost, now + 1s);
  CHECK(lost.prompts.empty());
  CHECK(lost.parts == 0);
}

// Guards against sound parts that are told to all hosts although this host has begun to answer
// prompts with them, and against answers before the loss that clear a part.
TEST_CASE_METHOD(LostPromptsFixture, "parts_answeredAfterLoss_leftOut", "[quarantine]") {
  RememberAnswer(answers, {1, 9}, now);
  Lose(1, {1, 2, 3});
  RememberAnswer(answers, {2}, now + 100ms);
  CHECK(WithoutAnswered(lost.prompts[0], answers) == PartSet{1, 3});
  RememberAnswer(answers, {2}, now - 500ms);
  CHECK(WithoutAnswered(lost.prompts[0], answers) == PartSet{1, 3});
  TimePoint oldest{};
  CHECK(AnsweredSince(answers, now, oldest) == std::vector<PartId>{2});
  CHECK(oldest <= now + 100ms);
  CHECK(oldest > now);
}

// Guards against summaries that lack parts, or that don't fit a message.
TEST_CASE_METHOD(LostPromptsFixture, "sketches_ofOneCrash_coverAllParts", "[quarantine]") {
  constexpr PartId kStep = 100003;
  PartSet parts;
  for (PartId part = kStep; part < 50 * kStep; part += kStep) {
    parts.push_back(part);
  }
  Lose(1, parts);
  Lose(1, {7});
  Lose(2, {8});
  CHECK(MakeSketches(lost, 3, answers, kPartBits, 10).empty());
  const auto sketches = MakeSketches(lost, 1, answers, kPartBits, 10);
  CHECK(sketches.size() == 5);
  PartSet covered;
  std::uint32_t prompts = 0;
  for (const Sketch& sketch : sketches) {
    const auto decoded = DecodePartSet(sketch.buckets);
    REQUIRE(decoded);
    CHECK(decoded->set.size() <= 10);
    covered.insert(covered.end(), decoded->set.begin(), decoded->set.end());
    prompts += sketch.prompts;
  }
  parts.insert(parts.begin(), 7);
  CHECK(covered == parts);
  CHECK(prompts == 2);
}

// Guards against memory of the answers that grows, and against the loss of the newest.
TEST_CASE_METHOD(LostPromptsFixture, "answerMemory_full_keepsNewest", "[quarantine]") {
  const std::size_t places = answers.places.size();
  for (PartId part = 0; part < 100000; ++part) {
    now += 20ms;
    RememberAnswer(answers, {part}, now);
  }
  CHECK(answers.places.size() == places);
  CHECK(LastAnswer(answers, 99999));
  CHECK_FALSE(LastAnswer(answers, 1));
  StopRecording(answers);
  CHECK_FALSE(LastAnswer(answers, 99999));
  RememberAnswer(answers, {1}, now);
  CHECK_FALSE(LastAnswer(answers, 1));
}

// Guards against parts that crashes have in common and that are not found.
TEST_CASE("commonNumbers_ofThreeSets_found", "[quarantine]") {
  CHECK(CommonNumbers({{1, 2, 5}, {2, 3, 5}, {2, 4}, {5, 6}}, 3) == PartSet{2, 5});
  CHECK(CommonNumbers({}, 3).empty());
  CHECK(SketchBits(13500) == 22);
  CHECK(SketchBits(0) == 12);
  CHECK(SketchBits(std::size_t{1} << 40) == kPartBits);
}

}  // namespace
}  // namespace snipeturn::quarantine
