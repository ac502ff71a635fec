#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "snipeturn/base/time.h"
#include "snipeturn/entry/fwd.h"

// Demand on contended services (contention.h). Hosts tell one another their own part in the load
// tables; hosts whose part isn't known are taken for average.

namespace snipeturn::entry {

/// A sum in which older amounts weigh less.
struct DecayingSum {
  double value{0};
  TimePoint at{};
};

/// Demand of this host's callers on one service, as counted when it arises.
struct ServiceDemand {
  DecayingSum sends;
  /// Memory of urgent requests, at their arrival.
  DecayingSum urgent_tokens;
  std::optional<TimePoint> urgent_at;
};

/// Demand of one host, or of several, on a service.
struct Demand {
  /// Requests that wait for capacity.
  double queued{0};
  double sends_per_second{0};
  double urgent_tokens_per_second{0};
  /// Memory of urgent requests that are queued or running.
  double urgent_tokens{0};
};

/// By service.
using DemandTable = std::map<std::string, Demand>;

/// @brief Counts a request that arrived, if its service is contended.
void RecordArrival(State& state, const Request& request, TimePoint now);

/// @brief Counts a send, if its service is contended.
void RecordSend(State& state, const Request& request, TimePoint now);

/// @brief Demand of this host on all contended services.
[[nodiscard]] DemandTable LocalDemand(const State& state, TimePoint now);

/// @brief Demand of all other hosts on a service.
/// @param state The entry state.
/// @param service The service.
/// @param own This host's demand on it, taken for that of hosts whose tables are missing if no
///     host's demand is known.
/// @param now Current time.
[[nodiscard]] Demand OthersDemand(const State& state,
                                  const std::string& service,
                                  const Demand& own,
                                  TimePoint now);

/// @brief Demand of this host on one service.
[[nodiscard]] Demand OwnDemand(const State& state, const std::string& service, TimePoint now);

}  // namespace snipeturn::entry
