#pragma once

#include <string>
#include <vector>

#include "tools/load/measurements.h"
#include "tools/load/target_policy.h"
#include "tools/load/workload.h"

namespace snipeturn::load {

/// Target services and credentials of the callers.
struct CallerOptions {
  Policy policy{Policy::kSnipeturn};
  std::string model;
  /// Name of the plain service, part of the request path when calling a daemon.
  std::string service;
  /// One bearer key per organisation.
  std::vector<std::string> keys;
};

/// @brief Makes one call and blocks until it ends.
/// @param options Target services and credentials.
/// @param call The call.
/// @param target The host, engine or service to connect to.
/// @param measurements Receives the result and token times as the caller saw them.
void MakeCall(const CallerOptions& options,
              const PlannedCall& call,
              const Endpoint& target,
              Measurements& measurements);

}  // namespace snipeturn::load
