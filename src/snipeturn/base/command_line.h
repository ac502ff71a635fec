#pragma once

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <cstdio>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipeturn {

/// Exit code of a program that is called with wrong arguments.
inline constexpr int kUsageExitCode = 2;

using Arguments = std::map<std::string, docopt::value>;

/// @brief Parses a program's arguments; prints the help, the version or what is wrong with them.
/// @param usage Usage text in docopt's format.
/// @param arguments The arguments without the program's name.
/// @param program Name of the program, as printed.
/// @param exit_code Set when nothing is returned: 0 after the help or the version, else
///     kUsageExitCode.
/// @return The arguments, or nothing when the program must exit.
[[nodiscard]] inline std::optional<Arguments> ParseArguments(
    const char* usage,
    const std::vector<std::string>& arguments,
    const std::string& program,
    int& exit_code) {
  exit_code = 0;
  try {
    return docopt::docopt_parse(usage, arguments);
  } catch (const docopt::DocoptExitHelp&) {
    fmt::print("{}", usage);
  } catch (const docopt::DocoptExitVersion&) {
    fmt::print("{} {}\n", program, SNIPETURN_VERSION);
  } catch (const docopt::DocoptArgumentError& error) {
    fmt::print(stderr, "{}: {}\nSee {} --help for the usage.\n", program, error.what(), program);
    exit_code = kUsageExitCode;
  }
  return std::nullopt;
}

}  // namespace snipeturn
