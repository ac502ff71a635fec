#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "snipeturn/backpressure/pause.h"
#include "snipeturn/backpressure/rate_limit.h"
#include "snipeturn/backpressure/signals.h"
#include "snipeturn/base/host.h"
#include "snipeturn/base/time.h"
#include "snipeturn/capacity/estimate.h"
#include "snipeturn/entry/fwd.h"

namespace snipeturn::entry {

/// An upstream's entry in the upstream list.
struct UpstreamEntry {
  UpstreamId id;
  std::string service;
  Endpoint endpoint;
  std::string zone;
  int slots{0};
  bool leaving{false};
  std::chrono::milliseconds cold_left{0};
  /// Start of this incarnation, milliseconds since the epoch; distinguishes incarnations with the
  /// same id.
  std::int64_t start_time_ms{0};
  /// Increases with each report of an incarnation; a delayed report has a lower one.
  std::int64_t sequence{0};
  /// Version of the service that it runs; empty when its entry states none.
  std::string version{};
};

/// Load of an upstream, in the units of its capacity limits.
struct UpstreamLoad {
  int requests{0};
  /// Engine memory that the work is expected to need at its peak, in tokens.
  std::uint64_t tokens{0};
  /// Prompt tokens of requests whose first event has not arrived.
  std::uint64_t pending_prompt_tokens{0};
};

/// Results of sends at an upstream, weighted by age.
struct OutcomeCount {
  double failures{0};
  double responses{0};
  /// Time at which the weights apply.
  TimePoint at{};
};

enum class UpstreamPhase : std::uint8_t {
  kServing,
  /// It sent a termination notice or its entry was removed: gets no new work, running work
  /// continues.
  kLeaving,
  /// Its entry vanished while the store was failing, which may have made it expire; the upstream
  /// remains in service for a grace period.
  kMissing,
};

/// An upstream and what this host knows about it.
struct Upstream {
  UpstreamEntry entry;
  /// When this host learned of this incarnation.
  TimePoint known_since{};
  UpstreamPhase phase{UpstreamPhase::kServing};
  TimePoint phase_since{};
  /// Its entry is missing only from the copy from which the store came back.
  bool is_missing_from_copy{false};
  /// It is leaving because its entry was removed; returns to service if the entry reappears.
  bool was_unlisted{false};
  TimePoint cold_until{};
  /// Consecutive failures of this host's requests.
  int failures{0};
  TimePoint avoid_until{};
  /// Last failed connection attempt, lost connection, and response or event, of this host's
  /// requests.
  std::optional<TimePoint> connect_failed_at;
  std::optional<TimePoint> connection_broken_at;
  std::optional<TimePoint> last_response_at;
  /// Last time that another host reported a failed connection.
  std::optional<TimePoint> peer_connect_failed_at;
  /// Results of this host's sends.
  OutcomeCount outcomes;
  /// Last time that a failure made the load table due at once.
  TimePoint failure_broadcast_at{};
  /// Moving mean of the time between two events of a stream, seconds; 0 before the first sample.
  double event_interval_s{0};
  backpressure::RateLimit rate_limit;
  backpressure::Pause pause;
  /// End of the pause as last logged, until the end itself is logged.
  std::optional<TimePoint> logged_pause_end;
  backpressure::StatementCounts statements;
  /// When this incarnation said that it is leaving, in a response or a report, or when another host
  /// told so.
  std::optional<TimePoint> said_leaving_at;
  /// It said so to this host.
  bool said_leaving_here{false};
  /// Load that this incarnation last stated to this host, and when the statement was read.
  std::optional<backpressure::StatedLoad> stated_load;
  TimePoint stated_load_at{};
  /// What is learned of the speed of this incarnation.
  capacity::Estimate capacity;
  /// Speed that was last logged.
  double logged_speed{1};
  TimePoint speed_logged_at{};
  /// Its last response stated something that can't be parsed.
  bool has_unreadable_signal{false};
  /// Starts within the last second while the upstream is cold.
  std::deque<TimePoint> cold_starts;
};

using LoadTable = std::map<UpstreamId, UpstreamLoad>;
using OutcomeTable = std::map<UpstreamId, OutcomeCount>;

/// Results of sends at an upstream, summed over the hosts of a cell that saw failures there.
struct CellOutcome {
  OutcomeCount count;
  int hosts{0};
};

using CellOutcomes = std::map<UpstreamId, CellOutcome>;
using UpstreamTable = std::map<UpstreamId, Upstream>;

}  // namespace snipeturn::entry
