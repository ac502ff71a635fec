#include <catch2/catch.hpp>

#include "snipeturn/entry/rollout_world.h"

namespace snipeturn::entry {
namespace {

using States = std::vector<RolloutState>;

class OrderedFixture : public RolloutFixture {
 public:
  OrderedFixture() {
    AddVersion("v1", 1, 6);
    now += 10s;
    ConfirmStore();
    Order("v2", 10);
    AddVersion("v2", 21, 6);
  }
};

// Guards against a good version that isn't moved to within its time limit.
TEST_CASE_METHOD(OrderedFixture, "rollout_goodVersion_succeedsInTime", "[entry][entry_rollout]") {
  ServeWell(8s);
  CHECK(Phase() == rollout::Phase::kCanary);
  CHECK(sends["v2"] > 50);
  CHECK(sends["v2"] <= (sends["v1"] + sends["v2"]) / 10);
  ServeWell(3500ms);
  CHECK(Phase() == rollout::Phase::kSucceeded);
  CHECK(states == States{RolloutState::kRunning, RolloutState::kSucceeded});
  const int old_sends = sends["v1"];
  ServeWell(1s);
  CHECK(sends["v1"] == old_sends);
  const int store_reads = reads;
  ServeWell(2s);
  CHECK(reads == store_reads);
}

// Guards against a bad version that keeps its requests.
TEST_CASE_METHOD(OrderedFixture, "rollout_badVersion_rolledBack", "[entry][entry_rollout]") {
  ServeBadly(6s);
  CHECK(Phase() == rollout::Phase::kRolledBack);
  CHECK(states == States{RolloutState::kRunning, RolloutState::kRolledBack});
  const int target_sends = sends["v2"];
  CHECK(target_sends / 3 < 50);
  ServeBadly(10s);
  CHECK(sends["v2"] == target_sends);
  Withdraw(11);
  ServeBadly(5s);
  CHECK(sends["v2"] == target_sends);
}

// Guards against a version that serves requests before an order allows it.
TEST_CASE_METHOD(RolloutFixture,
                 "newVersion_withoutOrder_getsNothingForConfigApply",
                 "[entry][entry_rollout]") {
  AddVersion("v1", 1, 2);
  now += 10s;
  AddVersion("v2", 21, 2);
  ServeWell(2800ms);
  CHECK(sends["v2"] == 0);
  ServeWell(2s);
  CHECK(sends["v2"] > 50);
}

// Guards against a host that has just started and takes the newer version for the usual one.
TEST_CASE_METHOD(RolloutFixture, "newVersion_listedFirst_isHeld", "[entry][entry_rollout]") {
  AddVersion("v2", 21, 2);
  AddVersion("v1", 1, 2);
  ServeWell(1s);
  CHECK(sends["v2"] == 0);
  CHECK(sends["v1"] > 50);
}

// Guards against roll-outs that take effect where they are not enabled.
TEST_CASE_METHOD(RolloutFixture, "versions_rolloutsDisabled_areIgnored", "[entry][entry_rollout]") {
  state.options.rollouts_enabled = false;
  AddVersion("v1", 1, 2);
  now += 10s;
  AddVersion("v2", 21, 2);
  Order("v2", 10);
  ServeWell(2s);
  CHECK(sends["v2"] > 50);
  CHECK(state.rollouts.empty());
  CHECK(states.empty());
  CHECK(MakeLoadBroadcast(state, now).rollouts.empty());
}

// Guards against a final state that is published while the store is down, or a bad version that is
// used until it returns.
TEST_CASE_METHOD(OrderedFixture,
                 "rollout_storeDown_stopsWithoutVerdict",
                 "[entry][entry_rollout]") {
  ServeWell(1s);
  is_store_up = false;
  for (int step = 0; step < 6; ++step) {
    ReceiveReport(rollout::Phase::kCanary, RolloutState::kRunning, 10);
    ServeBadly(1s);
  }
  CHECK(Phase() == rollout::Phase::kRolledBack);
  CHECK(states == States{RolloutState::kRunning});
  is_store_up = true;
  ServeBadly(3s);
  CHECK(states == States{RolloutState::kRunning, RolloutState::kRolledBack});
}

// Guards against a host that sends to a version which may have been rolled back without its
// knowledge.
TEST_CASE_METHOD(OrderedFixture,
                 "rollout_hostCutOff_usesOldVersionOnly",
                 "[entry][entry_rollout]") {
  ServeWell(2s);
  is_store_up = false;
  ServeWell(3s);
  const int target_sends = sends["v2"];
  ServeWell(3s);
  CHECK(sends["v2"] == target_sends);
}

// Guards against a status that nobody writes as its writer has died, and against two writers.
TEST_CASE_METHOD(OrderedFixture, "rollout_writerDies_nextByRankWrites", "[entry][entry_rollout]") {
  for (int number = 2; number <= 5; ++number) {
    ReceiveReport(rollout::Phase::kCanary, std::nullopt, 10, "host-" + std::to_string(number));
  }
  ServeWell(8s);
  CHECK(states == States{RolloutState::kRunning});
}

// Guards against two final states of one order.
TEST_CASE_METHOD(OrderedFixture,
                 "rollout_otherHostWroteFirst_itsStateCounts",
                 "[entry][entry_rollout]") {
  ServeWell(2s);
  status = RolloutStatus{"v2", RolloutState::kRolledBack};
  end += 1;
  ServeWell(10s);
  CHECK(Phase() == rollout::Phase::kRolledBack);
  CHECK(states == States{RolloutState::kRunning});
}

// Guards against a state that is written twice as the response to the first write was lost.
TEST_CASE_METHOD(OrderedFixture, "rollout_responseLost_statusReadAgain", "[entry][entry_rollout]") {
  loses_next_response = true;
  ServeWell(3s);
  CHECK(states == States{RolloutState::kRunning});
  CHECK(state.rollouts.at("plain").active->published == RecordedState{RolloutState::kRunning, 0});
}

// Guards against a final state that is lost with a store that comes back from a copy.
TEST_CASE_METHOD(OrderedFixture,
                 "rollout_storeReturned_finalStateWrittenAgain",
                 "[entry][entry_rollout]") {
  ServeBadly(6s);
  status = RolloutStatus{"v2", RolloutState::kRunning};
  states.clear();
  Collect(StoreEraRead{1});
  RolloutOrderRead order{"plain", "v2", 12s, false, 0ms, StorePosition(1, 10)};
  Collect(RolloutOrdersRead{{order}});
  ServeBadly(3s);
  CHECK(states == States{RolloutState::kRolledBack});
  CHECK(Phase() == rollout::Phase::kRolledBack);
}

// Guards against a restarted host that gives a version which was rolled back another trial.
TEST_CASE_METHOD(RolloutFixture,
                 "rollout_hostRestarted_readsStatusFirst",
                 "[entry][entry_rollout]") {
  state.store.confirmed.reset();
  AddVersion("v1", 1, 3);
  AddVersion("v2", 21, 3);
  is_store_up = false;
  status = RolloutStatus{"v2", RolloutState::kRolledBack};
  Order("v2", 10, 4s);
  ConfirmStore();
  ServeWell(1s);
  CHECK(sends["v2"] == 0);
  is_store_up = true;
  ServeWell(10s);
  CHECK(sends["v2"] == 0);
  CHECK(Phase() == rollout::Phase::kRolledBack);
  CHECK(states.empty());
}

// Guards against a restarted host whose requests fail as the old upstreams were stopped.
TEST_CASE_METHOD(RolloutFixture,
                 "rollout_hostRestartedAfterSuccess_usesTarget",
                 "[entry][entry_rollout]") {
  state.store.confirmed.reset();
  AddVersion("v2", 21, 3);
  is_store_up = false;
  Order("v2", 10, 4s);
  ConfirmStore();
  ServeWell(1s);
  CHECK(sends["v2"] > 50);
}

// Guards against evidence and a state of an earlier order that count for the next one.
TEST_CASE_METHOD(OrderedFixture, "rollout_orderReplaced_startsAnew", "[entry][entry_rollout]") {
  ServeBadly(6s);
  Order("v2", 11);
  CHECK(Phase() == rollout::Phase::kCanary);
  CHECK(state.rollouts.at("plain").active->own.empty());
  ServeWell(12s);
  CHECK(states == States{RolloutState::kRunning, RolloutState::kRolledBack, RolloutState::kRunning,
                         RolloutState::kSucceeded});
}

// Guards against a withdrawn version that gets requests.
TEST_CASE_METHOD(OrderedFixture,
                 "rollout_orderDeleted_targetGetsNothing",
                 "[entry][entry_rollout]") {
  ServeWell(3s);
  const int target_sends = sends["v2"];
  CHECK(target_sends > 0);
  Withdraw(11);
  ServeWell(8s);
  CHECK(sends["v2"] == target_sends);
  CHECK(states == States{RolloutState::kRunning});
}

// Guards against an order for a version that doesn't exist and disturbs the one in force.
TEST_CASE_METHOD(OrderedFixture, "rollout_unknownTarget_changesNothing", "[entry][entry_rollout]") {
  ServeWell(1s);
  Order("v9", 11);
  ServeWell(10500ms);
  CHECK(Phase() == rollout::Phase::kSucceeded);
  CHECK(state.rollouts.at("plain").active->order.target == "v2");
}

// Guards against a host that learns of a rollback from its peers only when the store is read.
TEST_CASE_METHOD(OrderedFixture, "rollout_peerRolledBack_stopsAtOnce", "[entry][entry_rollout]") {
  ServeWell(2s);
  const int target_sends = sends["v2"];
  ReceiveReport(rollout::Phase::kRolledBack, std::nullopt, 10);
  ServeWell(2s);
  CHECK(sends["v2"] == target_sends);
}

// Guards against a host that can't read the order and disturbs a roll-out which its peers know.
TEST_CASE_METHOD(RolloutFixture,
                 "rollout_orderKnownToPeersOnly_isFollowed",
                 "[entry][entry_rollout]") {
  AddVersion("v1", 1, 3);
  now += 10s;
  AddVersion("v2", 21, 3);
  ReceiveReport(rollout::Phase::kSucceeded, RolloutState::kSucceeded, 10);
  ServeWell(1s);
  CHECK(sends["v1"] == 0);
  CHECK(sends["v2"] > 50);
}

}  // namespace
}  // namespace snipeturn::entry
