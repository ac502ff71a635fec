#include "snipeturn/entry/pending.h"

#include <algorithm>
#include <cstdint>
#include <map>

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
  ForEachTable(state, now, [&](const LoadTable& table, TimePoint at) {
    internal::AddProcessed(done, table, total, internal::Milliseconds(now - at));
  });
  for (const auto& [id, tokens] : done) {
    std::uint64_t& pending = total.at(id).pending_prompt_tokens;
    pending -= std::min(pending, static_cast<std::uint64_t>(tokens));
  }
  return total;
}

}  // namespace snipeturn::entry
