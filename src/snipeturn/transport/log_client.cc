#include "snipeturn/transport/log_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "snipeturn/transport/http_client.h"
#include "snipeturn/transport/json_text.h"

namespace snipeturn {
namespace internal {
namespace {

constexpr std::chrono::milliseconds kLogTimeout{2000};
constexpr std::chrono::milliseconds kLogConnectTimeout{500};
constexpr std::chrono::milliseconds kMaxWait{500};

/// Sends a request to the log; a JSON answer with status 200 or 201 is returned.
std::optional<Json::Value> Ask(const HttpRequest& request,
                               HttpResponse& answer,
                               std::string& last_reason) {
  answer = Exchange(request);
  if (answer.result != HttpResult::kAnswered || answer.status / 100 != 2) {
    last_reason = answer.result == HttpResult::kAnswered ? fmt::format("status {}", answer.status)
                                                         : "no answer";
    return std::nullopt;
  }
  return ParseJson(answer.body, last_reason);
}

HttpRequest MakeLogRequest(const Endpoint& log, std::string method, std::string target) {
  HttpRequest request;
  request.method = std::move(method);
  request.endpoint = log;
  request.target = std::move(target);
  request.timeout = kLogTimeout;
  return request;
}

void SetJsonBody(HttpRequest& request, const Json::Value& body) {
  request.body = WriteJson(body);
  request.headers.emplace_back("Content-Type", "application/json");
}

bool ReadRecord(const Json::Value& item, LogRecord& record) {
  if (!item.isObject() || !item["offset"].isUInt64() || !item["age_ms"].isInt64() ||
      item["age_ms"].asInt64() < 0 || !item.isMember("value")) {
    return false;
  }
  record.offset = item["offset"].asUInt64();
  record.age = std::chrono::milliseconds{item["age_ms"].asInt64()};
  record.value = item["value"];
  return true;
}

/// Reads the records of a batch; false when one is malformed or out of order.
bool ReadBatch(const Json::Value& value, LogRead& read) {
  if (!value.isObject() || !value["oldest"].isUInt64() || !value["next"].isUInt64() ||
      !value["retention_ms"].isInt64() || !value["records"].isArray()) {
    return false;
  }
  read.oldest = value["oldest"].asUInt64();
  read.next = value["next"].asUInt64();
  read.retention = std::chrono::milliseconds{value["retention_ms"].asInt64()};
  LogOffset expected = std::max(read.from, read.oldest);
  for (const Json::Value& item : value["records"]) {
    LogRecord record;
    if (!ReadRecord(item, record) || record.offset < expected) {
      return false;
    }
    expected = record.offset + 1;
    read.records.push_back(std::move(record));
  }
  return true;
}

bool ReadHost(const Json::Value& item, ListedHost& host) {
  if (!item.isObject() || !item["name"].isString() || !item["incarnation"].isUInt64() ||
      !item["address"].isString() || !item["port"].isInt() || !item["zone"].isString() ||
      !item["state"].isString()) {
    return false;
  }
  host.id = HostId{item["name"].asString(), item["incarnation"].asUInt64()};
  host.endpoint = Endpoint{item["address"].asString(), item["port"].asInt()};
  host.zone = item["zone"].asString();
  host.leaving = item["state"].asString() == "leaving";
  return true;
}

}  // namespace
}  // namespace internal

AppendAnswer AppendRecord(const Endpoint& log,
                          const std::string& stream,
                          const Json::Value& value) {
  HttpRequest request =
      internal::MakeLogRequest(log, "POST", "/streams/" + PercentEncode(stream) + "/records");
  request.connect_timeout = internal::kLogConnectTimeout;
  internal::SetJsonBody(request, value);
  HttpResponse answer;
  std::string reason;
  const auto body = internal::Ask(request, answer, reason);
  if (body && body->isObject() && (*body)["offset"].isUInt64()) {
    return {AppendResult::kAppended, (*body)["offset"].asUInt64()};
  }
  const bool is_refused =
      answer.result == HttpResult::kUnsent ||
      (answer.result == HttpResult::kAnswered && answer.status >= 400 && answer.status < 500);
  return {is_refused ? AppendResult::kRefused : AppendResult::kUnknown, 0};
}

std::optional<LogRead> ReadRecords(const Endpoint& log,
                                   const LogQuery& query,
                                   TimePoint began,
                                   std::string& last_reason) {
  const auto wait = std::clamp(query.wait, std::chrono::milliseconds{0}, internal::kMaxWait);
  const HttpRequest request = internal::MakeLogRequest(
      log, "GET",
      fmt::format("/streams/{}/records?from={}&limit={}&wait_ms={}", PercentEncode(query.stream),
                  query.from, query.limit, wait.count()));
  HttpResponse answer;
  const auto body = internal::Ask(request, answer, last_reason);
  if (!body) {
    return std::nullopt;
  }
  LogRead read;
  read.stream = query.stream;
  read.began = began;
  read.from = query.from;
  if (!internal::ReadBatch(*body, read)) {
    last_reason = "the answer can't be read";
    return std::nullopt;
  }
  return read;
}

LogOffset NextOffset(const LogRead& read) noexcept {
  return read.records.empty() ? std::max(read.from, read.oldest) : read.records.back().offset + 1;
}

std::optional<HostListRead> ReadHostList(const Endpoint& log, std::string& last_reason) {
  HttpResponse answer;
  const auto body =
      internal::Ask(internal::MakeLogRequest(log, "GET", "/hosts"), answer, last_reason);
  if (!body || !body->isObject() || !(*body)["hosts"].isArray()) {
    return std::nullopt;
  }
  HostListRead list;
  for (const Json::Value& item : (*body)["hosts"]) {
    if (!internal::ReadHost(item, list.hosts.emplace_back())) {
      last_reason = "an entry can't be read";
      return std::nullopt;
    }
  }
  return list;
}

bool RegisterHost(const Endpoint& log, const ListedHost& host) {
  HttpRequest request =
      internal::MakeLogRequest(log, "PUT", "/hosts/" + PercentEncode(host.id.name));
  Json::Value body;
  body["incarnation"] = Json::UInt64{host.id.incarnation};
  body["address"] = host.endpoint.address;
  body["port"] = host.endpoint.port;
  body["zone"] = host.zone;
  body["state"] = host.leaving ? "leaving" : "live";
  internal::SetJsonBody(request, body);
  const HttpResponse answer = Exchange(request);
  return answer.result == HttpResult::kAnswered && answer.status / 100 == 2;
}

}  // namespace snipeturn
