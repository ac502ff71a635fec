#include <catch2/catch.hpp>

#include "snipeturn/loop/runtime_fixture.h"

namespace snipeturn::loop {
namespace {

class ResponseFixture : public RuntimeFixture {
 public:
  static constexpr const char* kStreamHead =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n"
      "Content-Type: text/event-stream\r\n";

  /// Sends a request and returns the connection on which it reaches the upstream.
  tcp::socket& Send(const std::string& id, const std::string& path) {
    Write(caller, RequestText(id, path));
    REQUIRE(RunUntil([this] { return IsUpstreamReached(); }));
    const std::string request = ReadUntil(upstream_sockets.back(), "body");
    REQUIRE(request.find(id) != std::string::npos);
    return upstream_sockets.back();
  }

  static void Reset(tcp::socket& socket) {
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
  }
};

// Guards against a limit that an upstream states and nobody reads.
TEST_CASE_METHOD(ResponseFixture, "response_statesLimit_reachesState", "[loop]") {
  const auto limit = [this] {
    return runtime.state().upstreams.at("plain-1").rate_limit.requests_per_second;
  };
  const std::string head = "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n";
  tcp::socket& upstream = Send("r1", "/book/a");
  Write(upstream, head + "Server-Limit: 2.5\r\n\r\n");
  static_cast<void>(ReadUntil(caller, "\r\n\r\n"));
  CHECK(limit() == 2.5);
  SECTION("unreadable") {
    tcp::socket& again = Send("r2", "/book/a");
    Write(again, head + "Server-Limit: some\r\n\r\n");
    static_cast<void>(ReadUntil(caller, "\r\n\r\n"));
    CHECK(limit() == 2.5);
  }
  SECTION("no longer stated") {
    tcp::socket& again = Send("r2", "/book/a");
    Write(again, head + "\r\n");
    static_cast<void>(ReadUntil(caller, "\r\n\r\n"));
    CHECK_FALSE(limit());
  }
}

// Guards against streams that are cut because their server marks the end by closing.
TEST_CASE_METHOD(ResponseFixture, "stream_withoutLengthClosedInOrder_complete", "[loop]") {
  tcp::socket& upstream = Send("r1", "/long/a");
  Write(upstream, std::string(kStreamHead) + "\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  upstream.close();
  const std::string response = ReadUntil(caller, "0\r\n\r\n");
  CHECK(response.find("data: b") != std::string::npos);
  CHECK(response.find("0\r\n\r\n") != std::string::npos);
}

// Guards against a stream that broke off and looks complete to its caller.
TEST_CASE_METHOD(ResponseFixture, "stream_withoutLengthBrokenOff_incomplete", "[loop]") {
  tcp::socket& upstream = Send("r1", "/long/a");
  const std::string head = std::string(kStreamHead) + "\r\n";
  SECTION("inside an event") {
    Write(upstream, head + "id: 1\ndata: a\n\nid: 2\nda");
    upstream.close();
  }
  SECTION("before the blank line of an event") {
    Write(upstream, head + "id: 1\ndata: a\n\nid: 2\ndata: b\n");
    upstream.close();
  }
  SECTION("by a reset") {
    Write(upstream, head + "id: 1\ndata: a\n\n");
    static_cast<void>(ReadUntil(caller, "data: a"));
    Reset(upstream);
  }
  SECTION("before the first event") {
    Write(upstream, head);
    upstream.close();
  }
  const std::string response = ReadUntil(caller, "0\r\n\r\n");
  CHECK(response.find("0\r\n\r\n") == std::string::npos);
}

}  // namespace
}  // namespace snipeturn::loop
