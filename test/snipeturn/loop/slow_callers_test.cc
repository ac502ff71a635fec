#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "snipeturn/loop/boot_clock.h"
#include "snipeturn/loop/caller_connection.h"
#include "snipeturn/loop/loop_fixture.h"

namespace snipeturn::loop {
namespace {

// Guards against a connection that is kept for good, as its caller reads nothing of the last
// response.
TEST_CASE_METHOD(LoopFixture, "lastResponse_callerReadsNothing_ends", "[loop_slow_caller]") {
  const bool is_closing = GENERATE(true, false);
  tcp::socket caller(context);
  caller.open(tcp::v4());
  caller.set_option(boost::asio::socket_base::receive_buffer_size(8192));
  caller.connect(acceptor.local_endpoint());
  ConnectionLimits limits;
  limits.idle_timeout = 1000ms;
  auto connection = std::make_shared<CallerConnection>(1, Accept());
  bool is_closed = false;
  bool is_requested = false;
  CallerConnection::Handlers handlers;
  handlers.on_request = [&](ConnectionKey, HttpHead&&, std::string&&) { is_requested = true; };
  handlers.on_caller_disconnected = [](ConnectionKey) {};
  handlers.on_closed = [&](ConnectionKey) { is_closed = true; };
  connection->Start(std::move(handlers), limits, BootTime());
  Write(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil([&] { return is_requested; }));
  connection->SendResponse(std::string(6000000, 'x'), is_closing);
  const TimePoint until = BootTime() + 6s;
  while (!is_closed && BootTime() < until) {
    RunFor(100ms);
    connection->CheckTimeouts(BootTime());
  }
  CHECK(is_closed);
}

}  // namespace
}  // namespace snipeturn::loop
