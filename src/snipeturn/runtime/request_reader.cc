#include "snipeturn/runtime/request_reader.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <utility>

#include "snipeturn/base/digest.h"
#include "snipeturn/transport/json_text.h"

namespace snipeturn {
namespace internal {
namespace {

constexpr std::uint64_t kMaxTokens = 1000000;
constexpr std::uint32_t kDefaultTokens = 1024;
constexpr std::uint64_t kMaxDeadlineMs = 3600000;
constexpr std::uint64_t kMaxOperatorWaitMs = 60000;
constexpr std::uint64_t kDefaultOperatorWaitMs = 12000;
constexpr std::size_t kMaxName = 256;
constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::string_view kOperatorPrefix = "/operator/";

bool Refuse(RequestRefusal& refusal, int status, std::string reason, std::string detail) {
  refusal = RequestRefusal{status, std::move(reason), std::move(detail)};
  return false;
}

bool RefuseMalformed(RequestRefusal& refusal, std::string detail) {
  return Refuse(refusal, 400, "malformed_request", std::move(detail));
}

std::optional<std::string_view> BearerKey(std::string_view header) noexcept {
  constexpr std::string_view kScheme = "Bearer ";
  if (header.size() <= kScheme.size() || header.substr(0, kScheme.size()) != kScheme) {
    return std::nullopt;
  }
  return header.substr(kScheme.size());
}

bool IsPrintable(std::string_view text) noexcept {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char byte) { return byte > ' ' && byte < 0x7f; });
}

/// Reads what completions and calls have in common.
bool ReadCaller(const ServerRequest& request, CallerRequest& caller, RequestRefusal& refusal) {
  const std::string authorization = FindHeader(request, "authorization");
  const auto key = BearerKey(authorization);
  if (!key) {
    return Refuse(refusal, 401, "missing_key", "a bearer key is required");
  }
  caller.key_sha256 = Sha256Hex(*key);
  const std::string deadline = FindHeader(request, "snipeturn-deadline-ms");
  if (!deadline.empty()) {
    const auto number = ParseNumber(deadline);
    if (!number || *number == 0 || *number > kMaxDeadlineMs) {
      return RefuseMalformed(refusal, "Snipeturn-Deadline-Ms is not between 1 and 3600000");
    }
    caller.deadline = std::chrono::milliseconds{*number};
  }
  return true;
}

/// Reads a member of type string; one that is optional may be missing.
bool ReadString(const Json::Value& body,
                const char* name,
                bool is_optional,
                std::string& text,
                RequestRefusal& refusal) {
  if (!body.isMember(name) && is_optional) {
    return true;
  }
  if (!body[name].isString()) {
    return RefuseMalformed(refusal, std::string("member '") + name + "' must be a string");
  }
  text = body[name].asString();
  return true;
}

bool ReadTokens(const Json::Value& body, CallerRequest& caller, RequestRefusal& refusal) {
  caller.max_tokens = kDefaultTokens;
  if (!body.isMember("max_tokens")) {
    return true;
  }
  const Json::Value& tokens = body["max_tokens"];
  if (!tokens.isUInt64() || tokens.asUInt64() == 0 || tokens.asUInt64() > kMaxTokens) {
    return RefuseMalformed(refusal, "member 'max_tokens' must be between 1 and 1000000");
  }
  caller.max_tokens = static_cast<std::uint32_t>(tokens.asUInt64());
  return true;
}

/// Refuses members that would have no effect.
bool CheckMembers(const Json::Value& body, RequestRefusal& refusal) {
  constexpr std::array<std::string_view, 4> kMembers{"model", "prompt", "max_tokens", "stream"};
  for (const std::string& name : body.getMemberNames()) {
    if (std::find(kMembers.begin(), kMembers.end(), name) == kMembers.end()) {
      return Refuse(refusal, 400, "unsupported_member", "member '" + name + "' is not supported");
    }
  }
  return true;
}

bool ReadCompletionBody(const ServerRequest& request,
                        CallerRequest& caller,
                        RequestRefusal& refusal) {
  std::string reason;
  const auto body = ParseJson(request.body, reason);
  if (!body || !body->isObject()) {
    return RefuseMalformed(refusal, "the body must be a JSON object");
  }
  const bool is_resumed = !caller.cursor.empty();
  if (!CheckMembers(*body, refusal) ||
      !ReadString(*body, "model", is_resumed, caller.model, refusal) ||
      !ReadString(*body, "prompt", is_resumed, caller.prompt, refusal) ||
      !ReadTokens(*body, caller, refusal)) {
    return false;
  }
  if (body->isMember("stream") && !(*body)["stream"].isBool()) {
    return RefuseMalformed(refusal, "member 'stream' must be true or false");
  }
  caller.stream = body->isMember("stream") && (*body)["stream"].asBool();
  return true;
}

bool IsForwardedMethod(std::string_view method) noexcept {
  constexpr std::array<std::string_view, 5> kMethods{"GET", "POST", "PUT", "PATCH", "DELETE"};
  return std::find(kMethods.begin(), kMethods.end(), method) != kMethods.end();
}

/// Splits "/services/<service>/<path>" and adds the query to the path.
bool ReadCallTarget(const ServerRequest& request, CallerRequest& caller, RequestRefusal& refusal) {
  const std::string_view rest = std::string_view(request.path).substr(kServicesPrefix.size());
  const std::size_t slash = rest.find('/');
  if (slash == 0 || slash == std::string_view::npos || !IsSafePath(rest.substr(slash)) ||
      !IsPrintable(request.path) || !IsPrintable(request.query)) {
    return RefuseMalformed(refusal, "the path must be /services/<service>/<path>");
  }
  caller.service = rest.substr(0, slash);
  caller.path = rest.substr(slash);
  if (!request.query.empty()) {
    caller.path += "?" + request.query;
  }
  return true;
}

/// Reads a number from the query; false when it is there and not a number within the bound.
bool ReadQueryNumber(const ServerRequest& request,
                     const std::string& name,
                     std::uint64_t max,
                     std::optional<std::uint64_t>& number,
                     RequestRefusal& refusal) {
  const auto text = FindParameter(request, name);
  if (!text) {
    return true;
  }
  number = ParseNumber(*text);
  return (number && *number <= max) ||
         RefuseMalformed(refusal, "parameter '" + name + "' is not a number within its bound");
}

std::optional<OperatorCommand> ReadPut(const ServerRequest& request, RequestRefusal& refusal) {
  PutSettings command;
  command.path = FindParameter(request, "path").value_or("");
  command.writer = FindParameter(request, "writer").value_or("");
  if (command.path.empty() || command.writer.empty() || command.writer.size() > kMaxName) {
    RefuseMalformed(refusal, "parameters 'path' and 'writer' are required");
    return std::nullopt;
  }
  if (!ReadQueryNumber(request, "based_on", UINT64_MAX, command.based_on, refusal)) {
    return std::nullopt;
  }
  std::string reason;
  const auto value = ParseJson(request.body, reason);
  if (!value) {
    RefuseMalformed(refusal, "the body must be a JSON value: " + reason);
    return std::nullopt;
  }
  command.value = *value;
  return command;
}

std::optional<OperatorCommand> ReadWait(const ServerRequest& request, RequestRefusal& refusal) {
  std::optional<std::uint64_t> offset;
  std::optional<std::uint64_t> timeout;
  if (!ReadQueryNumber(request, "offset", UINT64_MAX, offset, refusal) ||
      !ReadQueryNumber(request, "timeout_ms", kMaxOperatorWaitMs, timeout, refusal)) {
    return std::nullopt;
  }
  if (!offset) {
    RefuseMalformed(refusal, "parameter 'offset' is required");
    return std::nullopt;
  }
  return WaitForOffset{*offset,
                       std::chrono::milliseconds{timeout.value_or(kDefaultOperatorWaitMs)}};
}

}  // namespace
}  // namespace internal

