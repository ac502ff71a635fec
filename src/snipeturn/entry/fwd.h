#pragma once

#include <cstdint>
#include <string>

namespace snipeturn::entry {

/// Local number of a caller's request.
using RequestKey = std::uint64_t;
/// Local number of one send of a request to an upstream.
using AttemptKey = std::uint64_t;
/// Identity of one life of an upstream; a restart has a new one or the same one with a new birth.
using UpstreamId = std::string;

struct CellLoad;
struct DesiredState;
struct Request;
struct Route;
struct Service;
struct State;
struct Upstream;

}  // namespace snipeturn::entry
