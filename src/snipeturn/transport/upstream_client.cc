#include "snipeturn/transport/upstream_client.h"

#include <fmt/format.h>

#include <limits>
#include <utility>
#include <vector>

#include "snipeturn/transport/json_text.h"
#include "snipeturn/transport/sse.h"

namespace snipeturn {
namespace internal {
namespace {

// A server on the same network accepts a connection within milliseconds; the bound covers one
// retransmitted packet of a quick retry timer and stays below the no-progress time of 2 s.
constexpr std::chrono::milliseconds kConnectTimeout{500};
constexpr std::chrono::milliseconds kLoadTimeout{1000};
constexpr std::chrono::milliseconds kCancelTimeout{1000};

std::string WriteGenerateBody(const StartAttempt& attempt) {
  Json::Value body;
  body["model"] = attempt.model;
  body["prompt"] = attempt.prompt;
  body["max_tokens"] = attempt.max_tokens;
  body["stream"] = true;
  body["priority"] = attempt.priority;
  return WriteJson(body);
}

HttpRequest MakeRequest(const StartAttempt& attempt) {
  HttpRequest request;
  request.endpoint = attempt.endpoint;
  request.timeout = attempt.timeout;
  request.connect_timeout = kConnectTimeout;
  switch (attempt.kind) {
    case AttemptKind::kGenerate:
      request.method = "POST";
      request.target = "/v1/completions";
      request.body = WriteGenerateBody(attempt);
      request.headers.emplace_back("Content-Type", "application/json");
      break;
    case AttemptKind::kResume:
      request.target = fmt::format("/v1/generations/{}?from={}", PercentEncode(attempt.generation),
                                   attempt.from_index);
      break;
    case AttemptKind::kCall:
      request.method = attempt.method;
      request.target = attempt.path;
      request.body = attempt.body;
      if (!attempt.content_type.empty()) {
        request.headers.emplace_back("Content-Type", attempt.content_type);
      }
      if (!attempt.idempotency_key.empty()) {
        request.headers.emplace_back("Idempotency-Key", attempt.idempotency_key);
      }
      break;
  }
  return request;
}

/// Reads the members of a token event; false when one is missing.
bool ReadToken(const std::string& text, AttemptToken& token) {
  std::string reason;
  const auto value = ParseJson(text, reason);
  if (!value || !value->isObject()) {
    return false;
  }
  const Json::Value& choices = (*value)["choices"];
  if (!(*value)["id"].isString() || !(*value)["incarnation"].isUInt64() ||
      !(*value)["token_index"].isUInt64() || !choices.isArray() || choices.size() != 1 ||
      !choices[0].isObject() || !choices[0]["text"].isString()) {
    return false;
  }
  token.generation = (*value)["id"].asString();
  token.incarnation = (*value)["incarnation"].asUInt64();
  token.index = (*value)["token_index"].asUInt64();
  token.text = choices[0]["text"].asString();
  return true;
}

/// Follows the events of one streamed exchange.
class StreamReader {
 public:
  StreamReader(const StartAttempt& attempt, const AttemptHooks& hooks)
      : attempt_(attempt), hooks_(hooks) {}

  /// Takes a piece; false ends the exchange.
  [[nodiscard]] bool Take(std::string_view piece) {
    if (hooks_.is_abandoned && hooks_.is_abandoned()) {
      return false;
    }
    for (const SseEvent& event : parser_.Feed(piece)) {
      if (!TakeEvent(event)) {
        return false;
      }
    }
    return !parser_.has_overflowed();
  }

  /// How the stream ended by its own events, if it did.
  [[nodiscard]] std::optional<AttemptResult> result() const noexcept { return result_; }

 private:
  bool TakeEvent(const SseEvent& event) {
    if (result_) {
      return true;
    }
    if (event.event == "superseded") {
      result_ = AttemptResult::kSuperseded;
    } else if (event.data == "[DONE]") {
      result_ = AttemptResult::kComplete;
    } else {
      AttemptToken token;
      if (!event.event.empty() || !ReadToken(event.data, token)) {
        result_ = AttemptResult::kBroken;
        return false;
      }
      token.request = attempt_.request;
      token.attempt = attempt_.attempt;
      hooks_.on_token(std::move(token));
    }
    return true;
  }