std::optional<CallerRequest> ReadCompletion(const ServerRequest& request,
                                            RequestRefusal& last_refusal) {
  CallerRequest caller;
  caller.kind = CallerRequest::Kind::kCompletion;
  caller.cursor = FindHeader(request, "last-event-id");
  caller.application = FindHeader(request, "snipeturn-application");
  if (!internal::ReadCaller(request, caller, last_refusal) ||
      !internal::ReadCompletionBody(request, caller, last_refusal)) {
    return std::nullopt;
  }
  return caller;
}

std::optional<CallerRequest> ReadCall(const ServerRequest& request, RequestRefusal& last_refusal) {
  CallerRequest caller;
  caller.kind = CallerRequest::Kind::kCall;
  caller.method = request.method;
  caller.body = request.body;
  caller.content_type = FindHeader(request, "content-type");
  caller.idempotency_key = FindHeader(request, "idempotency-key");
  if (!internal::IsForwardedMethod(request.method)) {
    internal::Refuse(last_refusal, 405, "method_not_allowed", "the method is not forwarded");
    return std::nullopt;
  }
  if (!internal::ReadCaller(request, caller, last_refusal) ||
      !internal::ReadCallTarget(request, caller, last_refusal)) {
    return std::nullopt;
  }
  if (caller.idempotency_key.size() > internal::kMaxName ||
      !internal::IsPrintable(caller.idempotency_key)) {
    internal::RefuseMalformed(last_refusal, "Idempotency-Key is too long or not printable");
    return std::nullopt;
  }
  return caller;
}

