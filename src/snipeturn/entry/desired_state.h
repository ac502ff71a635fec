#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "snipeturn/entry/fwd.h"

namespace snipeturn::entry {

/// Tells which requests of a route may be repeated.
enum class RouteKind : std::uint8_t { kIdempotent, kNonIdempotent, kStream };

/// A service that takes a share of a route's requests.
struct ServiceShare {
  std::string service;
  double weight{1};
};

/// Requests of one host name and path prefix.
struct Route {
  std::string name;
  /// In lower case.
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RouteKind kind{RouteKind::kNonIdempotent};
  std::vector<ServiceShare> services;
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds latency_objective{0};
  /// 0 is the most urgent.
  int priority{0};
  /// Maximum number of upstreams that may run one attempt of a caller.
  int max_upstreams{1};
  /// Open to callers without a key.
  bool is_public{false};
  /// A stream of this route may be continued by a new generation after the events that its caller
  /// has.
  bool is_resumable{false};
};

/// Capacity and abilities of a model engine.
struct EngineLimits {
  int slots{0};
  std::uint64_t memory_tokens{0};
  /// The engine copies a running generation's memory to another engine.
  bool supports_migration{false};
  /// Tokens in one event of a stream.
  int tokens_per_event{1};
};

struct Service {
  std::string name;
  /// How long an upstream stays cold after its start.
  std::chrono::milliseconds cold_time{0};
  /// Requests a second that a cold upstream can handle; 0 when the service has no cold start.
  double cold_requests_per_second{0};
  std::optional<EngineLimits> engine;
};

struct Organisation {
  std::string name;
  /// Overrides the route's priority when set.
  std::optional<int> priority;
};

/// Limits on the requests of callers.
struct CallerLimits {
  std::size_t max_header_bytes{16384};
  std::size_t max_body_bytes{4194304};
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/// One version of the operators' configuration.
struct DesiredState {
  std::int64_t version{0};
  std::vector<Route> routes;
  std::map<std::string, Service> services;
  CallerLimits caller_limits;
  /// False when the configuration names no organisations, in which case no request needs a key.
  bool has_organisations{false};
  std::map<std::string, Organisation> organisation_by_key;
};

}  // namespace snipeturn::entry
