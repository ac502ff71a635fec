#include "snipeturn/loop/connection.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>
#include <vector>

#include "snipeturn/loop/boot_clock.h"
#include "snipeturn/loop/loop_fixture.h"

namespace snipeturn::loop {
namespace {

/// A connection with a peer whose receive buffer is small, and checks of its acknowledgements as in
/// the housekeeping of the daemon.
class ConnectionFixture : public LoopFixture {
 public:
  ConnectionFixture() : peer(context) {
    peer.open(tcp::v4());
    peer.set_option(boost::asio::socket_base::receive_buffer_size(8192));
    peer.connect(acceptor.local_endpoint());
    connection = std::make_shared<Connection>(acceptor.accept());
    peer.non_blocking(true);
    Connection::Handlers handlers;
    handlers.on_bytes = [](std::string_view /*bytes*/) {};
    handlers.on_end = [this](ConnectionEnd how, const std::string& /*reason*/) { end = how; };
    connection->Start(std::move(handlers));
  }

  void RunWithChecks(std::chrono::milliseconds time) {
    const auto until = std::chrono::steady_clock::now() + time;
    while (!end && std::chrono::steady_clock::now() < until) {
      RunFor(100ms);
      connection->CheckAcknowledgements(BootTime());
    }
  }

  /// Returns the number of bytes that the peer can read until the connection ends, or has so many.
  std::size_t ReadAtPeer(std::size_t expected) {
    std::size_t received = 0;
    std::vector<char> buffer(65536);
    boost::system::error_code error;
    const auto until = std::chrono::steady_clock::now() + 8s;
    while (received < expected && std::chrono::steady_clock::now() < until &&
           (!error || error == boost::asio::error::would_block)) {
      RunFor(1ms);
      received += peer.read_some(boost::asio::buffer(buffer), error);
    }
    return received;
  }

  /// Makes the peer's host drop everything that arrives for it, as if it were unreachable.
  void CutPeerOff() {
    std::array<sock_filter, 1> drop_all{{{BPF_RET | BPF_K, 0, 0, 0}}};
    const sock_fprog program{static_cast<unsigned short>(drop_all.size()), drop_all.data()};
    REQUIRE(::setsockopt(peer.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                         sizeof program) == 0);
  }

  tcp::socket peer;
  std::shared_ptr<Connection> connection;
  std::optional<ConnectionEnd> end;
};

// Guards against a slow reader that is taken for unreachable because its window is full.
TEST_CASE_METHOD(ConnectionFixture,
                 "peer_readsNothingForSeconds_keepsConnection",
                 "[loop_slow_caller]") {
  const std::size_t size = GENERATE(200000, 6000000);
  CAPTURE(size);
  connection->Write(std::string(size, 'x'));
  RunWithChecks(5000ms);
  CHECK_FALSE(end);
  CHECK(ReadAtPeer(size) == size);
}

// Guards against a slow reader of many small pieces, which fill its buffer before its window.
TEST_CASE_METHOD(ConnectionFixture,
                 "peer_readsNoEventsForSeconds_keepsConnection",
                 "[loop_slow_caller]") {
  const std::string event = "id: 1\ndata: x\n\n";
  std::size_t size = 0;
  for (int count = 0; count < 4000; ++count) {
    connection->Write(event);
    size += event.size();
  }
  RunWithChecks(5000ms);
  CHECK_FALSE(end);
  CHECK(ReadAtPeer(size) == size);
}

// Guards against a last response that the kernel drops before a slow caller reads it.
TEST_CASE_METHOD(ConnectionFixture,
                 "lastResponse_peerReadsLate_arrivesWhole",
                 "[loop_slow_caller]") {
  const std::size_t size = 200000;
  connection->DeliverAfterClose();
  connection->Write(std::string(size, 'x'));
  connection->CloseAfterWrite();
  REQUIRE(RunUntil([this] { return !connection->is_open(); }));
  std::this_thread::sleep_for(4000ms);
  CHECK(ReadAtPeer(size) == size);
}

// Guards against work that goes on for a caller that is gone while its window was full.
TEST_CASE_METHOD(ConnectionFixture, "peer_closesWithFullWindow_endsAtOnce", "[loop_slow_caller]") {
  connection->Write(std::string(6000000, 'x'));
  RunWithChecks(4000ms);
  REQUIRE_FALSE(end);
  peer.close();
  CHECK(RunUntil([this] { return end.has_value(); }));
}

// Guards against a time limit for unreachable peers that a full window removes.
TEST_CASE_METHOD(ConnectionFixture, "peer_unreachableWithFullWindow_ends", "[loop_slow_caller]") {
  connection->Write(std::string(6000000, 'x'));
  RunWithChecks(4000ms);
  REQUIRE_FALSE(end);
  CutPeerOff();
  const TimePoint cut_off = BootTime();
  RunWithChecks(9000ms);
  CHECK(end == std::optional(ConnectionEnd::kTimedOut));
  CHECK(BootTime() - cut_off < 7s);
}

// Guards against a response that is taken for complete though its connection was reset: the error
// is reported once, and a write that waits may meet it before the read.
TEST_CASE_METHOD(ConnectionFixture, "peer_resetsWhileBytesWait_endsAsFailed", "[loop]") {
  connection->Write(std::string(6000000, 'x'));
  RunFor(100ms);
  Write(peer, "part of a response");
  peer.set_option(boost::asio::socket_base::linger(true, 0));
  peer.close();
  REQUIRE(RunUntil([this] { return end.has_value(); }));
  CHECK(*end == ConnectionEnd::kFailed);
}

// Guards against a longer time limit for peers that are unreachable while they read.
TEST_CASE_METHOD(ConnectionFixture, "peer_unreachableWhileReading_ends", "[loop_slow_caller]") {
  connection->Write(std::string(200000, 'x'));
  RunWithChecks(3500ms);
  REQUIRE(ReadAtPeer(200000) == 200000);
  RunWithChecks(300ms);
  CutPeerOff();
  const TimePoint cut_off = BootTime();
  connection->Write("more");
  RunWithChecks(6000ms);
  CHECK(end == std::optional(ConnectionEnd::kTimedOut));
  CHECK(BootTime() - cut_off < 4s);
}

// Guards against a connection that fails where the socket supports no option of TCP.
TEST_CASE_METHOD(LoopFixture, "socket_withoutTcpOptions_keepsConnection", "[loop_slow_caller]") {
  std::array<int, 2> descriptors{};
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, descriptors.data()) == 0);
  tcp::socket own(context, tcp::v4(), descriptors[0]);
  tcp::socket peer(context, tcp::v4(), descriptors[1]);
  const auto connection = std::make_shared<Connection>(std::move(own));
  bool has_ended = false;
  Connection::Handlers handlers;
  handlers.on_bytes = [](std::string_view /*bytes*/) {};
  handlers.on_end = [&](ConnectionEnd /*end*/, const std::string& /*reason*/) { has_ended = true; };
  connection->Start(std::move(handlers));
  connection->Write(std::string(400000, 'x') + "end");
  for (int count = 0; count < 3; ++count) {
    RunFor(100ms);
    connection->CheckAcknowledgements(BootTime());
  }
  CHECK_FALSE(has_ended);
  CHECK(ReadUntil(peer, "end").size() == 400003);
}

}  // namespace
}  // namespace snipeturn::loop
