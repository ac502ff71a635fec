#include "snipeturn/runtime/stall_watch.h"

#include <fmt/format.h>

#include <utility>

#include "snipeturn/base/log_catalogue.h"
#include "snipeturn/runtime/clock.h"

namespace snipeturn {
namespace internal {
namespace {

// Above the delays of a loaded machine, and below three heartbeat intervals (1.5 s), after which
// the peers count this host as silent.
constexpr std::chrono::milliseconds kHoldUpBound{1000};

std::chrono::milliseconds Elapsed(TimePoint since, TimePoint now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
}

}  // namespace
}  // namespace internal

std::vector<EmitLog> FindStalls(StallState& state,
                                const std::vector<WatchedPart>& parts,
                                TimePoint now) {
  std::vector<EmitLog> lines;
  const TimePoint due = state.checked_at.value_or(now) + kStallCheckInterval;
  state.checked_at = now;
  if (now - due > internal::kHoldUpBound) {
    lines.push_back({log_events::kHeldUp, fmt::format("late_ms={}", (now - due).count() / 1000)});
    // All parts were held up too: they get until the next check to go on.
    return lines;
  }
  for (const WatchedPart& part : parts) {
    const auto since = part.busy_since();
    const auto reported = state.reported.find(part.name);
    if (reported != state.reported.end() && since != reported->second) {
      lines.push_back(
          {log_events::kPartResumed,
           fmt::format("part={} busy_ms={}", part.name,
                       internal::Elapsed(reported->second, since.value_or(now)).count())});
      state.reported.erase(reported);
    }
    if (since && now - *since > part.bound && state.reported.emplace(part.name, *since).second) {
      lines.push_back(
          {log_events::kPartStalled,
           fmt::format("part={} busy_ms={}", part.name, internal::Elapsed(*since, now).count())});
    }
  }
  return lines;
}

StallWatch::StallWatch(std::vector<WatchedPart> parts, std::function<void(const EmitLog&)> write)
    : parts_(std::move(parts)), write_(std::move(write)), thread_([this] {
        StallState state;
        do {
          for (const EmitLog& line : FindStalls(state, parts_, ReadMonotonic())) {
            write_(line);
          }
        } while (!stop_.WaitFor(kStallCheckInterval));
      }) {}

StallWatch::~StallWatch() {
  stop_.Set();
  thread_.join();
}

}  // namespace snipeturn
