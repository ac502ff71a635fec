#include "tools/load/caller.h"

#include <fmt/format.h>

#include <optional>
#include <utility>

#include "snipeturn/transport/http_client.h"
#include "snipeturn/transport/json_text.h"
#include "snipeturn/transport/sse.h"

namespace snipeturn::load {
namespace internal {

constexpr std::chrono::milliseconds kTimeout{30000};

/// Reads a streamed answer and checks that each token arrives once, in order, from one generation.
class StreamReader {
 public:
  StreamReader(Clock::time_point begun, Measurements& measurements)
      : begun_{begun}, measurements_{measurements} {}

  bool Take(std::string_view piece) {
    const Clock::time_point now = Clock::now();
    for (const SseEvent& event : parser_.Feed(piece)) {
      if (event.event == "error") {
        failure_ = ReasonOf(event.data);
      } else if (event.data == "[DONE]") {
        done_ = true;
      } else {
        TakeTokens(event.data, now);
      }
    }
    return true;
  }

  [[nodiscard]] std::uint64_t tokens() const noexcept { return tokens_; }

  [[nodiscard]] std::optional<Clock::duration> first_token() const noexcept { return first_token_; }

  /// Empty when the answer is whole.
  [[nodiscard]] std::string Failure() const {
    if (!failure_.empty()) {
      return failure_;
    }
    return done_ && tokens_ > 0 ? "" : "stream_cut";
  }

  [[nodiscard]] static std::string ReasonOf(const std::string& text) {
    std::string last_reason;
    const auto problem = ParseJson(text, last_reason);
    return problem && problem->isObject() && (*problem)["reason"].isString()
               ? (*problem)["reason"].asString()
               : "no_reason";
  }

 private:
  void TakeTokens(const std::string& data, Clock::time_point now) {
    std::string last_reason;
    const auto event = ParseJson(data, last_reason);
    if (!event || !event->isObject() || !(*event)["choices"].isArray()) {
      failure_ = "bad_event";
      return;
    }
    const std::string text = (*event)["choices"][0U]["text"].asString();
    std::size_t from = 0;
    for (std::size_t end = text.find(' '); end != std::string::npos; end = text.find(' ', from)) {
      TakeToken(text.substr(from, end - from), now);
      from = end + 1;
    }
  }

  void TakeToken(const std::string& token, Clock::time_point now) {
    const std::size_t slash = token.find('/');
    if (tokens_ == 0) {
      generation_ = token.substr(0, slash);
      first_token_ = now - begun_;
      measurements_.AddFirstToken(*first_token_);
    } else {
      measurements_.AddBetweenTokens(now - last_);
    }
    if (token != fmt::format("{}/{}", generation_, tokens_)) {
      failure_ = "token_out_of_order";
    }
    last_ = now;
    ++tokens_;
  }

  Clock::time_point begun_;
  Measurements& measurements_;
  SseParser parser_;
  std::string generation_;
  std::uint64_t tokens_{0};
  std::optional<Clock::duration> first_token_;
  Clock::time_point last_{};
  bool done_{false};
  std::string failure_;
};

std::string FailureOf(const HttpResponse& answer) {
  if (answer.result != HttpResult::kAnswered) {
    return answer.result == HttpResult::kUnsent ? "not_connected" : "connection_broken";
  }
  return fmt::format("{}_{}", answer.status, StreamReader::ReasonOf(answer.body));
}

HttpRequest MakeRequest(const CallerOptions& options,
                        const PlannedCall& call,
                        const Endpoint& target) {
  HttpRequest request;
  request.method = "POST";
  request.endpoint = target;
  request.timeout = kTimeout;
  request.headers = {
      {"Content-Type", "application/json"},
      {"Authorization", "Bearer " + options.keys[call.organisation]},
      {"Snipeturn-Deadline-Ms", std::to_string(DeadlineOf(call.work_class).count())}};
  return request;
}

void CallService(const CallerOptions& options,
                 const PlannedCall& call,
                 HttpRequest request,
                 CallResult& result) {
  const Clock::time_point begun = Clock::now();
  const std::string prefix =
      options.policy == Policy::kSnipeturn ? "/services/" + options.service : "";
  request.target = prefix + "/orders";
  result.key = IssueKey(call);
  request.headers.emplace_back("Idempotency-Key", result.key);
  request.body = R"({"item": "syrup"})";
  const HttpResponse answer = Exchange(request);
  result.is_answered = answer.result == HttpResult::kAnswered && answer.status == 200;
  result.is_in_time = result.is_answered && Clock::now() - begun <= DeadlineOf(call.work_class);
  if (!result.is_answered) {
    std::string last_reason;
    const auto problem = ParseJson(answer.body, last_reason);
    result.failure = FailureOf(answer);
    result.is_refused_as_not_run =
        problem && problem->isObject() && (*problem)["outcome"] == "not_run";
  }
}

void CallEngine(const CallerOptions& options,
                const PlannedCall& call,
                HttpRequest request,
                Measurements& measurements,
                CallResult& result) {
  const Clock::time_point begun = Clock::now();
  const bool is_long = call.work_class == WorkClass::kLong;
  request.target = "/v1/completions";
  request.headers.emplace_back("Snipeturn-Application", is_long ? "notes" : "tickets");
  Json::Value body;
  body["model"] = options.model;
  body["prompt"] = call.prompt;
  body["max_tokens"] = Json::UInt64{call.max_tokens};
  body["stream"] = true;
  request.body = WriteJson(body);
  StreamReader reader{begun, measurements};
  const HttpResponse answer =
      ExchangeStream(request, {}, [&](std::string_view piece) { return reader.Take(piece); });
  result.tokens = reader.tokens();
  const bool is_ok = answer.result == HttpResult::kAnswered && answer.status == 200;
  result.failure = is_ok || reader.tokens() > 0 ? reader.Failure() : FailureOf(answer);
  result.is_answered = is_ok && result.failure.empty();
  const Clock::duration taken =
      is_long ? reader.first_token().value_or(Clock::duration::max()) : Clock::now() - begun;
  result.is_in_time = result.is_answered && taken <= DeadlineOf(call.work_class);
}

}  // namespace internal

void MakeCall(const CallerOptions& options,
              const PlannedCall& call,
              const Endpoint& target,
              Measurements& measurements) {
  CallResult result;
  result.work_class = call.work_class;
  HttpRequest request = internal::MakeRequest(options, call, target);
  if (call.work_class == WorkClass::kCritical) {
    internal::CallService(options, call, std::move(request), result);
  } else {
    internal::CallEngine(options, call, std::move(request), measurements, result);
  }
  measurements.AddResult(std::move(result));
}

}  // namespace snipeturn::load
