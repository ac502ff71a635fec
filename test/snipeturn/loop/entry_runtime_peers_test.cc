#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "snipeturn/entry/load.h"
#include "snipeturn/loop/peer_socket.h"
#include "snipeturn/loop/runtime_fixture.h"

namespace snipeturn::loop {
namespace {

// Guards against a host that counts its own load twice, and itself as another host: a record of
// another writer names its address.
TEST_CASE_METHOD(RuntimeFixture, "peer_isThisHost_ownLoadIgnored", "[loop]") {
  runtime.SetPeers({{"other", {"127.0.0.1", runtime.peer_port()}}});
  RunFor(1200ms);
  CHECK(runtime.state().peers.empty());
  CHECK(runtime.state().hosts <= 1);
}

// Guards against callers, timers and stops that wait while datagrams arrive faster than they are
// handled.
TEST_CASE_METHOD(LoopFixture, "datagrams_arriveWithoutEnd_timersRunMeanwhile", "[loop]") {
  using boost::asio::ip::udp;
  udp::socket sender(context, {boost::asio::ip::address_v4::loopback(), 0});
  const std::string datagram =
      EncodeConfirmationRequest("host-2", entry::RequestConfirmation{"host-1", TimePoint{}});
  const auto until = std::chrono::steady_clock::now() + 1s;
  int handled = 0;
  udp::endpoint own(boost::asio::ip::address_v4::loopback(), 0);
  PeerSocket peer_socket(context, "host-1", {"127.0.0.1", 0}, [&](PeerMessage&& /*message*/) {
    ++handled;
    if (std::chrono::steady_clock::now() < until) {
      sender.send_to(boost::asio::buffer(datagram), own);
    }
  });
  REQUIRE_FALSE(peer_socket.failure());
  own.port(peer_socket.port());
  int handled_at_timer = 0;
  boost::asio::steady_timer timer(context, 50ms);
  timer.async_wait([&](const boost::system::error_code& /*error*/) { handled_at_timer = handled; });
  sender.send_to(boost::asio::buffer(datagram), own);
  RunFor(1200ms);
  CHECK(handled_at_timer > 0);
  CHECK(handled > handled_at_timer + 1);
}

// Guards against tables that no host receives, because updates with long names don't fit into one
// datagram.
TEST_CASE_METHOD(RuntimeFixture, "updates_longNames_tableFitsDatagram", "[loop]") {
  constexpr std::size_t kMaxDatagramBytes = 32768;
  for (int i = 0; i < 96; ++i) {
    entry::UpstreamEntry upstream;
    upstream.id = std::string(250, 'i') + std::to_string(i);
    upstream.service = std::string(255, 's');
    upstream.zone = std::string(255, 'z');
    upstream.endpoint = {"10.123.123.123", 65535};
    upstream.slots = 6;
    runtime.Apply(entry::UpstreamListed{upstream, {0, ++last_offset}});
  }
  const auto table = entry::MakeLoadBroadcast(runtime.state(), BootTime());
  CHECK(EncodeLoad(table).size() < kMaxDatagramBytes);
  CHECK(table.last_update >= 96);
  CHECK_FALSE(table.recent_updates.empty());
}

}  // namespace
}  // namespace snipeturn::loop
