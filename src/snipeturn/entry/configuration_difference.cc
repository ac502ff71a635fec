#include "snipeturn/entry/configuration_difference.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace snipeturn::entry {
namespace internal {
namespace {

using Changes = std::vector<ConfigurationChange>;
using RoutesByPrefix = std::map<std::pair<std::string, std::string>, const Route*>;

/// A smaller part of the requests comes from rounding.
constexpr double kMinShare = 1e-6;

/// Routes that can match: of several with the same host and prefix the first one.
RoutesByPrefix FindRoutes(const DesiredState& desired) {
  RoutesByPrefix routes;
  for (const Route& route : desired.routes) {
    routes.emplace(std::pair(route.host, route.path_prefix), &route);
  }
  return routes;
}

std::string Subject(const Route& route) {
  return fmt::format("route {}{}", route.host, route.path_prefix);
}

std::map<std::string, double> ServiceShares(const Route& route) {
  double total = 0;
  for (const ServiceShare& share : route.services) {
    total += share.weight;
  }
  std::map<std::string, double> shares;
  for (const ServiceShare& share : route.services) {
    shares[share.service] += share.weight / total;
  }
  return shares;
}

std::string DescribeServices(const std::map<std::string, double>& shares) {
  std::string text;
  for (const auto& [service, share] : shares) {
    text += fmt::format("{}{} {:.4g}%", text.empty() ? "" : ", ", service, share * 100);
  }
  return text.empty() ? "none" : text;
}

/// Part of the requests that go to another service than before. ChooseService() maps the hash of a
/// request to the services in their order, each with the part of the range that is its weight.
double MovedShare(const Route& before, const Route& after) {
  const auto total = [](const Route& route) {
    double sum = 0;
    for (const ServiceShare& share : route.services) {
      sum += share.weight;
    }
    return sum;
  };
  const double total_before = total(before);
  const double total_after = total(after);
  double moved = 0;
  double at = 0;
  double end_before = 0;
  double end_after = 0;
  auto share_before = before.services.begin();
  auto share_after = after.services.begin();
  while (share_before != before.services.end() && share_after != after.services.end()) {
    const double next_before = end_before + share_before->weight / total_before;
    const double next_after = end_after + share_after->weight / total_after;
    const double next = std::min(next_before, next_after);
    moved += share_before->service == share_after->service ? 0 : next - at;
    at = next;
    if (next_before <= next) {
      end_before = next_before;
      ++share_before;
    }
    if (next_after <= next) {
      end_after = next_after;
      ++share_after;
    }
  }
  return before.services.empty() == after.services.empty() ? moved : 1;
}

/// Collects the changed fields of an entry.
class Fields {
 public:
  template <typename Value>
  void Compare(std::string_view name, const Value& before, const Value& after) {
    if (!(before == after)) {
      Add(fmt::format("{} {} -> {}", name, before, after));
    }
  }

  void Compare(std::string_view name,
               std::chrono::milliseconds before,
               std::chrono::milliseconds after) {
    Compare(name, before.count(), after.count());
  }

  void Add(std::string_view text) { text_ += (text_.empty() ? "" : "; ") + std::string(text); }

  [[nodiscard]] const std::string& text() const noexcept { return text_; }

