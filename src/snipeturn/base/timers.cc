#include "snipeturn/base/timers.h"

namespace snipeturn {

void Schedule(Timers& timers, const TimerKey& key, TimePoint due) {
  Cancel(timers, key);
  timers.due_by_key.emplace(key, due);
  timers.queue.emplace(due, key);
}

void Cancel(Timers& timers, const TimerKey& key) {
  const auto found = timers.due_by_key.find(key);
  if (found == timers.due_by_key.end()) {
    return;
  }
  timers.queue.erase({found->second, key});
  timers.due_by_key.erase(found);
}

std::optional<TimerKey> PopDue(Timers& timers, TimePoint now) {
  if (timers.queue.empty() || timers.queue.begin()->first > now) {
    return std::nullopt;
  }
  const TimerKey key = timers.queue.begin()->second;
  Cancel(timers, key);
  return key;
}

std::optional<TimePoint> NextDue(const Timers& timers) noexcept {
  if (timers.queue.empty()) {
    return std::nullopt;
  }
  return timers.queue.begin()->first;
}

bool IsScheduled(const Timers& timers, const TimerKey& key) {
  return timers.due_by_key.count(key) > 0;
}

}  // namespace snipeturn
