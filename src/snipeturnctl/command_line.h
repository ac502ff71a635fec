#pragma once

#include <json/value.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "snipeturn/base/fwd.h"
#include "src/snipeturnctl/exit_code.h"

namespace snipeturn::ctl {

enum class Verb {
  kGet,
  kPut,
  kList,
  kHistory,
  kZoneOut,
  kZoneIn,
  kStatus,
  kWait,
  kDrain,
  kCheck,
};

/// A parsed command line.
struct CommandLine {
  Verb verb{Verb::kGet};
  /// "address:port" of the daemon.
  std::string host;
  /// The operator's bearer key; empty when none was given.
  std::string key;
  /// Print the daemon's response as JSON.
  bool json{false};
  /// Path of a setting, name of a zone, subject of the status or file to check.
  std::string subject;
  /// File with the version in force, with which the checked one is compared; may be empty.
  std::string against;
  Json::Value value;
  std::optional<LogOffset> based_on;
  std::string writer;
  LogOffset offset{0};
  std::chrono::seconds timeout{0};
};

/// Exit without a command, after an error, --help or --version.
struct EarlyExit {
  ExitCode code{kUsage};
  std::string message;
};

/// @brief Parses the command line and reads the key file and standard input that it refers to.
/// @param arguments The arguments after the program's name.
/// @param early Receives the message and the exit code when there is no command.
/// @return The command, or nothing.
[[nodiscard]] std::optional<CommandLine> ReadCommandLine(const std::vector<std::string>& arguments,
                                                         EarlyExit& early);

}  // namespace snipeturn::ctl
