#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipeturn::ctl {

/// A request to a daemon.
struct HttpRequest {
  std::string method{"GET"};
  /// Path below the daemon's address, without parameters.
  std::string path;
  std::vector<std::pair<std::string, std::string>> parameters;
  std::string body;
  /// Time limit of the whole exchange.
  std::chrono::seconds timeout{10};
};

struct HttpResponse {
  int status{0};
  std::string body;
};

/// Address and credentials for requests.
struct HttpTarget {
  /// "address:port".
  std::string host;
  /// Bearer key; empty when there is none.
  std::string key;
};

/// @brief Sends a request and waits for the response.
/// @param target The daemon.
/// @param request The request.
/// @return The response, or nothing when there was none; the daemon may still have received the
/// request.
[[nodiscard]] std::optional<HttpResponse> Send(const HttpTarget& target,
                                               const HttpRequest& request);

}  // namespace snipeturn::ctl
