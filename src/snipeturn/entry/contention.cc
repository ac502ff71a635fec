#include "snipeturn/entry/contention.h"

#include <algorithm>
#include <vector>

#include "snipeturn/entry/state.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// A less urgent request can wait for more urgent ones if it has this many times their objective.
constexpr int kMinObjectiveRatio = 2;

/// Tells whether requests of a route have time to wait for those of another one.
bool CanWaitFor(const Route& route, const Route& urgent) noexcept {
  return route.priority > urgent.priority && urgent.latency_objective.count() > 0 &&
         route.latency_objective >= kMinObjectiveRatio * urgent.latency_objective;
}

Contention CompareRoutes(const std::vector<const Route*>& routes) {
  Contention contention;
  for (const Route* route : routes) {
    const bool has_waiting_route =
        std::any_of(routes.begin(), routes.end(),
                    [route](const Route* other) { return CanWaitFor(*other, *route); });
    if (has_waiting_route &&
        (!contention.has_classes || route->latency_objective < contention.urgent_objective)) {
      contention = {true, route->latency_objective, route->priority};
    }
  }
  if (contention.has_classes) {
    return contention;
  }
  for (const Route* route : routes) {
    const auto objective = route->latency_objective;
    if (objective.count() > 0 &&
        (contention.urgent_objective.count() == 0 || objective < contention.urgent_objective)) {
      contention.urgent_objective = objective;
    }
  }
  return contention;
}

}  // namespace
}  // namespace internal

ContentionTable FindContention(const DesiredState& desired) {
  std::map<std::string, std::vector<const Route*>> routes_by_service;
  for (const Route& route : desired.routes) {
    for (const ServiceShare& share : route.services) {
      if (share.weight > 0) {
        routes_by_service[share.service].push_back(&route);
      }
    }
  }
  ContentionTable table;
  for (const auto& [service, routes] : routes_by_service) {
    table[service] = internal::CompareRoutes(routes);
  }
  return table;
}

const Contention* ContentionOf(const State& state, const std::string& service) {
  const auto found = state.contention.find(service);
  if (found == state.contention.end() || found->second.urgent_objective.count() <= 0) {
    return nullptr;
  }
  const bool is_contended =
      found->second.has_classes || state.services_with_work_time.count(service) > 0;
  return is_contended ? &found->second : nullptr;
}

bool IsContended(const State& state, const std::string& service) {
  return ContentionOf(state, service) != nullptr;
}

bool IsLessUrgent(const Contention& contention, const Request& request) noexcept {
  return request.priority > contention.urgent_priority &&
         request.latency_objective >= internal::kMinObjectiveRatio * contention.urgent_objective;
}

}  // namespace snipeturn::entry
