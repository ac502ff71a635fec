#include "standins/common/http_server.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <json/writer.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <ulfius.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <mutex>
#include <stdexcept>
#include <utility>
#include <vector>

#include "standins/common/json.h"

namespace snipeturn::standin {
namespace internal {

constexpr int kListenBacklog = 511;
constexpr std::size_t kStreamBlockBytes = 4096;

/// Port of a client, by which requests find their connection, as all clients are on loopback.
int ClientPort(const sockaddr* address) {
  return ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port);
}

int Listen(int port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(socket, kListenBacklog) != 0) {
    throw std::runtime_error(fmt::format("can't listen on port {}: {}", port, strerror(errno)));
  }
  return socket;
}

int BoundPort(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

std::map<std::string, std::string> ToMap(const _u_map* source, bool lowercase_keys) {
  std::map<std::string, std::string> result;
  for (int i = 0; i < source->nb_values; ++i) {
    std::string key = source->keys[i];
    if (lowercase_keys) {
      std::transform(key.begin(), key.end(), key.begin(),
                     [](unsigned char letter) { return std::tolower(letter); });
    }
    result[key] = source->values[i] != nullptr ? source->values[i] : "";
  }
  return result;
}

/// State of a streamed response between two calls of WriteStream.
struct StreamState {
  std::unique_ptr<ByteSource> source;
  std::shared_ptr<Connection> connection;
  std::string pending;
};

ssize_t WriteStream(void* data, std::uint64_t /*offset*/, char* buffer, std::size_t size) {
  auto& state = *static_cast<StreamState*>(data);
  if (state.pending.empty()) {
    std::optional<std::string> next = state.source->Next();
    if (!next) {
      return U_STREAM_END;
    }
    state.pending = std::move(*next);
  }
  if (!state.connection->WaitUntilWritable()) {
    return U_STREAM_ERROR;
  }
  const std::size_t count = std::min(size, state.pending.size());
  state.pending.copy(buffer, count);
  state.pending.erase(0, count);
  return static_cast<ssize_t>(count);
}

void DeleteStream(void* data) {
  delete static_cast<StreamState*>(data);
}

void SetBody(_u_response* ulfius_response, const HttpResponse& response) {
  const std::string body = WriteJson(response.body);
  u_map_put(ulfius_response->map_header, "Content-Type", "application/json");
  ulfius_set_binary_body_response(ulfius_response, static_cast<unsigned int>(response.status),
                                  body.data(), body.size());
}

void SetStream(_u_response* ulfius_response,
               HttpResponse& response,
               std::shared_ptr<Connection> connection) {
  auto* state = new StreamState{std::move(response.stream), std::move(connection), {}};
  u_map_put(ulfius_response->map_header, "Content-Type", "text/event-stream");
  u_map_put(ulfius_response->map_header, "Cache-Control", "no-store");
  ulfius_set_stream_response(ulfius_response, static_cast<unsigned int>(response.status),
                             WriteStream, DeleteStream, U_STREAM_SIZE_UNKNOWN, kStreamBlockBytes,
                             state);
}

}  // namespace internal

struct HttpServer::Impl {
  explicit Impl(const HttpServer& owner) : server{owner} {}

  const HttpServer& server;
  Handler handler;
  int port{0};
  _u_instance instance{};
  mutable std::mutex mutex;
  std::map<int, std::shared_ptr<Connection>> connections;

