#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "snipeturn/entry/entry_fixture.h"

namespace snipeturn::entry {
namespace {

class ShutdownFixture : public EntryFixture {
 public:
  ShutdownFixture() {
    AddUpstream("engine-1", "engines");
    AddUpstream("plain-1", "plain");
  }

  void ReceivePeerState(const std::string& host, const std::string& zone, bool is_stopping) {
    PeerLoadReceived load;
    load.host = host;
    load.zone = zone;
    load.is_stopping = is_stopping;
    Apply(load);
  }

  void ServePlainRequest(std::chrono::milliseconds response_time) {
    ReceiveRequest("/book/a");
    const AttemptKey attempt = EffectsOf<Send>().at(0).attempt;
    AdvanceTime(response_time);
    EndAttempt(attempt, AttemptResult::kAnswered, 200);
  }

  /// Serves a stream with events at equal intervals, the end included.
  void ServeStream(std::chrono::milliseconds first_event,
                   std::chrono::milliseconds interval,
                   std::uint64_t events) {
    ReceiveRequest("/long/a", 100, events * 4);
    const AttemptKey attempt = EffectsOf<Send>().at(0).attempt;
    AdvanceTime(first_event);
    for (std::uint64_t event = 1; event <= events; ++event) {
      DeliverEvents(attempt, event);
      AdvanceTime(interval);
    }
    EndAttempt(attempt, AttemptResult::kStreamFinished, 200);
    ConfirmStore();
  }

  /// An engine's run of a stream.
  struct Run {
    RequestKey request{0};
    TimePoint arrived{};
    std::uint64_t events{0};
    TimePoint due{};
  };

  /// Streams that callers send all the time to engines of one speed.
  struct Streams {
    std::chrono::milliseconds first_event{0};
    std::chrono::milliseconds interval{0};
    std::uint64_t events{0};
    std::map<AttemptKey, Run> runs;
    /// Arrival of the streams that were cut off, and of those that were refused.
    std::vector<TimePoint> cut;
    std::vector<TimePoint> refused;
    int complete{0};
  };

