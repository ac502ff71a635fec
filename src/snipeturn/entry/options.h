#pragma once

#include <chrono>
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
};

struct Options {
  std::string host;
  std::string zone;
  Bounds bounds;
  /// Distribute load by learned speeds; if empty, for services whose upstreams state how long work
  /// takes.
  std::optional<bool> learned_capacity;
};

}  // namespace snipeturn::entry
