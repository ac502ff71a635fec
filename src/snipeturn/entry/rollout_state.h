#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "snipeturn/base/time.h"
#include "snipeturn/entry/event.h"
#include "snipeturn/rollout/evidence.h"
#include "snipeturn/rollout/exposure.h"
#include "snipeturn/rollout/order.h"
#include "snipeturn/rollout/verdict.h"

namespace snipeturn::entry {

/// Step of a write to the store.
enum class StatusStep : std::uint8_t { kIdle, kReading, kWriting };

/// An operator's order and what has come of it.
struct Rollout {
  rollout::Order order;
  /// Time of the order by this host's clock; earlier if a peer knows of it for longer.
  TimePoint ordered_at{};
  /// This host or a peer saw the order being written, so that a final status which the store had
  /// then belongs to an earlier one.
  bool is_fresh{false};
  /// False on a host that has started after the order and hasn't learned yet how it went on.
  bool is_status_known{false};
  rollout::Phase phase{rollout::Phase::kCanary};
  TimePoint phase_since{};
  /// The target has taken over, which the store has yet to record.
  bool is_success_due{false};
  /// State of this order that is known to have been in the store.
  std::optional<RecordedState> published;
  rollout::Exposure exposure;
  /// What this host has seen, and what others have reported.
  rollout::EvidenceRows own;
  rollout::ReportedEvidence reported;
  rollout::Judgement judgement;
  StatusStep step{StatusStep::kIdle};
  /// Begin of the step, or the earliest time of the next one.
  TimePoint step_at{};
  /// What is to be written, and since when.
  std::optional<RolloutState> wanted;
  TimePoint wanted_since{};
  bool has_logged_unknown_version{false};
};

/// Versions of a service and its roll-out.
struct ServiceVersions {
  struct Seen {
    TimePoint first_seen{};
    /// When the version counts as an old one, unless an order says otherwise.
    TimePoint allowed_from{};
    /// Earliest start of an upstream of the version, milliseconds since the epoch.
    std::int64_t start_time_ms{0};
  };
  std::map<std::string, Seen> seen;
  /// The version that took over in the last roll-out that succeeded.
  std::optional<std::string> only;
  /// Targets of roll-outs that were rolled back, withdrawn or replaced.
  std::set<std::string> barred;
  /// Position of the newest order or deletion.
  std::optional<StorePosition> newest;
  /// An order whose target has no upstream yet.
  std::optional<Rollout> pending;
  /// The order in force; kept after its end until the next one.
  std::optional<Rollout> active;
  /// Last connection of each upstream that broke and was counted.
  std::map<UpstreamId, TimePoint> broken_at;
};

}  // namespace snipeturn::entry
