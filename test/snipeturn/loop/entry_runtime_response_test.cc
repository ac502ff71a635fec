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
  Write(upstream, head + "Request-Id: r1\r\nServer-Limit: 2.5\r\n\r\n");
  static_cast<void>(ReadUntil(caller, "\r\n\r\n"));
  CHECK(limit() == 2.5);
  SECTION("unreadable") {
    tcp::socket& again = Send("r2", "/book/a");
    Write(again, head + "Request-Id: r2\r\nServer-Limit: some\r\n\r\n");
    static_cast<void>(ReadUntil(caller, "\r\n\r\n"));
    CHECK(limit() == 2.5);
  }
  SECTION("no longer stated") {
    tcp::socket& again = Send("r2", "/book/a");
    Write(again, head + "Request-Id: r2\r\n\r\n");
    static_cast<void>(ReadUntil(caller, "\r\n\r\n"));
    CHECK_FALSE(limit());
  }
}

// Guards against an operator who can't see which upstream keeps requests back, and against metrics
// that grow with upstreams that state nothing.
TEST_CASE_METHOD(ResponseFixture, "metrics_statementsInForce_listed", "[loop]") {
  AddUpstream("plain-2", "plain", endpoint());
  const auto says = [this](const std::string& id, const backpressure::Signals& signals) {
    runtime.Apply(entry::UpstreamSignalled{id, BootTime(), signals});
  };
  const auto has = [this](const std::string& line) {
    return ReadMetrics().find(line) != std::string::npos;
  };
  CHECK_FALSE(has("{upstream="));
  backpressure::Signals signals;
  signals.pause = 600ms;
  says("plain-1", signals);
  says("plain-1", signals);
  signals = {};
  signals.is_leaving = true;
  says("plain-2", signals);
  signals = {};
  signals.requests_per_second = 2.5;
  says("engine-1", signals);
  Write(caller, RequestText("r1", "/book/a"));
  RunFor(50ms);
  CHECK(has("snipeturn_upstream_pause_seconds{upstream=\"plain-1\"} 0."));
  CHECK(has("snipeturn_upstream_pauses_seen{upstream=\"plain-1\"} 2\n"));
  CHECK(has("snipeturn_upstream_pause_kept_back{upstream=\"plain-1\"} 1\n"));
  CHECK(has("snipeturn_upstream_leaving_seconds{upstream=\"plain-2\"} 0."));
  CHECK(has("snipeturn_upstream_leavings_seen{upstream=\"plain-2\"} 1\n"));
  CHECK(has("snipeturn_upstream_leaving_kept_back{upstream=\"plain-2\"} 1\n"));
  CHECK(has("snipeturn_upstream_limit_per_second{upstream=\"engine-1\"} 2.5\n"));
  CHECK(has("snipeturn_upstream_limits_seen{upstream=\"engine-1\"} 1\n"));
  CHECK(has("snipeturn_upstream_limit_kept_back{upstream=\"engine-1\"} 0\n"));
  CHECK(has("snipeturn_kept_back_total{signal=\"pause\"} 1\n"));
  RunFor(1200ms);
  CHECK_FALSE(has("snipeturn_upstream_pause_seconds{"));
  CHECK(has("snipeturn_upstream_leaving_seconds{"));
}

