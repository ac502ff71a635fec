#include "snipeturn/capacity/estimate.h"

#include <catch2/catch.hpp>
#include <vector>

namespace snipeturn::capacity {
namespace {

using namespace std::chrono_literals;

/// One host that observes four upstreams of the same speed in turn, every 25 ms.
class EstimateFixture {
 public:
  static constexpr std::size_t kUpstreams = 4;

  Observation Call(std::size_t upstream, std::chrono::milliseconds time, int requests = 1) {
    Observation observation;
    observation.upstream = upstream + 1;
    observation.time = time;
    observation.requests = requests;
    observation.slots = 20;
    return observation;
  }

  void Show(std::size_t upstream, const Observation& observation) {
    Observe(estimates[upstream], baseline, observation, now);
  }

  /// Shows each upstream `rounds` times; upstream 0 by its own observation.
  void Run(int rounds, const Observation& first, std::chrono::milliseconds others = 100ms) {
    for (int round = 0; round < rounds; ++round) {
      for (std::size_t upstream = 0; upstream < kUpstreams; ++upstream) {
        now += 25ms;
        Show(upstream, upstream == 0 ? first : Call(upstream, others));
      }
      Review();
    }
  }

  void Review() {
    const double centre = Centre({&estimates[0], &estimates[1], &estimates[2], &estimates[3]}, now);
    for (Estimate& estimate : estimates) {
      estimate.centre = centre;
    }
  }

  [[nodiscard]] double SpeedOf(std::size_t upstream) const {
    return Speed(estimates[upstream], now);
  }

