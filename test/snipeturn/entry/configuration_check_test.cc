#include "snipeturn/entry/configuration_check.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "snipeturn/entry/routing.h"

namespace snipeturn::entry {
namespace {

using namespace std::chrono_literals;

Route MakeRoute(const std::string& host, const std::string& prefix) {
  Route route;
  route.name = "r" + prefix;
  route.host = host;
  route.path_prefix = prefix;
  route.kind = RouteKind::kStream;
  route.services = {{"chat", 1}};
  route.timeout = 3s;
  route.latency_objective = 1s;
  return route;
}

/// A configuration without findings.
DesiredState MakeSound() {
  DesiredState desired;
  desired.version = 7;
  desired.routes = {MakeRoute("a.example", "/x/"), MakeRoute("a.example", "/x/y/"),
                    MakeRoute("b.example", "/x/")};
  Service service;
  service.name = "chat";
  service.engine = EngineLimits{8, 1000, true, 4};
  desired.services["chat"] = service;
  desired.has_organisations = true;
  desired.organisation_by_key["k1"] = {"t1", std::nullopt};
  return desired;
}

std::vector<std::string> Lines(const DesiredState& desired) {
  std::vector<std::string> lines;
  for (const ConfigurationFinding& finding : CheckConfiguration(desired)) {
    lines.push_back(finding.path + ": " + finding.problem);
  }
  return lines;
}

/// Findings after one change of a sound configuration.
template <typename Change>
std::vector<std::string> LinesAfter(const Change& change) {
  DesiredState desired = MakeSound();
  change(desired);
  return Lines(desired);
}

using Texts = std::vector<std::string>;

TEST_CASE("configurationCheck_sound_nothingFound", "[entry][configuration_check]") {
  CHECK(Lines(MakeSound()) == Texts{});
}

TEST_CASE("configurationCheck_unusableRoutes_found", "[entry][configuration_check]") {
  CHECK(LinesAfter([](auto& state) { state.routes[1].path_prefix = "/x/"; }) ==
        Texts{"routes[1] (r/x/y/): never matches: routes[0] (r/x/) has the same host and path "
              "prefix"});
  for (const std::string prefix : {"x/", "/x?/"}) {
    CHECK(LinesAfter([&](auto& state) { state.routes[1].path_prefix = prefix; }) ==
          Texts{"routes[1] (r/x/y/): never matches: a path begins with a slash and is compared "
                "without its query"});
  }
  CHECK(LinesAfter([](auto& state) { state.routes[1].host = "a.example:80"; }) ==
        Texts{"routes[1] (r/x/y/): never matches: requests are compared by host name without a "
              "port"});
  CHECK(LinesAfter([](auto& state) { state.routes[1].path_prefix = "/x/y"; }) ==
        Texts{"routes[1] (r/x/y/): path_prefix doesn't end with a slash, so that it also matches "
              "longer names"});
  CHECK(LinesAfter([](auto& state) {
          state.routes[0].path_prefix = "/";
          state.routes[1].path_prefix = "";
        }) == Texts{"routes[1] (r/x/y/): never matches: each path begins with the longer prefix of "
                    "routes[0] (r/x/)"});
  CHECK(LinesAfter([](auto& state) { state.routes[1].services.clear(); }) ==
        Texts{"routes[1] (r/x/y/): has no service: each request is refused with 503"});
}

TEST_CASE("configurationCheck_contradictingValues_found", "[entry][configuration_check]") {
  CHECK(LinesAfter([](auto& state) { state.routes[0].latency_objective = 4s; }) ==
        Texts{"routes[0] (r/x/): latency_target_ms (4000) exceeds timeout_ms (3000): no response "
              "can use it"});
  CHECK(LinesAfter([](auto& state) { state.routes[0].timeout = 0ms; }) ==
        Texts{"routes[0] (r/x/): timeout_ms is 0: each request ends with 504 at once"});
  CHECK(LinesAfter([](auto& state) { state.routes[0].max_upstreams = 0; }) ==
        Texts{"routes[0] (r/x/): max_attempts is 0: counts as 1"});
  CHECK(LinesAfter([](auto& state) {
          state.routes[0].kind = RouteKind::kIdempotent;
          state.routes[0].is_resumable = true;
        }) == Texts{"routes[0] (r/x/): resumable has no effect: the route has no streams"});
  CHECK(LinesAfter([](auto& state) { state.services["chat"].cold_time = 2s; }) ==
        Texts{"services: chat: cold_s has no effect, as cold_per_s is 0"});
  CHECK(LinesAfter([](auto& state) { state.services["chat"].engine->slots = 0; }) ==
        Texts{"services: chat: engine: slots or kv_cache_tokens is 0"});
  CHECK(LinesAfter([](auto& state) { state.caller_limits.idle_timeout = 0ms; }) ==
        Texts{"limits: idle_timeout_ms is 0: no connection serves a second request"});
}

TEST_CASE("configurationCheck_missingReferences_found", "[entry][configuration_check]") {
  CHECK(LinesAfter([](auto& state) {
          state.routes[0].services = {{"other", 1}};
        }) == Texts{"routes[0] (r/x/): service other isn't under services: its cold start and its "
                    "engines' limits are unknown"});
  CHECK(LinesAfter([](auto& state) { state.services["plain"] = {}; }) ==
        Texts{"services: plain: no route leads to it"});
  CHECK(LinesAfter([](auto& state) { state.organisation_by_key.clear(); }) ==
        Texts{"tenants: no key: only public routes are served, others with 401"});
  CHECK(LinesAfter([](auto& state) { state.has_organisations = false; }) ==
        Texts{"tenants: missing: requests of all routes are served without a key"});
}

// Guards against a check that disagrees with the routing of the hosts.
TEST_CASE("configurationCheck_drawnRoutes_agreesWithRouting", "[entry][configuration_check]") {
  std::mt19937 random(1);
  const std::vector<std::string> hosts{"a.example", "b.example", "a.example:80"};
  const std::vector<std::string> prefixes{"/", "/x/", "/x/y/", "x/", "/x?/", "", "/x"};
  for (int round = 0; round < 200; ++round) {
    DesiredState desired = MakeSound();
    desired.routes.clear();
    for (std::size_t count = 1 + random() % 12; count > 0; --count) {
      desired.routes.push_back(
          MakeRoute(hosts[random() % hosts.size()], prefixes[random() % prefixes.size()]));
    }
    std::vector<bool> is_found(desired.routes.size(), false);
    for (const ConfigurationFinding& finding : CheckConfiguration(desired)) {
      for (std::size_t index = 0; index < desired.routes.size(); ++index) {
        is_found[index] = is_found[index] || (finding.path == RoutePath(desired, index) &&
                                              finding.problem.rfind("never matches", 0) == 0);
      }
    }
    for (std::size_t index = 0; index < desired.routes.size(); ++index) {
      const Route& route = desired.routes[index];
      // A request can reach the route only with its prefix, a host without a port and a path that
      // begins with a slash.
      const std::string host = route.host.substr(0, route.host.find(':'));
      const std::string path = (route.path_prefix.empty() ? "/" : route.path_prefix) + "z-only";
      const bool can_be_sent = path.front() == '/';
      const bool is_used = can_be_sent && FindRoute(desired, host, path) == &route;
      CAPTURE(round, index, route.host, route.path_prefix);
      CHECK(is_used != is_found[index]);
    }
  }
}

}  // namespace
}  // namespace snipeturn::entry
