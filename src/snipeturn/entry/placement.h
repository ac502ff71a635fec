#pragma once

#include <string_view>
#include <vector>

#include "snipeturn/backpressure/signals.h"
#include "snipeturn/entry/state.h"

namespace snipeturn::entry {

enum class PlacementResult : std::uint8_t {
  kPlaced,
  /// There are serving upstreams, but none has room now.
  kNoRoom,
  /// Every upstream that has room wants no request before a later time.
  kDeferred,
  /// The service has no serving upstream.
  kNoUpstream,
};

/// An upstream that is passed over for what it stated.
struct KeptBack {
  UpstreamId upstream;
  backpressure::SignalKind signal{};
};

struct Placement {
  PlacementResult result{PlacementResult::kNoUpstream};
  UpstreamId upstream;
  /// Expected utilisation of the upstream including this request; 1 is full.
  double utilisation{0};
  /// Share of recent attempts at the upstream that failed, over all hosts.
  double failure_rate{0};
  /// Earliest time at which an upstream that has room wants a request.
  TimePoint available_from{TimePoint::max()};
  std::vector<KeptBack> kept_back;
  /// Upstreams have room, but other hosts' requests have their turn until `available_from`.
  bool is_turn_of_others{false};
};

/// @brief Returns whether an upstream may be down although it is still listed.
///
/// This is so if connections to it failed or broke and it has sent nothing since. While the
/// upstream list can't be read, the entry doesn't prove that the upstream is alive.
[[nodiscard]] bool IsSuspectedDown(const State& state, const Upstream& upstream, TimePoint now);

/// @brief Chooses an upstream for a request.
///
/// With long generations, an engine runs out of memory before it runs out of slots, and the prefill
/// of one prompt delays all other requests. Engines are therefore scored by the higher of memory
/// and slot utilisation, plus the prompts still to be processed. Plain services are scored by
/// slots. Requests stay in the host's availability zone unless another zone is clearly less
/// utilised.
/// @return The upstream, or why there is none.
[[nodiscard]] Placement PlaceRequest(const State& state, const Request& request, TimePoint now);

/// @brief Chooses the target engine for the live migration of a running generation.
/// @param state The entry state.
/// @param request A request in the streaming phase.
/// @param source The engine that the generation runs on.
/// @param now Current time.
/// @return The engine, or why there is none.
[[nodiscard]] Placement PlaceMigration(const State& state,
                                       const Request& request,
                                       const Upstream& source,
                                       TimePoint now);

/// @brief Returns whether an upstream may receive new requests, regardless of its load.
[[nodiscard]] bool IsServing(const State& state, const Upstream& upstream) noexcept;

/// @brief Returns whether an upstream is cold and this host has used up its share of the requests
///     that the upstream can start per second.
[[nodiscard]] bool IsColdLimitReached(const State& state, const Upstream& upstream, TimePoint now);

/// @brief Records the start of a request at an upstream if the upstream is cold.
void RecordColdStart(Upstream& upstream, TimePoint now);

}  // namespace snipeturn::entry
