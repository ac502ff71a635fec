#include "snipeturn/entry/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>
#include <vector>

#include "snipeturn/base/hash.h"
#include "snipeturn/entry/admission.h"
#include "snipeturn/entry/cells.h"
#include "snipeturn/entry/contention.h"
#include "snipeturn/entry/demand.h"
#include "snipeturn/entry/health.h"
#include "snipeturn/entry/load.h"
#include "snipeturn/entry/load_broadcast.h"
#include "snipeturn/entry/pending.h"
#include "snipeturn/entry/plain_admission.h"
#include "snipeturn/entry/readers.h"
#include "snipeturn/entry/room.h"
#include "snipeturn/entry/sampling.h"
#include "snipeturn/entry/service_times.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// Share of an engine's memory that placement fills. The rest absorbs forecast errors and requests
/// that other hosts placed since their last load broadcast.
constexpr double kMaxMemoryUtilisation = 0.9;
/// A migrating generation may use the reserve, because it is lost if no target has room.
constexpr double kMaxMigrationMemoryUtilisation = 1.0;
/// Maximum of running and queued requests at a plain upstream, as a multiple of its slots.
constexpr double kPlainOvercommitFactor = 2.0;
/// An upstream in another availability zone must be less utilised by this share to be preferred.
constexpr double kCrossZonePenalty = 0.1;
/// With cells, the load of other zones is about 200 ms older than that of the local zone, and the
/// engines of the local zone are enough to balance its load.
constexpr double kCrossZonePenaltyWithCells = 0.2;
/// Penalty for an upstream in a zone whose load is unknown.
constexpr double kUnknownLoadPenalty = 0.5;
/// Migration to another zone takes twice as long.
constexpr double kMigrationCrossZonePenalty = 0.5;
/// Upstreams in failure backoff are chosen only when no other has room.
constexpr double kBackoffPenalty = 10.0;
/// Weight of the odds of a failed attempt, for the failure rate above the service's mean. A few
/// failures cost little; an upstream that fails most requests scores worse than any load does.
constexpr double kFailureRateWeight = 2.0;
/// With this penalty an upstream of a contended service isn't sampled: its failure rate is a fifth
/// above the service's mean, and a sample of two may hold two such upstreams.
constexpr double kLastResortFailurePenalty = 0.5;
/// Penalty for an upstream that may be down. If its entry disappeared while the store was failing,
/// the entry may have expired or the upstream may be leaving; one that can't be reached may be gone
/// but looks idle.
constexpr double kSuspectedDownPenalty = 5.0;
/// Preference for the engine that is likely to have the shared prompt prefix in its cache.
constexpr double kAffinityBonus = 0.05;
/// Range of the random part of the score, so that hosts with the same view don't all choose the
/// same upstream. It grows with the number of hosts, since more of them place requests between two
/// load broadcasts.
constexpr double kJitter = 0.04;
constexpr double kJitterPerHost = 0.0015;
constexpr double kMaxJitter = 0.2;

/// Random part for migration targets. Hosts learn of a termination notice at the same moment, and a
/// target's link receives copies one after another, so the copies are spread over targets.
constexpr double kMigrationJitter = 0.3;

/// How long a failed connection makes an upstream suspected down while the upstream list can be
/// read: by then the entry of an upstream that is gone has disappeared.
constexpr std::chrono::seconds kSuspicionTtl{4};

/// Window of the limit on requests to a cold upstream.
constexpr std::chrono::seconds kColdWindow{1};
/// Penalty for a migration to an upstream that wants no further request now.
constexpr double kUnavailablePenalty = 10.0;

/// Time after its last response for which this host knows an upstream's speed. The times recorded
/// for its service last as long.
constexpr std::chrono::seconds kKnownSpeedTtl = RecentLongest::kWindow;

struct UpstreamScore {
  double score{0};
  double utilisation{0};
  bool has_room{false};
};

