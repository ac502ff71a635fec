#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "snipeturn/base/host.h"
#include "snipeturn/base/log_event.h"
#include "snipeturn/base/metric.h"
#include "snipeturn/base/time.h"
#include "snipeturn/entry/event.h"
#include "snipeturn/entry/fwd.h"

namespace snipeturn::entry {

/// Location of the copy of a running generation.
struct Resume {
  /// Endpoint that issued the handle; both together identify the copy.
  Endpoint source;
  std::string handle;
  /// Number of events that the caller has; the response continues after them.
  std::uint64_t events{0};
};

/// Send a request to an upstream.
struct Send {
  RequestKey request{0};
  AttemptKey attempt{0};
  UpstreamId upstream;
  Endpoint endpoint;
  /// Time until the caller's deadline; empty when the caller set no limit.
  std::optional<std::chrono::milliseconds> time_left;
  std::string organisation;
  bool is_stream{false};
  /// The request may be sent again without harm, so a long idle connection may be used for it.
  bool is_idempotent{false};
  /// The request was sent to this upstream before. A late copy of that response would have the same
  /// id, so the request must not use a connection that is already open.
  bool is_repeat{false};
  std::optional<Resume> resume;
  /// Number of events of the stream that the caller has; a new generation continues after them.
  std::uint64_t position{0};
};

/// Close the connection of a send whose result is no longer needed.
struct CancelAttempt {
  AttemptKey attempt{0};
};

/// Pass the complete response of a send on to the caller.
struct Relay {
  RequestKey request{0};
  AttemptKey attempt{0};
};

/// Pass on the events of a stream that have arrived.
struct RelayEvents {
  RequestKey request{0};
  AttemptKey attempt{0};
};

/// End the caller's stream, which is complete.
struct FinishStream {
  RequestKey request{0};
  AttemptKey attempt{0};
};

/// Close the caller's connection before the end of its stream.
struct BreakStream {
  RequestKey request{0};
};

/// Respond with an error of this host.
struct Refuse {
  RequestKey request{0};
  int status{503};
  std::string_view reason;
  std::optional<std::chrono::milliseconds> retry_after;
};

/// Copy the memory of a running generation to another engine.
struct StartCopy {
  RequestKey request{0};
  std::uint64_t copy{0};
  UpstreamId source_id;
  Endpoint source;
  Endpoint target;
  /// Stop the generation before the copy; it continues at the target.
  bool final{false};
  /// An earlier call of the migration got no response: its connection may have been dropped, as
  /// others that are kept open to the engine.
  bool needs_new_connection{false};
};

/// Free a copy that will not be used.
struct DropCopy {
  UpstreamId source_id;
  Endpoint source;
  std::string handle;
};

/// Ask an upstream for its report.
struct ReadReport {
  UpstreamId upstream;
  Endpoint endpoint;
};

/// Read the upstream list now, as updates of another host were lost.
struct ReadList {};

/// Read the configuration now, as another host has read further.
struct ReadConfiguration {};

/// Read the newest records of all topics anew, as the store may list some that are older than what
/// this host knows.
struct ReadSnapshots {};

/// Forward the load table of a host of another cell to the hosts of this cell.
struct ForwardLoad {
  PeerLoadReceived load;
};

/// Forward the load sum of another cell to the hosts of this cell.
struct ForwardCellLoad {
  CellLoadReceived sum;
};

/// Ask another host how far it has read the configuration.
struct RequestConfirmation {
  std::string host;
  TimePoint requested_at{};
};

/// Tell another host, at its request, how far this one has read the configuration.
struct SendConfirmation {
  std::string host;
  /// Time of the request by the requesting host's clock.
  TimePoint requested_at{};
  StorePosition position{};
  /// Newest version of the configuration that this host has read or heard of.
  std::int64_t version{0};
  /// Age of this host's last read, counted from its start.
  std::chrono::milliseconds age{0};
};

/// Tell other hosts about lost attempts.
struct SendCrashReport {
  /// Empty for all hosts.
  std::string host;
  CrashReport report;
};

/// Keep the lost attempts on which quarantines rest in the store, for hosts that start.
struct SaveCrashReport {
  CrashReport report;
};

/// Read the newest status record of a service's roll-outs; answered by RolloutStatusRead.
struct ReadRolloutStatus {
  std::string service;
};

/// Append a status record if the partition still ends at a position; answered by
/// RolloutStatusWritten.
struct WriteRolloutStatus {
  std::string service;
  RolloutStatus status;
  StorePosition end{};
};

/// Close the connection pool of an upstream, which is no longer needed.
struct ForgetUpstream {
  UpstreamId id;
};

/// The process has nothing left to do but to send its responses and to refuse requests.
struct Exit {
  /// Time by which the process has to end.
  TimePoint deadline{};
};

using Effect = std::variant<Send,
                            CancelAttempt,
                            Relay,
                            RelayEvents,
                            FinishStream,
                            BreakStream,
                            Refuse,
                            StartCopy,
                            DropCopy,
                            ReadReport,
                            ReadList,
                            ReadConfiguration,
                            ReadSnapshots,
                            ForwardLoad,
                            ForwardCellLoad,
                            RequestConfirmation,
                            SendConfirmation,
                            SendCrashReport,
                            SaveCrashReport,
                            ReadRolloutStatus,
                            WriteRolloutStatus,
                            ForgetUpstream,
                            EmitLog,
                            AddToCounter,
                            RecordSample,
                            Exit>;
using Effects = std::vector<Effect>;

}  // namespace snipeturn::entry
