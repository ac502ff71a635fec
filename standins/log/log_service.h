#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "standins/common/http_server.h"
#include "standins/log/log_state.h"

namespace snipeturn::standin {

/// Active faults, set with POST /control.
struct LogFaults {
  /// Connections that send requests to the streams are closed; the host list stays available.
  bool outage{false};
  /// Delay before each request to the streams is processed.
  std::chrono::milliseconds delay{0};
  /// Number of further appends that take effect but get no response.
  int responses_to_drop{0};
  /// Clients (host names) whose requests get no response: the connection is closed.
  std::set<std::string> cut_clients;
  /// Clients whose requests to the streams get no response; the host list serves them.
  std::set<std::string> cut_stream_clients;
};

/// HTTP interface of the simulated platform log and host list, with fault injection.
class LogService {
 public:
  explicit LogService(LogOptions options);

  /// @brief Handles a request of a client; may be called on several threads at once.
  [[nodiscard]] HttpResponse Handle(const HttpRequest& request);

  /// @brief Changes the faults and options.
  /// @param control The body of POST /control; absent members leave their settings unchanged.
  void Control(const Json::Value& control);

 private:
  [[nodiscard]] HttpResponse HandleStreams(const HttpRequest& request);
  [[nodiscard]] HttpResponse HandleHosts(const HttpRequest& request);
  [[nodiscard]] HttpResponse Append(const HttpRequest& request, const std::string& stream);
  [[nodiscard]] HttpResponse Read(const HttpRequest& request, const std::string& stream);
  [[nodiscard]] bool IsRefused(const std::string& client) const;
  [[nodiscard]] Json::Value Stats() const;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  LogOptions options_;
  LogFaults faults_;
  RecordStreams streams_;
  HostList hosts_;
  RateLimiter rate_limiter_;
  std::uint64_t appends_{0};
  std::map<std::string, std::uint64_t> appends_by_stream_;
  std::uint64_t reads_{0};
  std::uint64_t rate_limited_{0};
  std::uint64_t dropped_responses_{0};
};

}  // namespace snipeturn::standin
