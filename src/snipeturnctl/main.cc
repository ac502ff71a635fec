#include <fmt/format.h>
#include <ulfius.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "src/snipeturnctl/check.h"
#include "src/snipeturnctl/command_line.h"
#include "src/snipeturnctl/run.h"

int main(int count, char** arguments) {
  using snipeturn::ctl::ExitCode;
  snipeturn::ctl::EarlyExit early;
  const std::vector<std::string> words(arguments + 1, arguments + count);
  const auto command = snipeturn::ctl::ReadCommandLine(words, early);
  if (!command) {
    fmt::print(early.code == ExitCode::kDone ? stdout : stderr, "{}\n", early.message);
    return early.code;
  }
  // Without this, libcurl would send the operator's key to a proxy named in the environment. ulfius
  // has no option to prevent that.
  setenv("no_proxy", "*", 1);
  if (ulfius_global_init() != U_OK) {
    fmt::print(stderr, "snipeturnctl: can't initialize the HTTP client\n");
    return ExitCode::kNotReached;
  }
  const int code = command->verb == snipeturn::ctl::Verb::kCheck
                       ? static_cast<int>(snipeturn::ctl::RunCheck(*command))
                       : static_cast<int>(snipeturn::ctl::Run(*command));
  ulfius_global_close();
  return code;
}
