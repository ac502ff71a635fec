#pragma once

#include <json/value.h>

#include <string>

#include "platform/configuration_report.h"
#include "src/snipeturnctl/command_line.h"
#include "src/snipeturnctl/exit_code.h"

namespace snipeturn::ctl {

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
