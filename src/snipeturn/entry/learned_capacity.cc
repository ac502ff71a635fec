#include "snipeturn/entry/learned_capacity.h"

#include <fmt/format.h>

#include <cmath>
#include <utility>

#include "snipeturn/base/hash.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/load.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// Evidence of other hosts is summed up at this interval: with 80 hosts and 44 upstreams the sums
/// take about 0.5 ms.
constexpr std::chrono::milliseconds kReviewInterval{200};
/// A statement of an upstream belongs to an observation if it isn't older.
constexpr std::chrono::seconds kStatementAge{1};
/// Shortest time and smallest number of events over which the pace of a stream is observed. A host
/// that reads late gets several events at once.
constexpr std::chrono::milliseconds kPaceTime{250};
constexpr std::uint64_t kPaceEvents = 4;
/// Changes of a speed by a smaller factor aren't logged, and changes of one upstream not more
/// often.
constexpr double kLoggedChange = 1.5;
constexpr std::chrono::seconds kLogInterval{2};
/// Evidence below this weight isn't logged.
constexpr double kLoggedEvidence = 2;

/// Engines have the slots of their service's limits.
int SlotsOf(const State& state, const Upstream& upstream) {
  if (state.desired) {
    const auto service = state.desired->services.find(upstream.entry.service);
    if (service != state.desired->services.end() && service->second.engine) {
      return service->second.engine->slots;
    }
  }
  return upstream.entry.slots;
}

void LogChange(EventScope& scope, Upstream& upstream) {
  const double weight = capacity::EvidenceWeight(upstream.capacity, scope.now);
  const double speed = capacity::Speed(upstream.capacity, scope.now);
  const double change = std::abs(std::log(speed / upstream.logged_speed));
  if (weight < kLoggedEvidence || change < std::log(kLoggedChange) ||
      scope.now - upstream.speed_logged_at < kLogInterval) {
    return;
  }
  Log(scope, log_events::kUpstreamSpeed,
      fmt::format("upstream={} service={} speed={:.2f} before={:.2f} evidence={:.1f} trust={:.2f} "
                  "limit={}",
                  upstream.entry.id, upstream.entry.service, speed, upstream.logged_speed, weight,
                  capacity::StatementTrust(upstream.capacity),
                  capacity::Limit(upstream.capacity, scope.now).value_or(-1)));
  upstream.logged_speed = speed;
  upstream.speed_logged_at = scope.now;
}

/// Key of the baseline of a kind of observation.
std::string BaselineKey(const Request& request, capacity::Kind kind) {
  switch (kind) {
    case capacity::Kind::kFirstEvent:
      return request.service + "/first";
    case capacity::Kind::kPace:
      return request.service + "/pace";
    case capacity::Kind::kCall:
      break;
  }
  return request.service + "/call" + request.route;
}

/// Makes the observation that an attempt shows of its upstream after a time.
capacity::Observation MakeObservation(const State& state,
                                      const Request& request,
                                      const Attempt& attempt,
                                      const Upstream& upstream,
                                      capacity::Kind kind,
                                      std::chrono::microseconds time) {
  capacity::Observation observation;
  observation.kind = kind;
  observation.upstream = Hash(upstream.entry.id);
  observation.time = time;
  observation.prompt_tokens = request.head.prompt_tokens;
  observation.pending_prompt_tokens = attempt.pending_tokens_at_send;
  observation.requests = attempt.requests_at_send + 1;
  observation.slots = SlotsOf(state, upstream);
  return observation;
}

/// Tells whether the time to the first event shows the speed of the upstream; a continued stream
/// processes its earlier output too.
bool ShowsFirstEvent(const Request& request, const Attempt& attempt) {
  return attempt.is_reading_prompt && !attempt.is_resume && !request.is_started;
}

/// Looks at the requests that wait for their first event or response.
void ReviewOpenRequests(EventScope& scope) {
  State& state = scope.state;
  for (auto& [id, upstream] : state.upstreams) {
    capacity::ClearOverdue(upstream.capacity, scope.now);
  }
  for (const auto& [key, request] : state.requests) {
    if (!IsCapacityLearned(state, request.service)) {
      continue;
    }
    const bool is_stream = request.kind == RouteKind::kStream;
    const auto kind = is_stream ? capacity::Kind::kFirstEvent : capacity::Kind::kCall;
    const auto baseline = state.capacity.baselines.find(BaselineKey(request, kind));
    for (const Attempt& attempt : request.attempts) {
      const auto upstream = state.upstreams.find(attempt.upstream);
      if (baseline != state.capacity.baselines.end() && upstream != state.upstreams.end() &&
          attempt.sent_at >= upstream->second.known_since &&
          (!is_stream || ShowsFirstEvent(request, attempt))) {
        capacity::ObserveOverdue(upstream->second.capacity, baseline->second,
                                 MakeObservation(state, request, attempt, upstream->second, kind,
                                                 scope.now - attempt.sent_at),
                                 scope.now);
      }
    }
  }
}

