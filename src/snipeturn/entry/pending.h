#pragma once

#include <chrono>

#include "snipeturn/entry/contention.h"
#include "snipeturn/entry/upstream.h"

// Prompts that wait to be processed at engines of contended services (contention.h).

namespace snipeturn::entry {
namespace internal {

/// Prompt tokens that an engine processes (prefills) per millisecond, between the steps of its
/// running generations.
inline constexpr double kPrefillTokensPerMs = 6.0;
/// Share of the latency objective that the prefill of earlier requests may take.
inline constexpr double kMaxPrefillShare = 0.5;

}  // namespace internal

/// @brief Time that the prompts pending at an engine may take for the engine to get a request: what
///     leaves the most urgent route of the service within its objective. A less urgent request that
///     will soon be late may use the time that it has left, up to the share of its own objective.
[[nodiscard]] std::chrono::microseconds PrefillAllowance(const Contention& contention,
                                                         const Request& request,
                                                         TimePoint now);

/// @brief Tells whether a request is less urgent and has time left to wait for urgent ones.
[[nodiscard]] bool HasTimeToWait(const Contention& contention,
                                 const Request& request,
                                 TimePoint now);

/// @brief Time at which an engine must start a request for it to meet its objective.
[[nodiscard]] TimePoint LatestStart(const Request& request);

/// @brief Load of all hosts by upstream, from which prompts are left out that the engines are
///     expected to have processed since the tables were sent, and requests that plain upstreams are
///     expected to have answered since, by the longest recent response.
///
/// A host tells that a prompt was processed with its next table, up to 1.4 s later. At 200 requests
/// a second, prompts that are done would count as thousands of pending tokens for each engine.
[[nodiscard]] LoadTable ExpectedLoad(const State& state, TimePoint now);

}  // namespace snipeturn::entry
