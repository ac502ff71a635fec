#include "snipeturn/rollout/verdict.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <iostream>
#include <random>
#include <string>
#include <vector>

namespace snipeturn::rollout {
namespace {

/// A roll-out as callers' requests show it.
struct Scenario {
  std::string name;
  /// Failures of the target above those of the old version, and its times relative to it.
  double excess{0};
  double slowdown{1};
  /// Only the first route is affected.
  bool is_one_route{false};
  /// Usual failure rate of the first route.
  double usual{0};
  /// Probability that an upstream of either version fails 40% of its requests.
  double faulty{0};
  int target_upstreams{6};
  int responses{1500};
  int old_upstreams{24};
};

struct Outcome {
  bool is_bad{false};
  /// Bad responses of the target until the verdict.
  int bad_responses{0};
};

/// Simulates responses to three routes; the target gets 1 of 12.
class VerdictFixture {
 public:
  static constexpr int kTableRuns = 400;
  static constexpr int kRoutes = 3;
  static Outcome Simulate(const Scenario& scenario, std::uint32_t seed) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> unit(0, 1);
    std::normal_distribution<double> log_time(4.6, 0.6);
    const auto old_upstreams = static_cast<unsigned>(scenario.old_upstreams);
    std::vector<bool> faulty(old_upstreams + static_cast<unsigned>(scenario.target_upstreams));
    for (std::size_t index = 0; index < faulty.size(); ++index) {
      faulty[index] = unit(random) < scenario.faulty;
    }
    MergedEvidence evidence;
    Outcome outcome;
    for (int response = 0; response < scenario.responses * 12; ++response) {
      const bool is_target = response % 12 == 0;
      const int route = static_cast<int>(random() % kRoutes);
      const auto upstream =
          is_target ? old_upstreams + random() % static_cast<unsigned>(scenario.target_upstreams)
                    : random() % old_upstreams;
      const bool is_affected = is_target && (!scenario.is_one_route || route == 0);
      const double rate = (route == 0 ? scenario.usual : 0) + (is_affected ? scenario.excess : 0);
      const bool has_failed = unit(random) < rate || (faulty[upstream] && unit(random) < 0.4);
      EvidenceRow* row = FindOrAddRow(evidence.rows, std::to_string(route),
                                      is_target ? Side::kTarget : Side::kOld);
      GroupCounts& group =
          row->groups[UpstreamGroup(std::to_string(seed) + "/" + std::to_string(upstream))];
      group.responses += 1;
      group.failures += has_failed ? 1 : 0;
      if (!has_failed) {
        const double time = std::exp(log_time(random)) * (is_affected ? scenario.slowdown : 1);
        AddTime(row->response, std::chrono::microseconds(static_cast<std::int64_t>(time * 1000)),
                1);
      }
      outcome.bad_responses += is_affected && (scenario.slowdown > 1 || has_failed) ? 1 : 0;
      if (response % 60 == 0 && Judge(evidence).verdict == Verdict::kBad) {
        outcome.is_bad = true;
        return outcome;
      }
    }
    return outcome;
  }

  struct Share {
    double bad{0};
    double within_50{0};
    double mean_bad_responses{0};
  };

  static Share Run(const Scenario& scenario, int runs) {
    Share share;
    for (int run = 1; run <= runs; ++run) {
      const Outcome outcome = Simulate(scenario, static_cast<std::uint32_t>(run));
      share.bad += outcome.is_bad ? 1.0 / runs : 0;
      share.within_50 += outcome.is_bad && outcome.bad_responses <= 50 ? 1.0 / runs : 0;
      share.mean_bad_responses += outcome.is_bad ? outcome.bad_responses : 0;
    }
    share.mean_bad_responses /= std::max(1.0, share.bad * runs);
    return share;
  }

  static std::vector<Scenario> Sound() {
    return {{"sound", 0, 1, false, 0, 0, 6, 1500},
            {"sound, a route fails 14%", 0, 1, false, 0.14, 0, 6, 1500},
            {"sound, 14% of upstreams fail 40%", 0, 1, false, 0, 0.14, 6, 1500},
            {"sound, both", 0, 1, false, 0.14, 0.14, 6, 1500},
            {"sound, 14% of upstreams fail 40%, 24 upstreams", 0, 1, false, 0, 0.14, 24, 1500},
            {"sound, 14% of upstreams fail 40%, 3 upstreams", 0, 1, false, 0, 0.14, 3, 1500}};
  }

  /// Sound versions of services with few upstreams of either version.
  static std::vector<Scenario> SoundSmall() {
    return {
        {"sound, 14% of upstreams fail 40%, 3 and 3 upstreams", 0, 1, false, 0, 0.14, 3, 1500, 3},
        {"sound, 14% of upstreams fail 40%, 6 and 6 upstreams", 0, 1, false, 0, 0.14, 6, 1500, 6},
        {"sound, a route fails 14%, 3 and 3 upstreams", 0, 1, false, 0.14, 0, 3, 1500, 3}};
  }

  /// Bad versions of services with few upstreams of either version.
  static std::vector<Scenario> BadSmall() {
    return {{"20% more, 3 and 3 upstreams", 0.2, 1, false, 0, 0, 3, 1500, 3},
            {"40% more, 3 and 3 upstreams", 0.4, 1, false, 0, 0, 3, 1500, 3},
            {"50% more, 3 and 3 upstreams", 0.5, 1, false, 0, 0, 3, 1500, 3},
            {"80% more on one route, 3 and 3 upstreams", 0.8, 1, true, 0, 0, 3, 1500, 3},
            {"50% more, 2 and 2 upstreams", 0.5, 1, false, 0, 0, 2, 1500, 2},
            {"all fail, 2 and 2 upstreams", 1, 1, false, 0, 0, 2, 1500, 2}};
  }

