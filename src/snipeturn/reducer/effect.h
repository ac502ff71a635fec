#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "snipeturn/base/host.h"
#include "snipeturn/base/log_event.h"
#include "snipeturn/base/metric.h"
#include "snipeturn/reducer/attempt.h"
#include "snipeturn/reducer/caller.h"
#include "snipeturn/reducer/log_record.h"
#include "snipeturn/reducer/operator_command.h"
#include "snipeturn/reducer/peer_message.h"
#include "snipeturn/reducer/platform.h"

namespace snipeturn {

/// Release a token to the caller.
struct SendToken {
  RequestId request{0};
  std::uint64_t index{0};
  /// Signed cursor after this token.
  std::string event_id;
  std::string text;
};

/// The answer is complete. For a stream `body` is empty.
struct FinishResponse {
  RequestId request{0};
  int status{200};
  std::string content_type;
  std::string body;
};

/// Refuse the request, or end its stream with an error.
struct SendProblem {
  RequestId request{0};
  Problem problem;
};

/// Append a record to a log stream.
struct AppendLog {
  AppendId id{0};
  std::string stream;
  Json::Value value;
};

/// Send a message to a peer.
struct SendPeer {
  HostName to;
  Endpoint endpoint;
  PeerMessage message;
};

/// The process has nothing left to do.
struct Exit {};

using Effect = std::variant<StartAttempt,
                            AbandonAttempt,
                            CancelGeneration,
                            SendToken,
                            FinishResponse,
                            SendProblem,
                            AppendLog,
                            SendPeer,
                            ProbeHost,
                            AnswerOperator,
                            EmitLog,
                            AddToCounter,
                            RecordSample,
                            Exit>;
using Effects = std::vector<Effect>;

}  // namespace snipeturn
