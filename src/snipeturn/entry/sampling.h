#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

#include "snipeturn/entry/demand.h"
#include "snipeturn/entry/fwd.h"

// Choice among upstreams by many hosts that see the same load tables, which are some tenths of a
// second old. If each host picked the best upstream, all of them would pick the same one: an engine
// that has just started looks empty to every host, and one got 21 requests within a second.

namespace snipeturn::entry {

enum class CandidateClass : std::uint8_t {
  kOwnZone,
  kOtherZone,
  /// In backoff, suspected down, or of unknown load: used when no other has room.
  kLastResort,
};

/// An upstream that has room for a request.
struct Candidate {
  UpstreamId id;
  /// The lowest score is the best.
  double score{0};
  double utilisation{0};
  double failure_rate{0};
  CandidateClass candidate_class{CandidateClass::kOwnZone};
  /// Number of requests like this one that it has room for.
  double room{0};
};

/// @brief Number of candidates among which a request's upstream is chosen: so many that one
///     upstream, if it is the best for all hosts, is expected to get about one request of theirs
///     between two tables; at least two.
/// @param upstreams Number of upstreams that have room.
/// @param others_requests Requests that other hosts are expected to send between two tables.
[[nodiscard]] int SampleSize(int upstreams, double others_requests) noexcept;

/// @brief Requests that other hosts are expected to send between two tables, including those that
///     wait for capacity.
[[nodiscard]] double ExpectedRequests(const Demand& others,
                                      std::chrono::microseconds table_interval) noexcept;

/// @brief Chooses the best of a sample of candidates, which depends on the request's id. If the
///     service has room in the own zone, upstreams of other zones are sampled besides, half as
///     many; upstreams of the last resort only if there is no other. If there is less room than
///     requests of all hosts, each upstream is chosen with the probability of its part of the room.
/// @return The candidate, or nullptr if there is none.
[[nodiscard]] const Candidate* ChooseCandidate(const std::vector<Candidate>& candidates,
                                               std::string_view request_id,
                                               double others_requests);

/// Whether a request may use the room that its host sees, and else when it may try again.
struct Turn {
  bool is_now{true};
  TimePoint next{};
};

/// @brief Divides room that is too small for the requests of all hosts: each gets a turn with the
///     probability of its part of the room, anew in each interval between two tables.
///
/// Without it, every host sends a waiting request to the first engine that has room again.
/// @param candidates Upstreams that have room.
/// @param request_id The caller's id of the request.
/// @param others_requests Requests that other hosts are expected to send between two tables.
/// @param table_interval Time between two tables.
/// @param now Current time.
[[nodiscard]] Turn NextTurn(const std::vector<Candidate>& candidates,
                            std::string_view request_id,
                            double others_requests,
                            std::chrono::microseconds table_interval,
                            TimePoint now);

}  // namespace snipeturn::entry
