#include "src/snipeturnctl/check.h"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <utility>

#include "platform/configuration.h"
#include "platform/json.h"
#include "platform/store_query.h"
#include "snipeturn/settings/check.h"
#include "src/snipeturnctl/http_client.h"
#include "src/snipeturnctl/render.h"

namespace snipeturn::ctl {
namespace internal {
namespace {

/// More than 10,000 routes with the keys of 830 organisations take, and far more than a record of
/// the store holds. JSON takes some 50 times its size while it is read.
constexpr std::size_t kMaxFileBytes = std::size_t{4} << 20U;

/// Reads a file, or standard input for "-".
/// @param failure Receives the error message.
/// @return The text, or nothing if it can't be read or is too large.
std::optional<std::string> ReadText(const std::string& path, std::string& failure) {
  std::ifstream file;
  if (path != "-") {
    file.open(path, std::ios::binary);
  }
  std::istream& input = path == "-" ? std::cin : file;
  std::string text;
  constexpr std::size_t kPartBytes = 65536;
  while (input && text.size() <= kMaxFileBytes) {
    const std::size_t size = text.size();
    text.resize(size + kPartBytes);
    input.read(text.data() + size, kPartBytes);
    text.resize(size + static_cast<std::size_t>(input.gcount()));
  }
  if (text.size() > kMaxFileBytes) {
    failure = fmt::format("{}: more than {} bytes", path, kMaxFileBytes);
    return std::nullopt;
  }
  if (!input.eof()) {
    failure = fmt::format("{}: can't be read", path);
    return std::nullopt;
  }
  return text;
}

/// A line of a finding. The path may be that of the whole file.
std::string RenderFinding(std::string_view severity, const entry::ConfigurationFinding& finding) {
  return fmt::format("{}: {}{}{}\n", severity, RenderText(finding.path),
                     finding.path.empty() ? "" : ": ", RenderText(finding.problem));
}

Json::Value FindingsToJson(const std::vector<entry::ConfigurationFinding>& findings) {
  Json::Value list(Json::arrayValue);
  for (const entry::ConfigurationFinding& finding : findings) {
    Json::Value item;
    item["path"] = finding.path;
    item["problem"] = finding.problem;
    list.append(std::move(item));
  }
  return list;
}

/// Finds the settings tree in a JSON object: the object itself, or the value in a response to
/// "settings get /". A configuration of the platform, whose services are a list, is none.
std::optional<Json::Value> FindSettingsTree(const Json::Value& root) {
  if (root.isMember("value") && root["path"] == "/") {
    return root["value"];
  }
  const bool is_tree =
      !root.isMember("routes") &&
      (root.isMember("teams") || root.isMember("zones") || root["services"].isObject());
  return is_tree ? std::optional(root) : std::nullopt;
}

/// Reads the settings tree of a file that holds one.
std::optional<Json::Value> ParseSettingsTree(std::string_view text, std::string& failure) {
  const auto root = platform::ParseObject(text, failure);
  auto tree = root ? FindSettingsTree(*root) : std::nullopt;
  if (root && !tree) {
    failure = "no settings tree";
  }
  return tree;
}

void AddTreeFindings(const std::vector<DocumentFault>& faults,
                     std::vector<entry::ConfigurationFinding>& findings) {
  for (const DocumentFault& fault : faults) {
    findings.push_back(
        {fault.path, fault.problem + (fault.allowed.empty() ? "" : "; allowed: " + fault.allowed)});
  }
}

/// Reads the settings in force from a daemon.
/// @param failure Receives the error message.
std::optional<Json::Value> ReadTree(const CommandLine& command, std::string& failure) {
  HttpRequest request;
  request.path = "/operator/settings";
  request.parameters = {{"path", "/"}};
  const auto response = Send({command.against, command.key}, request);
  const auto body = response ? platform::ParseObject(response->body) : std::nullopt;
  if (!response || response->status != 200 || !body || (*body)["ready"] != true ||
      !(*body)["value"].isObject()) {
    failure = response ? fmt::format("{}: no settings in the response, status {}", command.against,
                                     response->status)
                       : fmt::format("{}: no such file, and no response", command.against);
    return std::nullopt;
  }
  return (*body)["value"];
}

/// Reads the settings in force from a file, or from a daemon.
/// @param failure Receives the error message.
std::optional<Json::Value> ReadTreeInForce(const CommandLine& command, std::string& failure) {
  const auto text = ReadText(command.against, failure);
  if (!text) {
    return ReadTree(command, failure);
  }
  auto tree = ParseSettingsTree(*text, failure);
  if (!tree) {
    failure = fmt::format("{}: {}", command.against, failure);
  }
  return tree;
}

/// Reads the platform's configuration in force from a file, or from the platform's store.
/// @param failure Receives the error message.
std::optional<entry::DesiredState> ReadDesiredInForce(const CommandLine& command,
                                                      std::string& failure) {
  auto text = ReadText(command.against, failure);
  const auto store = platform::ParseEndpoint(command.against);
  if (!text && store) {
    text = platform::ReadConfigurationRecord(*store, failure);
    if (!text) {
      failure =
          fmt::format("{}: no such file, and not read from a store: {}", command.against, failure);
    }
  }
  if (!text) {
    return std::nullopt;
  }
  auto desired = platform::ParseDesiredState(*text, failure);
  if (!desired) {
    failure = fmt::format("{}: {}", command.against, failure);
  }
  return desired;
}

CheckExitCode Fail(const std::string& message) {
  fmt::print(stderr, "snipeturnctl: {}\n", RenderText(message));
  return CheckExitCode::kUnreadable;
}

}  // namespace
}  // namespace internal

platform::ConfigurationReport CheckSettingsTree(const Json::Value& tree,
                                                const std::optional<Json::Value>& in_force) {
  platform::ConfigurationReport report;
  internal::AddTreeFindings(FindTreeFaults(tree), report.errors);
  if (!report.errors.empty()) {
    return report;
  }
  internal::AddTreeFindings(FindUnusedSettings(tree), report.warnings);
  if (in_force) {
    for (const SettingsDifference& difference : CompareTrees(*in_force, tree)) {
      const auto kind = difference.kind == "added"     ? entry::ChangeKind::kAdded
                        : difference.kind == "removed" ? entry::ChangeKind::kRemoved
                                                       : entry::ChangeKind::kChanged;
      report.changes.push_back({kind, difference.path, difference.effect});
    }
  }
  return report;
}

CheckExitCode ExitCodeOf(const platform::ConfigurationReport& report) noexcept {
  if (!report.errors.empty()) {
    return CheckExitCode::kErrors;
  }
  return report.warnings.empty() ? CheckExitCode::kClean : CheckExitCode::kWarnings;
}

std::string RenderReport(const platform::ConfigurationReport& report) {
  std::string text;
  for (const entry::ConfigurationFinding& error : report.errors) {
    text += internal::RenderFinding("error", error);
  }
  for (const entry::ConfigurationFinding& warning : report.warnings) {
    text += internal::RenderFinding("warning", warning);
  }
  for (const entry::ConfigurationChange& change : report.changes) {
    text += fmt::format("{}: {}{}{}\n", ToString(change.kind), RenderText(change.subject),
                        change.effect.empty() ? "" : ": ", RenderText(change.effect));
  }
  text += fmt::format("{} errors, {} warnings, {} changes", report.errors.size(),
                      report.warnings.size(), report.changes.size());
  return text + (report.left_out > 0 ? fmt::format(", {} more not listed\n", report.left_out)
                                     : std::string("\n"));
}

Json::Value ReportToJson(const platform::ConfigurationReport& report) {
  Json::Value root;
  root["errors"] = internal::FindingsToJson(report.errors);
  root["warnings"] = internal::FindingsToJson(report.warnings);
  root["changes"] = Json::Value(Json::arrayValue);
  for (const entry::ConfigurationChange& change : report.changes) {
    Json::Value item;
    item["kind"] = std::string(ToString(change.kind));
    item["subject"] = change.subject;
    item["effect"] = change.effect;
    root["changes"].append(std::move(item));
  }
  root["left_out"] = Json::UInt64{report.left_out};
  return root;
}

CheckExitCode RunCheck(const CommandLine& command) {
  std::string failure;
  const auto text = internal::ReadText(command.subject, failure);
  if (!text) {
    return internal::Fail(failure);
  }
  std::string ignored;  // The check itself reports what is wrong with the text.
  const auto tree = internal::ParseSettingsTree(*text, ignored);
  std::optional<entry::DesiredState> desired_in_force;
  std::optional<Json::Value> tree_in_force;
  if (!command.against.empty()) {
    if (tree) {
      tree_in_force = internal::ReadTreeInForce(command, failure);
    } else {
      desired_in_force = internal::ReadDesiredInForce(command, failure);
    }
    if (!desired_in_force && !tree_in_force) {
      return internal::Fail(failure);
    }
  }
  const platform::ConfigurationReport report = tree
                                                   ? CheckSettingsTree(*tree, tree_in_force)
                                                   : platform::CheckRecord(*text, desired_in_force);
  fmt::print("{}", command.json ? RenderJson(ReportToJson(report)) : RenderReport(report));
  return ExitCodeOf(report);
}

}  // namespace snipeturn::ctl
