#include "snipeturn/runtime/stall_watch.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <optional>
#include <string>
#include <vector>

#include "snipeturn/runtime/clock.h"
#include "snipeturn/runtime/event_queue.h"
#include "snipeturn/runtime/worker_pool.h"
#include "snipeturn/transport/loopback.h"

namespace snipeturn {
namespace {

/// A watched part and a clock that the test sets.
class StallFixture {
 protected:
  /// Advances the clock and returns the lines of a check, each as "name fields".
  std::vector<std::string> CheckAfter(std::chrono::milliseconds time) {
    now_ += time;
    std::vector<std::string> lines;
    for (const EmitLog& line : FindStalls(state_, parts_, now_)) {
      lines.push_back(std::string(line.event.name) + " " + line.fields);
    }
    return lines;
  }

  using Lines = std::vector<std::string>;

  TimePoint now_{std::chrono::seconds{100}};
  std::optional<TimePoint> busy_since_;
  StallState state_;
  std::vector<WatchedPart> parts_{
      {"reads", std::chrono::milliseconds{2000}, [this] { return busy_since_; }}};
};

// Guards against a stopped and continued process whose log doesn't show that it was continued.
TEST_CASE_METHOD(StallFixture, "stall_watch_process_held_up_is_reported_once", "[runtime]") {
  CHECK(CheckAfter(std::chrono::milliseconds{0}).empty());
  CHECK(CheckAfter(std::chrono::milliseconds{500}).empty());
  busy_since_ = now_;
  CHECK(CheckAfter(std::chrono::milliseconds{4800}) == Lines{"held_up late_ms=4300"});
  busy_since_.reset();
  CHECK(CheckAfter(std::chrono::milliseconds{500}).empty());
}

// Guards against a thread that waits for ever without a trace in the log, and against a line for
// each check of it.
TEST_CASE_METHOD(StallFixture, "stall_watch_busy_part_is_reported_at_start_and_end", "[runtime]") {
  busy_since_ = now_;
  for (int i = 0; i < 5; ++i) {
    CHECK(CheckAfter(std::chrono::milliseconds{400}).empty());
  }
  CHECK(CheckAfter(std::chrono::milliseconds{400}) ==
        Lines{"part_stalled part=reads busy_ms=2400"});
  CHECK(CheckAfter(std::chrono::milliseconds{400}).empty());
  busy_since_ = now_ + std::chrono::milliseconds{100};
  CHECK(CheckAfter(std::chrono::milliseconds{400}) ==
        Lines{"part_resumed part=reads busy_ms=2900"});
  busy_since_.reset();
  CHECK(CheckAfter(std::chrono::milliseconds{400}).empty());
}

TEST_CASE("worker_pool_busy_since_is_start_of_oldest_job", "[runtime]") {
  std::atomic<bool> release{false};
  WorkerPool pool("test", 2, 1);
  CHECK_FALSE(pool.busy_since());
  const TimePoint before = ReadMonotonic();
  CHECK(pool.Submit([&] { Await([&] { return release.load(); }); }));
  CHECK(Await([&] { return pool.busy_since().has_value(); }));
  const auto since = pool.busy_since();
  CHECK(since >= before);
  std::atomic<bool> is_short_job_done{false};
  CHECK(pool.Submit([&] { is_short_job_done = true; }));
  CHECK(Await([&] { return is_short_job_done.load(); }));
  CHECK(pool.busy_since() == since);
  release = true;
  CHECK(Await([&] { return !pool.busy_since(); }));
}

// Guards against a reducer that hangs, or that misses a wake-up, without a trace in the log.
TEST_CASE("event_queue_waiting_since_starts_again_with_each_pop", "[runtime]") {
  EventQueue events;
  CHECK_FALSE(events.waiting_since());
  events.Post(Tick{});
  events.Post(Tick{});
  const auto first = events.waiting_since();
  REQUIRE(first);
  while (ReadMonotonic() <= *first) {
  }
  CHECK(events.Pop(std::nullopt));
  CHECK(events.waiting_since() > first);
  CHECK(events.Pop(std::nullopt));
  CHECK_FALSE(events.waiting_since());
}

}  // namespace
}  // namespace snipeturn
