#include <catch2/catch.hpp>

#include "snipeturn/entry/entry_fixture.h"

namespace snipeturn::entry {
namespace {

/// Requests that wait for a full service.
class DispatchFixture : public EntryFixture {
 public:
  static constexpr int kRequests = 400;
  /// Placements a request: its arrival, the end of its wait, and a share of the ends that free
  /// room.
  static constexpr std::uint64_t kMaxPlacements = 8;

  void Crowd() {
    AddUpstream("plain-1", "plain");
    for (int count = 0; count < kRequests; ++count) {
      ReceiveRequest("/book/a");
      for (const Send& send : EffectsOf<Send>()) {
        sends.push_back(send);
      }
    }
  }

  void Answer(const Send& send) {
    AttemptEnded ended;
    ended.attempt = send.attempt;
    ended.result = AttemptResult::kAnswered;
    ended.status = 200;
    ended.relayable = true;
    Apply(ended);
  }

  std::vector<Send> sends;
};

// Guards against an event loop that hangs as each end of a waiting request tries all others.
TEST_CASE_METHOD(DispatchFixture, "crowd_waitsEnd_fewPlacements", "[entry]") {
  Crowd();
  REQUIRE(!sends.empty());
  REQUIRE(sends.size() < kRequests / 4);
  const std::uint64_t before = state.placements;
  AdvanceTime(40s);
  CHECK(state.requests.size() <= sends.size());
  CHECK(state.placements - before <= kMaxPlacements * kRequests);
}

// Guards against an event loop that hangs as each answer tries all waiting requests.
TEST_CASE_METHOD(DispatchFixture, "crowd_answered_fewPlacementsAndAllSent", "[entry]") {
  Crowd();
  const std::uint64_t before = state.placements;
  std::size_t answered = 0;
  while (answered < sends.size()) {
    Answer(sends[answered++]);
    for (const Send& send : EffectsOf<Send>()) {
      sends.push_back(send);
    }
  }
  CHECK(sends.size() == kRequests);
  CHECK(state.placements - before <= kMaxPlacements * kRequests);
}

}  // namespace
}  // namespace snipeturn::entry
