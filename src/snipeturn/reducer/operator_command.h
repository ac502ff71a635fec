#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "snipeturn/base/time.h"

namespace snipeturn {

using OperatorRequestId = std::uint64_t;

/// Write a value at a path; null deletes.
struct PutSettings {
  std::string path;
  Json::Value value;
  /// Offset that the operator last read; without it the offset in force is taken.
  std::optional<LogOffset> based_on;
  std::string writer;
};

struct ReadSettings {
  std::string path;
};

struct ListSettings {
  std::string path;
};

struct ReadHistory {
  std::string path;
};

/// "hosts", "upstreams", "limits" or "offsets".
struct ReadStatus {
  std::string subject;
};

/// Wait until a settings offset is in force on every host of the epoch.
struct WaitForOffset {
  LogOffset offset{0};
  std::chrono::milliseconds timeout{0};
};

/// Drain this host and stop it.
struct DrainHost {};

using OperatorCommand = std::variant<PutSettings,
                                     ReadSettings,
                                     ListSettings,
                                     ReadHistory,
                                     ReadStatus,
                                     WaitForOffset,
                                     DrainHost>;

struct OperatorRequest {
  OperatorRequestId id{0};
  OperatorCommand command;
};

/// Effect: the answer to an operator's request.
struct AnswerOperator {
  OperatorRequestId id{0};
  int status{200};
  Json::Value body;
};

}  // namespace snipeturn
