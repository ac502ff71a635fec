#include "snipeturn/entry/pending.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "snipeturn/entry/cells.h"
#include "snipeturn/entry/load.h"
#include "snipeturn/entry/state.h"

namespace snipeturn::entry {
namespace internal {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

/// A less urgent request may use more than the urgent share of an engine when the time that it has
/// left is this multiple of that share.
constexpr int kRelaxedShares = 2;

/// A request that can't meet its objective any more may use this part of the urgent share.
constexpr int kLateDivisor = 4;

std::chrono::microseconds ShareOf(std::chrono::milliseconds objective) {
  return std::chrono::duration_cast<std::chrono::microseconds>(objective * kMaxPrefillShare);
}

/// Adds to `done` the tokens of a table's prompts that their engines have processed since.
void AddProcessed(std::map<UpstreamId, double>& done,
                  const LoadTable& table,
                  const LoadTable& total,
                  Milliseconds age) {
  for (const auto& [id, load] : table) {
    if (load.pending_prompt_tokens > 0) {
      const auto pending = static_cast<double>(load.pending_prompt_tokens);
      const auto all = static_cast<double>(total.at(id).pending_prompt_tokens);
      done[id] += std::min(pending, pending / all * age.count() * kPrefillTokensPerMs);
    }
  }
}

/// Longest recent response time of the service of a plain upstream.
std::optional<std::chrono::microseconds> PlainResponseTime(const State& state,
                                                           const UpstreamId& id,
                                                           TimePoint now) {
  const auto upstream = state.upstreams.find(id);
  if (upstream == state.upstreams.end()) {
    return std::nullopt;
  }
  const std::string& service = upstream->second.entry.service;
  const auto times = state.service_times.find(service);
  return times == state.service_times.end() ? std::nullopt : Largest(times->second.response, now);
}

/// Adds to `ended` the requests of a table that plain upstreams have answered since.
void AddAnswered(std::map<UpstreamId, double>& ended,
                 const State& state,
                 const LoadTable& table,
                 TimePoint at,
                 TimePoint now) {
  for (const auto& [id, load] : table) {
    const auto response = PlainResponseTime(state, id, now);
    if (response && response->count() > 0) {
      const auto age = static_cast<double>((now - at).count());
      ended[id] += load.requests * std::min(1.0, age / static_cast<double>(response->count()));
    }
  }
}

}  // namespace
}  // namespace internal

std::chrono::microseconds PrefillAllowance(const Contention& contention,
                                           const Request& request,
                                           TimePoint now) {
  const auto urgent = internal::ShareOf(contention.urgent_objective);
  const auto own = internal::ShareOf(request.latency_objective);
  const std::chrono::microseconds left = LatestStart(request) - now;
  if (left <= urgent) {
    return std::max(left, urgent / internal::kLateDivisor);
  }
  const bool is_relaxed = own > urgent && left <= internal::kRelaxedShares * urgent;
  return is_relaxed ? std::min(left, own) : urgent;
}

bool HasTimeToWait(const Contention& contention, const Request& request, TimePoint now) {
  return IsLessUrgent(contention, request) &&
         LatestStart(request) - now >
             internal::kRelaxedShares * internal::ShareOf(contention.urgent_objective);
}

TimePoint LatestStart(const Request& request) {
  // Bounded, so that an absurd number of tokens stays within the range of times.
  const double prompt_ms =
      std::min(static_cast<double>(request.head.prompt_tokens) / internal::kPrefillTokensPerMs,
               static_cast<double>(request.latency_objective.count()));
  return request.arrived + request.latency_objective -
         std::chrono::duration_cast<std::chrono::microseconds>(internal::Milliseconds(prompt_ms));
}

LoadTable ExpectedLoad(const State& state, TimePoint now) {
  LoadTable total = TotalLoad(state, now);
  std::map<UpstreamId, double> done;
  std::map<UpstreamId, double> ended;
  ForEachTable(state, now, [&](const LoadTable& table, TimePoint at) {
    internal::AddProcessed(done, table, total, internal::Milliseconds(now - at));
    internal::AddAnswered(ended, state, table, at, now);
  });
  for (const auto& [id, tokens] : done) {
    std::uint64_t& pending = total.at(id).pending_prompt_tokens;
    pending -= std::min(pending, static_cast<std::uint64_t>(tokens));
  }
  for (const auto& [id, requests] : ended) {
    total.at(id).requests -= static_cast<int>(requests);
  }
  return total;
}

}  // namespace snipeturn::entry
