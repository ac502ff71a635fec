#include "snipeturn/transport/http_client.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <thread>

#include "snipeturn/transport/http_server.h"
#include "snipeturn/transport/loopback.h"

namespace snipeturn {
namespace {

HttpRequest Post(const Endpoint& endpoint) {
  HttpRequest request;
  request.method = "POST";
  request.endpoint = endpoint;
  request.target = "/book";
  request.body = "{}";
  request.connect_timeout = std::chrono::milliseconds{500};
  return request;
}

// Guards against a booking that is reported as having an unknown outcome although nothing was sent.
TEST_CASE("http_exchange_with_refused_connection_is_unsent", "[transport]") {
  CHECK(Exchange(Post(FreeEndpoint())).result == HttpResult::kUnsent);
  CHECK(Exchange(Post({"not-an-address", 80})).result == HttpResult::kUnsent);
}

// Guards against a booking that is sent twice: a server that received the request and closed the
// connection may have run it.
TEST_CASE("http_exchange_closed_after_request_is_broken", "[transport]") {
  ListeningSocket socket;
  std::string received;
  std::thread server([&] {
    ::close(socket.Accept());  // The probe connection.
    const int connection = socket.Accept();
    char buffer[4096];
    const auto size = ::read(connection, buffer, sizeof(buffer));
    received.assign(buffer, size > 0 ? static_cast<std::size_t>(size) : 0);
    ::close(connection);
  });
  CHECK(Exchange(Post(socket.endpoint())).result == HttpResult::kBroken);
  server.join();
  CHECK(received.find("POST /book") == 0);
}

// Guards against a thread that waits forever for a server that accepts the connection but never
// responds.
TEST_CASE("http_exchange_without_response_times_out", "[transport]") {
  const ListeningSocket socket;
  const auto begin = std::chrono::steady_clock::now();
  CHECK(Exchange(Post(socket.endpoint())).result == HttpResult::kBroken);
  CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds{5});
}

// Guards against a status line that is no answer: it must neither reach a caller as one nor keep
// the call waiting until its timeout.
TEST_CASE("http_exchange_with_invalid_status_is_broken_at_once", "[transport]") {
  const std::string status = GENERATE("000", "099", "101", "600", "999");
  CAPTURE(status);
  const ListeningSocket socket;
  std::thread server([&] {
    ::close(socket.Accept());  // The probe connection.
    const int connection = socket.Accept();
    char buffer[4096];
    static_cast<void>(::read(connection, buffer, sizeof(buffer)));
    const std::string response = "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\n{}";
    static_cast<void>(::write(connection, response.data(), response.size()));
    static_cast<void>(::read(connection, buffer, sizeof(buffer)));  // Until the client closes.
    ::close(connection);
  });
  HttpRequest request = Post(socket.endpoint());
  request.timeout = std::chrono::milliseconds{8000};
  const auto begin = std::chrono::steady_clock::now();
  const HttpResponse response = Exchange(request);
  CHECK(response.result == HttpResult::kBroken);
  CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds{4});
  server.join();
}

struct CountingServer {
  std::atomic<int> requests{0};
  HttpServer server;
  Endpoint endpoint = StartOnFreePort(server, [this](const ServerRequest& request) {
    ++requests;
    ServerResponse response;
    response.status = request.path == "/absent" ? 404 : 200;
    response.content_type = "text/plain";
    response.body = request.method + " " + request.path + "?" + request.query + " " + request.body;
    return response;
  });
};

// Guards against work that starts after its permission expired during a slow connect.
TEST_CASE_METHOD(CountingServer, "http_exchange_late_after_connect_is_unsent", "[transport]") {
  int checks = 0;
  const auto response = Exchange(Post(endpoint), [&checks] { return ++checks == 1; });
  CHECK(response.result == HttpResult::kUnsent);
  CHECK(checks == 2);
  CHECK(requests == 0);
}

TEST_CASE_METHOD(CountingServer, "http_exchange_keeps_target_body_and_type", "[transport]") {
  HttpRequest request = Post(endpoint);
  request.target = "/a%20b/c?path=%2Fx&y=1";
  const auto response = Exchange(request);
  CHECK(response.result == HttpResult::kAnswered);
  CHECK(response.status == 200);
  CHECK(response.content_type == "text/plain");
  CHECK(response.body == "POST /a%20b/c?path=%2Fx&y=1 {}");
  CHECK(Exchange(Post({endpoint.address, endpoint.port}), [] { return false; }).result ==
        HttpResult::kUnsent);
}

// Guards against error bodies that are treated as part of a stream, and against responses of
// unlimited size.
TEST_CASE_METHOD(CountingServer, "http_stream_passes_only_bodies_of_200", "[transport]") {
  std::string streamed;
  const BodySink sink = [&streamed](std::string_view piece) {
    streamed += piece;
    return true;
  };
  HttpRequest request = Post(endpoint);
  CHECK(ExchangeStream(request, {}, sink).body.empty());
  CHECK(streamed == "POST /book? {}");
  request.target = "/absent";
  const auto absent = ExchangeStream(request, {}, sink);
  CHECK(absent.status == 404);
  CHECK(absent.body == "POST /absent? {}");
  CHECK(streamed == "POST /book? {}");
  request.max_response_size = 4;
  CHECK(Exchange(request).result == HttpResult::kBroken);
}

}  // namespace
}  // namespace snipeturn
