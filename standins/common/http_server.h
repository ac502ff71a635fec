#pragma once

#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "standins/common/connection.h"

namespace snipeturn::standin {

/// A received request; header names are in lower case.
struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
  std::shared_ptr<Connection> connection;
};

/// Source of a streamed body.
class ByteSource {
 public:
  virtual ~ByteSource() = default;

  /// @brief Waits for the next bytes.
  /// @return The bytes, or nothing at the end of the body.
  [[nodiscard]] virtual std::optional<std::string> Next() = 0;
};

/// A response: a JSON value, a stream of server-sent events, or a closed connection.
struct HttpResponse {
  int status{200};
  Json::Value body;
  std::unique_ptr<ByteSource> stream;
  /// Header fields beside the type and the length.
  std::map<std::string, std::string> headers;
  /// Close the connection without sending a response.
  bool closes_connection{false};
};

/// HTTP server on loopback with one thread per connection, so that handlers may block.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpServer&, const HttpRequest&)>;

  /// @brief Starts listening.
  /// @param port The port, 0 for a free one.
  /// @param handler Handles all requests, on several threads.
  /// @throws std::runtime_error when the port can't be used.
  HttpServer(int port, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// The port in use.
  [[nodiscard]] int port() const noexcept;

  /// @brief Applies a fault to all open connections but one.
  /// @param excluded The connection that carries the control request.
  /// @param fault Applied to each connection.
  void ForEachConnection(const Connection* excluded,
                         const std::function<void(Connection&)>& fault) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief Makes a response with a JSON body.
/// @param status The HTTP status.
/// @param body The body.
/// @return The response.
[[nodiscard]] HttpResponse JsonResponse(int status, Json::Value body);

/// @brief Makes a response that closes the connection without sending anything.
/// @return The response.
[[nodiscard]] HttpResponse CutResponse();

/// @brief Reads a number from the query string of a request.
/// @param request The request.
/// @param name The name of the parameter.
/// @param fallback Returned when the parameter is missing or not a number.
/// @return The number.
[[nodiscard]] std::uint64_t QueryNumber(const HttpRequest& request,
                                        const std::string& name,
                                        std::uint64_t fallback);

}  // namespace snipeturn::standin
