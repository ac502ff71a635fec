#include "snipeturn/transport/problem.h"

#include <utility>

#include "snipeturn/transport/json_text.h"
#include "snipeturn/transport/sse.h"

namespace snipeturn {
namespace internal {
namespace {

std::string_view StatusTitle(int status) noexcept {
  switch (status) {
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 413:
      return "Content Too Large";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Error";
  }
}

}  // namespace
}  // namespace internal

std::string_view ToString(Outcome outcome) noexcept {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kRan:
      return "ran";
  }
  return "";
}

Json::Value EncodeProblem(const Problem& problem) {
  Json::Value value;
  value["type"] = "about:blank";
  value["title"] = std::string(internal::StatusTitle(problem.status));
  value["status"] = problem.status;
  value["detail"] = problem.detail;
  value["reason"] = problem.reason;
  value["outcome"] = std::string(ToString(problem.outcome));
  if (problem.delivered) {
    value["delivered"] = Json::UInt64{*problem.delivered};
  }
  return value;
}

ServerResponse MakeProblemResponse(const Problem& problem) {
  ServerResponse response = MakeJsonResponse(problem.status, EncodeProblem(problem));
  response.content_type = "application/problem+json";
  if (problem.status == 429 || problem.status == 503) {
    const auto wait = problem.retry_after.value_or(std::chrono::seconds{1});
    response.headers.emplace_back("Retry-After", std::to_string(wait.count()));
  }
  if (problem.status == 401) {
    response.headers.emplace_back("WWW-Authenticate", "Bearer");
  }
  return response;
}

ServerResponse MakeRequestProblem(int status,
                                  const std::string& reason,
                                  const std::string& detail) {
  Problem problem;
  problem.status = status;
  problem.reason = reason;
  problem.outcome = Outcome::kNotRun;
  problem.detail = detail;
  return MakeProblemResponse(problem);
}

ServerResponse MakeJsonResponse(int status, const Json::Value& body) {
  ServerResponse response;
  response.status = status;
  response.content_type = "application/json";
  response.body = WriteJson(body) + "\n";
  return response;
}

std::string EncodeTokenEvent(const std::string& completion, const SendToken& token) {
  Json::Value choice;
  choice["index"] = 0;
  choice["text"] = token.text;
  Json::Value value;
  value["id"] = completion;
  value["object"] = "text_completion";
  value["choices"].append(std::move(choice));
  return WriteSse({"", token.event_id, WriteJson(value)});
}

std::string EncodeDoneEvent() {
  return WriteSse({"", "", "[DONE]"});
}

std::string EncodeErrorEvent(const Problem& problem) {
  return WriteSse({"error", "", WriteJson(EncodeProblem(problem))});
}

}  // namespace snipeturn