/// Sums up the evidence of all hosts on an upstream.
void ReviewUpstream(State& state, Upstream& upstream, TimePoint now) {
  capacity::HostEvidenceTable& reports = state.capacity.reports;
  capacity::Estimate& estimate = upstream.capacity;
  const UpstreamEntry& entry = upstream.entry;
  estimate.others = capacity::SumOfHosts(reports, entry.id, entry.start_time_ms, now);
  if (capacity::HasChanged(estimate, now)) {
    capacity::DropOutdated(estimate.own, now);
    capacity::DropOutdated(reports, entry.id, now);
    estimate.others = capacity::SumOfHosts(reports, entry.id, entry.start_time_ms, now);
  }
  estimate.cold_until = upstream.cold_until;
  estimate.slots = SlotsOf(state, upstream);
}

void ObserveUpstream(EventScope& scope,
                     const Request& request,
                     const Attempt& attempt,
                     capacity::Kind kind,
                     std::chrono::microseconds time) {
  const auto found = scope.state.upstreams.find(attempt.upstream);
  if (found == scope.state.upstreams.end() || attempt.sent_at < found->second.known_since ||
      !IsCapacityLearned(scope.state, request.service)) {
    return;
  }
  Upstream& upstream = found->second;
  capacity::Observation observation =
      MakeObservation(scope.state, request, attempt, upstream, kind, time);
  if (upstream.stated_load && scope.now - upstream.stated_load_at < kStatementAge) {
    observation.stated = upstream.stated_load;
  }
  capacity::Observe(upstream.capacity, scope.state.capacity.baselines[BaselineKey(request, kind)],
                    observation, scope.now);
  ReviewCapacity(scope);
}

}  // namespace

void RecordLoadAtSend(EventScope& scope, const Request& request, Attempt& attempt) {
  if (!IsCapacityLearned(scope.state, request.service)) {
    return;
  }
  const LoadTable total = TotalLoad(scope.state, scope.now);
  const auto load = total.find(attempt.upstream);
  if (load != total.end()) {
    attempt.requests_at_send = load->second.requests;
    attempt.pending_tokens_at_send = load->second.pending_prompt_tokens;
  }
}

void ObserveFirstEvent(EventScope& scope, const Request& request, const Attempt& attempt) {
  if (ShowsFirstEvent(request, attempt)) {
    ObserveUpstream(scope, request, attempt, capacity::Kind::kFirstEvent,
                    scope.now - attempt.sent_at);
  }
}

void ObservePace(EventScope& scope,
                 const Request& request,
                 Attempt& attempt,
                 std::uint64_t events) {
  if (!IsCapacityLearned(scope.state, request.service)) {
    return;
  }
  if (attempt.pace_events > 0 && events > attempt.pace_events) {
    const auto elapsed = scope.now - attempt.pace_since;
    const std::uint64_t count = events - attempt.pace_events;
    if (elapsed < kPaceTime || count < kPaceEvents) {
      return;
    }
    ObserveUpstream(scope, request, attempt, capacity::Kind::kPace,
                    elapsed / static_cast<std::int64_t>(count));
  }
  attempt.pace_since = scope.now;
  attempt.pace_events = events;
}

void ObserveCall(EventScope& scope, const Request& request, const Attempt& attempt) {
  ObserveUpstream(scope, request, attempt, capacity::Kind::kCall, scope.now - attempt.sent_at);
}

void ReviewCapacity(EventScope& scope) {
  State& state = scope.state;
  CapacityState& learned = state.capacity;
  const bool is_in_effect =
      state.options.learned_capacity.value_or(!state.services_with_work_time.empty());
  if (!is_in_effect ||
      (learned.reviewed_at && scope.now - *learned.reviewed_at < kReviewInterval)) {
    return;
  }
  learned.reviewed_at = scope.now;
  capacity::RemoveExpired(learned.reports, scope.now);
  ReviewOpenRequests(scope);
  std::map<std::string, std::vector<const capacity::Estimate*>> by_service;
  for (auto& [id, upstream] : state.upstreams) {
    if (IsCapacityLearned(state, upstream.entry.service)) {
      ReviewUpstream(state, upstream, scope.now);
      by_service[upstream.entry.service].push_back(&upstream.capacity);
    }
  }
  std::map<std::string, double> centres;
  for (const auto& [service, estimates] : by_service) {
    centres[service] = capacity::Centre(estimates, scope.now);
  }
  for (auto& [id, upstream] : state.upstreams) {
    const auto centre = centres.find(upstream.entry.service);
    if (centre != centres.end()) {
      upstream.capacity.centre = centre->second;
      LogChange(scope, upstream);
    }
  }
}

