#pragma once

#include <cstdint>
#include <string>

namespace snipeturn::entry {

/// Number of a caller's request on this host.
using RequestKey = std::uint64_t;
/// Number of one send of a request to an upstream on this host.
using AttemptKey = std::uint64_t;
/// Name of an upstream; a restarted upstream has a new one, or the same with a later start time.
using UpstreamId = std::string;

struct CellLoad;
struct DesiredState;
struct Request;
struct Route;
struct Service;
struct State;
struct Upstream;

}  // namespace snipeturn::entry
