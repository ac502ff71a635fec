#include "snipeturn/transport/http_client.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <mutex>

namespace snipeturn {
namespace internal {
namespace {

/// Initializes ulfius once per process.
void InitializeClient() {
  static std::once_flag once;
  std::call_once(once, [] {
    // Upstreams, peers and the log are addressed directly by IP address. A proxy named in the
    // environment would hide which host refused a connection.
    ::setenv("no_proxy", "*", 1);
    ulfius_global_init();
  });
}

/// An IPv4 or IPv6 socket address.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t size{0};
};

std::optional<SocketAddress> MakeSocketAddress(const Endpoint& endpoint) {
  SocketAddress address;
  const auto port = htons(static_cast<std::uint16_t>(endpoint.port));
  auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
  if (::inet_pton(AF_INET, endpoint.address.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = port;
    address.size = sizeof(sockaddr_in);
    return address;
  }
  if (::inet_pton(AF_INET6, endpoint.address.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = port;
    address.size = sizeof(sockaddr_in6);
    return address;
  }
  return std::nullopt;
}

/// Waits for a non-blocking connect to complete and returns whether it succeeded.
bool AwaitConnect(int socket, std::chrono::milliseconds timeout) {
  pollfd entry{socket, POLLOUT, 0};
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  int ready = 0;
  do {
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
    ready = ::poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(left.count(), 0)));
  } while (ready < 0 && errno == EINTR);
  int error = 0;
  socklen_t size = sizeof(error);
  return ready == 1 && ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

/// Collects or forwards the body of one response.
struct Receiver {
  const HttpRequest& request;
  const BodySink* sink;
  _u_response* response;
  std::string body;
};

/// Reads the status code from the status line, which ulfius stores before the body arrives; ulfius
/// sets the response's `status` only at the end.
int StatusOf(const _u_response& response) {
  if (response.protocol == nullptr) {
    return 0;
  }
  const char* space = std::strchr(response.protocol, ' ');
  return space == nullptr ? 0 : std::atoi(space + 1);
}

/// Returns whether a status code is that of a final response; others answer no request.
bool IsFinalStatus(int status) noexcept {
  constexpr int kFirstFinal = 200;
  constexpr int kAfterLast = 600;
  return status >= kFirstFinal && status < kAfterLast;
}

std::size_t ReceivePiece(void* contents, std::size_t size, std::size_t count, void* data) {
  auto& receiver = *static_cast<Receiver*>(data);
  if (!IsFinalStatus(StatusOf(*receiver.response))) {
    return 0;
  }
  const std::string_view piece(static_cast<const char*>(contents), size * count);
  if (receiver.sink != nullptr && StatusOf(*receiver.response) == 200) {
    return (*receiver.sink)(piece) ? piece.size() : 0;
  }
  if (receiver.body.size() + piece.size() > receiver.request.max_response_size) {
    return 0;
  }
  receiver.body.append(piece);
  return piece.size();
}

/// Owns the ulfius request and response of an exchange.
class UlfiusExchange {
 public:
  UlfiusExchange() {
    ulfius_init_request(&request_);
    ulfius_init_response(&response_);
  }
  UlfiusExchange(const UlfiusExchange&) = delete;
  UlfiusExchange& operator=(const UlfiusExchange&) = delete;
  ~UlfiusExchange() {
    ulfius_clean_request(&request_);
    ulfius_clean_response(&response_);
  }

  [[nodiscard]] bool Prepare(const HttpRequest& request) {
    const std::string url = BaseUrl(request.endpoint, request.tls) + request.target;
    const auto seconds =
        std::max(std::chrono::ceil<std::chrono::seconds>(request.timeout), std::chrono::seconds{1});
    if (ulfius_set_request_properties(
            &request_, U_OPT_HTTP_VERB, request.method.c_str(), U_OPT_HTTP_URL, url.c_str(),
            U_OPT_TIMEOUT, static_cast<unsigned long>(seconds.count()), U_OPT_FOLLOW_REDIRECT, 0,
            U_OPT_CHECK_SERVER_CERTIFICATE, 0, U_OPT_NONE) != U_OK) {
      return false;
    }
    for (const auto& [name, value] : request.headers) {
      u_map_put(request_.map_header, name.c_str(), value.c_str());
    }
    return request.body.empty() || ulfius_set_binary_body_request(&request_, request.body.data(),
                                                                  request.body.size()) == U_OK;
  }

  [[nodiscard]] HttpResponse Perform(const HttpRequest& request, const BodySink* sink) {
    Receiver receiver{request, sink, &response_, {}};
    const int result =
        ulfius_send_http_streaming_request(&request_, &response_, ReceivePiece, &receiver);
    HttpResponse response;
    response.status = StatusOf(response_);
    response.result = result == U_OK && IsFinalStatus(response.status) ? HttpResult::kAnswered
                                                                       : HttpResult::kBroken;
    if (const char* type = u_map_get_case(response_.map_header, "Content-Type")) {
      response.content_type = type;
    }
    response.body = std::move(receiver.body);
    return response;
  }

 private:
  _u_request request_{};
  _u_response response_{};
};

HttpResponse Run(const HttpRequest& request, const SendCheck& may_send, const BodySink* sink) {
  InitializeClient();
  HttpResponse unsent;
  unsent.result = HttpResult::kUnsent;
  if (may_send && !may_send()) {
    return unsent;
  }
  if (request.connect_timeout && !CanConnect(request.endpoint, *request.connect_timeout)) {
    return unsent;
  }
  UlfiusExchange exchange;
  if (!exchange.Prepare(request) || (may_send && !may_send())) {
    return unsent;
  }
  return exchange.Perform(request, sink);
}

}  // namespace
}  // namespace internal

HttpResponse Exchange(const HttpRequest& request, const SendCheck& may_send) {
  return internal::Run(request, may_send, nullptr);
}

HttpResponse ExchangeStream(const HttpRequest& request,
                            const SendCheck& may_send,
                            const BodySink& sink) {
  return internal::Run(request, may_send, &sink);
}

bool CanConnect(const Endpoint& endpoint, std::chrono::milliseconds timeout) {
  const auto address = internal::MakeSocketAddress(endpoint);
  if (!address) {
    return false;
  }
  const int socket =
      ::socket(address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0) {
    return false;
  }
  // Closes with a reset, so that the probes leave no sockets in TIME_WAIT.
  const linger no_linger{1, 0};
  ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
  const int result =
      ::connect(socket, reinterpret_cast<const sockaddr*>(&address->storage), address->size);
  const bool connected =
      result == 0 || (errno == EINPROGRESS && internal::AwaitConnect(socket, timeout));
  ::close(socket);
  return connected;
}

std::string BaseUrl(const Endpoint& endpoint, bool tls) {
  const bool is_v6 = endpoint.address.find(':') != std::string::npos;
  return fmt::format("{}://{}{}{}:{}", tls ? "https" : "http", is_v6 ? "[" : "", endpoint.address,
                     is_v6 ? "]" : "", endpoint.port);
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kUnreserved = "-._~";
  std::string encoded;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || kUnreserved.find(character) != std::string_view::npos) {
      encoded.push_back(character);
    } else {
      encoded += fmt::format("%{:02X}", byte);
    }
  }
  return encoded;
}

}  // namespace snipeturn
