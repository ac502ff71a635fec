#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "snipeturn/base/host.h"
#include "snipeturn/base/time.h"
#include "snipeturn/reducer/caller.h"

namespace snipeturn {

enum class AttemptKind : std::uint8_t {
  /// Starts a generation and streams it.
  kGenerate,
  /// Resumes a generation at an index.
  kResume,
  /// A call to a plain service.
  kCall,
};

/// Effect: one exchange with an upstream.
struct StartAttempt {
  RequestId request{0};
  AttemptId attempt{0};
  AttemptKind kind{AttemptKind::kGenerate};
  UpstreamName upstream;
  Endpoint endpoint;
  /// The exchange is not started after this time; it then ends as kUnsent.
  TimePoint not_after{};
  /// The whole exchange is bounded by this.
  std::chrono::milliseconds timeout{0};

  // kGenerate
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens{0};
  /// 0 is the most urgent.
  int priority{0};

  // kResume
  std::string generation;
  std::uint64_t from_index{0};

  // kCall
  std::string method;
  std::string path;
  std::string body;
  std::string content_type;
  std::string idempotency_key;
};

/// Effect: the runtime drops the exchange; its later events are ignored by the reducer.
struct AbandonAttempt {
  RequestId request{0};
  AttemptId attempt{0};
};

/// Effect: ask the engine to stop a generation and free its memory.
struct CancelGeneration {
  UpstreamName upstream;
  Endpoint endpoint;
  std::string generation;
};

/// Event: a token of a streamed exchange.
struct AttemptToken {
  RequestId request{0};
  AttemptId attempt{0};
  Incarnation incarnation{0};
  std::string generation;
  std::uint64_t index{0};
  std::string text;
};

enum class AttemptResult : std::uint8_t {
  /// The whole answer arrived.
  kComplete,
  /// Nothing was written to the upstream.
  kUnsent,
  /// The exchange broke, timed out or gave an answer that can't be read.
  kBroken,
  /// The upstream said that it did not run the work.
  kNotRun,
  /// The generation doesn't exist any more.
  kUnknownGeneration,
  /// A later reader took the generation over.
  kSuperseded,
  /// The upstream answered with a client error (4xx).
  kRejected,
};

/// Event: the exchange is over.
struct AttemptEnded {
  RequestId request{0};
  AttemptId attempt{0};
  AttemptResult result{AttemptResult::kBroken};
  int status{0};
  std::string body;
  std::string content_type;
};

}  // namespace snipeturn
