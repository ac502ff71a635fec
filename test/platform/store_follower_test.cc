#include "platform/store_follower.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "fake_store.h"
#include "platform/entry_wire_codec.h"
#include "snipeturn/loop/entry_runtime.h"
#include "snipeturn/loop/log_writer.h"
#include "snipeturn/loop/loop_fixture.h"

namespace snipeturn::platform {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::udp;

/// A host that follows a store in memory.
class StoreFollowerFixture : public loop::LoopFixture {
 public:
  explicit StoreFollowerFixture(bool rollouts_enabled = false)
      : store(acceptor),
        former_peer(context, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        current_peer(context, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        log("host-1", ::open("/dev/null", O_WRONLY | O_CLOEXEC)),
        runtime(context, MakeOptions(rollouts_enabled), EntryWireCodec(), log),
        follower(context, runtime, endpoint(), "host-1", {"127.0.0.1", 7200}) {
    const std::optional<std::string> failure = runtime.Start();
    INFO("failed: " << failure.value_or(""));
    REQUIRE_FALSE(failure.has_value());
    WriteVersion(1);
  }

  void Start() {
    follower.Start();
    REQUIRE(RunUntil([this] { return IsOwnRecordStored() && Version() > 0; }));
  }

  void WriteVersion(int version) {
    store.Write("keyed.op", "config",
                R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})");
  }

  void WriteHostRecord(const udp::socket& peer, int sequence, int written_ms) {
    HostRecord record{{"127.0.0.1", peer.local_endpoint().port()}, "zone-a", sequence};
    record.written_at = WallTime(std::chrono::milliseconds(written_ms));
    store.Write(kHosts, "host-2", WriteHost(record));
  }

  std::int64_t Version() const {
    return runtime.state().desired ? runtime.state().desired->version : 0;
  }

  bool IsOwnRecordStored() { return !store.Newest(kHosts, "host-1").empty(); }

  /// Runs the loop until the condition holds, for longer than a write that fails is tried again.
  bool RunLongUntil(const std::function<bool()>& condition) {
    return RunUntil(condition) || RunUntil(condition) || RunUntil(condition);
  }

  /// Drops the datagrams that have arrived; returns their number.
  static int Drain(udp::socket& socket) {
    int datagrams = 0;
    char bytes[2048];
    boost::system::error_code error;
    socket.non_blocking(true);
    while (socket.receive(boost::asio::buffer(bytes), 0, error) > 0 && !error) {
      ++datagrams;
    }
    return datagrams;
  }

  /// Waits for a datagram of the host.
  bool IsReached(udp::socket& socket) {
    int datagrams = 0;
    return RunUntil([&] {
      datagrams += Drain(socket);
      return datagrams > 0;
    });
  }

  void WriteOrder(const std::string& target) {
    store.Write("keyed.op", "rollout/chat",
                R"({"service":"chat","duration_s":12,"target":")" + target + "\"}");
  }

  /// Target of the order that waits for upstreams of its version; empty if there is none.
  std::string PendingTarget() const {
    const auto found = runtime.state().rollouts.find("chat");
    const bool is_pending = found != runtime.state().rollouts.end() && found->second.pending;
    return is_pending ? found->second.pending->order.target : "";
  }

  void WriteUpstream(const std::string& version) {
    store.Write("keyed.servers", "i-1",
                R"({"service":"chat","address":"127.0.0.1:1","zone":"zone-a","slots":4,)"
                R"("state":"ready","version":)" +
                    version + "}");
  }

  /// Lets the host read the newest records again, as its position isn't in the log any more.
  void LoseLogEnd() {
    WriteVersion(90);
    WriteVersion(91);
    REQUIRE(RunUntil([this] { return Version() == 91; }));
    store.logs["keyed.op"].pop_back();
    store.logs["keyed.op"].back().value = R"({"version":92,"routes":[],"services":[]})";
    REQUIRE(RunUntil([this] { return Version() == 92; }));
  }

  static constexpr const char* kHosts = "keyed.snipeturn-hosts";

