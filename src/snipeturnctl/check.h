#pragma once

#include <json/value.h>

#include <optional>
#include <string>

#include "platform/configuration_report.h"
#include "src/snipeturnctl/command_line.h"
#include "src/snipeturnctl/exit_code.h"

namespace snipeturn::ctl {

/// @brief Checks a settings tree of the product.
/// @param tree The tree: an object with services, teams and zones.
/// @param in_force The tree in force, with which it is compared, if there is one.
[[nodiscard]] platform::ConfigurationReport CheckSettingsTree(
    const Json::Value& tree,
    const std::optional<Json::Value>& in_force);

/// @brief Exit code for a report.
[[nodiscard]] CheckExitCode ExitCodeOf(const platform::ConfigurationReport& report) noexcept;

/// @brief Formats a report for reading, one finding or change a line.
[[nodiscard]] std::string RenderReport(const platform::ConfigurationReport& report);

/// @brief Formats a report as JSON.
[[nodiscard]] Json::Value ReportToJson(const platform::ConfigurationReport& report);

/// @brief Checks a file; prints the report to standard output and errors to standard error.
/// @param command The command "check".
/// @return The program's exit code.
[[nodiscard]] CheckExitCode RunCheck(const CommandLine& command);

}  // namespace snipeturn::ctl
