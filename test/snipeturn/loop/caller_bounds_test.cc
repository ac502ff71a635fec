#include <catch2/catch.hpp>
#include <deque>
#include <string>

#include "snipeturn/loop/descriptor_budget.h"
#include "snipeturn/loop/refusal_log.h"
#include "snipeturn/loop/runtime_fixture.h"

namespace snipeturn::loop {
namespace {

// Guards against log lines that a client can cause without bound.
TEST_CASE("refusals_manyOfOneClient_linesBoundedAndCounted", "[loop]") {
  RefusalLog log;
  const TimePoint now = BootTime();
  std::size_t lines = 0;
  for (int count = 0; count < 1000; ++count) {
    lines += AdmitRefusalLine(log, "10.0.0.1", "no_route", now) ? 1 : 0;
  }
  CHECK(lines == kMaxRefusalLines);
  CHECK(AdmitRefusalLine(log, "10.0.0.2", "no_route", now) == 0U);
  CHECK(AdmitRefusalLine(log, "10.0.0.1", "unknown_key", now) == 0U);
  CHECK(AdmitRefusalLine(log, "10.0.0.1", "no_route", now + kRefusalLogInterval) ==
        1000U - kMaxRefusalLines);
  for (std::size_t client = 0; client < 2 * kMaxRefusalLogEntries; ++client) {
    static_cast<void>(AdmitRefusalLine(log, std::to_string(client), "no_route", now));
  }
  CHECK(log.counts.size() <= kMaxRefusalLogEntries);
}

// Guards against callers' connections that leave no descriptor for anything else.
TEST_CASE("descriptors_ofAnyLimit_leaveReserve", "[loop]") {
  for (const std::size_t limit : {80U, 128U, 1024U, 20000U}) {
    const DescriptorBudget budget{limit};
    CHECK(budget.for_callers() < budget.for_upstreams());
    CHECK(budget.for_upstreams() + DescriptorBudget::kFixed + 2 * DescriptorBudget::kProbes <=
          limit);
  }
  CHECK(DescriptorBudget{10}.for_callers() == DescriptorBudget::kMinCallers);
}

/// A runtime whose responses may take 200 KB together, and which accepts 14 callers' connections.
class BoundsFixture : public RuntimeFixture {
 public:
  BoundsFixture() : RuntimeFixture(1000000, 80) { caller.close(); }

  tcp::socket& Connect(std::uint16_t port) {
    tcp::socket& socket = sockets.emplace_back(context);
    socket.open(tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    RunFor(2ms);
    return socket;
  }

  bool IsClosed(tcp::socket& socket) {
    socket.non_blocking(true);
    char byte = 0;
    boost::system::error_code error;
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    return error && error != boost::asio::error::would_block;
  }

  std::deque<tcp::socket> sockets;
};

// Guards against callers that open connections, send nothing and keep others from being served.
TEST_CASE_METHOD(BoundsFixture, "connections_silent_oldestClosedFirst", "[loop]") {
  for (int count = 0; count < 40; ++count) {
    Connect(front);
  }
  CHECK(IsClosed(sockets.front()));
  CHECK_FALSE(IsClosed(sockets.back()));
  Write(sockets.back(), RequestText("r1", "/none/a"));
  CHECK(ReadUntil(sockets.back(), "no_route").find("404") != std::string::npos);
  tcp::socket& probe = Connect(ready);
  Write(probe, "GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n");
  CHECK(ReadUntil(probe, "\r\n\r\n").rfind("HTTP/1.1", 0) == 0);
  CHECK(ReadMetrics().find("snipeturn_closed_callers_total{reason=\"descriptors\"}") !=
        std::string::npos);
}

// Guards against readiness checks without an end that take all descriptors.
TEST_CASE_METHOD(BoundsFixture, "probes_many_oldestClosed", "[loop]") {
  for (std::size_t count = 0; count < DescriptorBudget::kProbes + 2; ++count) {
    Connect(ready);
  }
  CHECK(IsClosed(sockets.front()));
  CHECK_FALSE(IsClosed(sockets.back()));
}

// Guards against unread responses of many callers that take the memory together although each of
// them is bounded.
TEST_CASE_METHOD(BoundsFixture, "responses_unreadOfMany_mostUnreadClosedFirst", "[loop]") {
  constexpr int kCallers = 4;
  std::string flood;
  for (int count = 0; count < 200; ++count) {
    flood += RequestText("f" + std::to_string(count), "/none/a");
  }
  for (int number = 0; number < kCallers; ++number) {
    Connect(front).non_blocking(true);
  }
  const auto end = std::chrono::steady_clock::now() + 2500ms;
  while (std::chrono::steady_clock::now() < end) {
    for (tcp::socket& socket : sockets) {
      boost::system::error_code error;
      socket.write_some(boost::asio::buffer(flood), error);
    }
    RunFor(5ms);
  }
  const std::string metrics = ReadMetrics();
  CHECK(metrics.find("snipeturn_closed_callers_total{reason=\"unread_responses\"}") !=
        std::string::npos);
  const std::size_t found = metrics.find("\nsnipeturn_response_memory_bytes");
  REQUIRE(found != std::string::npos);
  CHECK(std::stod(metrics.substr(metrics.find(' ', found))) <= 200000);
  tcp::socket& ordinary = Connect(front);
  Write(ordinary, RequestText("r1"));
  REQUIRE(RunUntil([this] { return IsUpstreamReached(); }));
  REQUIRE(ReadUntil(upstream_sockets.back(), "body").find("r1") != std::string::npos);
  Write(upstream_sockets.back(),
        "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\nsold");
  CHECK(ReadUntil(ordinary, "sold").find("200 OK") != std::string::npos);
}

}  // namespace
}  // namespace snipeturn::loop