  static void OnConnectionEvent(void* data,
                                MHD_Connection* connection,
                                void** context,
                                MHD_ConnectionNotificationCode code) {
    auto& impl = *static_cast<Impl*>(data);
    const auto* address = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    const auto* socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    const int client = internal::ClientPort(address->client_addr);
    const std::lock_guard lock{impl.mutex};
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
      auto* started =
          new std::shared_ptr<Connection>{std::make_shared<Connection>(socket->connect_fd)};
      impl.connections[client] = *started;
      *context = started;
      return;
    }
    const std::unique_ptr<std::shared_ptr<Connection>> closed{
        static_cast<std::shared_ptr<Connection>*>(*context)};
    (*closed)->MarkClosed();
    // After a reset the client's port may already be in use for another connection.
    if (const auto found = impl.connections.find(client);
        found != impl.connections.end() && found->second == *closed) {
      impl.connections.erase(found);
    }
  }

  static int Dispatch(const _u_request* source, _u_response* ulfius_response, void* data) {
    auto& impl = *static_cast<Impl*>(data);
    const HttpRequest request = impl.ToRequest(source);
    HttpResponse response = impl.HandleRequest(request);
    if (response.closes_connection) {
      request.connection->Cut();
      return U_CALLBACK_CONTINUE;
    }
    for (const auto& [name, value] : response.headers) {
      u_map_put(ulfius_response->map_header, name.c_str(), value.c_str());
    }
    if (response.stream) {
      internal::SetStream(ulfius_response, response, request.connection);
    } else if (request.connection->WaitUntilWritable()) {
      internal::SetBody(ulfius_response, response);
    }
    return U_CALLBACK_CONTINUE;
  }

  /// Calls the handler and turns exceptions into status 400: jsoncpp throws when a member of a body
  /// has an unexpected type.
  [[nodiscard]] HttpResponse HandleRequest(const HttpRequest& request) const {
    try {
      return handler(server, request);
    } catch (const std::exception& error) {
      Json::Value body;
      body["outcome"] = "not_run";
      body["detail"] = error.what();
      return JsonResponse(400, std::move(body));
    }
  }

  [[nodiscard]] HttpRequest ToRequest(const _u_request* source) const {
    HttpRequest request;
    request.method = source->http_verb;
    request.path = source->url_path;
    request.query = internal::ToMap(source->map_url, false);
    request.headers = internal::ToMap(source->map_header, true);
    if (source->binary_body != nullptr) {
      request.body.assign(static_cast<const char*>(source->binary_body),
                          source->binary_body_length);
    }
    const std::lock_guard lock{mutex};
    request.connection = connections.at(internal::ClientPort(source->client_address));
    return request;
  }
};

HttpServer::HttpServer(int port, Handler handler) : impl_{std::make_unique<Impl>(*this)} {
  const int socket = internal::Listen(port);
  impl_->handler = std::move(handler);
  impl_->port = internal::BoundPort(socket);
  ulfius_init_instance(&impl_->instance, static_cast<unsigned int>(impl_->port), nullptr, nullptr);
  impl_->instance.allowed_post_processor = U_POST_PROCESS_NONE;
  ulfius_set_default_endpoint(&impl_->instance, Impl::Dispatch, impl_.get());
  std::array<MHD_OptionItem, 5> options{{
      {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<std::intptr_t>(mhd_request_completed),
       nullptr},
      {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<std::intptr_t>(ulfius_uri_logger), nullptr},
      {MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<std::intptr_t>(Impl::OnConnectionEvent),
       impl_.get()},
      {MHD_OPTION_LISTEN_SOCKET, socket, nullptr},
      {MHD_OPTION_END, 0, nullptr},
  }};
  const unsigned int flags =
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
  if (ulfius_start_framework_with_mhd_options(&impl_->instance, flags, options.data()) != U_OK) {
    throw std::runtime_error("can't start the HTTP server");
  }
}

HttpServer::~HttpServer() {
  ulfius_stop_framework(&impl_->instance);
  ulfius_clean_instance(&impl_->instance);
}

int HttpServer::port() const noexcept {
  return impl_->port;
}

void HttpServer::ForEachConnection(const Connection* excluded,
                                   const std::function<void(Connection&)>& fault) const {
  const std::lock_guard lock{impl_->mutex};
  for (const auto& [port, connection] : impl_->connections) {
    if (connection.get() != excluded) {
      fault(*connection);
    }
  }
}

HttpResponse JsonResponse(int status, Json::Value body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

HttpResponse CutResponse() {
  HttpResponse response;
  response.closes_connection = true;
  return response;
}

std::uint64_t QueryNumber(const HttpRequest& request,
                          const std::string& name,
                          std::uint64_t fallback) {
  const auto found = request.query.find(name);
  if (found == request.query.end()) {
    return fallback;
  }
  std::uint64_t number = 0;
  const std::string& text = found->second;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  return parsed.ec == std::errc{} ? number : fallback;
}

}  // namespace snipeturn::standin
