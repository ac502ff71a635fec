#include <catch2/catch.hpp>

#include <chrono>
#include <string>

#include "snipeturn/entry/entry_fixture.h"

namespace snipeturn::entry {
namespace {

double Measure(EntryFixture& fixture, const Event& event) {
  const auto start = std::chrono::steady_clock::now();
  fixture.Apply(event);
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

// Guards against a stop that holds up the event loop for longer than its reserve.
TEST_CASE_METHOD(EntryFixture, "stop_longQueue_loopNotHeldUp", "[entry]") {
  const int upstreams = GENERATE(10, 50);
  const int open = GENERATE(200, 1000);
  for (int index = 0; index < upstreams; ++index) {
    AddUpstream("plain-" + std::to_string(index), "plain");
  }
  for (int index = 0; index < open; ++index) {
    ReceiveRequest("/book/a");
  }
  const double seconds = Measure(*this, ShutdownRequested{});
  CHECK(seconds < 0.1);
}

// Guards against an end of the grace period at which the last responses come too late.
TEST_CASE_METHOD(EntryFixture, "stop_manyOpenRequests_loopNotHeldUp", "[entry]") {
  const int open = GENERATE(500, 2000, 5000);
  AddUpstream("plain-1", "plain");
  state.upstreams.at("plain-1").entry.slots = 100000;
  ReceiveRequest("/book/a");
  const AttemptKey attempt = EffectsOf<Send>().at(0).attempt;
  AdvanceTime(std::chrono::milliseconds(50));
  EndAttempt(attempt, AttemptResult::kAnswered, 200);
  for (int index = 0; index < open; ++index) {
    ReceiveRequest("/book/a");
  }
  Apply(ShutdownRequested{});
  now += state.options.bounds.grace - std::chrono::milliseconds(400);
  const double seconds = Measure(*this, Tick{});
  CHECK(seconds < 0.1);
}

}  // namespace
}  // namespace snipeturn::entry