  std::vector<Estimate> estimates{kUpstreams};
  Baseline baseline;
  TimePoint now{std::chrono::seconds(1000)};
};

// Guards against an upstream that stays passed over for what it once was.
TEST_CASE_METHOD(EstimateFixture, "speed_withoutNewEvidence_returnsToUsual", "[capacity]") {
  CHECK(SpeedOf(0) == 1.0);
  Run(20, Call(0, 300ms));
  CHECK(SpeedOf(0) < 0.45);
  CHECK(SpeedOf(1) > 0.85);
  now += kEvidenceTtl + 1ms;
  CHECK(SpeedOf(0) == 1.0);
  CHECK(EvidenceWeight(estimates[0], now) == 0.0);
}

// Guards against blaming the upstream that answers first for a stall of the host itself.
TEST_CASE_METHOD(EstimateFixture, "speed_hostStalls_upstreamsNotBlamed", "[capacity]") {
  Run(20, Call(0, 100ms));
  for (int round = 0; round < 3; ++round) {
    for (std::size_t upstream = 1; upstream <= kUpstreams; ++upstream) {
      Show(upstream % kUpstreams, Call(upstream % kUpstreams, 400ms));
    }
  }
  CHECK(SpeedOf(0) > 0.8);
}

// Guards against a host that is always slow, and takes its upstreams for slow.
TEST_CASE_METHOD(EstimateFixture, "speed_hostAlwaysSlow_upstreamsUsual", "[capacity]") {
  Run(20, Call(0, 100ms));
  Run(20, Call(0, 250ms), 250ms);
  CHECK(SpeedOf(0) > 0.9);
  CHECK(SpeedOf(0) < 1.1);
}

// Guards against an upstream that is passed over since it got the long prompts.
TEST_CASE_METHOD(EstimateFixture, "speed_longPrompts_upstreamNotBlamed", "[capacity]") {
  const auto first_event = [&](std::size_t upstream, std::uint64_t prompt, std::uint64_t pending) {
    Observation observation =
        Call(upstream, std::chrono::milliseconds(30 + (prompt + pending) / 6));
    observation.kind = Kind::kFirstEvent;
    observation.prompt_tokens = prompt;
    observation.pending_prompt_tokens = pending;
    return observation;
  };
  for (int round = 0; round < 20; ++round) {
    for (std::size_t upstream = 0; upstream < kUpstreams; ++upstream) {
      now += 25ms;
      Show(upstream, upstream == 0 ? first_event(0, 8000, 6000) : first_event(upstream, 500, 0));
    }
  }
  CHECK(SpeedOf(0) > 0.9);
}

// Guards against one response that a lost packet delayed, which is taken for a slow upstream.
TEST_CASE_METHOD(EstimateFixture, "speed_oneDelayedResponse_hardlyChanged", "[capacity]") {
  Run(20, Call(0, 100ms));
  Show(0, Call(0, 3000ms));
  CHECK(SpeedOf(0) > 0.7);
}

// Guards against an upstream that gets no request, or all, because of what it states.
TEST_CASE_METHOD(EstimateFixture, "statement_wrong_hardlyCounts", "[capacity]") {
  Observation observation = Call(0, 100ms);
  for (int round = 0; round < 30; ++round) {
    observation.stated = backpressure::StatedLoad{1, 0, 20, round % 2 == 0 ? 100.0 : 0.01};
    Run(1, observation);
  }
  CHECK(StatementTrust(estimates[0]) < 0.15);
  CHECK(SpeedOf(0) > 0.7);
  CHECK(SpeedOf(0) < 1.4);
}

// Guards against statements that are believed before, or although, no response agrees with them.
TEST_CASE_METHOD(EstimateFixture, "statement_any_countsAtMostAFactorOfFour", "[capacity]") {
  AdoptWorkTime(estimates[0], 1000, now);
  CHECK(SpeedOf(0) >= 0.25);
  AdoptWorkTime(estimates[0], 0.0001, now);
  CHECK(SpeedOf(0) <= 4.0);
}

// Guards against a neighbour's burst that is taken for the upstream's speed after its end.
TEST_CASE_METHOD(EstimateFixture, "statement_trueBurst_countsForItsTimeOnly", "[capacity]") {
  Observation usual = Call(0, 100ms);
  usual.stated = backpressure::StatedLoad{1, 0, 20, 1.0};
  Observation slow = Call(0, 250ms);
  slow.stated = backpressure::StatedLoad{1, 0, 20, 2.5};
  for (int burst = 0; burst < 4; ++burst) {
    Run(14, usual);
    Run(6, slow);
  }
  CHECK(SpeedOf(0) < 0.55);
  AdoptWorkTime(estimates[0], 1.0, now);
  CHECK(SpeedOf(0) > 0.8);
  AdoptWorkTime(estimates[0], 2.5, now);
  now += 1s;
  CHECK(SpeedOf(0) > 0.75);
}

// Guards against a new upstream that gets a full share while it is cold.
TEST_CASE_METHOD(EstimateFixture, "speed_coldUpstream_startsLow", "[capacity]") {
  estimates[0].cold_until = now + 2s;
  CHECK(SpeedOf(0) < 0.6);
  now += 2s;
  CHECK(SpeedOf(0) == 1.0);
}

// Guards against requests that wait at an upstream that is slow long before it is full, and against
// a limit that stays when it no longer is.
TEST_CASE_METHOD(EstimateFixture, "limit_slowBeforeFull_fallsAndRises", "[capacity]") {
  Run(10, Call(0, 100ms));
  CHECK_FALSE(Limit(estimates[0], now));
  for (int round = 0; round < 10; ++round) {
    Run(1, Call(0, 300ms, 15));
  }
  const auto limit = Limit(estimates[0], now);
  REQUIRE(limit);
  CHECK(*limit >= 10);
  CHECK(*limit <= 13);
  Run(30, Call(0, 100ms, 11));
  CHECK_FALSE(Limit(estimates[0], now));
}

// Guards against probes that cost callers more than the stated share.
TEST_CASE_METHOD(EstimateFixture, "exploration_slowUpstream_boundedShare", "[capacity]") {
  Run(20, Call(0, 500ms));
  CHECK_FALSE(MayExplore(estimates[0], 0.001, now));
  now += 600ms;
  int explored = 0;
  for (int request = 0; request < 1000; ++request) {
    explored += MayExplore(estimates[0], request / 1000.0, now) ? 1 : 0;
    CHECK_FALSE(MayExplore(estimates[1], request / 1000.0, now));
  }
  CHECK(explored > 0);
  CHECK(explored <= 20);
}

}  // namespace
}  // namespace snipeturn::capacity