  static std::vector<Scenario> Bad() {
    return {{"5% more", 0.05, 1, false, 0, 0, 6, 1500},
            {"10% more", 0.1, 1, false, 0, 0, 6, 1500},
            {"30% more", 0.3, 1, false, 0, 0, 6, 1500},
            {"60% more", 0.6, 1, false, 0, 0, 6, 1500},
            {"all fail", 1, 1, false, 0, 0, 6, 1500},
            {"all fail on one route", 1, 1, true, 0, 0, 6, 1500},
            {"all fail, 14% of upstreams fail 40%", 1, 1, false, 0, 0.14, 6, 1500},
            {"10% more on one route", 0.1, 1, true, 0, 0, 6, 1500},
            {"30% more on one route", 0.3, 1, true, 0, 0, 6, 1500},
            {"30% more on a route that fails 14%", 0.3, 1, true, 0.14, 0, 6, 1500},
            {"10% more, a route fails 14%", 0.1, 1, false, 0.14, 0, 6, 1500},
            {"5% more, 14% of upstreams fail 40%", 0.05, 1, false, 0, 0.14, 6, 1500},
            {"10% more, 14% of upstreams fail 40%", 0.1, 1, false, 0, 0.14, 6, 1500},
            {"30% more, 14% of upstreams fail 40%", 0.3, 1, false, 0, 0.14, 6, 1500},
            {"3 times slower", 0, 3, false, 0, 0, 6, 1500},
            {"3 times slower on one route", 0, 3, true, 0, 0, 6, 1500}};
  }
};

// Guards against sound versions that are rolled back for upstreams that fail on their own.
TEST_CASE_METHOD(VerdictFixture, "verdict_soundVersions_fewerThanOneInHundredBad", "[rollout]") {
  double bad = 0;
  for (const Scenario& scenario : Sound()) {
    bad += Run(scenario, 60).bad * 60;
  }
  CHECK(bad <= 2);
}

// Guards against sound versions of small services that are rolled back for failing upstreams.
TEST_CASE_METHOD(VerdictFixture,
                 "verdict_soundVersionsOfSmallServices_fewerThanOneInHundredBad",
                 "[rollout]") {
  for (const Scenario& scenario : SoundSmall()) {
    INFO(scenario.name);
    CHECK(Run(scenario, 200).bad < 0.01);
  }
}

// Guards against bad versions that stay, or that answer badly more than 50 times before a verdict.
TEST_CASE_METHOD(VerdictFixture, "verdict_badVersions_foundWithinFiftyBadResponses", "[rollout]") {
  for (const Scenario& scenario : Bad()) {
    INFO(scenario.name);
    const Share share = Run(scenario, 30);
    CHECK(share.bad >= 0.9);
    CHECK(share.within_50 >= (scenario.faulty > 0 ? 0.5 : 0.8));
  }
}

// Guards against a bad version of few upstreams that passes for single upstreams which fail
// (process_rollout_test, world writer_killed_bad: 67 bad responses).
TEST_CASE_METHOD(VerdictFixture,
                 "verdict_badVersionOfThreeUpstreams_foundWithinFiftyBadResponses",
                 "[rollout]") {
  const Scenario scenario = {"40% more, 3 upstreams", 0.4, 1, false, 0, 0, 3, 1500};
  CHECK(Run(scenario, 100).within_50 >= 0.95);
}

// Guards against a bad version that passes for failing upstreams because the old version has too
// few to show that hardly any fail (process_rollout_test, world writer_killed_bad: 56 bad
// responses).
TEST_CASE_METHOD(VerdictFixture,
                 "verdict_badVersionsOfSmallServices_foundWithinFiftyBadResponses",
                 "[rollout]") {
  for (const Scenario& scenario : BadSmall()) {
    INFO(scenario.name);
    CHECK(Run(scenario, 100).within_50 >= 0.95);
  }
}

// Guards against bad versions beside failing upstreams that are found late; see KNOWN-RED.txt.
TEST_CASE_METHOD(VerdictFixture,
                 "verdict_badVersions_nineteenOfTwentyWithinFiftyBadResponses",
                 "[rollout_detection]") {
  for (const Scenario& scenario : Bad()) {
    INFO(scenario.name);
    CHECK(Run(scenario, 100).within_50 >= 0.95);
  }
}

// Guards against a few requests that decide.
TEST_CASE("verdict_fewResponses_undecidedOrGood", "[rollout]") {
  MergedEvidence evidence;
  CHECK(Judge(evidence).verdict == Verdict::kUndecided);
  EvidenceRow* row = FindOrAddRow(evidence.rows, "/a/", Side::kTarget);
  row->groups[3] = {12, 3};
  CHECK(Judge(evidence).verdict != Verdict::kBad);
}

// Prints the table of the design note.
TEST_CASE_METHOD(VerdictFixture, "verdict_allScenarios_printTable", "[.rollout_table]") {
  for (const std::vector<Scenario>& scenarios : {Sound(), Bad(), SoundSmall(), BadSmall()}) {
    for (const Scenario& scenario : scenarios) {
      const Share share = Run(scenario, kTableRuns);
      std::cout << "| " << scenario.name << " | " << share.bad << " | " << share.within_50 << " | "
                << share.mean_bad_responses << " |\n";
    }
  }
}

}  // namespace
}  // namespace snipeturn::rollout
