#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "snipeturn/backpressure/signals.h"
#include "snipeturn/base/host.h"
#include "snipeturn/base/time.h"
#include "snipeturn/capacity/summary.h"
#include "snipeturn/entry/desired_state.h"
#include "snipeturn/entry/options.h"
#include "snipeturn/entry/store_position.h"
#include "snipeturn/entry/upstream.h"
#include "snipeturn/quarantine/fwd.h"
#include "snipeturn/quarantine/lost_prompts.h"
#include "snipeturn/quarantine/part_set.h"
#include "snipeturn/rollout/evidence.h"
#include "snipeturn/rollout/order.h"

namespace snipeturn::entry {

/// Properties of a caller's request that the reducer needs; the bytes stay with the event loop.
struct RequestHead {
  /// The caller's id of this attempt.
  std::string id;
  std::string host;
  std::string path;
  std::optional<std::string> key;
  /// How long the caller waits; empty when it didn't say.
  std::optional<std::chrono::milliseconds> time_limit;
  std::uint64_t body_bytes{0};
  std::uint64_t prompt_tokens{0};
  std::uint64_t max_output_tokens{0};
  /// The caller's estimate of the output.
  std::optional<std::uint64_t> expected_output_tokens;
  /// First part of the prompt, if it is shared with other requests; empty when there is none.
  std::string shared_prefix;
  /// Parts of the prompt in order. The last one belongs to this request or its session.
  std::vector<quarantine::PartId> prompt_parts;
  /// Number of events that the caller has from an earlier response; used on resumable routes only.
  std::optional<std::uint64_t> position;
  /// The caller sent a position that can't be parsed.
  bool has_bad_position{false};
};

struct RequestArrived {
  RequestKey request{0};
  RequestHead head;
};

struct CallerDisconnected {
  RequestKey request{0};
};

/// How a send to an upstream ended.
enum class AttemptResult : std::uint8_t {
  /// No byte of the request left this host.
  kUnsent,
  /// The upstream said that it did not run the request.
  kNotExecuted,
  /// The address belongs to another upstream now, which did not run the request.
  kWrongUpstream,
  /// The upstream sent a complete response.
  kAnswered,
  /// The upstream marked the end of the stream.
  kStreamFinished,
  /// Sent, but the connection ended without a complete response: the request may have run.
  kBroken,
};

struct AttemptEnded {
  AttemptKey attempt{0};
  AttemptResult result{AttemptResult::kBroken};
  int status{0};
  /// The upstream closed or reset the connection before the end of its response.
  bool is_disconnected{false};
  /// The upstream marked the end of the stream only by closing the connection in order.
  bool ends_with_connection{false};
  /// The response comes from the upstream itself and may be passed on unchanged.
  bool relayable{false};
  std::string reason;
};

/// The head of a response has arrived from an upstream.
struct UpstreamSignalled {
  UpstreamId upstream;
  /// When the request or call was sent.
  TimePoint sent_at{};
  backpressure::Signals signals;
  /// The final response to a caller's request. In others, what isn't stated says nothing.
  bool is_final{true};
};

/// Events of a stream have arrived and are buffered in the event loop.
struct StreamProgressed {
  AttemptKey attempt{0};
  /// Number of events of the response so far.
  std::uint64_t events{0};
};

enum class CopyStatus : std::uint8_t {
  kCopied,
  /// The engine knows no such generation: it has ended or has not begun.
  kUnknownRun,
  kBusy,
  /// No room at the target, or it can't be reached.
  kNoRoom,
  /// No response: the copy may have been made.
  kNoAnswer,
  /// The call was never sent: its connection ended before, or this host couldn't open one.
  kUnsent,
  /// The engine's host refused the connection.
  kConnectionRefused,
  /// The attempt to connect got no response.
  kUnreachable,
};

/// @brief Name of a copy's result in log lines.
[[nodiscard]] constexpr std::string_view ToString(CopyStatus status) noexcept {
  switch (status) {
    case CopyStatus::kCopied:
      return "copied";
    case CopyStatus::kUnknownRun:
      return "unknown_run";
    case CopyStatus::kBusy:
      return "busy";
    case CopyStatus::kNoRoom:
      return "no_room";
    case CopyStatus::kNoAnswer:
      return "no_answer";
    case CopyStatus::kUnsent:
      return "unsent";
    case CopyStatus::kConnectionRefused:
      return "connection_refused";
    case CopyStatus::kUnreachable:
      return "unreachable";
  }
  return "";
}

/// @brief Tells whether a copy call ended without a response of the engine.
[[nodiscard]] constexpr bool IsUnanswered(CopyStatus status) noexcept {
  return status == CopyStatus::kNoAnswer || status == CopyStatus::kUnsent ||
         status == CopyStatus::kConnectionRefused || status == CopyStatus::kUnreachable;
}

struct CopyEnded {
  RequestKey request{0};
  std::uint64_t copy{0};
  CopyStatus status{CopyStatus::kNoAnswer};
  /// Identifies the copy at the source; may be set on failure too.
  std::string handle;
  /// Events that the generation had made when it was copied.
  std::uint64_t events{0};
};

struct DesiredStateRead {
  DesiredState desired;
};

struct EvacuationRead {
  std::string zone;
  bool evacuated{false};
  /// Position of the record.
  StorePosition position{};
};

/// All evacuations that the store lists, read after records may have been missed.
struct EvacuationsRead {
  std::vector<EvacuationRead> evacuations;
};

/// An operator's roll-out order, or its deletion.
struct RolloutOrderRead {
  std::string service;
  std::string target;
  std::chrono::milliseconds duration{0};
  /// The record was deleted; `target` and `duration` say nothing.
  bool is_deleted{false};
  /// Time since the record was written; 0 if the store doesn't tell.
  std::chrono::milliseconds age{0};
  /// Position of the record.
  StorePosition position{};
};

/// All roll-out orders that the store lists, read after records may have been missed.
struct RolloutOrdersRead {
  std::vector<RolloutOrderRead> orders;
};

/// State of a roll-out as the store records it for operators and the platform.
enum class RolloutState : std::uint8_t { kRunning, kSucceeded, kRolledBack };

/// @brief Name of a state in log lines and in the store.
[[nodiscard]] constexpr std::string_view ToString(RolloutState state) noexcept {
  switch (state) {
    case RolloutState::kRunning:
      return "running";
    case RolloutState::kSucceeded:
      return "succeeded";
    case RolloutState::kRolledBack:
      return "rolled_back";
  }
  return "";
}

/// Newest status record of a service's roll-outs.
struct RolloutStatus {
  std::string target;
  RolloutState state{RolloutState::kRunning};
  /// Offset of the order's record, which tells two orders with the same target apart; records of
  /// other writers state none.
  std::optional<std::uint64_t> order{};
};

/// State of an order that a process read or wrote in the store.
struct RecordedState {
  RolloutState state{RolloutState::kRunning};
  /// Era of the store then; what a store of a later era holds may be older.
  StoreEra era{0};
};

[[nodiscard]] constexpr bool operator==(const RecordedState& left,
                                        const RecordedState& right) noexcept {
  return left.state == right.state && left.era == right.era;
}

/// Result of ReadRolloutStatus. A read that fails gives no event; it is asked for again.
struct RolloutStatusRead {
  std::string service;
  /// Empty if the service has none that can be read.
  std::optional<RolloutStatus> status;
  /// End of the partition at the read; a conditional append states it.
  StorePosition end{};
};

enum class StatusWriteResult : std::uint8_t {
  kWritten,
  /// The partition had grown since it was read.
  kConflict,
  /// No response: the record may have been written.
  kUnknown,
  /// The store rejected the record, which isn't written.
  kRefused,
};

/// @brief Name of a result in log lines.
[[nodiscard]] constexpr std::string_view ToString(StatusWriteResult result) noexcept {
  switch (result) {
    case StatusWriteResult::kWritten:
      return "written";
    case StatusWriteResult::kConflict:
      return "conflict";
    case StatusWriteResult::kUnknown:
      return "unknown";
    case StatusWriteResult::kRefused:
      return "refused";
  }
  return "";
}

/// Result of WriteRolloutStatus.
struct RolloutStatusWritten {
  std::string service;
  RolloutStatus status;
  StatusWriteResult result{StatusWriteResult::kUnknown};
  /// Era of the log that the write was for.
  StoreEra era{0};
};

/// What a host, or a cell, knows of a service's roll-out.
struct ReportedRollout {
  std::string service;
  std::string target;
  /// Position of the order's record.
  StorePosition order{};
  /// Time since the order, as far as the sender knows, and the order's time limit.
  std::chrono::milliseconds age{0};
  std::chrono::milliseconds duration{0};
  rollout::Phase phase{rollout::Phase::kCanary};
  /// State of this order that the sender knows to have been in the store.
  std::optional<RecordedState> published;
  /// Process of the host that counted the rows; 0 in the sum of a cell.
  std::uint64_t incarnation{0};
  /// Empty when the roll-out has ended.
  std::vector<rollout::EvidenceRow> rows;
};

/// Origin of an update about an upstream.
enum class UpdateSource : std::uint8_t { kStore, kPeer };

struct UpstreamListed {
  UpstreamEntry entry;
  /// Position of the record in the list's log; orders updates from the store and from peers.
  StorePosition position{};
  UpdateSource source{UpdateSource::kStore};
};

struct UpstreamUnlisted {
  UpstreamId id;
  StorePosition position{};
  UpdateSource source{UpdateSource::kStore};
  /// The entry may have expired in an outage of the store instead of having been removed. A peer
  /// that reads the store without failures rules that out.
  bool may_have_expired{true};
};

/// An upstream's own report, which says whether the upstream is leaving.
struct UpstreamReported {
  UpstreamId id;
  /// Start time of the reporting incarnation, milliseconds since the epoch; 0 when unknown.
  std::int64_t start_time_ms{0};
  bool leaving{false};
};

/// A read of the upstream list that missed no record.
struct ListConfirmed {
  /// When the read began.
  TimePoint began{};
  /// Position after the last record that was read.
  StorePosition position{};
};

/// The newest record of each upstream in the list, read after records were missed.
struct UpstreamListRead {
  std::vector<UpstreamListed> entries;
  /// Position after the last record that the read covers.
  StorePosition end{};
};

/// A read of the configuration that missed no record.
struct StoreConfirmed {
  /// When the read began; the configuration was the newest then or later.
  TimePoint began{};
  /// Position after the last record that was read.
  StorePosition position{};
};

/// A response of the store states an era that is higher than those of its earlier responses.
struct StoreEraRead {
  StoreEra era{0};
};

/// A read of the store failed.
struct StoreReadFailed {
  std::string reason;
};

struct HostsRead {
  /// Number of hosts seen in the store recently, including this one.
  int hosts{1};
  /// Availability zones of the other hosts; a host that names none is omitted.
  std::map<std::string, std::string> zones;
};

/// A change read from the store that a host broadcasts at once.
struct PeerUpdate {
  /// Sequence number of the host's updates; a gap means that some were lost.
  std::uint64_t number{0};
  std::variant<UpstreamListed, UpstreamUnlisted> notice;
};

/// The last statement of an upstream about the requests a second that it takes, as one host tells
/// another.
struct ReportedLimit {
  UpstreamId id;
  /// Empty if the upstream no longer states a limit.
  std::optional<double> requests_per_second;
  std::chrono::milliseconds age{0};
};

/// An upstream that said that it is leaving, as one host tells another.
struct ReportedLeaving {
  UpstreamId id;
  /// Start of the incarnation, milliseconds since the epoch.
  std::int64_t start_time_ms{0};
};

struct PeerLoadReceived {
  std::string host;
  std::string zone;
  /// Cell to which the host broadcasts its load; empty when there are no cells.
  std::string cell;
  /// The host is shutting down and takes no new callers.
  bool is_stopping{false};
  /// Number of the host's last update.
  std::uint64_t last_update{0};
  /// The host's recent updates; each is sent several times, as datagrams get lost.
  std::vector<PeerUpdate> recent_updates;
  /// Position up to which the host has read the configuration.
  StorePosition configuration_position{};
  /// Newest version of the configuration that it has read or heard of; empty if it knows of none.
  std::optional<std::int64_t> configuration_version;
  /// Time since its last read of the configuration ended. Set only by a host that waits at the
  /// store for changes, and thus would have broadcast one.
  std::optional<std::chrono::milliseconds> configuration_age;
  /// Age of its last read of the upstream list. Set only by a host that reads it often.
  std::optional<std::chrono::milliseconds> list_age;
  LoadTable load;
  /// Upstreams to which its connections failed recently.
  std::vector<UpstreamId> unreachable_upstreams;
  /// Upstreams at which its sends failed recently.
  OutcomeTable outcomes;
  /// Statements that the host had from the upstreams themselves.
  std::vector<ReportedLimit> limits;
  /// Upstreams that told the host that they are leaving.
  std::vector<ReportedLeaving> leaving;
  /// Roll-outs that run or have just ended, with the evidence of this host alone.
  std::vector<ReportedRollout> rollouts;
  /// The host's own evidence on the speeds of upstreams.
  std::vector<capacity::Row> capacity;
  /// Time of the broadcast by the sender's clock; orders its tables.
  TimePoint broadcast_at{};
  /// Forwarded by a host of this cell, which received the table from another cell.
  bool is_forwarded{false};
};

/// Sum of the load of the hosts of a cell.
struct CellLoadReceived {
  std::string cell;
  std::string zone;
  int hosts{0};
  LoadTable load;
  CellOutcomes outcomes;
  /// Newest statements that the hosts of the cell know.
  std::vector<ReportedLimit> limits;
  /// Upstreams that told a host of the cell that they are leaving.
  std::vector<ReportedLeaving> leaving;
  /// Roll-outs with the sum of the evidence of the cell's hosts, including those that have gone.
  std::vector<ReportedRollout> rollouts;
  /// Evidence of the hosts of the cell on the speeds of upstreams.
  std::vector<capacity::Row> capacity;
  /// Forwarded by a host of this cell, which received the sum from the other cell.
  bool is_forwarded{false};
};

/// Another host asks how far this one has read the configuration.
struct ConfirmationRequested {
  std::string host;
  /// Time of the request by the requesting host's clock; returned in the reply.
  TimePoint requested_at{};
};

/// Another host's reply, which says how far it has read the configuration.
struct ConfirmationReceived {
  /// When this host sent the request.
  TimePoint requested_at{};
  /// Position that the other host's last read had reached when it ended.
  StorePosition position{};
  /// Newest version that the other host has read or heard of; empty in the replies of an earlier
  /// release.
  std::optional<std::int64_t> version;
  /// Time from the start of that read to the reply.
  std::chrono::milliseconds age{0};
  /// The other host.
  std::string host{};
};

/// A lost attempt as one host tells another; see quarantine::CrashEntry.
struct ReportedCrash {
  quarantine::EntryId id{0};
  quarantine::CrashId crash{0};
  std::vector<quarantine::PartId> parts;
  double answers_per_second{0};
  std::chrono::milliseconds age{0};
  /// Further parts, which only the host of the attempt knows.
  std::uint32_t hidden_parts{0};
  /// An entry with the same parts, which are left out then.
  std::optional<quarantine::EntryId> same_parts_as{};
};

/// An answer that began for a prompt with a part.
struct ReportedAnswer {
  quarantine::PartId part{0};
  std::chrono::milliseconds age{0};
};

/// Asks hosts for summaries of the parts that they lost in crashes.
struct SketchRequest {
  std::vector<quarantine::CrashId> crashes;
  /// Length of the summaries' numbers.
  int bits{quarantine::kPartBits};
};

/// Numbers that the summaries of several crashes have in common. The hosts that lost parts with
/// them tell all hosts these parts.
struct CommonBuckets {
  quarantine::PartSet buckets;
  /// Length of the numbers.
  int bits{quarantine::kPartBits};
  /// Hosts that know answers to prompts with the parts report them first, as there are many.
  bool asks_for_answers{false};
};

/// Parts of prompts that got answers after the last crash.
struct AnsweredParts {
  quarantine::PartSet parts;
  /// Age of the oldest of the answers.
  std::chrono::milliseconds age{0};
};

/// Parts of a host's crash log, and what hosts exchange to fill it.
struct CrashReport {
  std::vector<ReportedCrash> crashes;
  std::vector<ReportedAnswer> answers;
  /// Digest of the sender's log; asks a host whose log differs for all of it.
  std::optional<std::uint64_t> digest;
  /// Answers a report with a digest.
  bool is_reply{false};
  std::optional<SketchRequest> sketch_request{};
  std::vector<quarantine::Sketch> sketches{};
  std::optional<CommonBuckets> common{};
  std::optional<AnsweredParts> answered{};
};

struct CrashReportReceived {
  /// Empty when the report was read from the store.
  std::string host;
  CrashReport report;
};

struct OptionsChanged {
  Bounds bounds;
  std::optional<bool> learned_capacity{};
};

struct ShutdownRequested {};

struct Tick {};

using Event = std::variant<RequestArrived,
                           CallerDisconnected,
                           AttemptEnded,
                           UpstreamSignalled,
                           StreamProgressed,
                           CopyEnded,
                           DesiredStateRead,
                           EvacuationRead,
                           EvacuationsRead,
                           RolloutOrderRead,
                           RolloutOrdersRead,
                           RolloutStatusRead,
                           RolloutStatusWritten,
                           UpstreamListed,
                           UpstreamUnlisted,
                           UpstreamListRead,
                           UpstreamReported,
                           ListConfirmed,
                           StoreConfirmed,
                           StoreEraRead,
                           StoreReadFailed,
                           HostsRead,
                           PeerLoadReceived,
                           CellLoadReceived,
                           ConfirmationRequested,
                           ConfirmationReceived,
                           CrashReportReceived,
                           OptionsChanged,
                           ShutdownRequested,
                           Tick>;

}  // namespace snipeturn::entry
