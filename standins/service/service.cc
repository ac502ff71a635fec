#include "standins/service/service.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <thread>
#include <utility>

#include "standins/common/incarnation.h"

namespace snipeturn::standin {
namespace internal {

/// Status that a shell reports for a process ended by SIGABRT: 128 + 6.
constexpr int kAbortExitStatus = 134;

/// Decrements a fault counter; returns false when it is already zero.
bool TakeFault(int& count) noexcept {
  if (count <= 0) {
    return false;
  }
  --count;
  return true;
}

std::string IdempotencyKey(const HttpRequest& request) {
  const auto found = request.headers.find("idempotency-key");
  return found == request.headers.end() ? "" : found->second;
}

}  // namespace internal

Service::Service(ServiceOptions options)
    : options_{options}, incarnation_{DrawIncarnation()}, cold_since_{Clock::now()} {}

HttpResponse Service::Call(const HttpRequest& request) {
  signals_.RecordCall();
  HttpResponse response = Run(request);
  signals_.AddTo(response);
  return response;
}

HttpResponse Service::Run(const HttpRequest& request) {
  const std::string key = internal::IdempotencyKey(request);
  const Admission admission = Admit(key);
  if (admission.pauses) {
    return signals_.MakeRefusal();
  }
  if (!admission.admitted) {
    Json::Value body;
    body["outcome"] = "not_run";
    return JsonResponse(503, std::move(body));
  }
  std::this_thread::sleep_for(admission.latency);
  const std::lock_guard lock{mutex_};
  --running_;
  if (admission.exceeds_cold_limit || internal::TakeFault(faults_.fail_before)) {
    ++failed_;
    return CutResponse();
  }
  HttpResponse response = Execute(request, key);
  if (faults_.crash_after) {
    std::_Exit(internal::kAbortExitStatus);
  }
  return internal::TakeFault(faults_.fail_after) ? CutResponse() : std::move(response);
}

Service::Admission Service::Admit(const std::string& key) {
  const std::lock_guard lock{mutex_};
  Admission admission;
  const std::optional<int> max_running = signals_.max_running();
  admission.pauses = max_running && running_ >= *max_running;
  if (admission.pauses || running_ >= options_.slots) {
    ++refused_;
    return admission;
  }
  ++running_;
  ++starts_;
  peak_concurrency_ = std::max(peak_concurrency_, running_);
  admission.admitted = true;
  admission.latency = options_.latency;
  if (is_cold()) {
    peak_cold_concurrency_ = std::max(peak_cold_concurrency_, running_);
    admission.exceeds_cold_limit = running_ > options_.cold_slots;
    admission.latency *= admission.exceeds_cold_limit ? options_.cold_slowdown : 1;
  }
  if (options_.dedupe && cached_responses_.count(key) > 0) {
    admission.latency = std::chrono::milliseconds{0};
  }
  return admission;
}

HttpResponse Service::Execute(const HttpRequest& request, const std::string& key) {
  if (options_.dedupe && !key.empty()) {
    if (const auto cached = cached_responses_.find(key); cached != cached_responses_.end()) {
      return JsonResponse(200, cached->second);
    }
  }
  ++completed_;
  ++cold_completed_;
  Json::Value body;
  if (!key.empty()) {
    body["key"] = key;
    body["execution"] = Json::UInt64{++executions_[key]};
  }
  body["path"] = request.path;
  body["method"] = request.method;
  body["body"] = request.body;
  if (options_.dedupe && !key.empty()) {
    cached_responses_[key] = body;
  }
  return JsonResponse(200, std::move(body));
}

bool Service::is_cold() const {
  return Clock::now() - cold_since_ < options_.cold_time &&
         cold_completed_ < options_.cold_completions;
}

void Service::Restart() {
  incarnation_ = DrawIncarnation();
  cold_since_ = Clock::now();
  cold_completed_ = 0;
  faults_.leaving = false;
}

HttpResponse Service::ReportLoad() const {
  HttpResponse response = JsonResponse(200, Load());
  signals_.AddTo(response);
  return response;
}

Json::Value Service::Load() const {
  const std::lock_guard lock{mutex_};
  Json::Value report;
  report["incarnation"] = Json::UInt64{incarnation_};
  report["running"] = running_;
  report["waiting"] = 0;
  report["memory_used_tokens"] = 0;
  report["memory_total_tokens"] = 0;
  report["leaving"] = faults_.leaving;
  report["measured_ms_ago"] = 0;
  report["models"] = Json::arrayValue;
  return report;
}

Json::Value Service::Stats() const {
  const std::lock_guard lock{mutex_};
  Json::Value stats;
  stats["running"] = running_;
  stats["cold"] = is_cold();
  stats["peak_concurrency"] = peak_concurrency_;
  stats["peak_cold_concurrency"] = peak_cold_concurrency_;
  stats["starts"] = Json::UInt64{starts_};
  stats["completed"] = Json::UInt64{completed_};
  stats["refused"] = Json::UInt64{refused_};
  stats["failed"] = Json::UInt64{failed_};
  stats["executions"] = Json::objectValue;
  for (const auto& [key, count] : executions_) {
    stats["executions"][key] = Json::UInt64{count};
  }
  signals_.AddTo(stats);
  return stats;
}

void Service::Control(const Json::Value& control) {
  signals_.Control(control);
  const std::lock_guard lock{mutex_};
  options_.latency = std::chrono::milliseconds{
      control.get("latency_ms", Json::Int64{options_.latency.count()}).asInt64()};
  options_.dedupe = control.get("dedupe", options_.dedupe).asBool();
  options_.slots = control.get("slots", options_.slots).asInt();
  faults_.fail_before = control.get("fail_before", faults_.fail_before).asInt();
  faults_.fail_after = control.get("fail_after", faults_.fail_after).asInt();
  faults_.crash_after = control.get("crash_after", faults_.crash_after).asBool();
  faults_.leaving = control.get("leaving", faults_.leaving).asBool();
  if (control["restart"].asBool()) {
    Restart();
  }
  if (control["cold"].asBool()) {
    cold_since_ = Clock::now();
    cold_completed_ = 0;
  }
}

}  // namespace snipeturn::standin
