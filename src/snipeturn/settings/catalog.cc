#include "snipeturn/settings/catalog.h"

#include <string_view>

namespace snipeturn {
namespace internal {

/// Tells whether a path has percent-encoded dots, slashes, backslashes or percent signs, which an
/// upstream may decode.
bool HasEncodedSeparator(std::string_view path) noexcept {
  for (std::size_t at = path.find('%'); at != std::string_view::npos; at = path.find('%', at + 1)) {
    const std::string_view code = path.substr(at + 1, 2);
    for (const std::string_view bad : {"2e", "2E", "2f", "2F", "5c", "5C", "25"}) {
      if (code == bad) {
        return true;
      }
    }
  }
  return false;
}

/// Tells whether an upstream may normalise the path to another one: the call could then be retried
/// although the route of the normalised path is not idempotent.
bool IsAmbiguous(std::string_view path) noexcept {
  path = path.substr(0, path.find('?'));
  if (path.find('\\') != std::string_view::npos || HasEncodedSeparator(path)) {
    return true;
  }
  while (!path.empty()) {
    path.remove_prefix(1);
    const std::string_view name = path.substr(0, path.find('/'));
    path.remove_prefix(name.size());
    if (name == "." || name == ".." || (name.empty() && !path.empty())) {
      return true;
    }
  }
  return false;
}

/// Tells whether a path starts with a prefix that ends at the end of a path segment, so that
/// "/status" doesn't match "/status-change".
bool HasPrefix(std::string_view path, std::string_view prefix) noexcept {
  if (path.substr(0, prefix.size()) != prefix) {
    return false;
  }
  return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/' ||
         path[prefix.size()] == '?';
}

}  // namespace internal

std::optional<CallerIdentity> FindCaller(const Catalog& catalog, const std::string& key_sha256) {
  for (const auto& [name, team] : catalog.teams) {
    for (const Organisation& organisation : team.organisations) {
      if (organisation.key_sha256 == key_sha256) {
        return CallerIdentity{name, organisation.name, organisation.weight};
      }
    }
  }
  return std::nullopt;
}

const Route* FindRoute(const Team& team,
                       const std::string& service,
                       const std::string& method,
                       const std::string& path) {
  const std::string absolute = path.empty() || path.front() != '/' ? "/" + path : path;
  if (internal::IsAmbiguous(absolute)) {
    return nullptr;
  }
  const Route* found = nullptr;
  for (const Route& route : team.routes) {
    if (route.service == service && route.method == method &&
        internal::HasPrefix(absolute, route.path_prefix) &&
        (found == nullptr || route.path_prefix.size() > found->path_prefix.size())) {
      found = &route;
    }
  }
  return found;
}

bool IsInService(const Catalog& catalog, const Team& team, const Upstream& upstream) {
  const auto zone = catalog.zones.find(upstream.zone);
  return zone != catalog.zones.end() && zone->second.in_service &&
         team.zones.count(upstream.zone) > 0 && !upstream.leaving;
}

}  // namespace snipeturn