// Guards against a copy of an earlier refusal, late on a kept connection, that is taken for the
// response to the next request: its caller would repeat a request that runs.
TEST_CASE_METHOD(ResponseFixture, "refusal_writtenAgain_notTakenForNextResponse", "[loop]") {
  const std::string refusal =
      "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n";
  const std::string id = GENERATE("Request-Id: r1\r\n\r\n", "\r\n");
  tcp::socket& upstream = Send("r1", "/book/a");
  Write(upstream, refusal + "Request-Id: r1\r\n\r\n");
  CHECK(ReadUntil(caller, "not_run").find("503") != std::string::npos);
  SECTION("before the next request is written") {
    Write(upstream, refusal + id);
    RunFor(50ms);
    Write(caller, RequestText("r2", "/book/a"));
    REQUIRE(RunUntil([this] { return IsUpstreamReached() && upstream_sockets.size() == 2; }));
    static_cast<void>(ReadUntil(upstream_sockets.back(), "body"));
    Write(
        upstream_sockets.back(),
        "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nResponse-Stamp: s\r\nContent-Length: 4\r\n\r\nsold");
    CHECK(ReadUntil(caller, "sold").find("200 OK") != std::string::npos);
  }
  SECTION("while the next request runs") {
    Write(caller, RequestText("r2", "/book/a"));
    REQUIRE(ReadUntil(upstream, "body").find("r2") != std::string::npos);
    Write(upstream, refusal + id);
    Write(
        upstream,
        "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nResponse-Stamp: s\r\nContent-Length: 4\r\n\r\nsold");
    const std::string response = ReadUntil(caller, "\r\n\r\n");
    CHECK(response.find("503") == std::string::npos);
    CHECK(response.find("not_run") == std::string::npos);
    // Without an id nothing tells whose response it is.
    CHECK((response.find("200 OK") != std::string::npos) == (id != "\r\n"));
  }
}

// Guards against events that are dropped behind a comment, which took the next number, so that the
// stream ended as complete without them.
TEST_CASE_METHOD(ResponseFixture, "stream_commentsBetweenEvents_noEventDropped", "[loop]") {
  const std::string id = GENERATE("", "id: 1\n");
  tcp::socket& upstream = Send("r1", "/long/a");
  Write(upstream, std::string(kStreamHead) + "Connection: close\r\n\r\n: hello\n\n");
  RunFor(20ms);
  Write(upstream, id + "data: one\n\n: ping\n\nretry: 5\n\n");
  const std::string first = ReadUntil(caller, "data: one\n\n");
  CHECK(first.find(": hello\n\n") < first.find("data: one"));
  Write(upstream, (id.empty() ? "" : "id: 2\n") + std::string("data: two\n\n: bye\n\n"));
  CHECK(ReadUntil(caller, "data: two\n\n").find(": ping\n\n") != std::string::npos);
  upstream.shutdown(tcp::socket::shutdown_both);
  CHECK(ReadUntil(caller, "0\r\n\r\n").find("0\r\n\r\n") != std::string::npos);
}

// Guards against comments without end: they belong to no event, so that nothing else bounds them.
TEST_CASE_METHOD(ResponseFixture, "stream_commentsWithoutEnd_broken", "[loop]") {
  tcp::socket& troubled = Send("r1", "/long/a");
  Write(troubled, std::string(kStreamHead) + "Connection: close\r\n\r\n");
  std::string piece;
  while (piece.size() < 65536) {
    piece += ": ping\n\n";
  }
  troubled.non_blocking(true);
  CHECK(RunUntil([&] {
    boost::system::error_code error;
    troubled.write_some(boost::asio::buffer(piece), error);
    return error && error != boost::asio::error::would_block;
  }));
  CHECK(ReadUntil(caller, "unknown").find("502") != std::string::npos);
}

// Guards against one stream of line ends without end that keeps the loop from all other requests
// (review/1).
TEST_CASE_METHOD(ResponseFixture,
                 "stream_lineEndsWithoutEnd_brokenWhileOthersAreServed",
                 "[loop]") {
  const std::string line_end = GENERATE("\r\n", "\n");
  tcp::socket& troubled = Send("r1", "/long/a");
  Write(troubled, std::string(kStreamHead) + "Connection: close\r\n\r\n");
  std::string piece;
  while (piece.size() < 65536) {
    piece += line_end;
  }
  troubled.non_blocking(true);
  bool is_closed = false;
  const auto begin = std::chrono::steady_clock::now();
  REQUIRE(RunUntil([&] {
    boost::system::error_code error;
    troubled.write_some(boost::asio::buffer(piece), error);
    is_closed = error && error != boost::asio::error::would_block;
    return is_closed;
  }));
  CHECK(std::chrono::steady_clock::now() - begin < 1s);
  CHECK(ReadUntil(caller, "unknown").find("502") != std::string::npos);
}

