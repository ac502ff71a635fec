#include <catch2/catch.hpp>

#include <map>
#include <string>

#include "snipeturn/loop/runtime_fixture.h"

namespace snipeturn::loop {
namespace {

/// An engine that sends responses a second time, late: before the next response on the connection.
class LateResponsesFixture : public RuntimeFixture {
 public:
  LateResponsesFixture() : other_caller(context) {
    other_caller.connect({boost::asio::ip::address_v4::loopback(), front});
  }

  /// Starts a stream and returns the connection on which it runs.
  std::size_t StartStream(tcp::socket& from, const std::string& id) {
    const std::size_t place = upstream_sockets.size();
    Write(from, RequestText(id, "/long/a"));
    REQUIRE(RunUntil([&] { return IsUpstreamReached() && upstream_sockets.size() == place + 1; }));
    REQUIRE(ReadUntil(upstream_sockets[place], "body").find(id) != std::string::npos);
    Write(upstream_sockets[place], StreamStart(id));
    REQUIRE(ReadUntil(from, "data: a").find("data: a") != std::string::npos);
    return place;
  }

  static std::string StreamStart(const std::string& id) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
           "\r\nResponse-Stamp: s\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
  }

  static std::string Json(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  /// Lets the engine leave, which moves its streams to another one.
  void Leave() {
    AddUpstream("engine-2", "engines", endpoint());
    entry::UpstreamEntry source = runtime.state().upstreams.at("engine-1").entry;
    source.leaving = true;
    runtime.Apply(entry::UpstreamListed{source, {0, ++last_offset}});
  }

  /// Reads what a connection holds without waiting.
  std::string ReadPending(std::size_t place) {
    std::string bytes(4096, '\0');
    boost::system::error_code error;
    upstream_sockets[place].non_blocking(true);
    bytes.resize(upstream_sockets[place].read_some(boost::asio::buffer(bytes), error));
    return bytes;
  }

  tcp::socket other_caller;
};

// Guards against a response to a copy call, sent again late, that is taken for the response to the
// call for another generation, which then went on from the memory of the first (review/6).
TEST_CASE_METHOD(LateResponsesFixture, "copyResponse_sentAgain_notTakenForOtherCall", "[loop]") {
  StartStream(caller, "r1");
  const std::size_t first_call = 1 + StartStream(other_caller, "r2");
  Leave();
  std::map<std::size_t, std::string> late;
  std::map<std::size_t, std::string> open_calls;
  std::map<std::string, std::string> resumed;
  const auto receive = [&](std::size_t place, const std::string& text) {
    const std::size_t id = text.find(R"("id":")");
    const std::size_t copy = text.find("/h-");
    if (id != std::string::npos) {
      open_calls[place] = text.substr(id + 6, 2);
    } else if (copy != std::string::npos) {
      resumed[text.substr(text.find("Request-Id: ") + 12, 2)] = text.substr(copy + 3, 2);
    }
  };
  RunUntil([&] {
    IsUpstreamReached();
    for (std::size_t place = first_call; place < upstream_sockets.size(); ++place) {
      receive(place, ReadPending(place));
    }
    // Both calls end at the same time, so that the next two can take each other's connection.
    if (open_calls.size() == 2) {
      for (const auto& [place, request] : open_calls) {
        const std::string response = Json(R"({"handle":"h-)" + request + R"(","created_rev":1})");
        Write(upstream_sockets[place], late[place] + response);
        late[place] = response;
      }
      open_calls.clear();
    }
    return resumed.size() == 2;
  });
  CHECK(resumed == std::map<std::string, std::string>{{"r1", "r1"}, {"r2", "r2"}});
}

// Guards against the response to a call, sent again late, that ends the request which uses the
// connection next.
TEST_CASE_METHOD(LateResponsesFixture, "callResponse_sentAgain_skippedByNextRequest", "[loop]") {
  // The list of upstreams is old, so that the daemon reads a report of the engine.
  const std::size_t place = 1 + StartStream(caller, "r1");
  REQUIRE(RunUntil([&] { return IsUpstreamReached() && upstream_sockets.size() == place + 1; }));
  REQUIRE(ReadUntil(upstream_sockets[place], "\r\n\r\n").find("report") != std::string::npos);
  const std::string report = Json(R"({"state":"ready"})");
  Write(upstream_sockets[place], report);
  RunFor(20ms);
  Write(other_caller, RequestText("r2", "/long/a"));
  REQUIRE(ReadUntil(upstream_sockets[place], "body").find("r2") != std::string::npos);
  Write(upstream_sockets[place], report);
  SECTION("before the response") {
    Write(upstream_sockets[place], StreamStart("r2"));
    CHECK(ReadUntil(other_caller, "data: a").find("200 OK") != std::string::npos);
  }
  SECTION("and then another one without an id") {
    Write(upstream_sockets[place], report);
    CHECK(ReadUntil(other_caller, "unknown").find("502") != std::string::npos);
  }
}

// Guards against a response without an id, sent again late, that is taken for the response to a
// call: it is accepted for the first request on a connection only, which isn't used again.
TEST_CASE_METHOD(LateResponsesFixture, "response_withoutId_connectionNotUsedAgain", "[loop]") {
  const std::string response = "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n";
  Write(caller, RequestText("r1"));
  REQUIRE(RunUntil([this] { return IsUpstreamReached(); }));
  static_cast<void>(ReadUntil(upstream_sockets[0], "body"));
  Write(upstream_sockets[0], response);
  REQUIRE(ReadUntil(caller, "\r\n\r\n").find("404") != std::string::npos);
  Write(caller, RequestText("r2"));
  REQUIRE(RunUntil([this] { return IsUpstreamReached() && upstream_sockets.size() == 2; }));
  CHECK(ReadUntil(upstream_sockets[1], "body").find("r2") != std::string::npos);
}

}  // namespace
}  // namespace snipeturn::loop
