#include <catch2/catch.hpp>
#include <cmath>

#include "snipeturn/entry/entry_fixture.h"
#include "snipeturn/entry/rollouts.h"

namespace snipeturn::entry {
namespace {

/// A host with engines of two versions and an order for the second one.
class RolloutStreamsFixture : public EntryFixture {
 public:
  RolloutStreamsFixture() {
    state.options.rollouts_enabled = true;
    List("engine-1", "v1");
    now += 10s;
    ConfirmStore();
    List("engine-2", "v2");
    Apply(RolloutOrderRead{"engines", "v2", 12s, false, 0ms, StorePosition(0, 10)});
  }

  void List(const std::string& id, const std::string& version) {
    UpstreamEntry entry;
    entry.id = id;
    entry.service = "engines";
    entry.zone = "zone-a";
    entry.endpoint = {"10.0.0." + std::to_string(++last_address), 80};
    entry.slots = 24;
    entry.start_time_ms = 1000 + last_address;
    entry.sequence = ++sequence;
    entry.version = version;
    Apply(UpstreamListed{entry, {0, static_cast<std::uint64_t>(sequence)}});
  }

  /// Lets time pass while the store is read.
  const Effects& Wait(std::chrono::milliseconds time) {
    Effects all;
    for (const TimePoint until = now + time; now < until;) {
      now += 50ms;
      for (const Event& event : {Event(StoreConfirmed{now}), Event(Tick{})}) {
        for (Effect& effect : Reduce(state, event, now)) {
          all.push_back(std::move(effect));
        }
      }
    }
    effects = std::move(all);
    return effects;
  }

  [[nodiscard]] const rollout::EvidenceRow* Row(rollout::Side side) const {
    const auto& rows = state.rollouts.at("engines").active->own;
    const auto found = rows.find({"/long/", side});
    return found == rows.end() ? nullptr : &found->second;
  }
};

// Guards against streams at old engines that are cut off when the version takes over, as the
// platform stops these without draining.
TEST_CASE_METHOD(RolloutStreamsFixture,
                 "rollout_promoting_streamsMoveToTarget",
                 "[entry][entry_rollout]") {
  const Send send = StartStream(10);
  CHECK(send.upstream == "engine-1");
  Wait(8900ms);
  CHECK(EffectsOf<StartCopy>().empty());
  Wait(300ms);
  const std::vector<StartCopy> copies = EffectsOf<StartCopy>();
  REQUIRE(copies.size() == 1);
  CHECK(copies[0].source_id == "engine-1");
  ReceiveRequest("/long/a", 100, 100);
  REQUIRE(EffectsOf<Send>().size() == 1);
  CHECK(EffectsOf<Send>()[0].upstream == "engine-2");
}

// Guards against a version whose streams are slow, or end early, and leave no evidence.
TEST_CASE_METHOD(RolloutStreamsFixture,
                 "rollout_streamEnds_timesAndFailureRecorded",
                 "[entry][entry_rollout]") {
  const Send whole = StartStream(1, 1000);
  now += 500ms;
  DeliverEvents(whole.attempt, 11);
  EndAttempt(whole.attempt, AttemptResult::kStreamFinished, 200);
  const Send broken = StartStream(5, 1000);
  EndAttempt(broken.attempt, AttemptResult::kBroken, 200);
  const rollout::EvidenceRow* row = Row(rollout::Side::kOld);
  REQUIRE(row != nullptr);
  CHECK(row->response.count == 2);
  CHECK(row->pace.count == 1);
  CHECK(row->pace.sum == Approx(std::log(50.0)));
  CHECK(rollout::Total(*row).responses == 2);
  CHECK(rollout::Total(*row).failures == 1);
}

// Guards against a crash that counts as many bad responses of the version as it broke connections.
TEST_CASE_METHOD(RolloutStreamsFixture,
                 "rollout_upstreamCrashes_countsOnce",
                 "[entry][entry_rollout]") {
  std::vector<Send> sends;
  for (int stream = 0; stream < 5; ++stream) {
    sends.push_back(StartStream(1, 100, 100));
  }
  for (const Send& send : sends) {
    EndAttempt(send.attempt, AttemptResult::kBroken);
  }
  CHECK(rollout::Total(*Row(rollout::Side::kOld)).failures == 1);
}

// Guards against a version that hangs and has no times, as its requests run out of time.
TEST_CASE_METHOD(RolloutStreamsFixture,
                 "rollout_streamHangs_timeSoFarRecorded",
                 "[entry][entry_rollout]") {
  time_limit = 2s;
  ReceiveRequest("/long/a", 1, 100);
  Wait(2100ms);
  const rollout::EvidenceRow* row = Row(rollout::Side::kOld);
  REQUIRE(row != nullptr);
  CHECK(row->response.count == 1);
  CHECK(row->response.sum >= std::log(1900.0));
}

}  // namespace
}  // namespace snipeturn::entry
