#include "standins/common/faults.h"

#include <chrono>
#include <cstdlib>

namespace snipeturn::standin {
namespace internal {

/// Status that a shell reports for a process ended by SIGABRT: 128 + 6.
constexpr int kAbortExitStatus = 134;

}  // namespace internal

void ApplyConnectionFaults(const HttpServer& server,
                           const Json::Value& control,
                           const Connection* excluded) {
  if (control["crash"].asBool()) {
    std::_Exit(internal::kAbortExitStatus);
  }
  if (control["cut_connections"].asBool()) {
    server.ForEachConnection(excluded, [](Connection& connection) { connection.Cut(); });
  }
  if (control["silence_connections"].asBool()) {
    server.ForEachConnection(excluded, [](Connection& connection) { connection.Silence(); });
  }
  if (control.isMember("stall_ms")) {
    const std::chrono::milliseconds time{control["stall_ms"].asInt64()};
    server.ForEachConnection(excluded, [time](Connection& connection) { connection.Stall(time); });
  }
}

}  // namespace snipeturn::standin
