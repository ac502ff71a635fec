#include "snipeturn/entry/configuration_difference.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "snipeturn/entry/routing.h"

namespace snipeturn::entry {
namespace {

using namespace std::chrono_literals;

Route MakeRoute(const std::string& prefix, std::vector<ServiceShare> services) {
  Route route;
  route.name = "r" + prefix;
  route.host = "a.example";
  route.path_prefix = prefix;
  route.services = std::move(services);
  route.timeout = 3s;
  route.latency_objective = 1s;
  return route;
}

DesiredState MakeState() {
  DesiredState desired;
  desired.version = 7;
  desired.routes = {MakeRoute("/x/", {{"one", 90}, {"two", 10}}), MakeRoute("/y/", {{"two", 1}})};
  desired.services["one"].name = "one";
  desired.services["two"].name = "two";
  desired.has_organisations = true;
  desired.organisation_by_key = {
      {"k1", {"t1", 1}}, {"k2", {"t1", 1}}, {"k3", {"t2", std::nullopt}}};
  return desired;
}

template <typename Change>
std::vector<std::string> LinesAfter(const Change& change) {
  DesiredState after = MakeState();
  change(after);
  std::vector<std::string> lines;
  for (const ConfigurationChange& difference : CompareConfigurations(MakeState(), after)) {
    lines.push_back(
        fmt::format("{} {}: {}", ToString(difference.kind), difference.subject, difference.effect));
  }
  return lines;
}

using Texts = std::vector<std::string>;

TEST_CASE("configurationDifference_ofRoutes_named", "[entry][configuration_difference]") {
  CHECK(LinesAfter([](auto&) {}) == Texts{});
  CHECK(LinesAfter([](auto& state) {
          state.routes.push_back(MakeRoute("/x/z/", {{"one", 1}}));
        }) ==
        Texts{"added route a.example/x/z/: requests go to one 100%; until now route a.example/x/"});
  CHECK(LinesAfter([](auto& state) { state.routes.pop_back(); }) ==
        Texts{"removed route a.example/y/: its requests get: 404"});
  CHECK(LinesAfter([](auto& state) {
          state.routes[1].timeout = 5s;
          state.routes[1].is_public = true;
        }) ==
        Texts{"changed route a.example/y/: timeout_ms 3000 -> 5000; callers without a key are "
              "served"});
  CHECK(LinesAfter([](auto& state) {
          state.routes[0].services = {{"one", 3}, {"two", 1}};
        }) ==
        Texts{"changed route a.example/x/: 15% of its requests change service: one 90%, two 10% -> "
              "one 75%, two 25%"});
}

TEST_CASE("configurationDifference_ofOrganisations_namesNoKey",
          "[entry][configuration_difference]") {
  CHECK(LinesAfter([](auto& state) { state.organisation_by_key.erase("k1"); }) ==
        Texts{"changed organisation t1: callers with 1 of its 2 keys lose access"});
  CHECK(LinesAfter([](auto& state) { state.organisation_by_key.erase("k3"); }) ==
        Texts{"removed organisation t2: callers with its 1 keys lose access"});
  CHECK(LinesAfter([](auto& state) {
          state.organisation_by_key["k4"] = {"t2", std::nullopt};
        }) == Texts{"changed organisation t2: 1 more keys get access"});
  CHECK(LinesAfter([](auto& state) {
          state.organisation_by_key["k4"] = {"t3", 0};
        }) == Texts{"added organisation t3: callers with its 1 keys get access"});
  CHECK(LinesAfter([](auto& state) { state.has_organisations = false; }).front() ==
        "changed organisations: no caller needs a key");
}

TEST_CASE("configurationDifference_ofServicesAndLimits_named",
          "[entry][configuration_difference]") {
  CHECK(LinesAfter([](auto& state) {
          state.services["one"].cold_time = 2s;
          state.services["two"].engine = EngineLimits{};
          state.services["three"].name = "three";
        }) == Texts{"changed service one: cold time (ms) 0 -> 2000",
                    "added service three: ", "changed service two: is a model engine"});
  CHECK(LinesAfter([](auto& state) { state.caller_limits.max_body_bytes = 10; }) ==
        Texts{"changed limits: max_body_bytes 4194304 -> 10"});
  DesiredState after = MakeState();
  CHECK_FALSE(IsNewerVersion(MakeState(), after));
  after.version = 8;
  CHECK(IsNewerVersion(MakeState(), after));
}

// Guards against a stated route that isn't the one that the hosts find.
TEST_CASE("configurationDifference_removedRoute_restAsRouted",
          "[entry][configuration_difference]") {
  const std::vector<std::string> prefixes{"/", "/x/", "/x/y/", "/x/y/z/", "/xy/", "/x?/", "", "/x"};
  for (std::size_t removed = 0; removed < prefixes.size(); ++removed) {
    for (unsigned kept = 0; kept < (1U << prefixes.size()); ++kept) {
      DesiredState after;
      for (std::size_t index = 0; index < prefixes.size(); ++index) {
        if (index != removed && (kept >> index) % 2 == 1) {
          after.routes.push_back(MakeRoute(prefixes[index], {{"one", 1}}));
        }
      }
      DesiredState before = after;
      before.routes.push_back(MakeRoute(prefixes[removed], {{"one", 1}}));
      const Route* found = FindRoute(after, "a.example", prefixes[removed]);
      const auto changes = CompareConfigurations(before, after);
      REQUIRE(changes.size() == 1);
      CHECK(changes[0].effect ==
            "its requests get: " +
                (found == nullptr ? "404" : "route a.example" + found->path_prefix));
    }
  }
}

// Guards against a stated share that isn't the share of the requests that change service.
TEST_CASE("configurationDifference_movedShare_asRouted", "[entry][configuration_difference]") {
  const std::vector<std::vector<ServiceShare>> splits{{{"one", 90}, {"two", 10}},
                                                      {{"two", 10}, {"one", 90}},
                                                      {{"one", 1}},
                                                      {{"one", 1}, {"two", 1}, {"three", 2}},
                                                      {{"three", 0.5}, {"one", 0.1}}};
  for (const auto& before : splits) {
    for (const auto& after : splits) {
      const Route first = MakeRoute("/x/", before);
      const Route second = MakeRoute("/x/", after);
      constexpr int kRequests = 20000;
      int moved = 0;
      for (int number = 0; number < kRequests; ++number) {
        const std::string id = "request-" + std::to_string(number);
        moved += ChooseService(first, id) == ChooseService(second, id) ? 0 : 1;
      }
      DesiredState old_state;
      DesiredState new_state;
      old_state.routes = {first};
      new_state.routes = {second};
      const auto changes = CompareConfigurations(old_state, new_state);
      const double stated = changes.empty() ? 0 : std::stod(changes[0].effect);
      CAPTURE(before.size(), after.size());
      CHECK(stated == Approx(100.0 * moved / kRequests).margin(1.5));
    }
  }
}

}  // namespace
}  // namespace snipeturn::entry
