#include <catch2/catch.hpp>

#include <thread>

#include "snipeturn/loop/runtime_fixture.h"

namespace snipeturn::loop {
namespace {

using StopFixture = RuntimeFixture;

// Guards against a request that is passed on after the process has decided to exit, and is cut off
// without a response.
TEST_CASE_METHOD(StopFixture, "request_exitDecided_refusedAndNotPassedOn", "[loop]") {
  // With much of the grace period left, the request would be passed on before the decision.
  entry::Bounds bounds = runtime.state().options.bounds;
  bounds.grace = 8000ms;
  runtime.Apply(entry::OptionsChanged{bounds});
  runtime.Apply(entry::ShutdownRequested{});
  RunFor(2400ms);
  REQUIRE(RunUntil([this] { return runtime.is_stopped(); }));
  Write(caller, RequestText("r1"));
  const std::string response = ReadUntil(caller, "not_run");
  CHECK(response.rfind("HTTP/1.1 503", 0) == 0);
  CHECK(response.find("Connection: close") != std::string::npos);
  CHECK(response.find("Retry-After") != std::string::npos);
  CHECK_FALSE(IsUpstreamReached());
}

// Guards against a request that came after the loop last waited for bytes, and ends without a
// response with the process.
TEST_CASE_METHOD(StopFixture, "request_comesBeforeLastCheck_refused", "[loop]") {
  // The end of the grace period is far.
  entry::Bounds bounds = runtime.state().options.bounds;
  bounds.grace = 8000ms;
  runtime.Apply(entry::OptionsChanged{bounds});
  runtime.Apply(entry::ShutdownRequested{});
  RunFor(2400ms);
  REQUIRE(RunUntil([this] { return runtime.is_stopped(); }));
  boost::asio::steady_timer before_check(context, std::chrono::steady_clock::now());
  before_check.async_wait(
      [this](const boost::system::error_code& /*error*/) { Write(caller, RequestText("r1")); });
  // Both this timer and the check of the exit are due when the loop runs again.
  std::this_thread::sleep_for(200ms);
  RunFor(2s);
  // The process ends here, so nothing may run the loop again.
  REQUIRE(context.stopped());
  caller.non_blocking(true);
  std::string response(4096, ' ');
  boost::system::error_code error;
  response.resize(caller.read_some(boost::asio::buffer(response), error));
  CHECK(response.rfind("HTTP/1.1 503", 0) == 0);
  CHECK_FALSE(IsUpstreamReached());
}

// Guards against a caller whose connection was established but not yet accepted at the exit.
TEST_CASE_METHOD(StopFixture, "connection_waitingAtExit_acceptedAndRefused", "[loop]") {
  tcp::socket late(context);
  runtime.Apply(entry::ShutdownRequested{});
  std::this_thread::sleep_for(1150ms);  // The timer of the exit is due when the loop runs again.
  late.connect({boost::asio::ip::address_v4::loopback(), front});
  Write(late, RequestText("r1"));
  CHECK(ReadUntil(late, "not_run").rfind("HTTP/1.1 503", 0) == 0);
  CHECK_FALSE(IsUpstreamReached());
}

// Guards against a process that ends while a caller is still sending its request.
TEST_CASE_METHOD(StopFixture, "halfRequest_exitDecided_refusedWhenWhole", "[loop]") {
  const std::string text = RequestText("r1");
  Write(caller, text.substr(0, 40));
  StopUntilExitIsDecided();
  RunFor(200ms);
  CHECK_FALSE(context.stopped());
  Write(caller, text.substr(40));
  CHECK(ReadUntil(caller, "not_run").rfind("HTTP/1.1 503", 0) == 0);
  CHECK_FALSE(IsUpstreamReached());
}

// Guards against a process that is killed at the end of its grace period because a caller never
// completes its request.
TEST_CASE_METHOD(StopFixture, "halfRequest_neverWhole_processEndsInTime", "[loop]") {
  Write(caller, RequestText("r1").substr(0, 40));
  runtime.Apply(entry::ShutdownRequested{});
  const TimePoint began = BootTime();
  context.restart();
  context.run_for(1500ms);
  CHECK(BootTime() - began < 1500ms);
}

// Guards against a request in flight at the end of the grace period whose caller gets no response.
TEST_CASE_METHOD(StopFixture, "openRequest_graceOver_answeredAsUnknown", "[loop]") {
  Write(caller, RequestText("r1"));
  REQUIRE(RunUntil([this] { return IsUpstreamReached(); }));
  runtime.Apply(entry::ShutdownRequested{});
  const std::string response = ReadUntil(caller, "unknown");
  CHECK(response.rfind("HTTP/1.1 502", 0) == 0);
}

// Guards against a response that is dropped because its caller reads nothing for some seconds.
TEST_CASE_METHOD(StopFixture,
                 "largeResponse_callerPausesReading_arrivesWhole",
                 "[loop_slow_caller]") {
  tcp::socket slow(context);
  slow.open(tcp::v4());
  slow.set_option(boost::asio::socket_base::receive_buffer_size(8192));
  slow.connect({boost::asio::ip::address_v4::loopback(), front});
  Write(slow, RequestText("r1"));
  REQUIRE(RunUntil([this] { return IsUpstreamReached(); }));
  static_cast<void>(ReadUntil(upstream_sockets[0], "body"));
  const std::size_t size = 6000000;
  std::string response =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nContent-Length: " +
      std::to_string(size) + "\r\n\r\n" + std::string(size, 'x');
  std::size_t written = 0;
  upstream_sockets[0].non_blocking(true);
  REQUIRE(RunUntil([&] {
    boost::system::error_code error;
    written += upstream_sockets[0].write_some(
        boost::asio::buffer(response.data() + written, response.size() - written), error);
    return written == response.size();
  }));
  const std::chrono::milliseconds pause = GENERATE(1500ms, 4000ms);
  CAPTURE(pause);
  RunFor(pause);
  slow.non_blocking(true);
  std::size_t received = 0;
  boost::system::error_code error;
  const auto end = std::chrono::steady_clock::now() + 8s;
  std::vector<char> buffer(65536);
  while (received < size && std::chrono::steady_clock::now() < end &&
         (!error || error == boost::asio::error::would_block)) {
    RunFor(1ms);
    received += slow.read_some(boost::asio::buffer(buffer), error);
  }
  CAPTURE(error.message());
  CHECK(received >= size);
}

}  // namespace
}  // namespace snipeturn::loop
