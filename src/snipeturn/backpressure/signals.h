#pragma once

#include <optional>

namespace snipeturn::backpressure {

/// What an upstream says in the head of a response about the requests that it wants.
struct Signals {
  /// Requests a second that it takes from all hosts together; empty if it states no limit.
  std::optional<double> requests_per_second;
  /// It states a limit that can't be parsed, which changes nothing.
  bool has_unreadable_limit{false};
};

}  // namespace snipeturn::backpressure
