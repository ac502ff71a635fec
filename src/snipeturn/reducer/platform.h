#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "snipeturn/base/host.h"
#include "snipeturn/base/time.h"

namespace snipeturn {

/// An entry of the platform's host list, which may be out of date.
struct ListedHost {
  HostId id;
  Endpoint endpoint;
  ZoneName zone;
  bool leaving{false};
};

/// Event: the platform's host list was read.
struct HostListRead {
  std::vector<ListedHost> hosts;
};

/// Effect: asks a host directly for its incarnation.
struct ProbeHost {
  HostName host;
  Endpoint endpoint;
};

/// Event: result of a probe; without an incarnation the host did not respond.
struct ProbeEnded {
  HostName host;
  std::optional<Incarnation> incarnation;
};

/// Event: an upstream's load report, which may be out of date.
struct LoadReported {
  UpstreamName upstream;
  Incarnation incarnation{0};
  int running{0};
  int waiting{0};
  std::uint64_t memory_used_tokens{0};
  /// 0 if the upstream has no memory limit.
  std::uint64_t memory_total_tokens{0};
  bool leaving{false};
  /// Time between the measurement of the report and the start of the read.
  std::chrono::milliseconds age{0};
  /// When the read began.
  TimePoint began{};
};

/// Event: the load report of an upstream could not be read.
struct LoadReportFailed {
  UpstreamName upstream;
};

}  // namespace snipeturn
