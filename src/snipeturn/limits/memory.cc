#include <algorithm>
#include <cmath>

#include "snipeturn/limits/resource.h"

namespace snipeturn::internal {
namespace {

// Share of the memory that may be planned for; the rest absorbs generations that become longer
// than expected.
constexpr double kUsableShare = 0.95;
// Bounds the estimate of the work that other hosts started since the report, which is poor when
// this host ran little at the time of the report.
constexpr double kMaxHostFactor = 16.0;
/// Weight of the newest request in the mean of expected tokens.
constexpr double kNewestWeight = 0.2;

/// This host's work on an upstream, split into work started before and after the load report.
struct OwnWork {
  double old_count{0};
  double old_expected{0};
  double new_count{0};
  double new_tokens{0};
  double expected{0};
};

OwnWork SummariseOwnWork(const LimitsState& state,
                         const UpstreamName& upstream,
                         TimePoint measured) {
  OwnWork work;
  for (const auto& [id, hold] : state.holds) {
    if (hold.upstream != upstream) {
      continue;
    }
    const auto expected = static_cast<double>(hold.expected_tokens);
    work.expected += expected;
    if (hold.since <= measured) {
      ++work.old_count;
      work.old_expected += expected;
    } else {
      ++work.new_count;
      work.new_tokens += expected;
    }
  }
  return work;
}

}  // namespace

void RecordExpectedTokens(LimitsState& state, const std::string& service, std::uint64_t expected) {
  if (expected == 0) {
    return;  // Plain services hold no tokens.
  }
  const auto tokens = static_cast<double>(expected);
  const auto [mean, is_new] = state.mean_expected_tokens.try_emplace(service, tokens);
  if (!is_new) {
    mean->second += kNewestWeight * (tokens - mean->second);
  }
}

std::optional<int> MemoryLimit(const LimitsState& state,
                               const UpstreamName& upstream,
                               const UpstreamLimits& limits) {
  if (!limits.report || limits.report->memory_total_tokens == 0) {
    return std::nullopt;
  }
  const LoadReported& report = *limits.report;
  const OwnWork own = SummariseOwnWork(state, upstream, report.began - report.age);
  const double running = report.running + report.waiting;
  const auto used = static_cast<double>(report.memory_used_tokens);
  const double own_total = own.old_count + own.new_count;
  // Other hosts' work is assumed to be of the same size as this host's. While this host runs none,
  // the mean of the work that it tried to start before is used; without that, running work is
  // assumed to grow to twice its size.
  const double mean_used = running > 0 ? used / running : 0.0;
  const auto learned = state.mean_expected_tokens.find(limits.service);
  const double usual =
      learned != state.mean_expected_tokens.end() ? learned->second : 2 * mean_used;
  const double size = std::max({1.0, own_total > 0 ? own.expected / own_total : usual, mean_used});
  const double factor =
      own.old_count > 0 ? std::clamp(running / own.old_count, 1.0, kMaxHostFactor) : 1.0;
  const double started = own.new_count * factor;
  // Work that ran at the time of the report is assumed to grow to its full expected size, because
  // the progress of this host's work says nothing about the progress of the others'.
  const double others = std::max(0.0, running - own.old_count);
  const double forecast =
      std::max(used, own.old_expected + others * size) + own.new_tokens * factor;
  const double room = kUsableShare * static_cast<double>(report.memory_total_tokens) - forecast;
  const double limit = running + started + std::floor(room / size);
  // An idle engine is given one piece of work, whatever its expected size.
  const double least = running + started < 1 ? 1.0 : 0.0;
  return static_cast<int>(std::clamp(limit, least, 1e6));
}

}  // namespace snipeturn::internal