  void RunStreams(Streams& streams, std::chrono::milliseconds duration) {
    std::map<RequestKey, TimePoint> arrivals;
    for (const auto& [attempt, run] : streams.runs) {
      arrivals[run.request] = run.arrived;
    }
    const auto handle = [&] {
      for (const Send& send : EffectsOf<Send>()) {
        streams.runs[send.attempt] = {send.request, arrivals[send.request], 0,
                                      now + streams.first_event};
      }
      for (const BreakStream& broken : EffectsOf<BreakStream>()) {
        streams.cut.push_back(arrivals[broken.request]);
      }
      for (const Refuse& refuse : EffectsOf<Refuse>()) {
        (refuse.status == 503 ? streams.refused : streams.cut).push_back(arrivals[refuse.request]);
      }
      streams.complete += static_cast<int>(EffectsOf<FinishStream>().size());
    };
    const TimePoint until = now + duration;
    while (now < until) {
      AdvanceTime(20ms);
      handle();
      ConfirmStore();
      arrivals[requests + 1] = now;
      ReceiveRequest("/long/a", 100, streams.events * 4);
      handle();
      const std::map<AttemptKey, Run> runs = streams.runs;
      for (const auto& [attempt, run] : runs) {
        if (run.due > now) {
          continue;
        }
        if (run.events == streams.events) {
          streams.runs.erase(attempt);
          EndAttempt(attempt, AttemptResult::kStreamFinished, 200);
        } else {
          Run& current = streams.runs[attempt];
          current.events += 1;
          current.due = now + streams.interval;
          DeliverEvents(attempt, current.events);
        }
        handle();
      }
    }
  }
};

// Guards against a caller that uses up its only retry in a zone in which every host is shutting
// down.
TEST_CASE_METHOD(ShutdownFixture, "stream_wholeZoneStopping_retryAfterRestart", "[entry]") {
  ReceivePeerState("host-2", "zone-a", true);
  ReceivePeerState("host-3", "zone-b", false);
  Apply(ShutdownRequested{});
  AdvanceTime(1000ms);
  ReceiveRequest("/long/a", 2000, 1000);
  REQUIRE(EffectsOf<Refuse>().size() == 1);
  CHECK(EffectsOf<Refuse>()[0].retry_after > 7000ms);
  CHECK(EffectsOf<Refuse>()[0].retry_after < 9000ms);
}

// Guards against a stream that is admitted late in shutdown by its short forecast and then cut off
// by the exit: its maximum length decides.
TEST_CASE_METHOD(ShutdownFixture, "stream_lateInGrace_admittedOnlyIfMaxLengthFits", "[entry]") {
  Apply(ShutdownRequested{});
  AdvanceTime(3000ms);
  ConfirmStore();
  ReceiveRequest("/long/a", 2000, 40);
  CHECK(EffectsOf<Send>().empty());
}

// Guards against streams that arrive in a planned stop, are passed on to slow engines and are cut
// off at its end.
TEST_CASE_METHOD(ShutdownFixture, "streamsThroughGrace_slowEngine_noneCut", "[entry]") {
  Streams streams;
  streams.first_event = GENERATE(30ms, 800ms, 1500ms, 2500ms);
  streams.interval = GENERATE(20ms, 200ms, 280ms);
  streams.events = GENERATE(2, 10, 40);
  CAPTURE(streams.first_event, streams.interval, streams.events);
  desired.version = 2;
  desired.services["engines"].engine->slots = 10000;
  desired.services["engines"].engine->memory_tokens = 100000000;
  Apply(DesiredStateRead{desired});
  state.upstreams.at("engine-1").entry.slots = 10000;
  max_output_tokens = streams.events * 4;
  RunStreams(streams,
             streams.first_event + streams.interval * static_cast<int>(streams.events + 2));
  const int complete = streams.complete;
  REQUIRE(complete > 0);
  Apply(ShutdownRequested{});
  const TimePoint stopped = now;
  RunStreams(streams, state.options.bounds.grace - 200ms);
  CHECK(std::count_if(streams.cut.begin(), streams.cut.end(),
                      [stopped](TimePoint arrived) { return arrived > stopped; }) == 0);
  CHECK_FALSE(streams.refused.empty());
  CHECK(streams.complete > complete);
}

// Guards against streams that are admitted by an engine's earlier speed while those that wait there
// show that it has become slow.
TEST_CASE_METHOD(ShutdownFixture, "stream_engineSlowsDownInGrace_waitsCount", "[entry]") {
  ServeStream(100ms, 20ms, 5);
  max_output_tokens = 8;
  ReceiveRequest("/long/a", 100, 8);
  Apply(ShutdownRequested{});
  AdvanceTime(3500ms);
  ConfirmStore();
  ReceiveRequest("/long/a", 100, 8);
  CHECK(EffectsOf<Send>().empty());
  REQUIRE(EffectsOf<Refuse>().size() == 1);
  CHECK(EffectsOf<Refuse>()[0].reason == "stopping");
}

// Guards against a refusal of what the engines serve fast enough.
TEST_CASE_METHOD(ShutdownFixture, "stream_fastEngine_admittedLateInGrace", "[entry]") {
  ServeStream(100ms, 10ms, 5);
  const Send open = StartStream(1);
  Apply(ShutdownRequested{});
  AdvanceTime(6000ms);
  DeliverEvents(open.attempt, 400);
  ConfirmStore();
  max_output_tokens = 80;
  ReceiveRequest("/long/a", 100);
  CHECK(EffectsOf<Send>().size() == 1);
}

// Guards against a stream that is admitted by an assumed speed of a service that this host hasn't
// used.
TEST_CASE_METHOD(ShutdownFixture, "stream_serviceNotUsedBefore_admittedIfDeadlineFits", "[entry]") {
  max_output_tokens = 4;
  Apply(ShutdownRequested{});
  time_limit = 8000ms;
  ReceiveRequest("/long/a", 100, 4);
  CHECK(EffectsOf<Refuse>().size() == 1);
  time_limit = 6000ms;
  ReceiveRequest("/long/a", 100, 4);
  CHECK(EffectsOf<Send>().size() == 1);
}

// Guards against a stream that waits in the queue at SIGTERM and is sent when it can't end in time.
TEST_CASE_METHOD(ShutdownFixture, "queuedStream_wouldOutliveProcess_refusedAsNotRun", "[entry]") {
  ServeStream(500ms, 100ms, 5);
  RequestKey queued = 0;
  while (queued == 0) {
    const RequestKey request = ReceiveRequest("/long/a", 100, 2000);
    queued = EffectsOf<Send>().empty() ? request : 0;
  }
  Apply(ShutdownRequested{});
  REQUIRE(EffectsOf<Refuse>().size() == 1);
  CHECK(EffectsOf<Refuse>()[0].request == queued);
  CHECK(EffectsOf<Refuse>()[0].status == 503);
  CHECK(EffectsOf<Send>().empty());
}

// Guards against a stream that is admitted by the speed of the engines that this host has used,
// sent to one that it hasn't, and cut off as that one is slower.
TEST_CASE_METHOD(ShutdownFixture, "stream_engineNotUsedBefore_sentToUsedEngine", "[entry]") {
  ServeStream(100ms, 20ms, 5);
  for (int number = 2; number < 10; ++number) {
    AddUpstream("engine-" + std::to_string(number), "engines");
  }
  max_output_tokens = 8;
  Apply(ShutdownRequested{});
  for (int count = 0; count < 10; ++count) {
    ReceiveRequest("/long/a", 100, 8);
    REQUIRE(EffectsOf<Send>().size() == 1);
    CHECK(EffectsOf<Send>()[0].upstream == "engine-1");
  }
}

// Guards against a retry that the process can't await.
TEST_CASE_METHOD(ShutdownFixture, "refusedStream_retryWouldOutliveProcess_refused", "[entry]") {
  // The speed of both engines has been seen, without which none gets a request in a stop.
  ServeStream(800ms, 100ms, 2);
  AddUpstream("engine-2", "engines");
  ServeStream(800ms, 100ms, 2);
  max_output_tokens = 8;
  Apply(ShutdownRequested{});
  ReceiveRequest("/long/a", 100, 8);
  const AttemptKey attempt = EffectsOf<Send>().at(0).attempt;
  AdvanceTime(6500ms);
  EndAttempt(attempt, AttemptResult::kNotExecuted, 503);
  CHECK(EffectsOf<Send>().empty());
  REQUIRE(EffectsOf<Refuse>().size() == 1);
  CHECK(EffectsOf<Refuse>()[0].status == 503);
}

// Guards against a long stream that starts on a host which exits before the stream ends.
TEST_CASE_METHOD(ShutdownFixture, "stream_hostStopping_refusedAsNotRun", "[entry]") {
  ReceivePeerState("host-2", "zone-a", false);
  Apply(ShutdownRequested{});
  ReceiveRequest("/long/a", 2000, 1000);
  REQUIRE(EffectsOf<Refuse>().size() == 1);
  CHECK(EffectsOf<Refuse>()[0].status == 503);
  CHECK(EffectsOf<Refuse>()[0].retry_after == 0ms);
  CHECK(EffectsOf<Send>().empty());
}

TEST_CASE_METHOD(ShutdownFixture, "shortRequest_hostStopping_served", "[entry]") {
  StartStream(1);  // Keeps the process from exiting.
  ServePlainRequest(60ms);
  Apply(ShutdownRequested{});
  AdvanceTime(4000ms);
  ConfirmStore();
  ReceiveRequest("/book/a");
  CHECK(EffectsOf<Send>().size() == 1);
}

// Guards against a request that is admitted at the end of the grace period and cut off by the exit.
TEST_CASE_METHOD(ShutdownFixture, "shortRequest_graceNearlyOver_refused", "[entry]") {
  const RequestKey open = ReceiveRequest("/book/a");
  Apply(ShutdownRequested{});
  AdvanceTime(7000ms);
  ConfirmStore();
  ReceiveRequest("/book/b");
  CHECK(EffectsOf<Refuse>().size() == 1);
  CHECK(state.requests.count(open) == 1);
}

// Guards against requests that come late in the grace period of a planned stop, are passed on to
// slow upstreams and are given up at its end, among them requests that may not be repeated.
TEST_CASE_METHOD(ShutdownFixture, "requestsThroughGrace_slowUpstream_noneGivenUp", "[entry]") {
  const std::chrono::milliseconds response_time = GENERATE(50ms, 700ms, 1500ms, 2500ms);
  const std::string path = GENERATE("/book/a", "/look/a");
  CAPTURE(response_time, path);
  time_limit = GENERATE(900ms, 6000ms);
  std::map<AttemptKey, TimePoint> due;
  int served = 0;
  int refused = 0;
  const auto handle = [&] {
    for (const Send& send : EffectsOf<Send>()) {
      due[send.attempt] = now + response_time;
    }
    served += static_cast<int>(EffectsOf<Relay>().size());
    for (const Refuse& refuse : EffectsOf<Refuse>()) {
      CHECK(refuse.reason == (refuse.status == 504 ? "timeout" : "stopping"));
      CHECK(refuse.status != 502);
      ++refused;
    }
  };
  const auto run = [&](std::chrono::milliseconds time) {
    for (std::chrono::milliseconds passed{0}; passed < time; passed += 20ms) {
      AdvanceTime(20ms);
      handle();
      ConfirmStore();
      ReceiveRequest(path);
      handle();
      while (!due.empty() && due.begin()->second <= now) {
        const AttemptKey attempt = due.begin()->first;
        due.erase(due.begin());
        EndAttempt(attempt, AttemptResult::kAnswered, 200);
        handle();
      }
    }
  };
  state.upstreams.at("plain-1").entry.slots = 1000;
  run(5s);
  Apply(ShutdownRequested{});
  handle();
  refused = 0;
  run(state.options.bounds.grace);
  CHECK(refused > 0);
  CHECK((served > 0) == (response_time < *time_limit));
}

// Guards against an exit that cuts off an open request within the grace period.
TEST_CASE_METHOD(ShutdownFixture, "process_openRequest_exitsAfterItEnds", "[entry]") {
  ReceiveRequest("/book/a");
  const AttemptKey attempt = EffectsOf<Send>().at(0).attempt;
  Apply(ShutdownRequested{});
  AdvanceTime(5000ms);
  CHECK(EffectsOf<Exit>().empty());
  EndAttempt(attempt, AttemptResult::kAnswered, 200);
  CHECK(EffectsOf<Relay>().size() == 1);
  AdvanceTime(200ms);
  CHECK(EffectsOf<Exit>().size() == 1);
}

// Guards against a request that is passed on between the decision to exit and the end of the
// process, which cuts it off without a response.
TEST_CASE_METHOD(ShutdownFixture, "request_exitDecided_refusedAsNotRun", "[entry]") {
  Apply(ShutdownRequested{});
  AdvanceTime(2600ms);
  REQUIRE(EffectsOf<Exit>().size() == 1);
  CHECK(EffectsOf<Exit>()[0].deadline < now - 2600ms + state.options.bounds.grace);
  ConfirmStore();
  for (const char* path : {"/book/a", "/look/a", "/long/a"}) {
    ReceiveRequest(path, 100, 4);
    CHECK(EffectsOf<Send>().empty());
    REQUIRE(EffectsOf<Refuse>().size() == 1);
    CHECK(EffectsOf<Refuse>()[0].status == 503);
    CHECK(EffectsOf<Refuse>()[0].retry_after > 0ms);
  }
  CHECK(state.requests.empty());
}

// Guards against requests that are cut off at the end of the grace period without a response that
// says whether they have run, and against queued ones that are sent just before the exit.
TEST_CASE_METHOD(ShutdownFixture, "openRequests_graceOver_endTruthfully", "[entry]") {
  const Send stream = StartStream(3);
  ReceiveRequest("/book/a");
  const RequestKey sent = requests;
  // Fills the plain upstream, so that the last request waits in the queue.
  RequestKey queued = 0;
  while (queued == 0) {
    const RequestKey request = ReceiveRequest("/book/a");
    queued = EffectsOf<Send>().empty() ? request : 0;
  }
  Apply(ShutdownRequested{});
  REQUIRE(EffectsOf<Refuse>().size() == 1);
  CHECK(EffectsOf<Refuse>()[0].request == queued);
  CHECK(EffectsOf<Refuse>()[0].status == 503);
  AdvanceTime(state.options.bounds.grace - 400ms);
  CHECK(EffectsOf<Send>().empty());
  CHECK(EffectsOf<BreakStream>().empty());
  for (const Refuse& refuse : EffectsOf<Refuse>()) {
    CHECK(refuse.status == 502);
    CHECK(refuse.request >= sent);
    CHECK(refuse.request < queued);
  }
  CHECK(EffectsOf<Refuse>().size() == queued - sent);
  AdvanceTime(200ms);
  REQUIRE(EffectsOf<Exit>().size() == 1);
  REQUIRE(EffectsOf<BreakStream>().size() == 1);
  CHECK(EffectsOf<BreakStream>()[0].request == stream.request);
  CHECK(state.requests.empty());
}

// Guards against a stream that is cut off with all of its events, some milliseconds before its end
// and half a second before its process would be killed.
TEST_CASE_METHOD(ShutdownFixture, "stream_endsInLastTenthsOfGrace_complete", "[entry]") {
  const Send stream = StartStream(3);
  Apply(ShutdownRequested{});
  AdvanceTime(state.options.bounds.grace - 250ms);
  CHECK(EffectsOf<BreakStream>().empty());
  CHECK(EffectsOf<Exit>().empty());
  EndAttempt(stream.attempt, AttemptResult::kStreamFinished, 200);
  CHECK(EffectsOf<FinishStream>().size() == 1);
  AdvanceTime(100ms);
  REQUIRE(EffectsOf<Exit>().size() == 1);
  CHECK(EffectsOf<Exit>()[0].deadline <= state.stopping_since + state.stop_grace - 100ms);
}

/// A stream that came in the stop, and whose first event came late, as its engine became slower.
class LateStreamFixture : public ShutdownFixture {
 public:
  LateStreamFixture() {
    desired.version = 2;
    desired.routes[0].is_resumable = GENERATE(false, true);
    Apply(DesiredStateRead{desired});
    ServeStream(100ms, 20ms, 3);
    // Keeps the process from exiting.
    ReceiveRequest("/book/a");
    Apply(ShutdownRequested{});
    AdvanceTime(4600ms);
    ConfirmStore();
    max_output_tokens = 12;
    late = ReceiveRequest("/long/a", 100, 12);
    attempt = EffectsOf<Send>().at(0).attempt;
    AdvanceTime(2800ms);
    DeliverEvents(attempt, 1);
  }

