#include "snipeturn/rollout/progress.h"

#include <catch2/catch.hpp>

namespace snipeturn::rollout {
namespace {

using namespace std::chrono_literals;

class ProgressFixture {
 public:
  [[nodiscard]] Phase At(std::chrono::milliseconds age, Phase phase) const {
    ProgressInputs now = inputs;
    now.age = age;
    return NextPhase(phase, now);
  }

  ProgressInputs inputs{0ms, 12s, {}, true};
};

// Guards against a version that turns bad late and is promoted before it shows.
TEST_CASE_METHOD(ProgressFixture, "progress_goodVersion_canaryForThreeQuarters", "[rollout]") {
  CHECK(At(8900ms, Phase::kCanary) == Phase::kCanary);
  CHECK(At(9000ms, Phase::kCanary) == Phase::kPromoting);
}

// Guards against a good version that misses its time limit, and against old upstreams that are
// stopped while they work.
TEST_CASE_METHOD(ProgressFixture, "progress_promoting_succeedsWhenMovedOrDue", "[rollout]") {
  CHECK(At(10500ms, Phase::kPromoting) == Phase::kPromoting);
  CHECK(At(10800ms, Phase::kPromoting) == Phase::kSucceeded);
  inputs.is_old_in_use = false;
  CHECK(At(9500ms, Phase::kPromoting) == Phase::kPromoting);
  CHECK(At(10000ms, Phase::kPromoting) == Phase::kSucceeded);
}

// Guards against a bad version that stays in use, and against a verdict that changes.
TEST_CASE_METHOD(ProgressFixture, "progress_badVersion_rolledBackForGood", "[rollout]") {
  inputs.judgement.verdict = Verdict::kBad;
  CHECK(At(500ms, Phase::kCanary) == Phase::kRolledBack);
  CHECK(At(9500ms, Phase::kPromoting) == Phase::kRolledBack);
  CHECK(At(9500ms, Phase::kSucceeded) == Phase::kSucceeded);
  inputs.judgement = {};
  CHECK(At(12s, Phase::kRolledBack) == Phase::kRolledBack);
}

// Guards against an unclear verdict that is decided too soon, or never.
TEST_CASE_METHOD(ProgressFixture, "progress_unclearVerdict_putOffThenRolledBack", "[rollout]") {
  inputs.judgement.score = kSuspectedScore + 1;
  CHECK(At(9500ms, Phase::kCanary) == Phase::kCanary);
  CHECK(At(9750ms, Phase::kCanary) == Phase::kRolledBack);
}

}  // namespace
}  // namespace snipeturn::rollout
