#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace snipeturn::entry {

/// Time limits within which the deployment must react, and retry limits; from the settings of the
/// process.
struct Bounds {
  std::chrono::milliseconds revoke{5000};
  std::chrono::milliseconds drain{2000};
  std::chrono::milliseconds grace{8000};
  /// Refuse requests with a key when the configuration can't be confirmed.
  bool fail_closed{true};
  /// Retries per request within `retry_window`, over all hosts.
  double retry_ratio{0.2};
  double retry_slack{0};
  std::chrono::milliseconds retry_window{10000};
  /// Largest share of a service's requests that a version under trial gets, and the number of
  /// requests that it may get beyond it, over all hosts.
  double canary_share{0.1};
  double canary_slack{50};
  /// Time from the 50th bad response of a version to the last request that is sent to it.
  std::chrono::milliseconds rollback{5000};
  /// Time by which limits are extended while the store is unstable.
  std::chrono::milliseconds outer{6000};
  /// Time within which a change of the configuration is applied.
  std::chrono::milliseconds config_apply{3000};
};

struct Options {
  std::string host;
  std::string zone;
  Bounds bounds;
  /// Upstreams' versions and the operators' roll-out orders count.
  bool rollouts_enabled{false};
  /// Identifies this process among those that the host has run; a later one has a higher number.
  std::uint64_t incarnation{0};
  /// Bytes of request bodies in flight that this host keeps for one upstream; zero means no bound.
  std::uint64_t max_upstream_bytes{0};
  /// Bytes of request bodies in flight to one upstream from all hosts; zero means no bound.
  std::uint64_t max_upstream_bytes_of_all{0};
  /// Memory for what tells which prompt parts crash upstreams; zero means the least that is of use.
  std::uint64_t max_crash_evidence_bytes{0};
  /// Distribute load by learned speeds; if empty, for services whose upstreams state how long work
  /// takes.
  std::optional<bool> learned_capacity;
};

}  // namespace snipeturn::entry
