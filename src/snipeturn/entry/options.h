#pragma once

#include <chrono>
#include <cstdint>
#include <map>
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
};

struct Options {
  std::string host;
  std::string zone;
  Bounds bounds;
  /// Bytes of request bodies in flight that this host keeps for one upstream; zero means no bound.
  std::uint64_t max_upstream_bytes{0};
  /// Bytes of request bodies in flight to one upstream from all hosts; zero means no bound.
  std::uint64_t max_upstream_bytes_of_all{0};
};

}  // namespace snipeturn::entry
