#include "src/snipeturnctl/run.h"

#include <fmt/format.h>
#include <json/reader.h>

#include <cstdio>
#include <memory>
#include <optional>

#include "snipeturn/settings/schema.h"
#include "src/snipeturnctl/http_client.h"
#include "src/snipeturnctl/render.h"

namespace snipeturn::ctl {
namespace internal {

/// The daemon responds to a write within 10 s, with outcome "unknown" if it has no result by then.
constexpr std::chrono::seconds kWriteTimeout{20};
/// Time for the response to a wait, in addition to the wait itself.
constexpr std::chrono::seconds kResponseMargin{10};

/// The daemon's response, or the exit code when there is none.
struct CommandResult {
  ExitCode code{ExitCode::kNotReached};
  int status{0};
  Json::Value body;
};

std::optional<Json::Value> ParseResponse(const std::string& text) {
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  Json::Value json;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &json, nullptr)) {
      return json;
    }
  } catch (const Json::Exception&) {
    // Nested more deeply than any response of the daemon.
  }
  return std::nullopt;
}

ExitCode ExitCodeOf(int status, const Json::Value& body) {
  if (status >= 200 && status < 300) {
    return ExitCode::kDone;
  }
  if (body.isObject() && body["outcome"] == "unknown") {
    return ExitCode::kUnknown;
  }
  return status == 408 || status == 504 ? ExitCode::kTimeout : ExitCode::kRefused;
}

void PrintError(const std::string& message) {
  fmt::print(stderr, "snipeturnctl: {}\n", message);
}

/// Sends one request. When `has_effect` is true, a lost response is reported as an unknown outcome,
/// because the daemon may have carried out the request.
CommandResult Exchange(const CommandLine& command, const HttpRequest& request, bool has_effect) {
  CommandResult result;
  const auto response = Send({command.host, command.key}, request);
  if (!response) {
    result.code = has_effect ? ExitCode::kUnknown : ExitCode::kNotReached;
    PrintError(has_effect
                   ? "no response from the daemon after it had been reached: the outcome is unknown"
                   : fmt::format("no response from {}", command.host));
    return result;
  }
  result.status = response->status;
  const auto body = ParseResponse(response->body);
  result.body = body.value_or(Json::Value());
  result.code = ExitCodeOf(result.status, result.body);
  if (result.code == ExitCode::kDone && !body) {
    result.code = has_effect ? ExitCode::kUnknown : ExitCode::kRefused;
    PrintError("the response is not JSON; is this a snipeturn daemon?");
  }
  return result;
}

/// Prints the daemon's response, if there is one.
ExitCode Print(const CommandLine& command, const CommandResult& result) {
  if (result.status == 0) {
    return result.code;
  }
  if (command.json) {
    fmt::print("{}", RenderJson(result.body));
  } else if (result.code == ExitCode::kDone) {
    fmt::print("{}", RenderTables(result.body));
  }
  if (result.code != ExitCode::kDone) {
    PrintError(RenderRefusal(result.status, result.body));
  }
  return result.code;
}

CommandResult Read(const CommandLine& command,
                   const std::string& endpoint,
                   const std::string& path) {
  HttpRequest request;
  request.path = "/operator/" + endpoint;
  if (!path.empty()) {
    request.parameters.emplace_back("path", path);
  }
  return Exchange(command, request, false);
}

CommandResult Write(const CommandLine& command,
                    const std::string& path,
                    const Json::Value& value,
                    const std::optional<LogOffset>& based_on) {
  HttpRequest request;
  request.method = "PUT";
  request.path = "/operator/settings";
  request.parameters = {{"path", path}, {"writer", command.writer}};
  if (based_on) {
    request.parameters.emplace_back("based_on", std::to_string(*based_on));
  }
  request.body = CompactJson(value);
  request.timeout = kWriteTimeout;
  return Exchange(command, request, true);
}

/// Sends a read before a request that has an effect: when the read fails, nothing was changed.
bool CheckReachable(const CommandLine& command, CommandResult& result) {
  result = Read(command, "status/offsets", "");
  return result.code == ExitCode::kDone;
}

CommandResult Put(const CommandLine& command) {
  CommandResult result;
  return CheckReachable(command, result)
             ? Write(command, command.subject, command.value, command.based_on)
             : result;
}

CommandResult Drain(const CommandLine& command) {
  CommandResult result;
  if (!CheckReachable(command, result)) {
    return result;
  }
  HttpRequest request;
  request.method = "POST";
  request.path = "/operator/drain";
  return Exchange(command, request, true);
}

CommandResult SetZone(const CommandLine& command, bool in_service) {
  const std::string path = "/zones/" + command.subject;
  CommandResult result = Read(command, "settings", path);
  if (result.code != ExitCode::kDone) {
    return result;
  }
  Json::Value zone = result.body.isObject() ? result.body["value"] : Json::Value();
  if (!zone.isObject()) {
    if (result.body.isObject() && result.body["ready"] == false) {
      PrintError("the daemon has not read all settings yet; try again or ask another");
      return CommandResult{ExitCode::kRefused, 0, Json::Value()};
    }
    PrintError(fmt::format("no zone at {}; see snipeturnctl settings list /zones", path));
    return CommandResult{ExitCode::kRefused, 0, Json::Value()};
  }
  zone["in_service"] = in_service;
  // Passing the version that was read makes the write fail with a conflict when the zone was
  // changed in the meantime.
  const Json::Value& version = result.body["version"];
  return Write(command, path, zone,
               version.isUInt64() ? std::make_optional(version.asUInt64()) : std::nullopt);
}

CommandResult Wait(const CommandLine& command) {
  HttpRequest request;
  request.path = "/operator/wait";
  const auto timeout = std::chrono::milliseconds{command.timeout};
  request.parameters = {{"offset", std::to_string(command.offset)},
                        {"timeout_ms", std::to_string(timeout.count())}};
  request.timeout = command.timeout + kResponseMargin;
  return Exchange(command, request, false);
}

CommandResult Execute(const CommandLine& command) {
  switch (command.verb) {
    case Verb::kGet:
      return Read(command, "settings", command.subject);
    case Verb::kPut:
      return Put(command);
    case Verb::kList:
      return Read(command, "list", command.subject);
    case Verb::kHistory:
      return Read(command, "history", command.subject);
    case Verb::kZoneOut:
      return SetZone(command, false);
    case Verb::kZoneIn:
      return SetZone(command, true);
    case Verb::kStatus:
      return Read(command, "status/" + command.subject, "");
    case Verb::kWait:
      return Wait(command);
    case Verb::kDrain:
      return Drain(command);
    case Verb::kCheck:
      break;  // Needs no daemon.
  }
  return {};
}

}  // namespace internal

ExitCode Run(const CommandLine& command) {
  return internal::Print(command, internal::Execute(command));
}

}  // namespace snipeturn::ctl
