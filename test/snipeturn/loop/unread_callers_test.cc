#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "snipeturn/loop/boot_clock.h"
#include "snipeturn/loop/caller_connection.h"
#include "snipeturn/loop/loop_fixture.h"

namespace snipeturn::loop {
namespace {

/// A caller's connection whose requests are answered at once, and a caller with a small window.
class UnreadFixture : public LoopFixture {
 public:
  UnreadFixture() : caller(context) {
    caller.open(tcp::v4());
    caller.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    caller.connect(acceptor.local_endpoint());
    caller.non_blocking(true);
    limits.idle_timeout = 600ms;
    accounts = {std::make_shared<MemoryAccount>(MemoryAccount{1U << 20U, 0}),
                std::make_shared<MemoryAccount>(MemoryAccount{1U << 20U, 0}),
                std::make_shared<MemoryAccount>(MemoryAccount{1U << 20U, 0})};
    connection = std::make_shared<CallerConnection>(1, Accept(), accounts);
    CallerConnection::Handlers handlers;
    handlers.on_request = [this](ConnectionKey, HttpHead&& /*head*/, std::string&& /*body*/) {
      ++requests;
      depth = std::max(depth, ++nested);
      if (answers) {
        connection->SendResponse(FormatResponse(200, "text/plain", body, "", false), false);
      }
      --nested;
    };
    handlers.on_caller_disconnected = [this](ConnectionKey) { ++disconnects; };
    handlers.on_unread_timeout = [this](ConnectionKey) { ++timeouts; };
    handlers.on_closed = [this](ConnectionKey) { ++closes; };
    connection->Start(std::move(handlers), limits, BootTime());
  }

  /// Sends as many of the requests as the connection takes within a time.
  void Flood(std::chrono::milliseconds time) {
    const TimePoint until = BootTime() + time;
    while (BootTime() < until) {
      boost::system::error_code error;
      const std::size_t begin = sent % text.size();
      sent +=
          caller.write_some(boost::asio::buffer(text.data() + begin, text.size() - begin), error);
      RunFor(1ms);
    }
  }

  std::size_t Read(std::size_t bytes) {
    std::string buffer(bytes, '\0');
    boost::system::error_code error;
    return caller.read_some(boost::asio::buffer(buffer), error);
  }

  /// Checks timeouts for a time, as the runtime does, while the caller reads so much at once.
  void Check(std::chrono::milliseconds time, std::size_t read_bytes) {
    const TimePoint until = BootTime() + time;
    while (BootTime() < until && closes == 0) {
      if (read_bytes > 0) {
        Read(read_bytes);
      }
      RunFor(20ms);
      connection->CheckTimeouts(BootTime());
    }
  }

  static constexpr std::string_view kText = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  static constexpr int kRequests = 5000;

  tcp::socket caller;
  ConnectionLimits limits;
  CallerAccounts accounts;
  std::shared_ptr<CallerConnection> connection;
  std::string text = [] {
    std::string all;
    for (int count = 0; count < kRequests; ++count) {
      all += kText;
    }
    return all;
  }();
  std::string body = std::string(500, 'x');
  std::size_t sent{0};
  bool answers{true};
  int requests{0};
  int nested{0};
  int depth{0};
  int disconnects{0};
  int timeouts{0};
  int closes{0};
};

// Guards against unbounded memory for responses to pipelined requests that nobody reads.
TEST_CASE_METHOD(UnreadFixture, "requests_pipelinedUnread_notBegunBeyondBound", "[loop]") {
  Flood(300ms);
  const int begun = requests;
  CHECK(begun > 0);
  CHECK(connection->unwritten_bytes() > 0);
  CHECK(connection->unwritten_bytes() <= 65536 + 1000);
  CHECK(accounts.output->used <= 65536 + 1000 + 400000);
  CHECK(accounts.input->used <= 4 * 65536);
  CHECK(depth == 1);
  Flood(100ms);
  CHECK(requests == begun);
  // The rest is served once the caller reads.
  CHECK(RunUntil([&] {
    Read(65536);
    return requests > begun;
  }));
}

// Guards against pipelined requests that aren't served although their responses are read, and
// against a call for each request on the stack.
TEST_CASE_METHOD(UnreadFixture, "requests_pipelinedAndRead_allServed", "[loop]") {
  body = "x";
  std::size_t position = 0;
  CHECK(RunUntil([&] {
    boost::system::error_code error;
    position += caller.write_some(
        boost::asio::buffer(text.data() + position, text.size() - position), error);
    Read(65536);
    return requests == kRequests;
  }));
  CHECK(depth == 1);
}

// Guards against a caller that keeps its connection, and a slot of an upstream, without reading.
TEST_CASE_METHOD(UnreadFixture, "stream_callerReadsNothing_disconnected", "[loop]") {
  answers = false;
  Write(caller, std::string(kText));
  REQUIRE(RunUntil([this] { return requests == 1; }));
  connection->WriteStream(std::string(2000000, 'x'));
  Check(3s, 0);
  CHECK(disconnects == 1);
  CHECK(timeouts == 1);
  CHECK(closes == 1);
  CHECK(accounts.output->used == 0);
}

// Guards against closing a caller that reads slowly.
TEST_CASE_METHOD(UnreadFixture, "stream_callerReadsSlowly_kept", "[loop]") {
  answers = false;
  Write(caller, std::string(kText));
  REQUIRE(RunUntil([this] { return requests == 1; }));
  connection->WriteStream(std::string(2000000, 'x'));
  Check(2s, 3000);
  CHECK(closes == 0);
  CHECK(connection->unwritten_bytes() > 0);
}

// Guards against requests that are dropped for memory and reported as something else than not run.
TEST_CASE_METHOD(UnreadFixture, "input_dropped_requestNotRunOrNotRead", "[loop]") {
  answers = false;
  SECTION("incomplete head: rejected") {
    Write(caller, "GET /a HTTP/1.1\r\nX: y");
    RunUntil([this] { return accounts.input->used > 0; });
    CHECK(accounts.input->used > 0);
    connection->DropInput();
    const std::string response = ReadUntil(caller, "not_run");
    CHECK(response.find("503") != std::string::npos);
    CHECK(response.find("Retry-After") != std::string::npos);
    CHECK(requests == 0);
  }
  SECTION("open request: answered, then closed") {
    Write(caller, std::string(kText) + std::string(kText));
    REQUIRE(RunUntil([this] { return requests == 1; }));
    connection->DropInput();
    CHECK(connection->must_close());
    connection->SendResponse(
        FormatResponse(200, "text/plain", "first", "", connection->must_close()), false);
    CHECK(ReadUntil(caller, "first").find("Connection: close") != std::string::npos);
    CHECK(RunUntil([this] { return closes == 1; }));
    CHECK(requests == 1);
  }
  CHECK(accounts.input->used == 0);
}

}  // namespace
}  // namespace snipeturn::loop
