#include <fcntl.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <thread>
#include <vector>

#include "platform/entry_wire_codec.h"
#include "snipeturn/loop/boot_clock.h"
#include "snipeturn/loop/entry_runtime.h"
#include "snipeturn/loop/loop_fixture.h"

namespace snipeturn::loop {
namespace {

/// A runtime with one plain upstream, which is the fixture's listener, and a caller that keeps its
/// connection open.
class StopFixture : public LoopFixture {
 public:
  StopFixture()
      : log("host-1", ::open("/dev/null", O_WRONLY | O_CLOEXEC)),
        runtime(context, MakeOptions(), platform::EntryWireCodec(), log),
        caller(context) {
    REQUIRE_FALSE(runtime.Start());
    entry::DesiredState desired;
    desired.version = 1;
    desired.services["plain"].name = "plain";
    entry::Route route;
    route.name = "book";
    route.host = "svc.example";
    route.path_prefix = "/book/";
    route.kind = entry::RouteKind::kNonIdempotent;
    route.services = {{"plain", 1}};
    route.timeout = 20s;
    route.latency_objective = 300ms;
    desired.routes = {route};
    runtime.Apply(entry::DesiredStateRead{desired});
    runtime.Apply(entry::StoreConfirmed{BootTime()});
    entry::UpstreamEntry upstream;
    upstream.id = "plain-1";
    upstream.service = "plain";
    upstream.zone = "zone-a";
    upstream.endpoint = endpoint();
    upstream.slots = 6;
    runtime.Apply(entry::UpstreamListed{upstream, 1});
    acceptor.non_blocking(true);
    caller.connect({boost::asio::ip::address_v4::loopback(), front});
  }

  static std::uint16_t FreePort() {
    boost::asio::io_context own;
    return tcp::acceptor(own, {boost::asio::ip::address_v4::loopback(), 0}).local_endpoint().port();
  }

  RuntimeOptions MakeOptions() {
    front = FreePort();
    RuntimeOptions options;
    options.entry.host = "host-1";
    options.entry.zone = "zone-a";
    options.entry.bounds.grace = 1500ms;
    options.entry.bounds.fail_closed = false;
    options.front = {"127.0.0.1", front};
    options.ready = {"127.0.0.1", FreePort()};
    options.peer = {"127.0.0.1", FreePort()};
    return options;
  }

  static std::string RequestText(const std::string& id) {
    return "POST /book/a HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: 9000\r\nContent-Length: 4\r\n\r\nbody";
  }

  /// Returns whether the runtime has connected to the upstream.
  bool IsUpstreamReached() {
    boost::system::error_code error;
    tcp::socket socket(context);
    acceptor.accept(socket, error);
    if (!error) {
      upstream_sockets.push_back(std::move(socket));
    }
    return !upstream_sockets.empty();
  }

  /// Stops the runtime and runs the loop until the exit was decided.
  void StopUntilExitIsDecided() {
    runtime.Apply(entry::ShutdownRequested{});
    REQUIRE(RunUntil([this] { return runtime.is_stopped(); }));
  }

  std::uint16_t front{0};
  LogWriter log;
  EntryRuntime runtime;
  tcp::socket caller;
  std::vector<tcp::socket> upstream_sockets;
};

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

}  // namespace
}  // namespace snipeturn::loop
