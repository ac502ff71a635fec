#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "snipeturn/base/host.h"
#include "snipeturn/transport/http_server.h"

namespace snipeturn {

/// A TCP socket that listens on a free loopback port.
class ListeningSocket {
 public:
  ListeningSocket() : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (::bind(socket_, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
        ::listen(socket_, 16) == 0 &&
        ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
      port_ = ntohs(address.sin_port);
    }
  }
  ListeningSocket(const ListeningSocket&) = delete;
  ListeningSocket& operator=(const ListeningSocket&) = delete;
  ~ListeningSocket() { ::close(socket_); }

  [[nodiscard]] Endpoint endpoint() const { return {"127.0.0.1", port_}; }
  [[nodiscard]] int Accept() const { return ::accept(socket_, nullptr, nullptr); }

 private:
  int socket_;
  int port_{0};
};

/// Returns a loopback endpoint that no other process is given: a socket that doesn't listen stays
/// bound to it until the process ends. Connections are refused until a server listens there.
inline Endpoint FreeEndpoint() {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int is_reusable = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &is_reusable, sizeof(is_reusable));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (::bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    return {};
  }
  return {"127.0.0.1", ntohs(address.sin_port)};
}

/// Starts a server on a free port. Retries, because another process may take the port in the
/// meantime.
inline Endpoint StartOnFreePort(HttpServer& server,
                                const RequestHandler& handler,
                                const ServerBounds& bounds = {}) {
  for (int tries = 0; tries < 10; ++tries) {
    const Endpoint endpoint = FreeEndpoint();
    std::string reason;
    if (server.Start(endpoint, std::nullopt, bounds, handler, reason)) {
      return endpoint;
    }
    server.Stop();
  }
  return {};
}

/// Waits until a condition holds; returns false after 10 s.
inline bool Await(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{10};
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{2});
  }
  return true;
}

/// A body made of pieces, each of which is sent separately.
class PieceSource : public BodySource {
 public:
  explicit PieceSource(std::vector<std::string> pieces) : pieces_(std::move(pieces)) {}
  std::optional<std::size_t> Read(char* buffer, std::size_t size) override {
    if (next_ == pieces_.size()) {
      return std::nullopt;
    }
    return pieces_[next_++].copy(buffer, size);
  }

 private:
  std::vector<std::string> pieces_;
  std::size_t next_{0};
};

}  // namespace snipeturn
