#pragma once

#include "src/snipeturnctl/command_line.h"
#include "src/snipeturnctl/exit_code.h"

namespace snipeturn::ctl {

/// @brief Executes a command; prints the response to standard output and errors to standard error.
/// @param command The command.
/// @return The program's exit code.
[[nodiscard]] ExitCode Run(const CommandLine& command);

}  // namespace snipeturn::ctl
