// Main program of the daemon that runs on each entry host.

#include <fmt/format.h>
#include <pthread.h>
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "snipeturn/base/command_line.h"
#include "snipeturn/runtime/runtime.h"
#include "snipeturn/settings/options_file.h"

namespace snipeturn {
namespace internal {
namespace {

constexpr char kUsage[] = R"(snipeturnd: the serving daemon on an entry host.

Usage:
  snipeturnd --config=FILE [--check]
  snipeturnd (-h | --help)
  snipeturnd --version

Options:
  --config=FILE  JSON file with the daemon's options.
  --check        Check the file and exit.
  -h --help      Show this text.
  --version      Show the version.

Exit codes: 0 after a graceful shutdown or when --check finds no fault, 1 when
the file is invalid (each invalid value is named) or the daemon can't listen,
2 for wrong usage.
)";

/// Blocks SIGTERM and SIGINT in this thread and in those started later; sigwait() receives them.
/// Ignores SIGPIPE.
sigset_t BlockSignals() {
  ::signal(SIGPIPE, SIG_IGN);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

int Serve(const Options& options) {
  const sigset_t signals = BlockSignals();
  Runtime runtime(options, MakeReducerPort(options));
  std::string reason;
  if (!runtime.Start(reason)) {
    fmt::print(stderr, "snipeturnd: can't listen on {}:{}: {}\n", options.listen.address,
               options.listen.port, reason);
    return 1;
  }
  std::thread([&runtime, signals] {
    while (true) {
      int signal = 0;
      if (::sigwait(&signals, &signal) == 0) {
        runtime.RequestShutdown();
      }
    }
  }).detach();
  runtime.AwaitExit();
  // Exits without waiting for the threads of abandoned exchanges, which may run for up to one
  // segment (30 s) more; nothing depends on them.
  std::fflush(nullptr);
  std::_Exit(0);
}

int Main(const std::vector<std::string>& arguments) {
  int exit_code = 0;
  const auto parsed = ParseArguments(kUsage, arguments, "snipeturnd", exit_code);
  if (!parsed) {
    return exit_code;
  }
  const std::string path = parsed->at("--config").asString();
  OptionsFailure failure;
  const std::optional<Options> options = ReadOptionsFile(path, failure);
  if (!options) {
    for (const DocumentFault& fault : failure.faults) {
      fmt::print(stderr, "snipeturnd: {}: {}\n", path, ToString(fault));
    }
    return 1;
  }
  if (parsed->at("--check").asBool()) {
    fmt::print("{}: valid\n", path);
    return 0;
  }
  return Serve(*options);
}

}  // namespace
}  // namespace internal
}  // namespace snipeturn

int main(int argc, char** argv) {
  return snipeturn::internal::Main({argv + 1, argv + argc});
}
