#include "snipeturn/entry/sampling.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "snipeturn/entry/hard_load_world.h"

namespace snipeturn::entry {
namespace {

std::vector<Candidate> MakeCandidates(int count, double room) {
  std::vector<Candidate> candidates;
  for (int index = 0; index < count; ++index) {
    Candidate candidate;
    candidate.id = "engine-" + std::to_string(index);
    candidate.score = index;
    candidate.room = room;
    candidates.push_back(candidate);
  }
  return candidates;
}

TEST_CASE("sampleSize_moreRequestsBetweenTables_fewerCandidates", "[entry]") {
  CHECK(SampleSize(72, 0) == 72);
  CHECK(SampleSize(72, 6) == 12);
  CHECK(SampleSize(72, 50) == 2);
  CHECK(SampleSize(1, 50) == 1);
}

// Guards against all hosts choosing the emptiest engine from the same tables.
TEST_CASE("candidates_sameScoresAtAllHosts_bestGetsAboutOneRequest", "[entry]") {
  const std::vector<Candidate> candidates = MakeCandidates(72, 4);
  for (const double requests : {6.0, 36.0}) {
    int to_best = 0;
    constexpr int kRounds = 50;
    for (int request = 0; request < kRounds * requests; ++request) {
      const auto* chosen =
          ChooseCandidate(candidates, "request-" + std::to_string(request), requests);
      to_best += chosen->id == "engine-0" ? 1 : 0;
    }
    CHECK(to_best > kRounds / 2);
    CHECK(to_best < 2 * kRounds);
  }
}

// Guards against requests that wait for an upstream that fails while others have room.
TEST_CASE("candidates_someOfLastResort_notSampled", "[entry]") {
  std::vector<Candidate> candidates = MakeCandidates(20, 4);
  for (int index = 0; index < 19; ++index) {
    candidates[static_cast<std::size_t>(index)].candidate_class = CandidateClass::kLastResort;
  }
  CHECK(ChooseCandidate(candidates, "request-1", 0)->id == "engine-19");
  CHECK(ChooseCandidate(candidates, "request-1", 100)->id == "engine-19");
  candidates.pop_back();
  CHECK(ChooseCandidate(candidates, "request-1", 100)->id == "engine-0");
}

// Guards against all hosts sending their waiting requests to the first engine that has room again.
TEST_CASE("room_lessThanRequestsOfAllHosts_dividedByTurns", "[entry]") {
  const std::vector<Candidate> candidates = MakeCandidates(3, 2);
  constexpr int kRequests = 60;
  constexpr int kIntervals = 50;
  constexpr std::chrono::milliseconds kInterval{200};
  std::map<UpstreamId, int> sends;
  for (int interval = 0; interval < kIntervals; ++interval) {
    const TimePoint now{interval * kInterval};
    for (int request = 0; request < kRequests; ++request) {
      const std::string id = "request-" + std::to_string(request);
      const Turn turn = NextTurn(candidates, id, kRequests - 1, kInterval, now);
      if (turn.is_now) {
        sends[ChooseCandidate(candidates, id, kRequests - 1)->id] += 1;
      } else {
        CHECK(turn.next == now + kInterval);
      }
    }
  }
  for (const auto& [id, count] : sends) {
    CHECK(count > kIntervals);
    CHECK(count < 3 * kIntervals);
  }
  CHECK(NextTurn(candidates, "request-1", 5, kInterval, TimePoint{}).is_now);
}

// Guards against engines that hold seconds of prompts while others are idle: engines that have just
// started look empty to every host.
TEST_CASE("hardLoad_enginesReplaced_promptsAreSpread", "[entry]") {
  HardLoadWorld::Options options;
  options.hosts = 40;
  options.engines = 36;
  options.zones = 2;
  options.longs_per_second = 20;
  options.shorts_per_second = 50;
  options.replacement_interval = 800ms;
  options.duration = 5s;
  options.has_classes = false;
  HardLoadWorld before(options);
  before.Run();
  options.has_classes = true;
  HardLoadWorld after(options);
  after.Run();
  CHECK(after.max_pending() * 3 < before.max_pending() * 2);
  CHECK(after.shorts().OnTimeShare() > before.shorts().OnTimeShare());
  CHECK(after.longs().OnTimeShare() > 0.97);
}

}  // namespace
}  // namespace snipeturn::entry
