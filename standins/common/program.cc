#include "standins/common/program.h"

#include <fmt/format.h>
#include <pthread.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace snipeturn::standin {
namespace internal {

sigset_t TerminationSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace internal

Arguments StartProgram(const char* usage, int argc, char** argv) {
  const sigset_t signals = internal::TerminationSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return docopt::docopt(usage, {argv + 1, argv + argc}, true);
}

std::int64_t Number(const Arguments& arguments, const std::string& option) {
  return arguments.at(option).asLong();
}

std::chrono::milliseconds Milliseconds(const Arguments& arguments, const std::string& option) {
  return std::chrono::milliseconds{Number(arguments, option)};
}

void ServeUntilSignal(int port) {
  fmt::print("{{\"port\": {}}}\n", port);
  std::fflush(stdout);
  const sigset_t signals = internal::TerminationSignals();
  int received = 0;
  sigwait(&signals, &received);
  // No orderly shutdown: threads of open connections may block as long as an injected fault lasts.
  std::_Exit(0);
}

}  // namespace snipeturn::standin