 private:
  std::string text_;
};

std::string_view KindName(RouteKind kind) noexcept {
  switch (kind) {
    case RouteKind::kIdempotent:
      return "safe";
    case RouteKind::kNonIdempotent:
      return "unsafe";
    case RouteKind::kStream:
      return "stream";
  }
  return "";
}

std::string DescribeRouteChange(const Route& before, const Route& after) {
  Fields fields;
  const double moved = MovedShare(before, after);
  if (moved > kMinShare) {
    fields.Add(fmt::format("{:.4g}% of its requests change service: {} -> {}", moved * 100,
                           DescribeServices(ServiceShares(before)),
                           DescribeServices(ServiceShares(after))));
  }
  fields.Compare("name", before.name, after.name);
  fields.Compare("kind", KindName(before.kind), KindName(after.kind));
  fields.Compare("timeout_ms", before.timeout, after.timeout);
  fields.Compare("latency_target_ms", before.latency_objective, after.latency_objective);
  fields.Compare("priority", before.priority, after.priority);
  fields.Compare("max_attempts", before.max_upstreams, after.max_upstreams);
  if (before.is_public != after.is_public) {
    fields.Add(after.is_public ? "callers without a key are served" : "callers need a key");
  }
  if (before.is_resumable != after.is_resumable) {
    fields.Add(after.is_resumable ? "its streams are continued after losses"
                                  : "its streams are no longer continued after losses");
  }
  return fields.text();
}

/// Finds the route of a path as FindRoute() does, but without a look at all routes.
const Route* FindLongest(const RoutesByPrefix& routes,
                         const std::string& host,
                         std::string_view path) {
  path = path.substr(0, path.find('?'));
  for (std::size_t size = path.size() + 1; size > 0; --size) {
    const auto found = routes.find({host, std::string(path.substr(0, size - 1))});
    if (found != routes.end()) {
      return found->second;
    }
  }
  return nullptr;
}

/// Tells what happens to requests of a route that is only in the other version.
std::string DescribeOtherRoute(const RoutesByPrefix& other, const Route& route) {
  const Route* found = FindLongest(other, route.host, route.path_prefix);
  return found == nullptr ? "404" : Subject(*found);
}

void CompareRoutes(const DesiredState& before, const DesiredState& after, Changes& changes) {
  const RoutesByPrefix routes_before = FindRoutes(before);
  const RoutesByPrefix routes_after = FindRoutes(after);
  for (const auto& [key, route] : routes_after) {
    const auto known = routes_before.find(key);
    if (known == routes_before.end()) {
      changes.push_back(
          {ChangeKind::kAdded, Subject(*route),
           fmt::format("requests go to {}; until now {}", DescribeServices(ServiceShares(*route)),
                       DescribeOtherRoute(routes_before, *route))});
    } else if (std::string text = DescribeRouteChange(*known->second, *route); !text.empty()) {
      changes.push_back({ChangeKind::kChanged, Subject(*route), std::move(text)});
    }
  }
  for (const auto& [key, route] : routes_before) {
    if (routes_after.count(key) == 0) {
      changes.push_back(
          {ChangeKind::kRemoved, Subject(*route),
           fmt::format("its requests get: {}", DescribeOtherRoute(routes_after, *route))});
    }
  }
}

std::string DescribeServiceChange(const Service& before, const Service& after) {
  Fields fields;
  fields.Compare("cold time (ms)", before.cold_time, after.cold_time);
  fields.Compare("cold_per_s", before.cold_requests_per_second, after.cold_requests_per_second);
  if (before.engine.has_value() != after.engine.has_value()) {
    fields.Add(after.engine ? "is a model engine" : "is no longer a model engine");
  } else if (before.engine) {
    fields.Compare("engine.slots", before.engine->slots, after.engine->slots);
    fields.Compare("engine.kv_cache_tokens", before.engine->memory_tokens,
                   after.engine->memory_tokens);
    fields.Compare("engine.moves", before.engine->supports_migration,
                   after.engine->supports_migration);
    fields.Compare("engine.stride", before.engine->tokens_per_event,
                   after.engine->tokens_per_event);
  }
  return fields.text();
}

void CompareServices(const DesiredState& before, const DesiredState& after, Changes& changes) {
  for (const auto& [name, service] : after.services) {
    const auto known = before.services.find(name);
    if (known == before.services.end()) {
      changes.push_back({ChangeKind::kAdded, "service " + name, ""});
    } else if (std::string text = DescribeServiceChange(known->second, service); !text.empty()) {
      changes.push_back({ChangeKind::kChanged, "service " + name, std::move(text)});
    }
  }
  for (const auto& [name, service] : before.services) {
    if (after.services.count(name) == 0) {
      changes.push_back({ChangeKind::kRemoved, "service " + name, ""});
    }
  }
}

struct OrganisationKeys {
  std::optional<int> priority;
  std::set<std::string_view> keys;
};

std::map<std::string, OrganisationKeys> FindOrganisations(const DesiredState& desired) {
  std::map<std::string, OrganisationKeys> organisations;
  for (const auto& [key, organisation] : desired.organisation_by_key) {
    OrganisationKeys& known = organisations[organisation.name];
    known.priority = organisation.priority;
    known.keys.insert(key);
  }
  return organisations;
}

std::size_t CountMissing(const std::set<std::string_view>& keys,
                         const std::set<std::string_view>& others) {
  return static_cast<std::size_t>(std::count_if(
      keys.begin(), keys.end(), [&](std::string_view key) { return others.count(key) == 0; }));
}

std::string DescribeOrganisationChange(const OrganisationKeys& before,
                                       const OrganisationKeys& after) {
  const auto format = [](const std::optional<int>& priority) {
    return priority ? std::to_string(*priority) : std::string("that of the route");
  };
  Fields fields;
  if (const std::size_t lost = CountMissing(before.keys, after.keys); lost > 0) {
    fields.Add(fmt::format("callers with {} of its {} keys lose access", lost, before.keys.size()));
  }
  if (const std::size_t added = CountMissing(after.keys, before.keys); added > 0) {
    fields.Add(fmt::format("{} more keys get access", added));
  }
  fields.Compare("priority", format(before.priority), format(after.priority));
  return fields.text();
}

void CompareOrganisations(const DesiredState& before, const DesiredState& after, Changes& changes) {
  if (before.has_organisations != after.has_organisations) {
    changes.push_back({ChangeKind::kChanged, "organisations",
                       after.has_organisations ? "callers of routes that aren't public need a key"
                                               : "no caller needs a key"});
  }
  const auto organisations_before = FindOrganisations(before);
  const auto organisations_after = FindOrganisations(after);
  for (const auto& [name, organisation] : organisations_after) {
    const auto known = organisations_before.find(name);
    const std::string subject = "organisation " + name;
    if (known == organisations_before.end()) {
      changes.push_back(
          {ChangeKind::kAdded, subject,
           fmt::format("callers with its {} keys get access", organisation.keys.size())});
    } else if (std::string text = DescribeOrganisationChange(known->second, organisation);
               !text.empty()) {
      changes.push_back({ChangeKind::kChanged, subject, std::move(text)});
    }
  }
  for (const auto& [name, organisation] : organisations_before) {
    if (organisations_after.count(name) == 0) {
      changes.push_back(
          {ChangeKind::kRemoved, "organisation " + name,
           fmt::format("callers with its {} keys lose access", organisation.keys.size())});
    }
  }
}

void CompareCallerLimits(const CallerLimits& before, const CallerLimits& after, Changes& changes) {
  Fields fields;
  fields.Compare("max_header_bytes", before.max_header_bytes, after.max_header_bytes);
  fields.Compare("max_body_bytes", before.max_body_bytes, after.max_body_bytes);
  fields.Compare("header_timeout_ms", before.header_timeout, after.header_timeout);
  fields.Compare("idle_timeout_ms", before.idle_timeout, after.idle_timeout);
  if (!fields.text().empty()) {
    changes.push_back({ChangeKind::kChanged, "limits", fields.text()});
  }
}

}  // namespace
}  // namespace internal

std::vector<ConfigurationChange> CompareConfigurations(const DesiredState& before,
                                                       const DesiredState& after) {
  std::vector<ConfigurationChange> changes;
  internal::CompareRoutes(before, after, changes);
  internal::CompareServices(before, after, changes);
  internal::CompareOrganisations(before, after, changes);
  internal::CompareCallerLimits(before.caller_limits, after.caller_limits, changes);
  return changes;
}

bool IsNewerVersion(const DesiredState& before, const DesiredState& after) noexcept {
  return after.version > before.version;
}

}  // namespace snipeturn::entry
