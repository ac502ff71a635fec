#include "src/snipeturnctl/command_line.h"

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <json/reader.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>

namespace snipeturn::ctl {
namespace internal {

constexpr char kUsageText[] = R"(Controls a snipeturn deployment through any of its daemons.

Usage:
  snipeturnctl [options] settings get PATH
  snipeturnctl [options] settings put PATH VALUE [--based-on=N] [--writer=NAME]
  snipeturnctl [options] settings list PATH
  snipeturnctl [options] settings history PATH
  snipeturnctl [options] zone out ZONE
  snipeturnctl [options] zone in ZONE
  snipeturnctl [options] status (hosts | upstreams | limits | offsets)
  snipeturnctl [options] wait OFFSET [--timeout=S]
  snipeturnctl [options] drain
  snipeturnctl [options] check FILE [--against=FILE]
  snipeturnctl --help
  snipeturnctl --version

VALUE is JSON; "null" deletes, and "-" reads the value from standard input.
"check" reads a configuration of the platform (its record "config"), or a settings tree as
"--json settings get /" prints it; FILE "-" stands for standard input.

Options:
  --host=ADDR:PORT   Address of a daemon [default: 127.0.0.1:8080].
  --key=KEY          The operator's key. Other users of this machine can see it: prefer --key-file.
  --key-file=FILE    File that holds the operator's key.
  --json             Print the daemon's response as JSON.
  --based-on=N       Refuse the write when the path changed after offset N (a "version" of "get").
                     Without it, changes that the daemon knows already are accepted.
  --writer=NAME      Name that the history shows [default: $USER].
  --against=FILE     The version in force, also ADDR:PORT of the platform's store, for a settings
                     tree of a daemon: print what the checked one changes.
  --timeout=S        Seconds to wait for the offset on all hosts [default: 30].
  -h --help          Print this text.
  --version          Print the version.

Exit codes: 0 done, 1 refused or conflict, 2 usage, 3 daemon not reached, 4 time-out,
5 outcome unknown.
Exit codes of check: 0 nothing found, 1 warnings, 2 errors: daemons refuse the file, 3 a file can't
be read or the daemon isn't reached.)";

/// Maximum size of a value; the daemon accepts no larger request body.
constexpr std::size_t kMaxInputBytes = 1024 * 1024;
constexpr long kMaxTimeoutSeconds = 3600;

using Arguments = std::map<std::string, docopt::value>;

/// Reads one command line and reports the first error.
class Reader {
 public:
  Reader(const Arguments& arguments, EarlyExit& early) : arguments_(arguments), early_(early) {}

  [[nodiscard]] std::optional<CommandLine> Read() {
    CommandLine command;
    command.verb = FindVerb();
    command.host = Text("--host");
    command.json = Has("--json");
    command.key = Key();
    command.writer = Text("--writer") == "$USER" ? UserName() : Text("--writer");
    command.subject = Subject();
    command.against = Text("--against");
    if (Has("--based-on")) {
      command.based_on = Number("--based-on", std::numeric_limits<LogOffset>::max());
    }
    if (command.verb == Verb::kPut) {
      command.value = Value();
    } else if (command.verb == Verb::kWait) {
      command.offset = Number("OFFSET", std::numeric_limits<LogOffset>::max());
      command.timeout = std::chrono::seconds{Number("--timeout", kMaxTimeoutSeconds)};
    }
    return failed_ ? std::nullopt : std::make_optional(command);
  }

 private:
  [[nodiscard]] bool Has(const std::string& name) const {
    const docopt::value& value = arguments_.at(name);
    return value.isBool() ? value.asBool() : static_cast<bool>(value);
  }

  [[nodiscard]] std::string Text(const std::string& name) const {
    return Has(name) ? arguments_.at(name).asString() : "";
  }

  void Fail(const std::string& message) {
    if (!failed_) {
      early_ = EarlyExit{ExitCode::kUsage, message};
    }
    failed_ = true;
  }

