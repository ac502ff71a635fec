#pragma once

#include <cstdint>
#include <string>

namespace snipeturn {

/// Name of a host that runs a daemon, unique in a deployment.
using HostName = std::string;
/// Name of an availability zone.
using ZoneName = std::string;
/// Name of an upstream, qualified by its service: "service/upstream".
using UpstreamName = std::string;
/// Random number that each process draws when it starts; 0 means "none".
using Incarnation = std::uint64_t;
/// Position of a record in a log stream.
using LogOffset = std::uint64_t;

struct Endpoint;
struct HostId;
struct MonotonicClock;
struct Now;
struct TimerKey;
struct Timers;

}  // namespace snipeturn
