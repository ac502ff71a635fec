#include "snipeturn/entry/demand.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "snipeturn/entry/load.h"
#include "snipeturn/entry/state.h"

namespace snipeturn::entry {
namespace internal {
namespace {

using Seconds = std::chrono::duration<double>;

/// Averaging time of rates. A host of a large deployment sends a few requests a second, and a burst
/// lasts for several seconds.
constexpr Seconds kRateTime{1};
/// Urgent demand is forgotten when no urgent request has arrived for this long.
constexpr std::chrono::seconds kUrgentTtl{10};
/// Demand in older tables doesn't count; their load expires after the same time.
constexpr std::chrono::milliseconds kDemandTtl{3200};

double Decayed(const DecayingSum& sum, TimePoint now) {
  return sum.value * std::exp(-Seconds(now - sum.at) / kRateTime);
}

void Add(DecayingSum& sum, double amount, TimePoint now) {
  sum = {Decayed(sum, now) + amount, now};
}

double RatePerSecond(const DecayingSum& sum, TimePoint now) {
  return Decayed(sum, now) / kRateTime.count();
}

bool IsUrgent(const Contention& contention, const Request& request) noexcept {
  return contention.has_classes && !IsLessUrgent(contention, request);
}

void AddDemand(Demand& sum, const Demand& demand, double factor) noexcept {
  sum.queued += factor * demand.queued;
  sum.sends_per_second += factor * demand.sends_per_second;
  sum.urgent_tokens_per_second += factor * demand.urgent_tokens_per_second;
  sum.urgent_tokens += factor * demand.urgent_tokens;
}

Demand RecordedDemand(const State& state, const std::string& service, TimePoint now) {
  Demand demand;
  const auto found = state.demand.find(service);
  if (found != state.demand.end()) {
    const ServiceDemand& recorded = found->second;
    demand.sends_per_second = RatePerSecond(recorded.sends, now);
    if (recorded.urgent_at && now - *recorded.urgent_at < kUrgentTtl) {
      demand.urgent_tokens_per_second = RatePerSecond(recorded.urgent_tokens, now);
    }
  }
  return demand;
}

void AddOpenRequest(Demand& demand, const Contention& contention, const Request& request) {
  demand.queued += request.phase == RequestPhase::kQueued ? 1 : 0;
  if (IsUrgent(contention, request)) {
    demand.urgent_tokens += static_cast<double>(ExpectedMemoryTokens(request));
  }
}

}  // namespace
}  // namespace internal

void RecordArrival(State& state, const Request& request, TimePoint now) {
  const Contention* contention = ContentionOf(state, request.service);
  if (contention == nullptr || !internal::IsUrgent(*contention, request)) {
    return;
  }
  ServiceDemand& demand = state.demand[request.service];
  internal::Add(demand.urgent_tokens, static_cast<double>(ExpectedMemoryTokens(request)), now);
  demand.urgent_at = now;
}

void RecordSend(State& state, const Request& request, TimePoint now) {
  if (IsContended(state, request.service)) {
    internal::Add(state.demand[request.service].sends, 1, now);
  }
}

DemandTable LocalDemand(const State& state, TimePoint now) {
  DemandTable table;
  for (const auto& [service, contention] : state.contention) {
    if (IsContended(state, service)) {
      table[service] = internal::RecordedDemand(state, service, now);
    }
  }
  if (table.empty()) {
    return table;
  }
  for (const auto& [key, request] : state.requests) {
    const auto found = table.find(request.service);
    if (found != table.end()) {
      internal::AddOpenRequest(found->second, state.contention.at(request.service), request);
    }
  }
  return table;
}

Demand OwnDemand(const State& state, const std::string& service, TimePoint now) {
  Demand demand = internal::RecordedDemand(state, service, now);
  const Contention* contention = ContentionOf(state, service);
  if (contention == nullptr) {
    return demand;
  }
  for (const auto& [key, request] : state.requests) {
    if (request.service == service) {
      internal::AddOpenRequest(demand, *contention, request);
    }
  }
  return demand;
}

Demand OthersDemand(const State& state,
                    const std::string& service,
                    const Demand& own,
                    TimePoint now) {
  Demand others;
  int known = 0;
  for (const auto& [host, peer] : state.peers) {
    const auto found = peer.demand.find(service);
    if (found != peer.demand.end() && now - peer.at <= internal::kDemandTtl) {
      internal::AddDemand(others, found->second, 1);
      ++known;
    }
  }
  const int unknown = std::max(0, state.hosts - 1 - known);
  if (unknown > 0) {
    Demand mean = others;
    internal::AddDemand(mean, own, 1);
    internal::AddDemand(others, mean, static_cast<double>(unknown) / (known + 1));
  }
  return others;
}

}  // namespace snipeturn::entry
