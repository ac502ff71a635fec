#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "snipeturn/base/time.h"

namespace snipeturn {

/// Number of a caller's request within a process.
using RequestId = std::uint64_t;
/// Number of an attempt within a request, from 1.
using AttemptId = std::uint32_t;

/// What is known of the execution of a refused request.
enum class Outcome : std::uint8_t { kNotRun, kUnknown, kRan };

/// A refusal or failure as told to the caller (RFC 9457 problem details).
struct Problem {
  int status{500};
  /// Stable code, see docs/events.md.
  std::string reason;
  Outcome outcome{Outcome::kUnknown};
  std::string detail;
  std::optional<std::chrono::seconds> retry_after;
  /// Tokens delivered before the failure, for streams.
  std::optional<std::uint64_t> delivered;
};

/// A well-formed request of a caller.
struct CallerRequest {
  enum class Kind : std::uint8_t { kCompletion, kCall };

  RequestId id{0};
  Kind kind{Kind::kCompletion};
  /// SHA-256 of the bearer key, in hexadecimal.
  std::string key_sha256;
  std::optional<std::chrono::milliseconds> deadline;

  // Completions.
  std::string model;
  std::string application;
  std::string prompt;
  std::uint32_t max_tokens{0};
  bool stream{false};
  /// Last-Event-ID.
  std::string cursor;

  // Calls to plain services.
  std::string service;
  std::string method;
  std::string path;
  std::string body;
  std::string content_type;
  std::string idempotency_key;
};

/// The caller closed its connection.
struct CallerDisconnected {
  RequestId id{0};
};

}  // namespace snipeturn
