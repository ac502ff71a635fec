#include "snipeturn/backpressure/pause.h"

#include <catch2/catch.hpp>

namespace snipeturn::backpressure {
namespace {

using namespace std::chrono_literals;

class PauseFixture {
 public:
  Pause pause;
  TimePoint now{1000s};
};

// Guards against a shorter pause that ends a longer one.
TEST_CASE_METHOD(PauseFixture, "pauses_overlap_lastEndHolds", "[backpressure]") {
  CHECK(AdoptPause(pause, 3000ms, 0, now));
  CHECK_FALSE(AdoptPause(pause, 1000ms, 0, now + 500ms));
  CHECK(IsPaused(pause, now + 2999ms));
  CHECK_FALSE(IsPaused(pause, now + 3s));
  CHECK(AdoptPause(pause, 3000ms, 0, now + 1s));
  CHECK(IsPaused(pause, now + 3500ms));
}

// Guards against an upstream that is out for ever, or paused by nothing.
TEST_CASE_METHOD(PauseFixture, "pause_extremeValues_boundedOrIgnored", "[backpressure]") {
  CHECK_FALSE(AdoptPause(pause, 0ms, 0, now));
  CHECK_FALSE(AdoptPause(pause, -5ms, 0, now));
  CHECK(NextStart(pause, now) == now);
  CHECK(AdoptPause(pause, std::chrono::hours(24 * 365), 1, now));
  CHECK(IsPaused(pause, now + 5min - 1ms));
  CHECK_FALSE(IsPaused(pause, now + 5min + 1s));
}

// Guards against hosts that come back at the same instant, and all at once.
TEST_CASE_METHOD(PauseFixture, "pause_ends_requestsReturnGradually", "[backpressure]") {
  const double spread = GENERATE(0.0, 0.5, 1.0);
  AdoptPause(pause, 2000ms, spread, now);
  CHECK(NextStart(pause, now) - now ==
        2000ms + std::chrono::milliseconds(static_cast<int>(500 * spread)));
  now = NextStart(pause, now);
  const TimePoint end = now;
  int sent = 0;
  for (; now < end + 3s; now = std::max(now + 1ms, NextStart(pause, now + 1ms))) {
    RecordStart(pause, now);
    ++sent;
    CHECK((sent != 2 || now - end >= 100ms));
    CHECK((now - end > 500ms || sent <= 8));
  }
  CHECK(sent > 100);
}

}  // namespace
}  // namespace snipeturn::backpressure