  FakeStore store;
  /// Addresses of another host before and after its restart.
  udp::socket former_peer;
  udp::socket current_peer;
  loop::LogWriter log;
  loop::EntryRuntime runtime;
  StoreFollower follower;

 private:
  loop::RuntimeOptions MakeOptions(bool rollouts_enabled) {
    loop::RuntimeOptions options;
    options.entry.rollouts_enabled = rollouts_enabled;
    options.entry.host = "host-1";
    options.entry.zone = "zone-a";
    options.front = {"127.0.0.1", FreePort()};
    options.ready = {"127.0.0.1", FreePort()};
    options.peer = {"127.0.0.1", 0};
    return options;
  }
};

// Guards against a version that is missed because it was written at an offset that was read before
// the store came back.
TEST_CASE_METHOD(StoreFollowerFixture,
                 "storeReturned_versionAtFormerOffset_inForce",
                 "[platform]") {
  Start();
  const auto copy = store.logs;
  WriteVersion(2);
  WriteVersion(3);
  REQUIRE(RunUntil([this] { return Version() == 3; }));
  store.Restore(copy);
  WriteVersion(4);
  WriteVersion(5);
  CHECK(RunUntil([this] { return Version() == 5; }));
}

// Guards against a zone that is used again because the copy doesn't know of its evacuation, and
// against one that stays evacuated after the operator has ended it.
TEST_CASE_METHOD(StoreFollowerFixture, "storeReturned_evacuationNotInCopy_inForce", "[platform]") {
  Start();
  const auto copy = store.logs;
  store.Write("keyed.op", "evacuate/zone-b", "{}");
  const auto is_evacuated = [this] { return runtime.state().evacuated_zones.count("zone-b") > 0; };
  REQUIRE(RunUntil(is_evacuated));
  store.Restore(copy);
  WriteVersion(2);
  REQUIRE(RunUntil([this] { return Version() == 2; }));
  CHECK(is_evacuated());
  store.Write("keyed.op", "evacuate/zone-b", "{}");
  store.Write("keyed.op", "evacuate/zone-b", "");
  CHECK(RunUntil([&is_evacuated] { return !is_evacuated(); }));
}

// Guards against a host that others can't find for 30 s, as the store lost its record.
TEST_CASE_METHOD(StoreFollowerFixture, "storeReturned_ownRecordLost_writtenAgain", "[platform]") {
  const auto copy = store.logs;
  Start();
  store.Restore(copy);
  CHECK(RunUntil([this] { return IsOwnRecordStored(); }));
  const int appends = store.appends;
  RunFor(300ms);
  CHECK(store.appends == appends);
}

// Guards against a record that stays lost for 30 s because the first write after the return failed.
TEST_CASE_METHOD(StoreFollowerFixture, "storeReturned_writeFails_triedAgain", "[platform]") {
  const bool is_refused = GENERATE(true, false);
  const auto copy = store.logs;
  Start();
  store.Restore(copy);
  (is_refused ? store.refused_appends : store.lost_appends) = 1;
  const int appends = store.appends;
  CHECK(RunLongUntil([this] { return IsOwnRecordStored(); }));
  CHECK(store.appends == appends + 2);
}

// Guards against a write that counts as done although the store lost it while it was in progress.
TEST_CASE_METHOD(StoreFollowerFixture, "storeReturned_duringWrite_writtenAgain", "[platform]") {
  const auto copy = store.logs;
  Start();
  runtime.Apply(entry::StoreEraRead{2});  // A peer has told of the return first.
  REQUIRE(RunUntil([this] { return store.appends == 2; }));
  store.Restore(copy);
  CHECK(RunLongUntil([this] { return IsOwnRecordStored(); }));
}

// Guards against datagrams to the former address of a host that has restarted since the copy was
// made.
TEST_CASE_METHOD(StoreFollowerFixture, "storeReturned_hostKnownLater_addressKept", "[platform]") {
  WriteHostRecord(former_peer, 5, 1000);
  const auto copy = store.logs;
  WriteHostRecord(current_peer, 1, 2000);
  Start();
  REQUIRE(IsReached(current_peer));
  CHECK(Drain(former_peer) == 0);
  store.Restore(copy);
  REQUIRE(RunUntil([this] { return IsOwnRecordStored(); }));
  Drain(current_peer);
  RunFor(700ms);
  CHECK(Drain(current_peer) > 0);
  CHECK(Drain(former_peer) == 0);
}

// Guards against a host that is never heard of: one that only the copy names.
TEST_CASE_METHOD(StoreFollowerFixture, "storeReturned_hostUnknown_added", "[platform]") {
  Start();
  store.Restore(store.logs);
  WriteHostRecord(current_peer, 1, 1000);
  CHECK(IsReached(current_peer));
}

/// A host with roll-outs.
class RolloutFollowerFixture : public StoreFollowerFixture {
 public:
  RolloutFollowerFixture() : StoreFollowerFixture(true) {}
};

// Guards against an order that isn't followed, or is followed after it was withdrawn.
TEST_CASE_METHOD(RolloutFollowerFixture, "order_writtenAndWithdrawn_followed", "[platform]") {
  const bool is_before_start = GENERATE(true, false);
  if (is_before_start) {
    WriteOrder("v2");
  }
  Start();
  if (!is_before_start) {
    WriteOrder("v2");
  }
  REQUIRE(RunUntil([this] { return PendingTarget() == "v2"; }));
  WriteOrder("v3");
  REQUIRE(RunUntil([this] { return PendingTarget() == "v3"; }));
  store.Write("keyed.op", "rollout/chat", "");
  CHECK(RunUntil([this] { return PendingTarget().empty(); }));
}

// Guards against a malformed order that ends the roll-out which is in force.
TEST_CASE_METHOD(RolloutFollowerFixture, "order_malformed_earlierOneInForce", "[platform]") {
  Start();
  WriteOrder("v2");
  REQUIRE(RunUntil([this] { return PendingTarget() == "v2"; }));
  WriteOrder("");
  WriteVersion(2);
  REQUIRE(RunUntil([this] { return Version() == 2; }));
  CHECK(PendingTarget() == "v2");
  LoseLogEnd();
  CHECK(PendingTarget() == "v2");
}

TEST_CASE_METHOD(RolloutFollowerFixture, "upstream_version_read", "[platform]") {
  Start();
  WriteUpstream("\"v2\"");
  REQUIRE(RunUntil([this] { return runtime.state().upstreams.count("i-1") > 0; }));
  CHECK(runtime.state().upstreams.at("i-1").entry.version == "v2");
}

// Guards against orders, versions and further calls to the store where roll-outs aren't enabled.
TEST_CASE_METHOD(StoreFollowerFixture, "rollouts_notEnabled_nothingRead", "[platform]") {
  Start();
  WriteOrder("v2");
  WriteUpstream("7");
  WriteVersion(2);
  REQUIRE(
      RunUntil([this] { return Version() == 2 && runtime.state().upstreams.count("i-1") > 0; }));
  CHECK(runtime.state().upstreams.at("i-1").entry.version.empty());
  CHECK(runtime.state().rollouts.empty());
  CHECK(store.logs.count("keyed.status") == 0);
}

// Guards against hundreds of hosts that write at once and exceed the store's limit on writes.
TEST_CASE("rewriteDelay_manyHosts_spreadOverASecond", "[platform]") {
  constexpr int kHosts = 400;
  std::map<std::int64_t, int> writes_by_tenth;
  for (int number = 0; number < kHosts; ++number) {
    const std::string host = "front-zone-" + std::to_string(number);
    const auto delay = RewriteDelay(host, 0);
    CHECK(delay == RewriteDelay(host, 0));
    CHECK(delay < 1000ms);
    CHECK(RewriteDelay(host, 1) == delay + 1000ms);
    CHECK(RewriteDelay(host, 2) == delay + 2000ms);
    CHECK(RewriteDelay(host, 50) < 9000ms);
    ++writes_by_tenth[delay / 100ms];
  }
  CHECK(writes_by_tenth.size() == 10);
  for (const auto& [tenth, writes] : writes_by_tenth) {
    CHECK(writes < 2 * kHosts / 10);
  }
}

}  // namespace
}  // namespace snipeturn::platform
