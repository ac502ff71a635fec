#pragma once

#include <fcntl.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform/entry_wire_codec.h"
#include "snipeturn/loop/boot_clock.h"
#include "snipeturn/loop/entry_runtime.h"
#include "snipeturn/loop/loop_fixture.h"

namespace snipeturn::loop {

/// A runtime with a plain upstream and an engine, both of which are the fixture's listener, and a
/// caller that keeps its connection open.
class RuntimeFixture : public LoopFixture {
 public:
  /// @param memory Memory of the process, in bytes.
  /// @param max_descriptors Descriptors of the process.
  explicit RuntimeFixture(std::size_t memory = RuntimeOptions{}.memory,
                          std::size_t max_descriptors = 0)
      : log("host-1", ::open("/dev/null", O_WRONLY | O_CLOEXEC)),
        runtime(context, MakeOptions(memory, max_descriptors), platform::EntryWireCodec(), log),
        caller(context) {
    const std::optional<std::string> failure = runtime.Start();
    INFO("failed: " << failure.value_or(""));
    REQUIRE_FALSE(failure.has_value());
    entry::DesiredState desired;
    desired.version = 1;
    desired.services["plain"].name = "plain";
    entry::Service& engines = desired.services["engines"];
    engines.name = "engines";
    engines.engine = entry::EngineLimits{};
    engines.engine->slots = 24;
    engines.engine->memory_tokens = 30000;
    engines.engine->supports_migration = true;
    entry::Route route;
    route.name = "book";
    route.host = "svc.example";
    route.path_prefix = "/book/";
    route.kind = entry::RouteKind::kNonIdempotent;
    route.services = {{"plain", 1}};
    route.timeout = 20s;
    route.latency_objective = 300ms;
    desired.routes = {route};
    route.name = "look";
    route.path_prefix = "/look/";
    route.kind = entry::RouteKind::kIdempotent;
    desired.routes.push_back(route);
    route.name = "long";
    route.path_prefix = "/long/";
    route.kind = entry::RouteKind::kStream;
    route.services = {{"engines", 1}};
    desired.routes.push_back(route);
    runtime.Apply(entry::DesiredStateRead{desired});
    runtime.Apply(entry::HostsRead{2, {{"other", ""}}});
    runtime.Apply(entry::ConfirmationReceived{{}, {}, 0, std::chrono::hours(1), "other"});
    runtime.Apply(entry::HostsRead{});
    runtime.Apply(entry::StoreConfirmed{BootTime()});
    AddUpstream("plain-1", "plain", endpoint());
    AddUpstream("engine-1", "engines", endpoint());
    acceptor.non_blocking(true);
    caller.connect({boost::asio::ip::address_v4::loopback(), front});
  }

  entry::UpstreamEntry AddUpstream(const std::string& id,
                                   const std::string& service,
                                   const Endpoint& at) {
    entry::UpstreamEntry upstream;
    upstream.id = id;
    upstream.service = service;
    upstream.zone = "zone-a";
    upstream.endpoint = at;
    upstream.slots = 6;
    runtime.Apply(entry::UpstreamListed{upstream, {0, ++last_offset}});
    return upstream;
  }

  RuntimeOptions MakeOptions(std::size_t memory, std::size_t max_descriptors) {
    front = FreePort();
    RuntimeOptions options;
    options.memory = memory;
    options.max_descriptors = max_descriptors;
    options.entry.host = "host-1";
    options.entry.zone = "zone-a";
    options.entry.bounds.grace = 1500ms;
    options.entry.bounds.fail_closed = false;
    options.front = {"127.0.0.1", front};
    ready = FreePort();
    options.ready = {"127.0.0.1", ready};
    options.peer = {"127.0.0.1", 0};
    metrics = FreePort();
    options.metrics = Endpoint{"127.0.0.1", metrics};
    return options;
  }

  static std::string RequestText(const std::string& id, const std::string& path = "/book/a") {
    return "POST " + path + " HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: " + id +
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

  /// Returns the text of the metrics address.
  std::string ReadMetrics() {
    tcp::socket reader(context);
    reader.connect({boost::asio::ip::address_v4::loopback(), metrics});
    Write(reader, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    return ReadUntil(reader, "snipeturn_cells_heard{");
  }

  /// Stops the runtime and runs the loop until the exit was decided.
  void StopUntilExitIsDecided() {
    runtime.Apply(entry::ShutdownRequested{});
    REQUIRE(RunUntil([this] { return runtime.is_stopped(); }));
  }

  std::uint16_t front{0};
  std::uint16_t ready{0};
  std::uint16_t metrics{0};
  std::uint64_t last_offset{0};
  LogWriter log;
  EntryRuntime runtime;
  tcp::socket caller;
  std::vector<tcp::socket> upstream_sockets;
};

}  // namespace snipeturn::loop