// Guards against a response to a caller's request that is taken for the result of a copy call.
TEST_CASE_METHOD(ResponseFixture, "callResponse_namesRequest_skipped", "[loop]") {
  tcp::socket& upstream = Send("r1", "/long/a");
  Write(upstream, std::string(kStreamHead) + "Transfer-Encoding: chunked\r\n\r\n" +
                      "f\r\nid: 1\ndata: a\n\n\r\n");
  static_cast<void>(ReadUntil(caller, "data: a"));
  AddUpstream("engine-2", "engines", {"127.0.0.1", FreePort()});
  entry::UpstreamEntry source = runtime.state().upstreams.at("engine-1").entry;
  source.leaving = true;
  runtime.Apply(entry::UpstreamListed{source, {0, ++last_offset}});
  REQUIRE(RunUntil([this] { return IsUpstreamReached() && upstream_sockets.size() == 2; }));
  REQUIRE(ReadUntil(upstream_sockets.back(), "target").find("kv-move") != std::string::npos);
  const auto migration = [this] { return runtime.state().requests.begin()->second.migration; };
  REQUIRE(migration());
  Write(upstream_sockets.back(),
        "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n");
  RunFor(30ms);
  REQUIRE(migration());
  CHECK(migration()->handle.empty());
  const std::string body = R"({"handle":"h-1","created_rev":1})";
  Write(upstream_sockets.back(),
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  CHECK(RunUntil([&] { return migration() && migration()->handle == "h-1"; }));
}

// Guards against a generation that goes on elsewhere while its engine still works on it: the call
// to stop it was reset unread (review/2).
TEST_CASE_METHOD(ResponseFixture, "stopCall_connectionReset_sentOnNewOne", "[loop]") {
  tcp::socket& stream = Send("r1", "/long/a");
  Write(stream, std::string(kStreamHead) + "Transfer-Encoding: chunked\r\n\r\n" +
                    "f\r\nid: 1\ndata: a\n\n\r\n");
  static_cast<void>(ReadUntil(caller, "data: a"));
  AddUpstream("engine-2", "engines", endpoint());
  entry::UpstreamEntry source = runtime.state().upstreams.at("engine-1").entry;
  source.leaving = true;
  runtime.Apply(entry::UpstreamListed{source, {0, ++last_offset}});
  REQUIRE(RunUntil([this] { return IsUpstreamReached() && upstream_sockets.size() == 2; }));
  static_cast<void>(ReadUntil(upstream_sockets[1], "target"));
  const std::string body = R"({"handle":"h-1","created_rev":1})";
  Write(upstream_sockets[1],
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  REQUIRE(RunUntil([this] { return IsUpstreamReached() && upstream_sockets.size() == 3; }));
  REQUIRE(ReadUntil(upstream_sockets[2], "target").find(R"("last":true)") != std::string::npos);
  Reset(upstream_sockets[2]);
  REQUIRE(RunUntil([this] { return IsUpstreamReached() && upstream_sockets.size() == 4; }));
  const std::string next = ReadUntil(upstream_sockets[3], "\r\n\r\n{");
  CHECK(next.find("Kv-From") == std::string::npos);
  CHECK(next.find("kv-move") != std::string::npos);
}

// Guards against a notice that is missed because it comes in an interim response or a refusal.
TEST_CASE_METHOD(ResponseFixture, "response_saysLeaving_reachesState", "[loop]") {
  const std::string head = GENERATE(
      "HTTP/1.1 100 Continue\r\n", "HTTP/1.1 503 No\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n",
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\nContent-Length: 9\r\n");
  tcp::socket& upstream = Send("r1", "/book/a");
  Write(upstream, head + "Server-Leaving: 1\r\n\r\n");
  CHECK(RunUntil([this] {
    return runtime.state().upstreams.at("plain-1").phase == entry::UpstreamPhase::kLeaving;
  }));
}

// Guards against a pause that the next request breaks.
TEST_CASE_METHOD(ResponseFixture, "upstream_refusesWithRetryAfter_paused", "[loop]") {
  tcp::socket& upstream = Send("r1", "/book/a");
  Write(upstream,
        "HTTP/1.1 503 No\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nRetry-After: 5\r\n"
        "Content-Length: 0\r\n\r\n");
  CHECK(ReadUntil(caller, "not_run").find("503") != std::string::npos);
  Write(caller, RequestText("r2", "/book/a"));
  const std::string response = ReadUntil(caller, "not_run");
  CHECK(response.find("503") != std::string::npos);
  CAPTURE(response);
  CHECK(response.find("upstreams_deferred") != std::string::npos);
  CHECK(response.find("Retry-After") != std::string::npos);
}

// Guards against a caller who gets a status that is no answer, or waits for its timeout behind it.
TEST_CASE_METHOD(ResponseFixture, "response_statusOutsideProtocol_refusedAtOnce", "[loop]") {
  const std::string path = GENERATE("/book/a", "/look/a", "/long/a");
  const std::string code = GENERATE("000", "101", "999");
  CAPTURE(path, code);
  tcp::socket& upstream = Send("r1", path);
  Write(upstream, "HTTP/1.1 " + code + std::string(kStreamHead).substr(12) +
                      "Content-Length: 16\r\n\r\nid: 1\ndata: ab\n\n");
  const std::string response = ReadUntil(caller, "\r\n\r\n");
  CHECK(response.find("HTTP/1.1 502") == 0);
  CHECK(response.find("unknown") != std::string::npos);
}

// Guards against a stream that its caller gets as a success without the receipt of its upstream
// (review/9).
TEST_CASE_METHOD(ResponseFixture, "stream_withoutReceipt_refusedAtOnce", "[loop]") {
  const std::string framing =
      GENERATE("Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n",
               "Connection: close\r\n\r\nid: 1\ndata: a\n\n");
  tcp::socket& upstream = Send("r1", "/long/a");
  Write(upstream,
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Type: text/event-stream\r\n" + framing);
  const std::string response = ReadUntil(caller, "\r\n\r\n");
  CHECK(response.find("HTTP/1.1 502") == 0);
  CHECK(response.find("data: a") == std::string::npos);
}

// Guards against a move that waits for the timeout of a copy call behind such a status.
TEST_CASE_METHOD(ResponseFixture, "callResponse_statusOutsideProtocol_calledAgain", "[loop]") {
  tcp::socket& stream = Send("r1", "/long/a");
  Write(stream, std::string(kStreamHead) + "Transfer-Encoding: chunked\r\n\r\n" +
                    "f\r\nid: 1\ndata: a\n\n\r\n");
  static_cast<void>(ReadUntil(caller, "data: a"));
  AddUpstream("engine-2", "engines", {"127.0.0.1", FreePort()});
  entry::UpstreamEntry source = runtime.state().upstreams.at("engine-1").entry;
  source.leaving = true;
  runtime.Apply(entry::UpstreamListed{source, {0, ++last_offset}});
  for (std::size_t place = 1; place <= 2; ++place) {
    REQUIRE(RunUntil([&] { return IsUpstreamReached() && upstream_sockets.size() == place + 1; }));
    REQUIRE(ReadUntil(upstream_sockets[place], "target").find("kv-move") != std::string::npos);
    Write(upstream_sockets[place], "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}");
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

// Guards against a 200 with an empty or short body, framed as whole, from a server that stopped in
// the middle of its response.
TEST_CASE_METHOD(ResponseFixture, "response_headOrBodyCut_notPassedOnAsWhole", "[loop]") {
  const std::string path = GENERATE("/book/a", "/long/a");
  const std::string part =
      GENERATE("HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResp",
               "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n"
               "Content-Type: text/event-stream\r\n",
               "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n"
               "Content-Length: 9\r\n\r\nshort");
  CAPTURE(path, part);
  tcp::socket& upstream = Send("r1", path);
  Write(upstream, part);
  upstream.close();
  const std::string response = ReadUntil(caller, "\r\n\r\n");
  CHECK(response.find("502") != std::string::npos);
  CHECK(response.find("200 OK") == std::string::npos);
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
