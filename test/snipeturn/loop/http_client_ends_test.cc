#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <thread>

#include "snipeturn/loop/boot_clock.h"
#include "snipeturn/loop/http_client.h"
#include "snipeturn/loop/loop_fixture.h"

namespace snipeturn::loop {
namespace {

/// A client whose exchanges end while bytes of theirs are on the way.
class ExchangeEndFixture : public LoopFixture {
 public:
  ExchangeEndFixture() : client(context) {}

  HttpClient::ExchangeKey Start(std::string bytes) {
    HttpCall call;
    call.pool = "pool";
    call.endpoint = endpoint();
    call.bytes = std::move(bytes);
    call.match = ResponseMatch::kOrder;
    result.reset();
    ExchangeHandlers handlers;
    handlers.on_body = [this](std::string&& part) { body += part; };
    handlers.on_end = [this](ExchangeResult ended, const std::string& /*reason*/) {
      result = ended;
    };
    return client.Start(std::move(call), std::move(handlers));
  }

  bool EndsInTime() {
    return RunUntil([this] { return result.has_value(); });
  }

  HttpClient client;
  std::optional<ExchangeResult> result;
  std::string body;
};

// Guards against a request that reaches an upstream after its caller has gone, as a cut held it up.
TEST_CASE_METHOD(ExchangeEndFixture,
                 "cancelledRequest_linkBackAfterCut_notDelivered",
                 "[loop_slow_caller]") {
  const std::chrono::milliseconds cut = GENERATE(100ms, 5000ms);
  Start("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  tcp::socket server = Accept();
  ReadUntil(server, "\r\n\r\n");
  Write(server, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(EndsInTime());
  std::array<sock_filter, 1> drop_all{{{BPF_RET | BPF_K, 0, 0, 0}}};
  const sock_fprog program{static_cast<unsigned short>(drop_all.size()), drop_all.data()};
  REQUIRE(::setsockopt(server.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                       sizeof(program)) == 0);
  const auto exchange = Start("POST /work HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  RunFor(300ms);
  REQUIRE(client.opened_connections() == 1);
  client.Cancel(exchange);
  std::this_thread::sleep_for(cut);
  const int unused = 0;
  REQUIRE(::setsockopt(server.native_handle(), SOL_SOCKET, SO_DETACH_FILTER, &unused,
                       sizeof(unused)) == 0);
  server.non_blocking(true);
  std::string received;
  boost::system::error_code error;
  const TimePoint until = BootTime() + 10s;
  while (received.empty() && BootTime() < until &&
         (!error || error == boost::asio::error::would_block)) {
    std::this_thread::sleep_for(20ms);
    std::array<char, 1000> buffer{};
    received.append(buffer.data(), server.read_some(boost::asio::buffer(buffer), error));
  }
  CHECK(received.empty());
}

// Guards against a whole response that counts as broken, as the upstream reads no more of the
// request.
TEST_CASE_METHOD(ExchangeEndFixture, "earlyResponse_endsInOrderBeforeReset_complete", "[loop]") {
  Start("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6000000\r\n\r\n" +
        std::string(6000000, 'x'));
  tcp::socket server = Accept();
  RunFor(200ms);
  Write(server, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole body");
  server.shutdown(tcp::socket::shutdown_send);
  std::this_thread::sleep_for(20ms);
  server.close();
  REQUIRE(EndsInTime());
  CHECK(*result == ExchangeResult::kComplete);
  CHECK(body == "whole body");
}

}  // namespace
}  // namespace snipeturn::loop