  const StartAttempt& attempt_;
  const AttemptHooks& hooks_;
  SseParser parser_;
  std::optional<AttemptResult> result_;
};

/// Tells whether the upstream says that it did not run the work.
bool SaysNotRun(const HttpResponse& answer) {
  std::string reason;
  const auto value = ParseJson(answer.body, reason);
  return value && value->isObject() && (*value)["outcome"].isString() &&
         (*value)["outcome"].asString() == "not_run";
}

/// Result of an answer that is no stream.
AttemptResult Judge(const StartAttempt& attempt, const HttpResponse& answer) {
  if (answer.result == HttpResult::kUnsent) {
    return AttemptResult::kUnsent;
  }
  if (answer.result == HttpResult::kBroken) {
    return AttemptResult::kBroken;
  }
  if (answer.status == 503 && SaysNotRun(answer)) {
    return AttemptResult::kNotRun;
  }
  if (attempt.kind == AttemptKind::kResume && answer.status == 404) {
    return AttemptResult::kUnknownGeneration;
  }
  if (answer.status >= 400 && answer.status < 500) {
    return AttemptResult::kRejected;
  }
  if (attempt.kind == AttemptKind::kCall && answer.status >= 200 && answer.status < 400) {
    return AttemptResult::kComplete;
  }
  return AttemptResult::kBroken;
}

/// Reads a member that must be a number of 0 or more.
bool ReadCount(const Json::Value& report, const char* name, int& count) {
  const Json::Value& member = report[name];
  if (!member.isInt() || member.asInt() < 0) {
    return false;
  }
  count = member.asInt();
  return true;
}

bool ReadReport(const Json::Value& report, LoadReported& load) {
  int age = 0;
  if (!report.isObject() || !report["incarnation"].isUInt64() ||
      !ReadCount(report, "running", load.running) || !ReadCount(report, "waiting", load.waiting) ||
      !ReadCount(report, "measured_ms_ago", age)) {
    return false;
  }
  load.incarnation = report["incarnation"].asUInt64();
  load.age = std::chrono::milliseconds{age};
  // Plain services have no memory limit to report.
  const Json::Value& used = report["memory_used_tokens"];
  const Json::Value& total = report["memory_total_tokens"];
  load.memory_used_tokens = used.isUInt64() ? used.asUInt64() : 0;
  load.memory_total_tokens = total.isUInt64() ? total.asUInt64() : 0;
  load.leaving = report["leaving"].isBool() && report["leaving"].asBool();
  return true;
}

}  // namespace
}  // namespace internal

AttemptEnded RunAttempt(const StartAttempt& attempt, const AttemptHooks& hooks) {
  AttemptEnded ended;
  ended.request = attempt.request;
  ended.attempt = attempt.attempt;
  const HttpRequest request = internal::MakeRequest(attempt);
  HttpResponse answer;
  if (attempt.kind == AttemptKind::kCall) {
    answer = Exchange(request, hooks.may_send);
  } else {
    internal::StreamReader reader(attempt, hooks);
    answer = ExchangeStream(request, hooks.may_send,
                            [&reader](std::string_view piece) { return reader.Take(piece); });
    if (reader.result()) {
      ended.result = *reader.result();
      ended.status = answer.status;
      return ended;
    }
  }
  ended.result = internal::Judge(attempt, answer);
  ended.status = answer.status;
  ended.body = std::move(answer.body);
  ended.content_type = std::move(answer.content_type);
  return ended;
}

bool RunCancel(const CancelGeneration& cancel) {
  HttpRequest request;
  request.method = "DELETE";
  request.endpoint = cancel.endpoint;
  request.target = "/v1/generations/" + PercentEncode(cancel.generation);
  request.timeout = internal::kCancelTimeout;
  request.connect_timeout = internal::kConnectTimeout;
  return Exchange(request).result == HttpResult::kAnswered;
}

std::optional<LoadReported> ReadLoad(const UpstreamName& upstream,
                                     const Endpoint& endpoint,
                                     TimePoint began,
                                     std::string& last_reason) {
  HttpRequest request;
  request.endpoint = endpoint;
  request.target = "/load";
  request.timeout = internal::kLoadTimeout;
  request.max_answer = std::size_t{256} << 10U;
  const HttpResponse answer = Exchange(request);
  if (answer.result != HttpResult::kAnswered || answer.status != 200) {
    last_reason = fmt::format("no report, status {}", answer.status);
    return std::nullopt;
  }
  const auto report = ParseJson(answer.body, last_reason);
  LoadReported load;
  if (!report || !internal::ReadReport(*report, load)) {
    last_reason = "the report can't be read";
    return std::nullopt;
  }
  load.upstream = upstream;
  load.began = began;
  return load;
}

}  // namespace snipeturn
