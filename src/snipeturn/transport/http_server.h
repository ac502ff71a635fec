#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "snipeturn/base/host.h"
#include "snipeturn/settings/options.h"

namespace snipeturn {

/// Produces the body of a streamed response.
class BodySource {
 public:
  BodySource() = default;
  BodySource(const BodySource&) = delete;
  BodySource& operator=(const BodySource&) = delete;
  /// Called after the response was sent or the connection was closed.
  virtual ~BodySource() = default;

  /// @brief Waits for the next bytes of the body.
  /// @param buffer Receives the bytes.
  /// @param size Size of the buffer in bytes.
  /// @return The number of bytes, at least 1, or nothing at the end of the body.
  [[nodiscard]] virtual std::optional<std::size_t> Read(char* buffer, std::size_t size) = 0;
};

/// A received request.
struct ServerRequest {
  std::string method;
  /// Path as sent, still percent-encoded.
  std::string path;
  /// Query as sent, without the question mark.
  std::string query;
  /// Decoded query parameters.
  std::map<std::string, std::string> parameters;
  /// Headers by lower-case name.
  std::map<std::string, std::string> headers;
  std::string body;
};

/// A response with either a complete or a streamed body.
struct ServerResponse {
  int status{200};
  std::string content_type;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::unique_ptr<BodySource> source;
};

/// Handles a request. Called on the connection's own thread, so it may block.
using RequestHandler = std::function<ServerResponse(const ServerRequest& request)>;

/// Limits of a server; sizes in bytes.
struct ServerBounds {
  std::size_t max_header{std::size_t{16} << 10U};
  std::size_t max_body{std::size_t{1} << 20U};
  unsigned int max_connections{2048};
  /// Seconds after which an idle connection is closed. Streams write at least once a second.
  unsigned int idle_timeout{30};
};

/// HTTP server on one address, with one thread per connection.
class HttpServer {
 public:
  HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// @brief Starts listening.
  /// @param endpoint IP address and port.
  /// @param tls Certificate and key; without them, the server uses plain HTTP.
  /// @param bounds Limits of requests and connections.
  /// @param handler Handles the requests that are within the limits.
  /// @param last_reason Receives the reason when the server can't start.
  /// @return True when the server is listening.
  [[nodiscard]] bool Start(const Endpoint& endpoint,
                           const std::optional<TlsFiles>& tls,
                           const ServerBounds& bounds,
                           RequestHandler handler,
                           std::string& last_reason);

  /// Closes all connections and stops the server.
  void Stop();

  /// Number of requests whose response has not been completely sent yet.
  [[nodiscard]] std::size_t open_requests() const noexcept;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

/// @brief Finds a header.
/// @param request The request.
/// @param name Lower-case name.
/// @return The value, or an empty string.
[[nodiscard]] std::string FindHeader(const ServerRequest& request, const std::string& name);

/// @brief Finds a decoded query parameter.
/// @param request The request.
/// @param name The name.
/// @return The value, or nothing.
[[nodiscard]] std::optional<std::string> FindParameter(const ServerRequest& request,
                                                       const std::string& name);

}  // namespace snipeturn