  /// Statuses with which the stream was refused.
  std::vector<int> Refusals() const {
    std::vector<int> statuses;
    for (const Refuse& refuse : EffectsOf<Refuse>()) {
      if (refuse.request == late) {
        statuses.push_back(refuse.status);
      }
    }
    return statuses;
  }

  RequestKey late{0};
  AttemptKey attempt{0};
};

// Guards against a stream that begins just before the end of its process and is cut off: it was
// admitted by the times of engines that became slower (issue 40).
TEST_CASE_METHOD(LateStreamFixture, "lateStream_endsInTime_passedOnWhole", "[entry]") {
  CHECK(EffectsOf<RelayEvents>().empty());
  AdvanceTime(100ms);
  DeliverEvents(attempt, 2);
  CHECK(EffectsOf<RelayEvents>().empty());
  AdvanceTime(100ms);
  DeliverEvents(attempt, 3);
  EndAttempt(attempt, AttemptResult::kStreamFinished, 200);
  CHECK(EffectsOf<RelayEvents>().size() == 1);
  CHECK(EffectsOf<FinishStream>().size() == 1);
}

TEST_CASE_METHOD(LateStreamFixture, "lateStream_notWholeAtExit_endsAsUnknown", "[entry]") {
  AdvanceTime(500ms);
  CHECK(EffectsOf<BreakStream>().empty());
  CHECK(EffectsOf<RelayEvents>().empty());
  CHECK(Refusals() == std::vector<int>{502});
  CHECK(EffectsOf<Exit>().size() == 1);
}

// Guards against events that are dropped with the connection of a held stream, and then missing.
TEST_CASE_METHOD(LateStreamFixture,
                 "lateStream_continuesElsewhere_heldEventsPassedOnFirst",
                 "[entry]") {
  const UpstreamEntry source = state.upstreams.at("engine-1").entry;
  AddUpstream("engine-2", "engines");
  state.upstreams.at("engine-2").last_response_at = now;
  SECTION("moved") {
    MarkLeaving(source);
    // A short stream isn't moved by itself.
    Request& request = state.requests.at(late);
    request.expected_output_tokens = 4000;
    request.head.max_output_tokens = 4000;
    AdvanceTime(300ms);
    REQUIRE_FALSE(EffectsOf<StartCopy>().empty());
    EndCopy(EffectsOf<StartCopy>().at(0), CopyStatus::kCopied, 1);
    EndCopy(EffectsOf<StartCopy>().at(0), CopyStatus::kCopied, 1);
    CHECK(EffectsOf<RelayEvents>().size() == 1);
    REQUIRE(EffectsOf<Send>().size() == 1);
    CHECK(EffectsOf<Send>()[0].resume->events == 1);
  }
  SECTION("lost") {
    EndAttempt(attempt, AttemptResult::kBroken, 200);
    const bool is_resumable = desired.routes[0].is_resumable;
    CHECK(EffectsOf<RelayEvents>().size() == (is_resumable ? 1 : 0));
    CHECK(Refusals().size() == (is_resumable ? 0 : 1));
    REQUIRE(EffectsOf<StartCopy>().size() == (is_resumable ? 1 : 0));
    if (is_resumable) {
      EndCopy(EffectsOf<StartCopy>()[0], CopyStatus::kUnknownRun);
      CHECK(EffectsOf<BreakStream>().size() == 1);
    }
  }
}

// Guards against a stream that is admitted by the time to the first event of far shorter prompts.
TEST_CASE_METHOD(ShutdownFixture, "stream_promptLongerThanObserved_notAdmittedLate", "[entry]") {
  ServeStream(100ms, 20ms, 5);
  const Send open = StartStream(1, 100);
  Apply(ShutdownRequested{});
  AdvanceTime(6000ms);
  DeliverEvents(open.attempt, 300);
  ConfirmStore();
  max_output_tokens = 8;
  ReceiveRequest("/long/a", 20000);
  CHECK(EffectsOf<Send>().empty());
}

// Guards against a stream whose first event comes within kMinTimeToFirstEvent and that is cut off.
TEST_CASE_METHOD(ShutdownFixture, "stream_firstEventWithinFloor_notCut", "[entry]") {
  ServeStream(30ms, 50ms, 10);
  const Send open = StartStream(1);
  Apply(ShutdownRequested{});
  AdvanceTime(6490ms);
  DeliverEvents(open.attempt, 200);
  ConfirmStore();
  max_output_tokens = 40;
  ReceiveRequest("/long/a", 100);
  int broken = 0;
  if (!EffectsOf<Send>().empty()) {
    const AttemptKey attempt = EffectsOf<Send>()[0].attempt;
    AdvanceTime(900ms);
    for (std::uint64_t event = 1; event <= 10; ++event) {
      DeliverEvents(attempt, event);
      AdvanceTime(50ms);
      for (const BreakStream& cut : EffectsOf<BreakStream>()) {
        broken += cut.request != open.request ? 1 : 0;
      }
    }
  }
  CHECK(broken == 0);
}

// Guards against a pace of zero, learned from streams whose events come at once.
TEST_CASE_METHOD(ShutdownFixture,
                 "longStream_onlySingleEventStreamsObserved_notAdmittedLate",
                 "[entry]") {
  const std::uint64_t events = GENERATE(1, 3);
  ReceiveRequest("/long/a", 100, 4);
  const AttemptKey attempt = EffectsOf<Send>().at(0).attempt;
  AdvanceTime(300ms);
  DeliverEvents(attempt, events);
  EndAttempt(attempt, AttemptResult::kStreamFinished, 200);
  const RequestKey open = ReceiveRequest("/book/a");
  Apply(ShutdownRequested{});
  AdvanceTime(6000ms);
  ConfirmStore();
  REQUIRE(state.requests.count(open) == 1);
  max_output_tokens = 4000;
  ReceiveRequest("/long/a", 100);
  CHECK(EffectsOf<Send>().empty());
}

// Guards against an overflow by the caller's maximum, after which the forecast is the least one.
TEST_CASE_METHOD(ShutdownFixture, "stream_hugeMaximum_notAdmitted", "[entry]") {
  ServeStream(100ms, 50ms, 5);
  const auto tokens = GENERATE(std::uint64_t{4000000}, std::uint64_t{1} << 60U, ~std::uint64_t{0});
  CAPTURE(tokens);
  max_output_tokens = tokens;
  Apply(ShutdownRequested{});
  AdvanceTime(1000ms);
  ConfirmStore();
  ReceiveRequest("/long/a", 100);
  CHECK(EffectsOf<Send>().empty());
}

// Guards against a service that is taken for fast by an error response.
TEST_CASE_METHOD(ShutdownFixture, "plainRequest_onlyErrorObserved_notAdmittedByIt", "[entry]") {
  ReceiveRequest("/book/a");
  const AttemptKey attempt = EffectsOf<Send>().at(0).attempt;
  AdvanceTime(2ms);
  EndAttempt(attempt, AttemptResult::kAnswered, 500);
  StartStream(1);
  Apply(ShutdownRequested{});
  AdvanceTime(6000ms);
  ConfirmStore();
  ReceiveRequest("/book/a");
  CHECK(EffectsOf<Send>().empty());
}

// Guards against a stop that is shortened under requests that were admitted.
TEST_CASE_METHOD(ShutdownFixture, "stream_graceShortenedInStop_notCut", "[entry]") {
  ServeStream(1000ms, 100ms, 10);
  Apply(ShutdownRequested{});
  AdvanceTime(2200ms);
  ConfirmStore();
  max_output_tokens = 40;
  ReceiveRequest("/long/a", 100);
  REQUIRE(EffectsOf<Send>().size() == 1);
  const AttemptKey attempt = EffectsOf<Send>()[0].attempt;
  AdvanceTime(1000ms);
  DeliverEvents(attempt, 1);
  entry::Bounds bounds = state.options.bounds;
  bounds.grace = 3500ms;
  Apply(OptionsChanged{bounds});
  AdvanceTime(200ms);
  CHECK(EffectsOf<BreakStream>().empty());
}

TEST_CASE_METHOD(ShutdownFixture, "readiness_hostStopping_notReady", "[entry]") {
  CHECK(IsReady(state, now));
  Apply(ShutdownRequested{});
  CHECK_FALSE(IsReady(state, now));
}

}  // namespace
}  // namespace snipeturn::entry