const Service* FindService(const State& state, const std::string& name) {
  if (!state.desired) {
    return nullptr;
  }
  const auto found = state.desired->services.find(name);
  return found == state.desired->services.end() ? nullptr : &found->second;
}

/// What a request may use of an upstream.
struct Allowance {
  double memory{kMaxMemoryUtilisation};
  /// Objective against which the time of pending prompts is weighed, and the share of it that they
  /// may take.
  std::chrono::milliseconds prefill_objective{0};
  double prefill_share{kMaxPrefillShare};
  /// Requests at a plain upstream, as a multiple of its slots.
  double plain_overcommit{kPlainOvercommitFactor};
};

/// Number of engines of a service that serve.
int CountServing(const State& state, const std::string& service) {
  return static_cast<int>(
      std::count_if(state.upstreams.begin(), state.upstreams.end(), [&](const auto& entry) {
        return entry.second.entry.service == service && IsServing(state, entry.second);
      }));
}

Allowance AllowanceOf(const State& state,
                      const Contention* contention,
                      const Demand& demand,
                      const Request& request,
                      TimePoint now) {
  Allowance allowance;
  allowance.prefill_objective = request.latency_objective;
  if (contention != nullptr) {
    allowance.prefill_objective = contention->urgent_objective;
    const std::chrono::duration<double, std::milli> prefill =
        PrefillAllowance(*contention, request, now);
    allowance.prefill_share =
        prefill.count() / static_cast<double>(contention->urgent_objective.count());
    const Service& service = *FindService(state, request.service);
    if (service.engine && HasTimeToWait(*contention, request, now)) {
      const Reserve reserve = ReserveForUrgent(*contention, demand, *service.engine,
                                               CountServing(state, request.service));
      allowance.memory -= reserve.memory;
      allowance.prefill_share *= 1 - reserve.prefill;
    }
    if (!service.engine) {
      const auto times = state.service_times.find(request.service);
      allowance.plain_overcommit = PlainOvercommit(
          request.latency_objective,
          times == state.service_times.end() ? std::nullopt : Largest(times->second.response, now),
          kPlainOvercommitFactor);
    }
  }
  return allowance;
}

/// Number of requests like the given one for which an upstream with room has room.
double RoomOf(const Service& service,
              const Upstream& upstream,
              const Request& request,
              const UpstreamLoad& load,
              const Allowance& allowance) {
  if (!service.engine) {
    return std::max(1.0, upstream.entry.slots * allowance.plain_overcommit - load.requests);
  }
  const double memory = static_cast<double>(service.engine->memory_tokens) * allowance.memory;
  const double tokens =
      static_cast<double>(std::max<std::uint64_t>(1, ExpectedMemoryTokens(request)));
  const double prompt = static_cast<double>(std::max<std::uint64_t>(1, request.head.prompt_tokens));
  const double pending = static_cast<double>(load.pending_prompt_tokens);
  const double max_pending = static_cast<double>(allowance.prefill_objective.count()) *
                             allowance.prefill_share * kPrefillTokensPerMs;
  const double by_memory = (memory - static_cast<double>(load.tokens)) / tokens;
  const double by_prompts = (max_pending - pending) / prompt + 1;
  const double by_slots = service.engine->slots - load.requests;
  return std::max(1.0, std::floor(std::min({by_memory, by_prompts, by_slots})));
}

UpstreamScore ScoreEngine(const EngineLimits& limits,
                          const Request& request,
                          const UpstreamLoad& load,
                          const Allowance& allowance) {
  const double memory = static_cast<double>(limits.memory_tokens) * allowance.memory;
  const double tokens = static_cast<double>(load.tokens + ExpectedMemoryTokens(request));
  const double slots = static_cast<double>(std::max(1, limits.slots));
  UpstreamScore scored;
  scored.utilisation = std::max(memory > 0 ? tokens / memory : 0.0, (load.requests + 1) / slots);
  const double pending_prompt = static_cast<double>(load.pending_prompt_tokens);
  const double objective = static_cast<double>(allowance.prefill_objective.count());
  const double prefill_share =
      objective > 0 ? pending_prompt / kPrefillTokensPerMs / objective : 0.0;
  scored.has_room = scored.utilisation <= 1.0 && prefill_share <= allowance.prefill_share;
  scored.score = scored.utilisation + prefill_share;
  return scored;
}

