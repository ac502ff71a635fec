#include "snipeturn/entry/service_times.h"

#include <catch2/catch.hpp>

#include "snipeturn/entry/state.h"

namespace snipeturn::entry {
namespace {

using namespace std::chrono_literals;

class ServiceTimesFixture {
 public:
  ServiceTimesFixture() {
    request.service = "engines";
    request.kind = RouteKind::kStream;
  }

  std::optional<std::chrono::microseconds> Estimate(int events) {
    state.service_times["engines"] = times;
    const auto estimate =
        EstimateServiceTime(ObserveServiceTimes(state, "engines", now), request, now);
    return estimate ? std::optional(estimate->first + events * estimate->interval) : std::nullopt;
  }

  /// Begins a stream whose events come at equal intervals.
  static Request MakeStream(TimePoint first, std::chrono::milliseconds interval, int events) {
    Request stream;
    stream.service = "engines";
    stream.kind = RouteKind::kStream;
    stream.first_event_at = first;
    stream.first_event = 1;
    stream.events = static_cast<std::uint64_t>(events);
    stream.last_event_at = first + interval * (events - 1);
    return stream;
  }

  State state;
  ServiceTimes times;
  Request request;
  TimePoint now{std::chrono::seconds(1000)};
};

// Guards against an estimate that follows the newest request only.
TEST_CASE_METHOD(ServiceTimesFixture, "durations_withinWindow_longestKept", "[entry]") {
  Record<std::chrono::microseconds>(times.response, 900ms, now);
  Record<std::chrono::microseconds>(times.response, 100ms, now + 14s);
  CHECK(Largest(times.response, now + 14s) == 900ms);
  Record<std::chrono::microseconds>(times.response, 200ms, now + 20s);
  CHECK(Largest(times.response, now + 20s) == 900ms);
}

// Guards against a request of a planned stop that is sent by a time which nothing has confirmed
// since the service became slower.
TEST_CASE_METHOD(ServiceTimesFixture, "duration_noRecordSince_forgotten", "[entry]") {
  Record<std::chrono::microseconds>(times.response, 40ms, now);
  CHECK(Largest(times.response, now + 14s) == 40ms);
  CHECK_FALSE(Largest(times.response, now + 15s));
}

// Guards against a wait without a response that makes an old time count for longer.
TEST_CASE_METHOD(ServiceTimesFixture, "duration_onlyWaitsSince_forgotten", "[entry]") {
  Record<std::chrono::microseconds>(times.response, 43ms, now);
  request.kind = RouteKind::kIdempotent;
  Attempt attempt;
  attempt.sent_at = now + 10s;
  request.attempts.push_back(attempt);
  RecordRequestTimes(times, request, false, now + 12s);
  CHECK(Largest(times.response, now + 14s) == 2s);
  CHECK_FALSE(Largest(times.response, now + 15s));
}

// Guards against a service that was slow once and is taken for slow for good.
TEST_CASE_METHOD(ServiceTimesFixture, "duration_twoWindowsOld_forgotten", "[entry]") {
  Record<std::chrono::microseconds>(times.response, 900ms, now);
  Record<std::chrono::microseconds>(times.response, 100ms, now + 16s);
  Record<std::chrono::microseconds>(times.response, 100ms, now + 32s);
  CHECK(Largest(times.response, now + 32s) == 100ms);
  CHECK_FALSE(Largest(times.response, now + 62s));
}

// Guards against an estimate of zero for a service without an observation.
TEST_CASE_METHOD(ServiceTimesFixture, "service_notUsed_noEstimate", "[entry]") {
  CHECK_FALSE(Estimate(3));
  Record<std::chrono::microseconds>(times.first_event, 300ms, now);
  CHECK_FALSE(Estimate(3));
  Record<std::chrono::microseconds>(times.event_interval, 20ms, now);
  CHECK(Estimate(3) == 360ms);
}

// Guards against a long prompt whose first event is expected as soon as those of short ones.
TEST_CASE_METHOD(ServiceTimesFixture, "prompt_longerThanObserved_firstEventLater", "[entry]") {
  request.head.prompt_tokens = 100;
  RecordFirstEvent(times, request, 300ms, now);
  Record<std::chrono::microseconds>(times.event_interval, 20ms, now);
  request.head.prompt_tokens = 1000;
  CHECK(Estimate(0) == 3s);
  request.head.prompt_tokens = 10;
  CHECK(Estimate(0) == 300ms);
}

// Guards against a wait that has just begun and counts as a fast response.
TEST_CASE_METHOD(ServiceTimesFixture, "wait_serviceNotUsed_noEstimate", "[entry]") {
  Request waiting = request;
  waiting.attempts.push_back({1, "engine-1", now - 5ms, false, true});
  RecordRequestTimes(times, waiting, false, now);
  CHECK_FALSE(Largest(times.first_event, now));
}

// Guards against an engine that has become slow and is judged by the requests that have ended.
TEST_CASE_METHOD(ServiceTimesFixture, "wait_longerThanRecorded_raisesEstimate", "[entry]") {
  Record<std::chrono::microseconds>(times.first_event, 300ms, now);
  Record<std::chrono::microseconds>(times.event_interval, 20ms, now);
  Request waiting = request;
  waiting.attempts.push_back({1, "engine-1", now - 2s, false, true});
  state.requests.emplace(7, waiting);
  CHECK(Estimate(0) == 2s);
}

// Guards against a pace that a pause between two events, or the wait for the end, doesn't show in.
TEST_CASE_METHOD(ServiceTimesFixture, "stream_completeOrStalled_paceIncludesWait", "[entry]") {
  const Request stream = MakeStream(now - 1s, 100ms, 3);
  RecordRequestTimes(times, stream, false, now);
  CHECK(Largest(times.event_interval, now) == 333333us);
  ServiceTimes single;
  RecordRequestTimes(single, MakeStream(now - 80ms, 0ms, 1), false, now);
  CHECK_FALSE(Largest(single.event_interval, now));
  RecordRequestTimes(single, MakeStream(now - 80ms, 0ms, 1), true, now);
  CHECK(Largest(single.event_interval, now) == 80ms);
}

}  // namespace
}  // namespace snipeturn::entry
