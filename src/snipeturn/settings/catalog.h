#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "snipeturn/base/fwd.h"
#include "snipeturn/base/host.h"
#include "snipeturn/base/work_class.h"

namespace snipeturn {

/// A customer within a team, with its caller key.
struct Organisation {
  std::string name;
  /// SHA-256 of the caller's bearer key, in hexadecimal.
  std::string key_sha256;
  /// Weight of its share of the capacity within a class, relative to other organisations.
  double weight{1.0};
};

/// A named use of a team's models, with the class and deadline of its requests.
struct Application {
  std::string name;
  WorkClass work_class{WorkClass::kShort};
  std::chrono::milliseconds deadline{0};
};

/// Class, deadline and idempotency of the calls to a plain service with a given method and path.
struct Route {
  std::string service;
  std::string method;
  /// Of the routes that match, the one with the longest prefix applies.
  std::string path_prefix;
  bool idempotent{false};
  WorkClass work_class{WorkClass::kShort};
  std::chrono::milliseconds deadline{0};
};

/// A team with its organisations, and the models, zones and routes that they may use.
struct Team {
  std::string name;
  std::vector<Organisation> organisations;
  std::set<std::string> models;
  /// In the order of the settings; the first one is the default.
  std::vector<Application> applications;
  /// The zones that are in service for this team.
  std::set<ZoneName> zones;
  std::vector<Route> routes;
};

/// An availability zone.
struct Zone {
  ZoneName name;
  bool in_service{true};
  /// Limit on the requests that the zone's upstreams run concurrently; no value means no limit.
  std::optional<int> slots;
};

enum class ServiceKind : std::uint8_t { kEngine, kPlain };

/// A server that runs the requests of a service.
struct Upstream {
  UpstreamName name;
  std::string service;
  ServiceKind kind{ServiceKind::kPlain};
  Endpoint endpoint;
  ZoneName zone;
  /// Capacity when warm: requests that it can run concurrently.
  int slots{0};
  /// Capacity when cold: requests that it can run concurrently just after its start.
  int cold_slots{1};
  /// Operators are taking it out of service, so it gets no new work.
  bool leaving{false};
  /// It runs calls with the same Idempotency-Key only once.
  bool deduplicates{false};
  /// It rejects requests with an outdated fencing number.
  bool checks_fencing{false};
  /// Models that it serves; empty for plain services.
  std::set<std::string> models;
};

/// Typed view of the settings tree; rebuilt whenever the settings change.
struct Catalog {
  std::map<std::string, Team> teams;
  std::map<ZoneName, Zone> zones;
  std::map<UpstreamName, Upstream> upstreams;
};

/// The team and organisation that a caller's key belongs to.
struct CallerIdentity {
  std::string team;
  std::string organisation;
  double weight{1.0};
};

/// @brief Finds the owner of a caller's key.
/// @param catalog The settings in force.
/// @param key_sha256 SHA-256 of the key, in hexadecimal.
/// @return The identity, or nothing when no organisation has the key.
[[nodiscard]] std::optional<CallerIdentity> FindCaller(const Catalog& catalog,
                                                       const std::string& key_sha256);

/// @brief Finds the route of a call to a plain service.
/// @param team The caller's team.
/// @param service The service called.
/// @param method The HTTP method.
/// @param path The path below the service.
/// @return The route with the longest matching prefix, or nothing.
[[nodiscard]] const Route* FindRoute(const Team& team,
                                     const std::string& service,
                                     const std::string& method,
                                     const std::string& path);

/// @brief Tells whether the settings allow a team's new work to go to an upstream.
/// @param catalog The settings in force.
/// @param team The caller's team.
/// @param upstream The upstream.
/// @return True when its zone is in service, globally and for the team, and it is not leaving.
[[nodiscard]] bool IsInService(const Catalog& catalog, const Team& team, const Upstream& upstream);

}  // namespace snipeturn
