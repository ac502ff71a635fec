#include "snipeturn/entry/routing.h"

#include <cassert>

#include "snipeturn/base/hash.h"

namespace snipeturn::entry {

const Route* FindRoute(const DesiredState& desired,
                       std::string_view host,
                       std::string_view path) noexcept {
  path = path.substr(0, path.find('?'));
  const Route* best = nullptr;
  for (const Route& route : desired.routes) {
    if (route.host != host || path.substr(0, route.path_prefix.size()) != route.path_prefix) {
      continue;
    }
    if (best == nullptr || route.path_prefix.size() > best->path_prefix.size()) {
      best = &route;
    }
  }
  return best;
}

const std::string& ChooseService(const Route& route, std::string_view request_id) noexcept {
  assert(!route.services.empty() && "a route names at least one service");
  double total = 0;
  for (const ServiceShare& share : route.services) {
    total += share.weight;
  }
  constexpr double kHashRange = 18446744073709551616.0;  // 2^64
  double point = static_cast<double>(Hash(request_id)) / kHashRange * total;
  for (const ServiceShare& share : route.services) {
    point -= share.weight;
    if (point < 0) {
      return share.service;
    }
  }
  return route.services.back().service;
}

}  // namespace snipeturn::entry
