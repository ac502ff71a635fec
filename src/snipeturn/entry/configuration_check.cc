#include "snipeturn/entry/configuration_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "snipeturn/entry/routing.h"

namespace snipeturn::entry {
namespace internal {
namespace {

using Findings = std::vector<ConfigurationFinding>;

/// Tells whether a prefix can begin the path of a request, which begins with a slash and is
/// compared without its query.
bool CanBeginPath(std::string_view prefix) noexcept {
  return prefix.empty() || (prefix.front() == '/' && prefix.find('?') == std::string_view::npos);
}

/// Index of the first route of each host and path prefix.
using FirstRoutes = std::map<std::pair<std::string, std::string>, std::size_t>;

FirstRoutes FindFirstRoutes(const DesiredState& desired) {
  FirstRoutes first;
  for (std::size_t index = 0; index < desired.routes.size(); ++index) {
    first.emplace(std::pair(desired.routes[index].host, desired.routes[index].path_prefix), index);
  }
  return first;
}

void CheckMatch(const DesiredState& desired,
                std::size_t index,
                const FirstRoutes& first_routes,
                Findings& findings) {
  const Route& route = desired.routes[index];
  const std::string path = RoutePath(desired, index);
  const std::size_t first = first_routes.at({route.host, route.path_prefix});
  if (first != index) {
    findings.push_back({path, fmt::format("never matches: {} has the same host and path prefix",
                                          RoutePath(desired, first))});
    return;
  }
  const auto root = first_routes.find({route.host, "/"});
  if (route.path_prefix.empty() && root != first_routes.end()) {
    findings.push_back({path, fmt::format("never matches: each path begins with the longer prefix "
                                          "of {}",
                                          RoutePath(desired, root->second))});
    return;
  }
  if (!CanBeginPath(route.path_prefix)) {
    findings.push_back(
        {path, "never matches: a path begins with a slash and is compared without its query"});
  } else if (route.path_prefix.empty() || route.path_prefix.back() != '/') {
    findings.push_back({path,
                        "path_prefix doesn't end with a slash, so that it also matches "
                        "longer names"});
  }
  if (route.host.find(':') != std::string::npos) {
    findings.push_back({path, "never matches: requests are compared by host name without a port"});
  }
}

void CheckTimes(const Route& route, const std::string& path, Findings& findings) {
  if (route.timeout <= std::chrono::milliseconds{0}) {
    findings.push_back({path, "timeout_ms is 0: each request ends with 504 at once"});
  } else if (route.latency_objective > route.timeout) {
    findings.push_back(
        {path, fmt::format("latency_target_ms ({}) exceeds timeout_ms ({}): no response can use it",
                           route.latency_objective.count(), route.timeout.count())});
  }
  if (route.latency_objective <= std::chrono::milliseconds{0}) {
    findings.push_back({path, "latency_target_ms is 0: no response is in time"});
  }
}

void CheckRoute(const DesiredState& desired, std::size_t index, Findings& findings) {
  const Route& route = desired.routes[index];
  const std::string path = RoutePath(desired, index);
  CheckTimes(route, path, findings);
  if (route.max_upstreams < 1) {
    findings.push_back({path, fmt::format("max_attempts is {}: counts as 1", route.max_upstreams)});
  }
  if (route.is_resumable && route.kind != RouteKind::kStream) {
    findings.push_back({path, "resumable has no effect: the route has no streams"});
  }
  if (route.services.empty()) {
    findings.push_back({path, "has no service: each request is refused with 503"});
  }
  std::set<std::string> known;
  for (const ServiceShare& share : route.services) {
    if (!known.insert(share.service).second) {
      findings.push_back({path, fmt::format("names service {} twice", share.service)});
    } else if (desired.services.count(share.service) == 0) {
      findings.push_back(
          {path, fmt::format("service {} isn't under services: its cold start and its engines' "
                             "limits are unknown",
                             share.service)});
    }
  }
}

void CheckServices(const DesiredState& desired, Findings& findings) {
  std::set<std::string> used;
  std::set<std::string> with_streams;
  for (const Route& route : desired.routes) {
    for (const ServiceShare& share : route.services) {
      used.insert(share.service);
      if (route.kind == RouteKind::kStream) {
        with_streams.insert(share.service);
      }
    }
  }
  for (const auto& [name, service] : desired.services) {
    const std::string path = "services: " + name;
    if (used.count(name) == 0) {
      findings.push_back({path, "no route leads to it"});
    }
    if (service.cold_time > std::chrono::milliseconds{0} && service.cold_requests_per_second <= 0) {
      findings.push_back({path, "cold_s has no effect, as cold_per_s is 0"});
    }
    if (service.cold_time <= std::chrono::milliseconds{0} && service.cold_requests_per_second > 0) {
      findings.push_back({path, "cold_per_s has no effect, as cold_s is 0"});
    }
    if (!service.engine) {
      continue;
    }
    if (service.engine->slots < 1 || service.engine->memory_tokens == 0) {
      findings.push_back({path, "engine: slots or kv_cache_tokens is 0"});
    }
    if (service.engine->tokens_per_event < 1) {
      findings.push_back({path, "engine: stride is below 1, and counts as 1"});
    }
    if (used.count(name) > 0 && with_streams.count(name) == 0) {
      findings.push_back({path, "engine: no route with streams leads to it"});
    }
  }
}

void CheckCallerLimits(const CallerLimits& limits, Findings& findings) {
  if (limits.header_timeout <= std::chrono::milliseconds{0}) {
    findings.push_back({"limits", "header_timeout_ms is 0: no request is read in time"});
  }
  if (limits.idle_timeout <= std::chrono::milliseconds{0}) {
    findings.push_back({"limits", "idle_timeout_ms is 0: no connection serves a second request"});
  }
}

void CheckOrganisations(const DesiredState& desired, Findings& findings) {
  const auto needs_key = [](const Route& route) { return !route.is_public; };
  const bool has_private = std::any_of(desired.routes.begin(), desired.routes.end(), needs_key);
  if (!desired.has_organisations) {
    if (has_private) {
      findings.push_back({"tenants", "missing: requests of all routes are served without a key"});
    }
    return;
  }
  if (has_private && desired.organisation_by_key.empty()) {
    findings.push_back({"tenants", "no key: only public routes are served, others with 401"});
  }
  if (!has_private && !desired.organisation_by_key.empty()) {
    findings.push_back({"tenants", "no route asks for a key: all are public"});
  }
  if (desired.organisation_by_key.count("") > 0) {
    findings.push_back({"tenants", "a key is empty"});
  }
}

}  // namespace
}  // namespace internal

std::string RoutePath(const DesiredState& desired, std::size_t index) {
  return fmt::format("routes[{}] ({})", index, desired.routes[index].name);
}

std::vector<ConfigurationFinding> CheckConfiguration(const DesiredState& desired) {
  std::vector<ConfigurationFinding> findings;
  const internal::FirstRoutes first_routes = internal::FindFirstRoutes(desired);
  for (std::size_t index = 0; index < desired.routes.size(); ++index) {
    internal::CheckMatch(desired, index, first_routes, findings);
    internal::CheckRoute(desired, index, findings);
  }
  internal::CheckServices(desired, findings);
  internal::CheckCallerLimits(desired.caller_limits, findings);
  internal::CheckOrganisations(desired, findings);
  return findings;
}

}  // namespace snipeturn::entry
