#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "snipeturn/base/host.h"

namespace snipeturn {

/// How an exchange ended.
enum class HttpResult : std::uint8_t {
  /// The complete response was received, with any final status (200 to 599).
  kAnswered,
  /// Nothing was sent, so that the server can't have run the request.
  kUnsent,
  /// The exchange failed after the request may have been sent.
  kBroken,
};

/// A request to a server, which is given by its IP address.
struct HttpRequest {
  std::string method{"GET"};
  Endpoint endpoint;
  /// Path with query.
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Time limit of the whole exchange; rounded up to whole seconds, the resolution of ulfius.
  std::chrono::milliseconds timeout{1000};
  /// Time limit of a probe connection made before the exchange. Without a probe, a refused
  /// connection is reported as HttpResult::kBroken.
  std::optional<std::chrono::milliseconds> connect_timeout;
  /// Uses TLS without checking the certificate: only for peers, whose messages are authenticated
  /// by an HMAC.
  bool tls{false};
  /// Maximum size of the response body in bytes; a longer body ends the exchange as kBroken.
  std::size_t max_response_size{std::size_t{16} << 20U};
};

/// Outcome of an exchange, with the response if there is one.
struct HttpResponse {
  HttpResult result{HttpResult::kBroken};
  int status{0};
  std::string content_type;
  std::string body;
};

/// Called before the probe connection and again right before the request is sent; false ends the
/// exchange as HttpResult::kUnsent.
using SendCheck = std::function<bool()>;

/// Receives a piece of the body of a response with status 200; false aborts the exchange.
using BodySink = std::function<bool(std::string_view piece)>;

/// @brief Sends a request and waits for the complete response.
/// @param request The request.
/// @param may_send Checked before the request is sent; may be empty.
/// @return The result with the response.
[[nodiscard]] HttpResponse Exchange(const HttpRequest& request, const SendCheck& may_send = {});

/// @brief Sends a request and passes the body of a response with status 200 on as it arrives.
/// @param request The request.
/// @param may_send Checked before the request is sent; may be empty.
/// @param sink Receives the body; the bodies of other responses are part of the result.
/// @return The result; `body` is empty when the status is 200.
[[nodiscard]] HttpResponse ExchangeStream(const HttpRequest& request,
                                          const SendCheck& may_send,
                                          const BodySink& sink);

/// @brief Checks whether a TCP connection can be established.
/// @param endpoint The server.
/// @param timeout Time limit of the attempt.
/// @return False when the connection failed or timed out, or when the address is not an IP address.
[[nodiscard]] bool CanConnect(const Endpoint& endpoint, std::chrono::milliseconds timeout);

/// @brief Builds the base URL of a server.
/// @param endpoint The server.
/// @param tls Whether the scheme is https.
/// @return "http://address:port" or "https://address:port", with brackets around IPv6 addresses.
[[nodiscard]] std::string BaseUrl(const Endpoint& endpoint, bool tls);

/// @brief Percent-encodes text for a path segment or a query value (RFC 3986).
/// @param text Any bytes.
/// @return The text with all but unreserved characters percent-encoded.
[[nodiscard]] std::string PercentEncode(std::string_view text);

}  // namespace snipeturn
