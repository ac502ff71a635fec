#include <catch2/catch.hpp>

#include <string>

#include "snipeturn/entry/entry_fixture.h"
#include "snipeturn/entry/readers.h"

namespace snipeturn::entry {
namespace {

using namespace std::chrono_literals;

/// A host that is not a reader of the configuration, and three peers.
class ConfirmationFixture : protected EntryFixture {
 protected:
  ConfirmationFixture() {
    Apply(StoreConfirmed{now, {0, 10}});
    for (const char* reader : {"peer-1", "peer-2", "peer-3"}) {
      state.peers[reader].at = now;
    }
    for (int number = 0; IsConfigurationReader(state, now); ++number) {
      state.options.host = "host-" + std::to_string(number);
    }
  }

  /// Receives a table of peer-1, which reads the configuration, and returns the resulting requests.
  std::vector<RequestConfirmation> ReceiveTable(std::uint64_t offset = 10) {
    PeerLoadReceived load;
    load.host = "peer-1";
    load.configuration_position = {0, offset};
    load.configuration_age = 200ms;
    for (auto& [name, peer] : state.peers) {
      peer.at = now;
    }
    Apply(load);
    return EffectsOf<RequestConfirmation>();
  }

  /// Lets the confirmation get old and returns the request that follows.
  RequestConfirmation AgeConfirmation() {
    now += 2s;
    const auto sent_requests = ReceiveTable();
    REQUIRE(sent_requests.size() == 1);
    CHECK(sent_requests[0].host == "peer-1");
    CHECK(sent_requests[0].requested_at == now);
    return sent_requests[0];
  }

  [[nodiscard]] bool IsKeyServed() {
    AddUpstream("plain-" + std::to_string(++upstreams_), "plain");
    ReceiveRequest("/book/a");
    return !EffectsOf<Send>().empty();
  }

  int upstreams_{0};
};

// Guards against hosts that all confirm the keys by their own reads: with 83 hosts these were half
// of the store's calls.
TEST_CASE_METHOD(ConfirmationFixture, "confirmation_readerReplies_noOwnRead", "[entry]") {
  CHECK(ReceiveTable().empty());
  for (int round = 0; round < 5; ++round) {
    const RequestConfirmation request = AgeConfirmation();
    CHECK(ReceiveTable().empty());  // A request is already in flight.
    now += 3ms;
    Apply(ConfirmationReceived{request.requested_at, {0, 10}, 1, 400ms});
    CHECK(EffectsOf<ReadConfiguration>().empty());
    CHECK(*state.store.confirmed == request.requested_at - 400ms);
    CHECK(PlanConfigurationReads(state, now).interval > 10s);
  }
  CHECK(IsKeyServed());
}

// Guards against a revoked key that is accepted because a reply was delayed, by the network or a
// paused host, and its age counted from its arrival.
TEST_CASE_METHOD(ConfirmationFixture, "confirmation_replyLate_ageCountsFromRequest", "[entry]") {
  const RequestConfirmation request = AgeConfirmation();
  now += state.options.bounds.revoke;
  Apply(ConfirmationReceived{request.requested_at, {0, 10}, 1, 100ms});
  CHECK(*state.store.confirmed == request.requested_at - 100ms);
  CHECK_FALSE(IsKeyServed());
}

// Guards against a host that treats an outdated configuration as confirmed.
TEST_CASE_METHOD(ConfirmationFixture,
                 "confirmation_readerHasReadFurther_configurationIsRead",
                 "[entry]") {
  const auto before = state.store.confirmed;
  const RequestConfirmation request = AgeConfirmation();
  Apply(ConfirmationReceived{request.requested_at, {0, 11}, 1, 100ms});
  CHECK(EffectsOf<ReadConfiguration>().size() == 1);
  CHECK(state.store.confirmed == before);
  // An unreachable store is not read again with every reply.
  Apply(StoreReadFailed{"down"});
  Apply(ConfirmationReceived{request.requested_at, {0, 11}, 1, 100ms});
  CHECK(EffectsOf<ReadConfiguration>().empty());
}

// Guards against a reply to a request that this host sent before a restart.
TEST_CASE_METHOD(ConfirmationFixture, "confirmation_replyToOtherRequest_ignored", "[entry]") {
  const auto before = state.store.confirmed;
  const RequestConfirmation request = AgeConfirmation();
  Apply(ConfirmationReceived{request.requested_at + 1s, {0, 10}, 1, 100ms});
  CHECK(state.store.confirmed == before);
}

// Guards against a host that relies on readers although their replies get lost.
TEST_CASE_METHOD(ConfirmationFixture, "confirmation_noReply_hostReadsStore", "[entry]") {
  for (int step = 0; step < 3; ++step) {
    now += 750ms;
    ReceiveTable();
  }
  CHECK(PlanConfigurationReads(state, now).interval < state.options.bounds.revoke / 2);
}

// Guards against a reader that confirms more than it has read, or counts the age of a read from its
// end.
TEST_CASE_METHOD(ConfirmationFixture, "confirmation_requested_ageCountsFromReadStart", "[entry]") {
  now += 2s;
  Apply(StoreConfirmed{now - 900ms, {0, 12}});
  now += 50ms;
  Apply(ConfirmationRequested{"host-9", TimePoint{7s}});
  const auto replies = EffectsOf<SendConfirmation>();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].host == "host-9");
  CHECK(replies[0].requested_at == TimePoint{7s});
  CHECK(replies[0].position == StorePosition(0, 12));
  CHECK(replies[0].age == 950ms);
  state.store = {};
  Apply(ConfirmationRequested{"host-9", TimePoint{8s}});
  REQUIRE(EffectsOf<SendConfirmation>().size() == 1);
  CHECK(EffectsOf<SendConfirmation>()[0].age > state.options.bounds.revoke);
}

}  // namespace
}  // namespace snipeturn::entry
