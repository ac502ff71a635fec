#include "standins/common/stated_signals.h"

#include <cstddef>
#include <cstdlib>
#include <thread>
#include <utility>

namespace snipeturn::standin {
namespace internal {

/// Bounds the list of calls in the statistics.
constexpr std::size_t kMaxRecordedCalls = 2000;

/// Ends the process after a time, as a host does that is taken away.
void ExitAfter(std::chrono::milliseconds time) {
  std::thread([time] {
    std::this_thread::sleep_for(time);
    std::_Exit(0);
  }).detach();
}

}  // namespace internal

void StatedSignals::Control(const Json::Value& control) {
  const std::lock_guard lock{mutex_};
  if (control["restart"].asBool()) {
    leaving_.clear();
    pauses_ = false;
    pause_above_.reset();
  }
  std::string leaving = leaving_;
  if (const Json::Value& says = control["says_leaving"]; says.isString()) {
    leaving = says.asString();
  } else if (says.isBool()) {
    leaving = says.asBool() ? "1" : "";
  }
  if (const Json::Value& leaves_in = control["leaves_in_ms"]; !leaves_in.isNull()) {
    leaving = "1";
    internal::ExitAfter(std::chrono::milliseconds{leaves_in.asInt64()});
  }
  if (leaving_.empty() && !leaving.empty()) {
    leaving_since_ = Clock::now();
  }
  leaving_ = std::move(leaving);
  pauses_ = control.get("pauses", pauses_).asBool();
  if (const Json::Value& above = control["pause_above"]; above.isInt()) {
    pause_above_ = above.asInt() < 0 ? std::nullopt : std::optional(above.asInt());
  }
  retry_after_ = control.get("retry_after", retry_after_).asString();
}

std::optional<int> StatedSignals::max_running() const {
  const std::lock_guard lock{mutex_};
  return pauses_ ? 0 : pause_above_;
}

void StatedSignals::RecordCall() {
  const std::lock_guard lock{mutex_};
  if (!leaving_.empty() && leaving_calls_.size() < internal::kMaxRecordedCalls) {
    leaving_calls_.push_back(
        std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - leaving_since_)
            .count());
  }
}

HttpResponse StatedSignals::MakeRefusal() {
  const std::lock_guard lock{mutex_};
  ++pause_refusals_;
  Json::Value body;
  body["outcome"] = "not_run";
  body["reason"] = "pause";
  HttpResponse response = JsonResponse(503, std::move(body));
  response.headers = {{"Not-Executed", "1"}};
  if (!retry_after_.empty()) {
    response.headers["Retry-After"] = retry_after_;
  }
  return response;
}

void StatedSignals::AddTo(HttpResponse& response) const {
  const std::lock_guard lock{mutex_};
  if (!leaving_.empty()) {
    response.headers["Server-Leaving"] = leaving_;
  }
}

void StatedSignals::AddTo(Json::Value& stats) const {
  const std::lock_guard lock{mutex_};
  stats["pause_refusals"] = Json::UInt64{pause_refusals_};
  stats["leaving_calls_ms"] = Json::arrayValue;
  for (const std::int64_t after_ms : leaving_calls_) {
    stats["leaving_calls_ms"].append(Json::Int64{after_ms});
  }
}

}  // namespace snipeturn::standin
