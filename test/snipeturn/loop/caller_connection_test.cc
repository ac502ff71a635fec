#include "snipeturn/loop/caller_connection.h"

#include <catch2/catch.hpp>

#include "snipeturn/loop/boot_clock.h"
#include "snipeturn/loop/loop_fixture.h"

namespace snipeturn::loop {
namespace {

class CallerFixture : public LoopFixture {
 public:
  CallerFixture() : caller(context) {
    caller.connect(acceptor.local_endpoint());
    limits.max_header_bytes = 2000;
    limits.max_body_bytes = 1000;
    connection = std::make_shared<CallerConnection>(1, Accept());
    CallerConnection::Handlers handlers;
    handlers.on_request = [this](ConnectionKey /*key*/, HttpHead&& head, std::string&& body) {
      ++request_count;
      last_head = head;
      last_body = body;
    };
    handlers.on_caller_disconnected = [this](ConnectionKey /*key*/) { ++disconnects; };
    handlers.on_closed = [this](ConnectionKey /*key*/) { ++closes; };
    connection->Start(std::move(handlers), limits, BootTime());
  }

  /// Reads what has arrived at the caller. Reading less at once would leave the time limit of a
  /// test to the pauses between two reads.
  std::size_t ReadAvailable() {
    caller.non_blocking(true);
    std::string buffer(1 << 16, '\0');
    boost::system::error_code error;
    std::size_t received = 0;
    while (!error) {
      received += caller.read_some(boost::asio::buffer(buffer), error);
    }
    return received;
  }

  bool ReceivesRequest(int count = 1) {
    return RunUntil([this, count] { return request_count == count; });
  }