  [[nodiscard]] Verb FindVerb() const {
    static const std::vector<std::pair<const char*, Verb>> verbs{
        {"get", Verb::kGet},         {"put", Verb::kPut},     {"list", Verb::kList},
        {"history", Verb::kHistory}, {"out", Verb::kZoneOut}, {"in", Verb::kZoneIn},
        {"status", Verb::kStatus},   {"wait", Verb::kWait},   {"drain", Verb::kDrain},
        {"check", Verb::kCheck}};
    for (const auto& [name, verb] : verbs) {
      if (Has(name)) {
        return verb;
      }
    }
    return Verb::kGet;
  }

  [[nodiscard]] std::string Subject() const {
    for (const char* name : {"hosts", "upstreams", "limits", "offsets"}) {
      if (Has(name)) {
        return name;
      }
    }
    for (const char* name : {"FILE", "PATH"}) {
      if (Has(name)) {
        return Text(name);
      }
    }
    return Text("ZONE");
  }

  [[nodiscard]] static std::string UserName() {
    const char* user = std::getenv("USER");
    return user == nullptr || *user == '\0' ? "operator" : user;
  }

  [[nodiscard]] LogOffset Number(const std::string& name, LogOffset highest) {
    const std::string text = Text(name);
    LogOffset number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size() ||
        number > highest) {
      Fail(fmt::format("{}: \"{}\" is not allowed; allowed: an integer from 0 to {}", name, text,
                       highest));
    }
    return number;
  }

  [[nodiscard]] std::string Key() {
    if (Has("--key") && Has("--key-file")) {
      Fail("--key and --key-file can't be given together");
    }
    std::string key = Text("--key");
    if (Has("--key-file")) {
      std::ifstream file(Text("--key-file"));
      if (!std::getline(file, key)) {
        Fail(fmt::format("--key-file: \"{}\" can't be read or is empty", Text("--key-file")));
      }
      key.erase(key.find_last_not_of(" \t\r") + 1);
    }
    // Control characters such as line breaks could end the header that holds the key.
    if (std::any_of(key.begin(), key.end(), [](char c) { return c <= ' ' || c > '~'; })) {
      Fail("the key holds characters that are not printable ASCII");
    }
    return key;
  }

  [[nodiscard]] Json::Value Value() {
    std::string text = Text("VALUE");
    if (text == "-") {
      text.assign(kMaxInputBytes + 1, '\0');
      std::cin.read(text.data(), static_cast<std::streamsize>(text.size()));
      text.resize(static_cast<std::size_t>(std::cin.gcount()));
    }
    if (text.size() > kMaxInputBytes) {
      Fail(fmt::format("VALUE: more than {} bytes", kMaxInputBytes));
    }
    Json::CharReaderBuilder builder;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    builder["allowComments"] = false;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string problem;
    // jsoncpp throws when the nesting exceeds its limit.
    try {
      if (!reader->parse(text.data(), text.data() + text.size(), &value, &problem)) {
        Fail("VALUE is not JSON (a string needs double quotes): " + problem);
      }
    } catch (const Json::Exception& error) {
      Fail(std::string("VALUE is not JSON: ") + error.what());
    }
    return value;
  }

  const Arguments& arguments_;
  EarlyExit& early_;
  bool failed_{false};
};

}  // namespace internal

std::optional<CommandLine> ReadCommandLine(const std::vector<std::string>& arguments,
                                           EarlyExit& early) {
  try {
    return internal::Reader(docopt::docopt_parse(internal::kUsageText, arguments), early).Read();
  } catch (const docopt::DocoptExitHelp&) {
    early = EarlyExit{ExitCode::kDone, internal::kUsageText};
  } catch (const docopt::DocoptExitVersion&) {
    early = EarlyExit{ExitCode::kDone, "snipeturnctl " SNIPETURN_VERSION};
  } catch (const docopt::DocoptArgumentError& error) {
    early = EarlyExit{ExitCode::kUsage,
                      fmt::format("{}\nSee snipeturnctl --help for the usage.", error.what())};
  }
  return std::nullopt;
}

}  // namespace snipeturn::ctl