UpstreamScore ScorePlainUpstream(const Upstream& upstream,
                                 const UpstreamLoad& load,
                                 const Allowance& allowance) {
  const double slots = std::max(1, upstream.entry.slots);
  UpstreamScore scored;
  scored.utilisation = (load.requests + 1) / slots;
  scored.has_room = scored.utilisation <= allowance.plain_overcommit;
  scored.score = scored.utilisation;
  return scored;
}

using FailureRateTable = std::map<UpstreamId, double>;

double FailureRateOf(const FailureRateTable& failure_rates, const UpstreamId& id) {
  const auto found = failure_rates.find(id);
  return found == failure_rates.end() ? 0.0 : found->second;
}

double FailurePenalty(double excess_failure_rate) noexcept {
  return excess_failure_rate <= 0
             ? 0.0
             : std::min(kBackoffPenalty,
                        kFailureRateWeight * excess_failure_rate / (1 - excess_failure_rate));
}

double MeanFailureRate(const State& state,
                       const std::string& service,
                       const FailureRateTable& failure_rates) {
  double sum = 0;
  int count = 0;
  for (const auto& [id, upstream] : state.upstreams) {
    if (upstream.entry.service == service) {
      sum += FailureRateOf(failure_rates, id);
      ++count;
    }
  }
  return count > 0 ? sum / count : 0;
}

/// Tells whether a request could be cut off by a planned stop as its upstream is slower than those
/// that this host has used recently, by which the request was admitted.
bool IsSpeedUnknownInStop(const State& state,
                          const Request& request,
                          const Upstream& upstream,
                          TimePoint now) {
  const bool is_used =
      upstream.last_response_at && now - *upstream.last_response_at < kKnownSpeedTtl;
  return state.is_stopping && !is_used &&
         request.deadline > state.stopping_since + state.stop_grace;
}

/// Chooses among the upstreams of a contended service that have room.
void ChooseAmong(const State& state,
                 const Request& request,
                 const std::vector<Candidate>& candidates,
                 const Demand& others,
                 TimePoint now,
                 Placement& placement) {
  const std::chrono::microseconds interval = TableInterval(state);
  const double others_requests = ExpectedRequests(others, interval);
  // A request that an upstream has failed doesn't wait again. Requests to plain upstreams are short
  // and wait there if hosts send too many; turns would leave slots unused that have just been
  // freed.
  const bool has_engines = FindService(state, request.service)->engine.has_value();
  if (has_engines && request.runs == 0 && !request.is_started) {
    const Turn turn = NextTurn(candidates, request.head.id, others_requests, interval, now);
    if (!turn.is_now) {
      placement.is_turn_of_others = true;
      placement.available_from = std::min(placement.available_from, turn.next);
      return;
    }
  }
  const Candidate* chosen = ChooseCandidate(candidates, request.head.id, others_requests);
  placement.result = PlacementResult::kPlaced;
  placement.upstream = chosen->id;
  placement.utilisation = chosen->utilisation;
  placement.failure_rate = chosen->failure_rate;
  placement.available_from = now;
}

