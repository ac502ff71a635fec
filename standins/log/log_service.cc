#include "standins/log/log_service.h"

#include <thread>
#include <utility>

#include "standins/common/json.h"

namespace snipeturn::standin {
namespace internal {

constexpr std::uint64_t kDefaultReadLimit = 1000;
constexpr std::uint64_t kMaxWaitMs = 30000;
/// Interval at which a long-polling read checks that its client is still connected.
constexpr std::chrono::milliseconds kConnectionCheckInterval{20};

std::string ClientName(const HttpRequest& request) {
  const auto found = request.headers.find("snipeturn-host");
  return found == request.headers.end() ? "" : found->second;
}

/// Returns the part of a path between a prefix and a suffix, or nothing when they don't match.
std::optional<std::string> ExtractName(const std::string& path,
                                       const std::string& prefix,
                                       const std::string& suffix) {
  const std::size_t fixed = prefix.size() + suffix.size();
  if (path.size() <= fixed || path.compare(0, prefix.size(), prefix) != 0 ||
      path.compare(path.size() - suffix.size(), suffix.size(), suffix) != 0) {
    return std::nullopt;
  }
  return path.substr(prefix.size(), path.size() - fixed);
}

HttpResponse ErrorResponse(int status, const char* reason) {
  Json::Value body;
  body["reason"] = reason;
  return JsonResponse(status, std::move(body));
}

std::set<std::string> ToStringSet(const Json::Value& list) {
  std::set<std::string> names;
  for (const Json::Value& name : list) {
    names.insert(name.asString());
  }
  return names;
}

}  // namespace internal

LogService::LogService(LogOptions options) : options_{options} {}

HttpResponse LogService::Handle(const HttpRequest& request) {
  {
    const std::lock_guard lock{mutex_};
    if (faults_.cut_clients.count(internal::ClientName(request)) > 0) {
      return CutResponse();
    }
  }
  if (request.path == "/stats") {
    const std::lock_guard lock{mutex_};
    return JsonResponse(200, Stats());
  }
  if (request.path.rfind("/hosts", 0) == 0) {
    return HandleHosts(request);
  }
  return HandleStreams(request);
}

HttpResponse LogService::HandleStreams(const HttpRequest& request) {
  const auto stream = internal::ExtractName(request.path, "/streams/", "/records");
  if (!stream) {
    return internal::ErrorResponse(404, "no_such_path");
  }
  std::chrono::milliseconds delay{0};
  {
    const std::lock_guard lock{mutex_};
    if (IsRefused(internal::ClientName(request))) {
      return CutResponse();
    }
    delay = faults_.delay;
  }
  std::this_thread::sleep_for(delay);
  if (request.method == "POST") {
    return Append(request, *stream);
  }
  return request.method == "GET" ? Read(request, *stream)
                                 : internal::ErrorResponse(405, "no_such_method");
}

HttpResponse LogService::Append(const HttpRequest& request, const std::string& stream) {
  std::optional<Json::Value> value = ParseJson(request.body);
  if (!value) {
    return internal::ErrorResponse(400, "no_json");
  }
  const LogClock::time_point now = LogClock::now();
  const std::lock_guard lock{mutex_};
  if (IsRefused(internal::ClientName(request))) {
    return CutResponse();
  }
  if (!rate_limiter_.TryTake(options_.appends_per_second, now)) {
    ++rate_limited_;
    return internal::ErrorResponse(429, "rate_limited");
  }
  Json::Value body;
  body["offset"] = Json::UInt64{streams_.Append(stream, std::move(*value), now)};
  ++appends_;
  ++appends_by_stream_[stream];
  changed_.notify_all();
  if (faults_.responses_to_drop > 0) {
    --faults_.responses_to_drop;
    ++dropped_responses_;
    return CutResponse();
  }
  return JsonResponse(200, std::move(body));
}

HttpResponse LogService::Read(const HttpRequest& request, const std::string& stream) {
  const std::uint64_t from = QueryNumber(request, "from", 0);
  const std::uint64_t limit = QueryNumber(request, "limit", internal::kDefaultReadLimit);
  const std::uint64_t wait = std::min(QueryNumber(request, "wait_ms", 0), internal::kMaxWaitMs);
  const auto deadline = LogClock::now() + std::chrono::milliseconds{wait};
  std::unique_lock lock{mutex_};
  while (streams_.next(stream) <= from && LogClock::now() < deadline) {
    if (IsRefused(internal::ClientName(request)) || !request.connection->is_open()) {
      return CutResponse();
    }
    changed_.wait_until(lock,
                        std::min(deadline, LogClock::now() + internal::kConnectionCheckInterval));
  }
  if (IsRefused(internal::ClientName(request))) {
    return CutResponse();
  }
  ++reads_;
  return JsonResponse(200, streams_.Read(stream, from, limit, options_.retention, LogClock::now()));
}

HttpResponse LogService::HandleHosts(const HttpRequest& request) {
  const LogClock::time_point now = LogClock::now();
  const std::lock_guard lock{mutex_};
  hosts_.Expire(options_.host_ttl, now);
  if (request.path == "/hosts" && request.method == "GET") {
    Json::Value body;
    body["hosts"] = hosts_.Visible(options_.list_lag, now);
    return JsonResponse(200, std::move(body));
  }
  const auto name = internal::ExtractName(request.path, "/hosts/", "");
  if (!name) {
    return internal::ErrorResponse(404, "no_such_path");
  }
  if (request.method == "DELETE") {
    hosts_.Remove(*name, now);
    return JsonResponse(200, Json::objectValue);
  }
  std::optional<Json::Value> entry = ParseJson(request.body);
  if (request.method != "PUT" || !entry || !entry->isObject()) {
    return internal::ErrorResponse(400, "no_registration");
  }
  // A client that sends no snipeturn-host header is identified by the host that it registers.
  if (faults_.cut_clients.count(*name) > 0) {
    return CutResponse();
  }
  (*entry)["name"] = *name;
  if (!entry->isMember("state")) {
    (*entry)["state"] = "live";
  }
  hosts_.Renew(*name, std::move(*entry), now);
  return JsonResponse(200, Json::objectValue);
}

bool LogService::IsRefused(const std::string& client) const {
  return faults_.outage || faults_.cut_clients.count(client) > 0 ||
         faults_.cut_stream_clients.count(client) > 0;
}

void LogService::Control(const Json::Value& control) {
  const std::lock_guard lock{mutex_};
  const auto update_time = [&control](const char* name, std::chrono::milliseconds& time) {
    time = std::chrono::milliseconds{control.get(name, Json::Int64{time.count()}).asInt64()};
  };
  update_time("delay_ms", faults_.delay);
  update_time("retention_ms", options_.retention);
  update_time("list_lag_ms", options_.list_lag);
  update_time("host_ttl_ms", options_.host_ttl);
  faults_.outage = control.get("outage", faults_.outage).asBool();
  faults_.responses_to_drop = control.get("lose_answers", faults_.responses_to_drop).asInt();
  options_.appends_per_second =
      control.get("appends_per_second", options_.appends_per_second).asDouble();
  if (control.isMember("freeze_list")) {
    hosts_.Freeze(control["freeze_list"].asBool(), options_.list_lag, LogClock::now());
  }
  if (control.isMember("cut")) {
    faults_.cut_clients = internal::ToStringSet(control["cut"]);
  }
  if (control.isMember("cut_streams")) {
    faults_.cut_stream_clients = internal::ToStringSet(control["cut_streams"]);
  }
  changed_.notify_all();
}

Json::Value LogService::Stats() const {
  Json::Value stats;
  stats["appends"] = Json::UInt64{appends_};
  stats["reads"] = Json::UInt64{reads_};
  stats["rate_limited"] = Json::UInt64{rate_limited_};
  stats["streams"] = Json::objectValue;
  for (const auto& [stream, count] : appends_by_stream_) {
    stats["streams"][stream] = Json::UInt64{count};
  }
  stats["lost_answers"] = Json::UInt64{dropped_responses_};
  return stats;
}

}  // namespace snipeturn::standin
