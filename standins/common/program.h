#pragma once

#include <docopt/docopt.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace snipeturn::standin {

using Arguments = std::map<std::string, docopt::value>;

/// @brief Parses the command line and blocks SIGTERM and SIGINT for ServeUntilSignal. Must be
/// called before any thread starts, as threads inherit the mask.
/// @param usage The usage text in docopt format.
/// @param argc Number of arguments.
/// @param argv The arguments.
/// @return The arguments; on wrong usage the program prints the usage text and exits.
[[nodiscard]] Arguments StartProgram(const char* usage, int argc, char** argv);

/// @brief Returns the number given with an option.
[[nodiscard]] std::int64_t Number(const Arguments& arguments, const std::string& option);

/// @brief Returns the duration given with an option in milliseconds.
[[nodiscard]] std::chrono::milliseconds Milliseconds(const Arguments& arguments,
                                                     const std::string& option);

/// @brief Prints the port as one JSON line and waits for SIGTERM or SIGINT, then exits at once.
/// @param port The port that the program listens on.
[[noreturn]] void ServeUntilSignal(int port);

}  // namespace snipeturn::standin