std::optional<OperatorCommand> ReadOperatorCommand(const ServerRequest& request,
                                                   RequestRefusal& last_refusal) {
  const std::string_view name =
      std::string_view(request.path).substr(internal::kOperatorPrefix.size());
  constexpr std::string_view kStatus = "status/";
  const std::string path = FindParameter(request, "path").value_or("/");
  if (request.method == "GET" && name == "settings") {
    return ReadSettings{path};
  }
  if (request.method == "PUT" && name == "settings") {
    return internal::ReadPut(request, last_refusal);
  }
  if (request.method == "GET" && name == "list") {
    return ListSettings{path};
  }
  if (request.method == "GET" && name == "history") {
    return ReadHistory{path};
  }
  if (request.method == "GET" && name.substr(0, kStatus.size()) == kStatus) {
    return ReadStatus{std::string(name.substr(kStatus.size()))};
  }
  if (request.method == "GET" && name == "wait") {
    return internal::ReadWait(request, last_refusal);
  }
  if (request.method == "POST" && name == "drain") {
    return DrainHost{};
  }
  internal::Refuse(last_refusal, 404, "unknown_endpoint", "no such endpoint or method");
  return std::nullopt;
}

bool IsOperator(const ServerRequest& request, const Options& options) {
  const std::string authorization = FindHeader(request, "authorization");
  const auto key = internal::BearerKey(authorization);
  const std::string digest = Sha256Hex(key.value_or(""));
  bool is_known = false;
  for (const std::string& known : options.operator_keys_sha256) {
    is_known |= EqualInConstantTime(digest, known);
  }
  return key && is_known;
}

bool IsSafePath(std::string_view path) noexcept {
  if (path.empty() || path.front() != '/' || path.find('\\') != std::string_view::npos) {
    return false;
  }
  for (std::size_t index = path.find('%'); index != std::string_view::npos;
       index = path.find('%', index + 1)) {
    const std::string_view code = path.substr(index + 1, 2);
    for (const std::string_view unsafe : {"2e", "2E", "2f", "2F", "5c", "5C", "00", "25"}) {
      if (code == unsafe) {
        return false;
      }
    }
  }
  std::size_t begin = 1;
  while (begin < path.size()) {
    const std::size_t end = std::min(path.find('/', begin), path.size());
    const std::string_view segment = path.substr(begin, end - begin);
    if (segment.empty() || segment == "." || segment == "..") {
      return false;
    }
    begin = end + 1;
  }
  return true;
}

}  // namespace snipeturn
