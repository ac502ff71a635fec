// The entry daemon, which serves callers on a host of the platform.

#include <fmt/format.h>
#include <malloc.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

#include "platform/entry_wire_codec.h"
#include "platform/settings.h"
#include "platform/store_follower.h"
#include "snipeturn/base/command_line.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/loop/entry_runtime.h"
#include "snipeturn/loop/log_writer.h"

namespace snipeturn::internal {
namespace {

constexpr char kUsage[] = R"(snipeturn_entry: the serving daemon of an entry host on the platform.

Usage:
  snipeturn_entry [--settings=FILE] [--check]
  snipeturn_entry (-h | --help)
  snipeturn_entry --version

Options:
  --settings=FILE  Settings of the process; without it the path is taken from SNIPETURN_CONFIG.
  --check          Check the settings and exit.
  -h --help        Show this text.
  --version        Show the version.

Exit codes: 0 after a graceful shutdown or when --check finds at most unknown fields, which are
ignored; 1 when the settings are invalid or the daemon can't listen; 2 for wrong usage.
)";

/// Period of checks whether the settings file has changed, because a change may come without
/// Buffers from this size on go back to the system when they are freed.
constexpr int kLargeBufferBytes = 256 << 10;
/// SIGHUP.
constexpr std::chrono::seconds kSettingsPollInterval{1};

platform::ParsedSettings ReadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    platform::ParsedSettings unreadable;
    unreadable.faults.push_back({platform::FaultEffect::kRefused, "", "can't open the file"});
    return unreadable;
  }
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  return platform::ParseSettings(text);
}

/// Prints the faults of the settings, one a line, unknown fields only with `warn_of_unknown`.
/// Returns whether there are faults other than unknown fields.
bool PrintFaults(const std::string& path,
                 const std::vector<platform::Fault>& faults,
                 bool warn_of_unknown) {
  bool has_errors = false;
  for (const platform::Fault& fault : faults) {
    const bool is_unknown = fault.effect == platform::FaultEffect::kIgnored;
    has_errors |= !is_unknown;
    if (!is_unknown || warn_of_unknown) {
      fmt::print(stderr, "snipeturn_entry: {}: {}{}\n", path, is_unknown ? "warning: " : "",
                 ToString(fault));
    }
  }
  return has_errors;
}

timespec ModificationTime(const std::string& path) {
  struct stat status {};
  return ::stat(path.c_str(), &status) == 0 ? status.st_mtim : timespec{};
}

/// Tells the processes of a host apart: the start time, in milliseconds since the epoch.
std::uint64_t MakeIncarnation() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

/// The daemon with the objects that live as long as the process.
class Daemon {
 public:
  Daemon(std::string path, const platform::Settings& settings)
      : path_(std::move(path)),
        log_(settings.runtime.entry.host, STDOUT_FILENO),
        runtime_(context_, settings.runtime, platform::EntryWireCodec(), log_),
        follower_(context_,
                  runtime_,
                  settings.store,
                  settings.runtime.entry.host,
                  settings.runtime.peer),
        signals_(context_, SIGTERM, SIGINT, SIGHUP),
        settings_timer_(context_),
        settings_time_(ModificationTime(path_)) {}

  int Run() {
    if (const auto failure = runtime_.Start()) {
      fmt::print(stderr, "snipeturn_entry: can't listen: {}\n", *failure);
      return 1;
    }
    follower_.Start();
    AwaitSignal();
    WatchSettingsFile();
    context_.run();
    log_.Flush();
    return 0;
  }

 private:
  void AwaitSignal() {
    signals_.async_wait([this](const boost::system::error_code& error, int signal) {
      if (error) {
        return;
      }
      if (signal == SIGHUP) {
        Reload();
      } else {
        // The grace period is the one in force now, also if the last check of the file was earlier.
        ReloadIfChanged();
        runtime_.Apply(entry::ShutdownRequested{});
      }
      AwaitSignal();
    });
  }

  void WatchSettingsFile() {
    settings_timer_.expires_after(kSettingsPollInterval);
    settings_timer_.async_wait([this](const boost::system::error_code& error) {
      if (error || runtime_.is_stopped()) {
        return;
      }
      ReloadIfChanged();
      WatchSettingsFile();
    });
  }

  void ReloadIfChanged() {
    const timespec time = ModificationTime(path_);
    if (time.tv_sec != settings_time_.tv_sec || time.tv_nsec != settings_time_.tv_nsec) {
      Reload();
    }
  }

  void Reload() {
    settings_time_ = ModificationTime(path_);
    const auto [settings, faults] = ReadSettings(path_);
    if (!settings) {
      runtime_.Log(
          {entry::log_events::kReloadFailed,
           fmt::format("reason=\"{}\"", JoinFaults(faults, platform::FaultEffect::kRefused))});
      return;
    }
    follower_.SetStore(settings->store);
    runtime_.Apply(entry::OptionsChanged{settings->runtime.entry.bounds,
                                         settings->runtime.entry.learned_capacity});
    runtime_.Log({entry::log_events::kReloaded,
                  fmt::format("store={}:{} defaults_used=\"{}\"", settings->store.address,
                              settings->store.port,
                              JoinFaults(faults, platform::FaultEffect::kDefaultUsed))});
  }

  std::string path_;
  boost::asio::io_context context_{1};
  loop::LogWriter log_;
  loop::EntryRuntime runtime_;
  platform::StoreFollower follower_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer settings_timer_;
  timespec settings_time_;
};

int Main(const std::vector<std::string>& arguments) {
  int exit_code = 0;
  const auto parsed = ParseArguments(kUsage, arguments, "snipeturn_entry", exit_code);
  if (!parsed) {
    return exit_code;
  }
  const char* from_environment = std::getenv("SNIPETURN_CONFIG");
  const std::string path = parsed->at("--settings")      ? parsed->at("--settings").asString()
                           : from_environment != nullptr ? from_environment
                                                         : "";
  const bool is_check = parsed->at("--check").asBool();
  const auto [settings, faults] = ReadSettings(path);
  const bool has_errors = PrintFaults(path, faults, is_check);
  if (!settings || (is_check && has_errors)) {
    return 1;
  }
  if (is_check) {
    fmt::print("{}: valid\n", path);
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  // The library raises this threshold with each large buffer that is freed, and then keeps the
  // memory of the next ones.
  ::mallopt(M_MMAP_THRESHOLD, kLargeBufferBytes);
  platform::Settings own = *settings;
  own.runtime.entry.incarnation = MakeIncarnation();
  return Daemon(path, own).Run();
}

}  // namespace
}  // namespace snipeturn::internal

int main(int argc, char** argv) {
  return snipeturn::internal::Main({argv + 1, argv + argc});
}
