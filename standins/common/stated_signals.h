#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "standins/common/http_server.h"

namespace snipeturn::standin {

/// What a simulated upstream says in the heads of its responses about the requests that it wants,
/// truly or not, and the requests that it gets all the same. Thread-safe.
class StatedSignals {
 public:
  /// @brief Applies the members "says_leaving", "leaves_in_ms", "pauses", "pause_above" and
  ///     "retry_after" of a control request; absent ones change nothing. "restart" ends all of them
  ///     first.
  /// @param control The body of the control request.
  void Control(const Json::Value& control);

  /// @brief Returns the number of running calls from which on a call is refused with a pause.
  /// @return 0 if every call is, nothing if none is.
  [[nodiscard]] std::optional<int> max_running() const;

  /// @brief Records a call that arrived, before it is served or refused.
  void RecordCall();

  /// @brief Makes the refusal of a call that states a pause, and counts it.
  [[nodiscard]] HttpResponse MakeRefusal();

  /// @brief Adds the notice to leave to the head of a response, if it is said.
  void AddTo(HttpResponse& response) const;

  /// @brief Adds the number of refusals with a pause, and when calls arrived after the notice, to
  ///     the statistics.
  void AddTo(Json::Value& stats) const;

 private:
  using Clock = std::chrono::steady_clock;

  mutable std::mutex mutex_;
  /// Value of the header Server-Leaving; empty if it isn't sent.
  std::string leaving_;
  /// First time that the notice was set.
  Clock::time_point leaving_since_{};
  bool pauses_{false};
  std::optional<int> pause_above_;
  /// Value of the header Retry-After of refusals; empty if they have none.
  std::string retry_after_{"1"};
  std::uint64_t pause_refusals_{0};
  /// Calls that arrived after the notice: milliseconds since the notice.
  std::vector<std::int64_t> leaving_calls_;
};

}  // namespace snipeturn::standin