  tcp::socket caller;
  ConnectionLimits limits;
  std::shared_ptr<CallerConnection> connection;
  HttpHead last_head;
  std::string last_body;
  int request_count{0};
  int disconnects{0};
  int closes{0};
};

TEST_CASE_METHOD(CallerFixture, "request_inPieces_deliveredWhole", "[loop]") {
  for (const char* piece : {"POST /a HT", "TP/1.1\r\nHost: h\r\nContent-", "Length: 4\r\n\r\nbo"}) {
    Write(caller, piece);
    RunFor(5ms);
    CHECK(request_count == 0);
  }
  Write(caller, "dy");
  REQUIRE(ReceivesRequest());
  CHECK(last_head.target == "/a");
  CHECK(last_body == "body");
}

TEST_CASE_METHOD(CallerFixture, "request_chunked_bodyIsAssembled", "[loop]") {
  Write(caller,
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
        "chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n");
  REQUIRE(ReceivesRequest());
  CHECK(last_body == "body");
}

TEST_CASE_METHOD(CallerFixture, "requests_pipelined_deliveredOneAtATime", "[loop]") {
  Write(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(ReceivesRequest());
  RunFor(20ms);
  CHECK(request_count == 1);
  connection->SendResponse(FormatResponse(200, "text/plain", "first", "", false), false);
  REQUIRE(ReceivesRequest(2));
  CHECK(last_head.target == "/b");
}

// Guards against request smuggling, where a request is hidden in another one, and against requests
// beyond the limits.
TEST_CASE_METHOD(CallerFixture, "request_malformed_rejectedAndClosed", "[loop]") {
  std::string expected = "400";
  SECTION("no HTTP") {
    Write(caller, "garbage\r\n\r\n");
  }
  SECTION("two lengths") {
    Write(caller, "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n");
  }
  SECTION("length and chunks") {
    Write(caller,
          "POST /a HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  }
  SECTION("space before the colon") {
    Write(caller, "GET /a HTTP/1.1\r\nHost : h\r\n\r\n");
  }
  SECTION("header too large") {
    expected = "431";
    Write(caller, "GET /a HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n\r\n");
  }
  // An endless chunk header or trailer section must not exhaust the memory.
  SECTION("chunk extension without end") {
    expected = "431";
    Write(caller,
          "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;a=" + std::string(8000, 'x'));
  }
  SECTION("trailers without end") {
    expected = "431";
    std::string trailers;
    while (trailers.size() < 8000) {
      trailers += "Line: " + std::string(100, 'x') + "\r\n";
    }
    Write(caller, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + trailers);
  }
  SECTION("body too large") {
    expected = "413";
    Write(caller, "POST /a HTTP/1.1\r\nContent-Length: 5000\r\n\r\n");
  }
  const std::string response = ReadUntil(caller, "\r\n\r\n");
  CHECK(response.rfind("HTTP/1.1 " + expected, 0) == 0);
  CHECK(request_count == 0);
  // The output ends at once, and the connection with the caller's side.
  boost::system::error_code error;
  CHECK(RunUntil([&] {
    char rest[4096];
    caller.read_some(boost::asio::buffer(rest), error);
    return error == boost::asio::error::eof;
  }));
  caller.close();
  CHECK(RunUntil([this] { return closes == 1; }));
  CHECK(request_count == 0);
}

// Guards against a rejection that its caller never reads, as the connection is reset while the
// caller still sends the request.
TEST_CASE_METHOD(CallerFixture, "rejectedRequest_callerStillSends_responseReadable", "[loop]") {
  Write(caller, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n");
  const std::string piece(65536, 'x');
  caller.non_blocking(true);
  boost::system::error_code error;
  for (std::size_t sent = 0; sent < 4000000 && (!error || error == boost::asio::error::would_block);
       RunFor(1ms)) {
    sent += caller.write_some(boost::asio::buffer(piece), error);
  }
  CHECK_FALSE(error);
  CHECK(ReadUntil(caller, "body_too_large").rfind("HTTP/1.1 413", 0) == 0);
  CHECK(closes == 0);
  SECTION("the caller closes its side") {
    caller.close();
    CHECK(RunUntil([this] { return closes == 1; }));
  }
  SECTION("the caller sends without end") {
    RunFor(5ms);
    connection->CheckTimeouts(BootTime() + limits.header_timeout + 1ms);
    CHECK(closes == 1);
  }
  CHECK(request_count == 0);
}

// Guards against work for a caller that has disconnected.
TEST_CASE_METHOD(CallerFixture, "caller_closesWhileRequestOpen_disconnectReported", "[loop]") {
  Write(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(ReceivesRequest());
  caller.close();
  CHECK(RunUntil([this] { return disconnects == 1 && closes == 1; }));
}

TEST_CASE_METHOD(CallerFixture, "timeouts_idleClosedAndSlowRejected", "[loop]") {
  SECTION("idle") {
    connection->CheckTimeouts(BootTime() + limits.idle_timeout + 1s);
    CHECK(closes == 1);
  }
  SECTION("slow") {
    Write(caller, "GET /a HT");
    RunFor(20ms);
    connection->CheckTimeouts(BootTime() + limits.header_timeout + 1s);
    CHECK(ReadUntil(caller, "\r\n\r\n").rfind("HTTP/1.1 408", 0) == 0);
  }
  SECTION("request open") {
    Write(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(ReceivesRequest());
    connection->CheckTimeouts(BootTime() + 1h);
    CHECK(closes == 0);
  }
}

// Guards against a request that is accepted on a connection whose last response is still being
// sent: it could never be answered.
TEST_CASE_METHOD(CallerFixture, "request_afterLastResponse_notHandedOver", "[loop]") {
  Write(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(ReceivesRequest());
  // More than the socket's buffers hold, so that bytes are left after the response was written.
  const std::string body(16 << 20, 'x');
  connection->SendResponse(FormatResponse(200, "text/plain", body, "", true), true);
  REQUIRE(connection->unwritten_bytes() > 0);
  CHECK(closes == 0);
  CHECK_FALSE(connection->is_idle());
  Write(caller, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  RunFor(20ms);
  CHECK(request_count == 1);
  std::size_t received = 0;
  RunUntil([&] {
    received += ReadAvailable();
    return received > body.size() && closes == 1;
  });
  CHECK(received > body.size());
  CHECK(closes == 1);
}

// Guards against an aborted stream that looks complete to the caller.
TEST_CASE_METHOD(CallerFixture, "stream_aborted_hasNoLastChunk", "[loop]") {
  Write(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(ReceivesRequest());
  HttpHead head;
  head.status = 200;
  connection->WriteStream(FormatResponseHead(head, BodyFraming::kChunked, 0, false) +
                          FormatChunk("id: 1\n\n"));
  connection->Abort();
  const std::string response = ReadUntil(caller, std::string(kLastChunk));
  CHECK(response.find("id: 1") != std::string::npos);
  CHECK(response.find(std::string(kLastChunk)) == std::string::npos);
}

// Guards against unbounded memory for a caller that reads slowly: unwritten bytes must be counted,
// and delivered later.
TEST_CASE_METHOD(CallerFixture, "stream_slowReader_bytesBufferedAndDelivered", "[loop]") {
  Write(caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(ReceivesRequest());
  const std::string block(1 << 20, 'x');
  for (int count = 0; count < 8; ++count) {
    connection->WriteStream(block);
  }
  CHECK(connection->unwritten_bytes() > 0);
  std::size_t received = 0;
  CHECK(RunUntil([&] {
    received += ReadAvailable();
    return received == 8 * block.size();
  }));
  CHECK(connection->unwritten_bytes() == 0);
}

}  // namespace
}  // namespace snipeturn::loop