/// Common part of PlaceRequest() and PlaceMigration(); `source` is the engine to migrate from, or
/// nullptr for a request.
Placement ChooseUpstream(const State& state,
                         const Request& request,
                         const Upstream* source,
                         TimePoint now) {
  const Service* service = FindService(state, request.service);
  if (service == nullptr) {
    return {};
  }
  const Contention* contention = source == nullptr ? ContentionOf(state, request.service) : nullptr;
  Demand own_demand;
  Demand others_demand;
  if (contention != nullptr) {
    own_demand = OwnDemand(state, request.service, now);
    others_demand = OthersDemand(state, request.service, own_demand, now);
  }
  Allowance allowance =
      AllowanceOf(state, contention, SumOf(own_demand, others_demand), request, now);
  if (source != nullptr) {
    allowance.memory = kMaxMigrationMemoryUtilisation;
  }
  std::vector<Candidate> candidates;
  const LoadTable total = contention != nullptr ? ExpectedLoad(state, now) : TotalLoad(state, now);
  const FailureRateTable failures = FailureRates(state, now);
  const double mean_failure_rate = MeanFailureRate(state, request.service, failures);
  const std::string& home_zone = source != nullptr ? source->entry.zone : state.options.zone;
  const double zone_penalty = HasCells(state) ? kCrossZonePenaltyWithCells : kCrossZonePenalty;
  Placement best;
  std::vector<KeptBack> kept_back;
  bool is_any_full = false;
  double best_score = std::numeric_limits<double>::max();
  for (const auto& [id, upstream] : state.upstreams) {
    if (upstream.entry.service != request.service || request.excluded.count(id) > 0 ||
        &upstream == source) {
      continue;
    }
    if (!IsServing(state, upstream)) {
      if (upstream.said_leaving_at) {
        kept_back.push_back({id, backpressure::SignalKind::kLeaving});
      }
      continue;
    }
    if (source == nullptr && IsSpeedUnknownInStop(state, request, upstream, now)) {
      is_any_full = true;
      continue;
    }
    const auto found = total.find(id);
    const UpstreamLoad load = found == total.end() ? UpstreamLoad{} : found->second;
    UpstreamScore scored = service->engine ? ScoreEngine(*service->engine, request, load, allowance)
                                           : ScorePlainUpstream(upstream, load, allowance);
    if (best.result == PlacementResult::kNoUpstream) {
      best.result = PlacementResult::kNoRoom;
    }
    if (!scored.has_room || IsColdLimitReached(state, upstream, now)) {
      is_any_full = true;
      continue;
    }
    const TimePoint available_from = AvailableFrom(state, upstream, now);
    if (available_from > now &&
        (source == nullptr || backpressure::IsPaused(upstream.pause, now))) {
      best.available_from = std::min(best.available_from, available_from);
      kept_back.push_back({id, backpressure::NextStart(upstream.pause, now) > now
                                   ? backpressure::SignalKind::kPause
                                   : backpressure::SignalKind::kLimit});
      continue;
    }
    const double jitter = source != nullptr
                              ? kMigrationJitter
                              : std::min(kMaxJitter, kJitter + kJitterPerHost * CellHosts(state));
    double score = scored.score + jitter * UnitRendezvousWeight(request.head.id, id);
    if (upstream.entry.zone != home_zone) {
      score += source != nullptr ? kMigrationCrossZonePenalty : zone_penalty;
    }
    if (!IsZoneLoadKnown(state, upstream.entry.zone, now)) {
      score += kUnknownLoadPenalty;
    }
    if (available_from > now) {
      score += kUnavailablePenalty;
    }
    if (now < upstream.avoid_until) {
      score += kBackoffPenalty;
    }
    if (upstream.phase == UpstreamPhase::kMissing || IsSuspectedDown(state, upstream, now)) {
      score += kSuspectedDownPenalty;
    }
    const double failure_penalty = FailurePenalty(FailureRateOf(failures, id) - mean_failure_rate);
    score += failure_penalty;
    if (source == nullptr && !request.head.shared_prefix.empty()) {
      score -= kAffinityBonus * UnitRendezvousWeight(request.head.shared_prefix, id);
    }
    if (contention != nullptr) {
      const bool is_last_resort =
          now < upstream.avoid_until || upstream.phase == UpstreamPhase::kMissing ||
          IsSuspectedDown(state, upstream, now) || failure_penalty >= kLastResortFailurePenalty ||
          !IsZoneLoadKnown(state, upstream.entry.zone, now);
      candidates.push_back({id, score, scored.utilisation, FailureRateOf(failures, id),
                            is_last_resort                     ? CandidateClass::kLastResort
                            : upstream.entry.zone == home_zone ? CandidateClass::kOwnZone
                                                               : CandidateClass::kOtherZone,
                            RoomOf(*service, upstream, request, load, allowance)});
      continue;
    }
    if (score < best_score) {
      best_score = score;
      best = {PlacementResult::kPlaced,    id,  scored.utilisation,
              FailureRateOf(failures, id), now, {}};
    }
  }
  if (!candidates.empty()) {
    ChooseAmong(state, request, candidates, others_demand, now, best);
    is_any_full = true;
  }
  if (best.result == PlacementResult::kNoRoom && !is_any_full) {
    best.result = PlacementResult::kDeferred;
  }
  best.kept_back = std::move(kept_back);
  return best;
}

