#pragma once

#include <cstdint>
#include <variant>

#include "snipeturn/base/host.h"
#include "snipeturn/reducer/attempt.h"
#include "snipeturn/reducer/caller.h"
#include "snipeturn/reducer/log_record.h"
#include "snipeturn/reducer/operator_command.h"
#include "snipeturn/reducer/peer_message.h"
#include "snipeturn/reducer/platform.h"

namespace snipeturn {

/// First event of a process.
struct Started {
  Incarnation incarnation{0};
  std::uint64_t random_seed{0};
};

struct PeerMessageReceived {
  HostId from;
  PeerMessage message;
};

/// SIGTERM or an operator's order.
struct ShutdownRequested {};

/// Time has passed; due timers fire.
struct Tick {};

using Event = std::variant<Started,
                           CallerRequest,
                           CallerDisconnected,
                           AttemptToken,
                           AttemptEnded,
                           LogAppended,
                           LogAppendFailed,
                           LogRead,
                           LogReadFailed,
                           HostListRead,
                           ProbeEnded,
                           LoadReported,
                           LoadReportFailed,
                           PeerMessageReceived,
                           OperatorRequest,
                           ShutdownRequested,
                           Tick>;

}  // namespace snipeturn
