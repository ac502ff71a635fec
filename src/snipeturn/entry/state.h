#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "snipeturn/base/timers.h"
#include "snipeturn/capacity/summary.h"
#include "snipeturn/entry/desired_state.h"
#include "snipeturn/entry/event.h"
#include "snipeturn/entry/forecast.h"
#include "snipeturn/entry/options.h"
#include "snipeturn/entry/request.h"
#include "snipeturn/entry/retry_budget.h"
#include "snipeturn/entry/rollout_state.h"
#include "snipeturn/entry/service_times.h"
#include "snipeturn/entry/upstream.h"
#include "snipeturn/quarantine/answer_memory.h"
#include "snipeturn/quarantine/lost_prompts.h"
#include "snipeturn/quarantine/suspects.h"

namespace snipeturn::entry {

/// What this host knows about the platform's store.
struct StoreView {
  /// Start of the last read that missed no change of the configuration, by this host or by a reader
  /// that confirmed it.
  std::optional<TimePoint> confirmed;
  /// Last time that a confirmation was requested from a reader.
  std::optional<TimePoint> requested_at;
  /// End of the last read by this host.
  TimePoint read_at{};
  /// Position up to which the configuration has been read.
  StorePosition position{};
  /// Highest era known, from the store's responses or from peers.
  std::optional<StoreEra> era;
  /// Until then the store may list less than what it has acknowledged: this host has learned that
  /// it came back from an older copy. Set by its return only.
  std::optional<TimePoint> copy_held_until;
  /// End of this host's first read of the upstream list in the present era. Records before it may
  /// be those of the copy.
  std::optional<StorePosition> copy_list_end;
  /// Highest version that a peer has read or heard of, and since when this host lacks a version
  /// that a peer has.
  std::int64_t peers_version{0};
  std::optional<TimePoint> behind_since;
  bool has_logged_behind{false};
  /// This host has just started, or has just learned that the store came back from a copy: its
  /// reads count once the peers have stated their versions.
  bool awaits_versions{true};
  /// The peers that were asked and haven't replied; empty until they are asked.
  std::optional<std::set<std::string>> awaited_versions;
  /// No peer is known that could be asked.
  bool has_unknown_peers{false};
  /// The last read that was kept back, and when it counts although peers haven't replied.
  std::optional<StoreConfirmed> deferred_read;
  std::optional<TimePoint> deferred_until;
  /// Time of the last failed read.
  std::optional<TimePoint> failed;
  /// End of this host's first read of the upstream list after that. Records from there on were
  /// written since the store can be read again.
  std::optional<StorePosition> list_regained;
  bool is_reachable{false};
};

/// Load reported by another host.
struct PeerLoad {
  TimePoint at{};
  /// Era of the store in which the host has read.
  StoreEra era{0};
  std::string zone;
  /// The cell to which it broadcasts its load; empty when it broadcasts to all hosts.
  std::string cell;
  bool is_stopping{false};
  /// Number of the last update that was received, or that preceded the host's first table.
  std::uint64_t last_update{0};
  bool has_reported{false};
  /// Time of its last table by the sender's clock.
  TimePoint broadcast_at{};
  /// Times of its last reads, by this host's clock.
  std::optional<TimePoint> configuration_confirmed;
  std::optional<TimePoint> list_confirmed;
  LoadTable load;
  /// Upstreams at which its sends failed recently.
  OutcomeTable outcomes;
};

/// Sum of the load of the hosts of another cell.
struct CellLoad {
  TimePoint at{};
  std::string zone;
  /// Number of hosts that the sum covers.
  int hosts{0};
  LoadTable load;
  CellOutcomes outcomes;
};

/// A copy whose request ended while the copy call was in flight.
struct OrphanCopy {
  UpstreamId source;
  Endpoint endpoint;
};

/// How hosts find the parts that crashes have in common. One host collects summaries of the parts
/// that each host lost.
struct PartCollection {
  /// The host that collected last; this host's own name if it does.
  std::string collector;
  /// Crashes of which summaries have been requested, by any host.
  std::set<quarantine::CrashId> requested;
  /// When this host requests summaries, unless another host does so before.
  std::optional<TimePoint> due;
  /// Summaries of the other hosts; kept by the collector for comparison with later crashes.
  std::map<quarantine::CrashId, std::map<std::string, std::vector<quarantine::Sketch>>> sketches;
  /// When the collector compares the summaries that have arrived.
  std::optional<TimePoint> compare_at;
  /// When the collector requests the missing summaries again, and how often it has done so.
  std::optional<TimePoint> repeat_at;
  int repeats{0};
  /// Common numbers whose parts this host tells when the answers to them are known.
  struct Disclosure {
    TimePoint answers_due{};
    bool has_reported_answers{false};
    TimePoint due{};
    CommonBuckets common;
  };
  std::vector<Disclosure> disclosures;
  /// Parts whose answers a host has reported for them.
  quarantine::PartSet answered;
};

/// Prompt parts that crash upstreams, and what this host and its peers saw of them.
struct QuarantineState {
  quarantine::CrashLog log;
  std::vector<quarantine::Suspect> suspects;
  /// A lost attempt of this host that is not reported yet: its upstream may still prove alive.
  struct Unconfirmed {
    quarantine::EntryId entry{0};
    UpstreamId upstream;
    TimePoint at{};
    /// Other hosts are not told all parts of the prompt at once.
    bool is_hidden{false};
  };
  std::deque<Unconfirmed> unconfirmed;
  /// Reports that are sent once more.
  struct Repeat {
    TimePoint due{};
    CrashReport report;
  };
  std::deque<Repeat> repeats;
  /// A higher rate of answers than the host of a lost attempt knew, which this host reports unless
  /// another host reports a still higher one before.
  struct RateCorrection {
    TimePoint due{};
    quarantine::EntryId entry{0};
    double answers_per_second{0};
  };
  std::vector<RateCorrection> rate_corrections;
  /// When this host reports answers that clear parts, unless another host does so before.
  std::optional<TimePoint> answers_due;
  /// A request that was let through to try whether a suspect still crashes upstreams.
  struct Trial {
    RequestKey request{0};
    TimePoint at{};
  };
  /// By the first part of the suspect.
  std::map<quarantine::PartId, Trial> trials;
  /// Answers that began at this host, weighted by age.
  OutcomeCount answers;
  std::uint64_t sync_round{0};
  /// Lost attempts of this host whose parts the other hosts don't know.
  quarantine::LostPrompts lost;
  quarantine::AnswerMemory answer_memory;
  PartCollection collection;
  /// What of `log.dropped` has been logged.
  std::uint64_t logged_drops{0};
};

/// What this host learns of the speeds of upstreams, besides the estimate of each.
struct CapacityState {
  /// By service and kind of observation.
  std::map<std::string, capacity::Baseline> baselines;
  capacity::HostEvidenceTable reports;
  std::optional<TimePoint> reviewed_at;
};

/// State of the entry path.
struct State {
  Options options;
  std::optional<DesiredState> desired;
  std::set<std::string> evacuated_zones;
  /// Position of the last record that evacuated each zone, kept when the evacuation has ended.
  std::map<std::string, StorePosition> evacuation_positions;
  /// Zones whose evacuation, or its end, the copy from which the store came back doesn't know, and
  /// until when it is kept in force.
  std::map<std::string, TimePoint> held_evacuations;
  StoreView store;
  int hosts{1};
  UpstreamTable upstreams;
  /// An incarnation that said that it is leaving and was removed. The store may still list it.
  struct LeftUpstream {
    std::int64_t start_time_ms{0};
    TimePoint said_at{};
  };
  std::map<UpstreamId, LeftUpstream> left_upstreams;
  /// Number of the last update of this host.
  std::uint64_t last_update{0};
  struct RecentUpdate {
    TimePoint at{};
    PeerUpdate update;
  };
  /// Updates that are still being repeated.
  std::deque<RecentUpdate> recent_updates;
  /// Start of the last read of the upstream list.
  std::optional<TimePoint> list_confirmed;
  /// The newest known record of each upstream, including removed ones.
  struct ListedRecord {
    StorePosition position{};
    /// The server's own order of its records.
    std::int64_t start_time_ms{0};
    std::int64_t sequence{0};
  };
  std::map<UpstreamId, ListedRecord> list_records;
  std::map<std::string, PeerLoad> peers;
  /// This host's cell; empty in a small deployment, in which all hosts broadcast to one another.
  std::string cell;
  /// Number of hosts of this host's cell, including itself.
  int cell_hosts{1};
  int cells_in_zone{1};
  /// Cells of the other hosts that are listed in the store.
  std::map<std::string, std::string> cell_by_host;
  /// The other cells.
  std::map<std::string, CellLoad> cells;
  std::map<RequestKey, Request> requests;
  std::map<AttemptKey, RequestKey> request_by_attempt;
  std::map<std::uint64_t, OrphanCopy> orphan_copies;
  QuarantineState quarantine;
  /// By service; empty unless the options enable roll-outs.
  std::map<std::string, ServiceVersions> rollouts;
  /// By service.
  std::map<std::string, RetryBudget> retry_budgets;
  /// By route.
  std::map<std::string, LengthModel> lengths;
  /// By service.
  std::map<std::string, ServiceTimes> service_times;
  /// Services of which an upstream has stated to this host how long work takes there at present.
  std::set<std::string> services_with_work_time;
  CapacityState capacity;
  /// Tokens charged to organisations, halved at a fixed interval.
  std::map<std::string, double> served_tokens;
  TimePoint served_decayed_at{};
  Timers timers;
  /// Incremented when this host starts work at an engine, so that the table is broadcast at once
  /// and other hosts consider it in placement; finished work is reported with the next table.
  std::uint64_t load_changes{0};
  /// Incremented when an engine has processed a prompt or has finished work.
  std::uint64_t load_decreases{0};
  AttemptKey next_attempt{1};
  /// Searches of an upstream for a request, each of which goes through all open requests.
  std::uint64_t placements{0};
  std::uint64_t next_copy{1};
  bool is_stopping{false};
  TimePoint stopping_since{};
  /// Grace period of the stop: that of the settings at its begin.
  std::chrono::milliseconds stop_grace{0};
  /// Queued requests are being refused together, so none of them is sent meanwhile.
  bool holds_queue{false};
  /// The exit of the process was decided: nothing is sent any more and requests are refused.
  bool is_exiting{false};
};

}  // namespace snipeturn::entry