/// Returns whether this host started at least `max_starts` requests at a cold upstream within the
/// window.
bool HasReachedColdStarts(const Upstream& upstream, double max_starts, TimePoint now) {
  const auto recent = std::count_if(upstream.cold_starts.begin(), upstream.cold_starts.end(),
                                    [now](TimePoint start) { return now - start < kColdWindow; });
  return static_cast<double>(recent) >= max_starts;
}

}  // namespace
}  // namespace internal

bool IsServing(const State& state, const Upstream& upstream) noexcept {
  return upstream.phase != UpstreamPhase::kLeaving &&
         state.evacuated_zones.count(upstream.entry.zone) == 0;
}

bool IsSuspectedDown(const State& state, const Upstream& upstream, TimePoint now) {
  const auto is_latest_observation = [&upstream](const std::optional<TimePoint>& failed) {
    return failed && (!upstream.last_response_at || *upstream.last_response_at <= *failed);
  };
  const auto own = std::max(upstream.connect_failed_at, upstream.connection_broken_at);
  if (is_latest_observation(own) && now - *own < internal::kSuspicionTtl) {
    return true;
  }
  return (is_latest_observation(own) || is_latest_observation(upstream.peer_connect_failed_at)) &&
         !IsUpstreamListFresh(state, now);
}

bool IsColdLimitReached(const State& state, const Upstream& upstream, TimePoint now) {
  if (now >= upstream.cold_until) {
    return false;
  }
  const Service* service = internal::FindService(state, upstream.entry.service);
  if (service == nullptr || service->cold_requests_per_second <= 0) {
    return false;
  }
  // With cells, only hosts of the upstream's own zone send to it while it is cold, since they
  // receive one another's load.
  if (HasCells(state) && upstream.entry.zone != state.options.zone) {
    return true;
  }
  const double cell_limit = service->cold_requests_per_second / std::max(1, state.cells_in_zone);
  const double host_limit = std::floor(cell_limit / std::max(1, CellHosts(state)));
  if (host_limit < 1) {
    // More hosts than allowed requests per second: the first-ranked hosts send one request each.
    return internal::CountHostsRankedBefore(state, upstream.entry.id, now) >=
               static_cast<int>(cell_limit) ||
           internal::HasReachedColdStarts(upstream, 1, now);
  }
  return internal::HasReachedColdStarts(upstream, host_limit, now);
}

void RecordColdStart(Upstream& upstream, TimePoint now) {
  if (now >= upstream.cold_until) {
    upstream.cold_starts.clear();
    return;
  }
  while (!upstream.cold_starts.empty() &&
         now - upstream.cold_starts.front() >= internal::kColdWindow) {
    upstream.cold_starts.pop_front();
  }
  upstream.cold_starts.push_back(now);
}

Placement PlaceRequest(const State& state, const Request& request, TimePoint now) {
  return internal::ChooseUpstream(state, request, nullptr, now);
}

Placement PlaceMigration(const State& state,
                         const Request& request,
                         const Upstream& source,
                         TimePoint now) {
  return internal::ChooseUpstream(state, request, &source, now);
}

}  // namespace snipeturn::entry