void AdoptStatedLoad(EventScope& scope, Upstream& upstream, const backpressure::StatedLoad& load) {
  State& state = scope.state;
  upstream.stated_load = load;
  upstream.stated_load_at = scope.now;
  if (!load.work_time) {
    return;
  }
  const bool is_new = state.services_with_work_time.insert(upstream.entry.service).second;
  if (!IsCapacityLearned(state, upstream.entry.service)) {
    return;
  }
  if (is_new) {
    Log(scope, log_events::kCapacityLearned,
        fmt::format("service={} upstream={}", upstream.entry.service, upstream.entry.id));
  }
  capacity::AdoptWorkTime(upstream.capacity, *load.work_time, scope.now);
}

void AdoptReportedCapacity(EventScope& scope,
                           const std::string& sender,
                           const std::vector<capacity::Row>& reported,
                           TimePoint table_at) {
  State& state = scope.state;
  std::vector<capacity::Row> rows;
  for (const capacity::Row& row : reported) {
    const auto upstream = state.upstreams.find(row.upstream);
    if (upstream != state.upstreams.end() &&
        upstream->second.entry.start_time_ms == row.start_time_ms &&
        IsCapacityLearned(state, upstream->second.entry.service)) {
      rows.push_back(row);
    }
  }
  if (!rows.empty()) {
    capacity::AdoptRows(state.capacity.reports, sender, rows, table_at, scope.now);
    ReviewCapacity(scope);
  }
}

}  // namespace internal

bool IsCapacityLearned(const State& state, const std::string& service) {
  return state.options.learned_capacity.value_or(state.services_with_work_time.count(service) > 0);
}

double LearnedSpeed(const State& state, const Upstream& upstream, TimePoint now) {
  return IsCapacityLearned(state, upstream.entry.service) ? capacity::Speed(upstream.capacity, now)
                                                          : 1.0;
}

std::optional<int> LearnedLimit(const State& state, const Upstream& upstream, TimePoint now) {
  return IsCapacityLearned(state, upstream.entry.service) ? capacity::Limit(upstream.capacity, now)
                                                          : std::nullopt;
}

bool ExploresCapacity(const State& state,
                      const Request& request,
                      const Upstream& upstream,
                      TimePoint now) {
  return IsCapacityLearned(state, upstream.entry.service) &&
         capacity::MayExplore(upstream.capacity, UnitRendezvousWeight(request.head.id, "explore"),
                              now);
}

std::vector<capacity::Row> ReportedCapacity(const State& state, TimePoint now, bool only_own) {
  std::vector<capacity::Row> rows;
  for (const auto& [id, upstream] : state.upstreams) {
    if (!IsCapacityLearned(state, upstream.entry.service)) {
      continue;
    }
    const std::int64_t start = upstream.entry.start_time_ms;
    capacity::Evidence evidence = capacity::ReportedEvidence(upstream.capacity, now);
    if (!only_own) {
      capacity::Add(evidence, capacity::SumOfHosts(state.capacity.reports, id, start, now, false));
    }
    if (capacity::IsNew(evidence, now)) {
      rows.push_back(capacity::MakeRow(id, start, evidence, now));
    }
  }
  capacity::KeepNewest(rows);
  return rows;
}

std::vector<UpstreamCapacity> LearnedCapacities(const State& state, TimePoint now) {
  std::vector<UpstreamCapacity> learned;
  for (const auto& [id, upstream] : state.upstreams) {
    if (IsCapacityLearned(state, upstream.entry.service)) {
      learned.push_back(
          {id, capacity::Speed(upstream.capacity, now),
           capacity::EvidenceWeight(upstream.capacity, now),
           capacity::StatementTrust(upstream.capacity), capacity::Limit(upstream.capacity, now),
           backpressure::CountOf(upstream.statements, backpressure::SignalKind::kLoad).kept_back});
    }
  }
  return learned;
}

}  // namespace snipeturn::entry
