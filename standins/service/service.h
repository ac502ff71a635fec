#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "standins/common/http_server.h"
#include "standins/common/stated_signals.h"

namespace snipeturn::standin {

/// Parameters of the simulated plain service.
struct ServiceOptions {
  /// Duration of a call.
  std::chrono::milliseconds latency{20};
  /// Maximum number of concurrent calls; further ones are rejected.
  int slots{16};
  /// Concurrent calls that a cold service can serve; further ones fail.
  int cold_slots{2};
  std::chrono::milliseconds cold_time{3000};
  int cold_completions{16};
  /// Factor of the latency of calls beyond `cold_slots` on a cold service.
  int cold_slowdown{8};
  /// Return the stored response for an idempotency key that was already executed.
  bool dedupe{false};
};

/// Active faults, set with POST /control.
struct ServiceFaults {
  /// Number of further calls whose connection is closed before the call is executed.
  int fail_before{0};
  /// Number of further calls that are executed and whose connection is closed before the response.
  int fail_after{0};
  /// The process exits after it executed the next call, before the response.
  bool crash_after{false};
  /// The load report carries a termination notice.
  bool leaving{false};
};

/// Simulated plain service that counts the executions of each Idempotency-Key.
class Service {
 public:
  explicit Service(ServiceOptions options);

  /// @brief Executes a call, subject to slots and faults.
  [[nodiscard]] HttpResponse Call(const HttpRequest& request);

  /// @brief Returns the load report, as a response whose head states what the service wants.
  [[nodiscard]] HttpResponse ReportLoad() const;
  [[nodiscard]] Json::Value Stats() const;

  /// @brief Changes options and faults; absent members leave them unchanged.
  void Control(const Json::Value& control);

 private:
  using Clock = std::chrono::steady_clock;

  /// Result of admission; `exceeds_cold_limit` makes the call fail after `latency`.
  struct Admission {
    bool admitted{false};
    /// The refusal states a pause.
    bool pauses{false};
    bool exceeds_cold_limit{false};
    std::chrono::milliseconds latency{0};
  };

  [[nodiscard]] Json::Value Load() const;
  [[nodiscard]] HttpResponse Run(const HttpRequest& request);
  [[nodiscard]] Admission Admit(const std::string& key);
  [[nodiscard]] HttpResponse Execute(const HttpRequest& request, const std::string& key);
  [[nodiscard]] bool is_cold() const;
  void Restart();

  mutable std::mutex mutex_;
  ServiceOptions options_;
  ServiceFaults faults_;
  StatedSignals signals_;
  std::uint64_t incarnation_;
  Clock::time_point cold_since_;
  int cold_completed_{0};
  int running_{0};
  int peak_concurrency_{0};
  int peak_cold_concurrency_{0};
  std::uint64_t starts_{0};
  std::uint64_t completed_{0};
  std::uint64_t refused_{0};
  std::uint64_t failed_{0};
  std::map<std::string, std::uint64_t> executions_;
  std::map<std::string, Json::Value> cached_responses_;
};

}  // namespace snipeturn::standin
