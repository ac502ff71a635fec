#include "snipeturn/runtime/pollers.h"

#include <algorithm>
#include <chrono>

#include "snipeturn/base/hash.h"
#include "snipeturn/runtime/clock.h"
#include "snipeturn/transport/log_client.h"
#include "snipeturn/transport/upstream_client.h"

namespace snipeturn {
namespace internal {
namespace {

constexpr std::chrono::milliseconds kFirstRetryDelay{100};
constexpr std::chrono::milliseconds kMaxRetryDelay{1000};
constexpr std::chrono::milliseconds kMinEmptyReadTime{100};
constexpr std::chrono::milliseconds kHostListInterval{1000};
constexpr std::chrono::microseconds kLoadInterval{1000000};
constexpr std::chrono::microseconds kMaxScheduleWait{50000};
constexpr std::size_t kMaxQueuedReads = 4096;

}  // namespace
}  // namespace internal

void StopSignal::Set() {
  const std::lock_guard<std::mutex> lock(mutex_);
  is_set_ = true;
  changed_.notify_all();
}

bool StopSignal::is_set() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return is_set_;
}

bool StopSignal::WaitFor(std::chrono::microseconds time) {
  std::unique_lock<std::mutex> lock(mutex_);
  return changed_.wait_for(lock, time, [this] { return is_set_; });
}

void ExchangeTimes::Begin(const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  began_[name] = ReadMonotonic();
}

void ExchangeTimes::End(const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  began_.erase(name);
}

std::optional<TimePoint> ExchangeTimes::oldest() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto oldest = std::min_element(
      began_.begin(), began_.end(),
      [](const auto& left, const auto& right) { return left.second < right.second; });
  return oldest == began_.end() ? std::nullopt : std::make_optional(oldest->second);
}

LogPollers::LogPollers(Endpoint log,
                       std::vector<std::string> streams,
                       EventQueue& events,
                       LogStateHandler on_state)
    : log_(std::move(log)), events_(events), on_state_(std::move(on_state)) {
  for (std::string& stream : streams) {
    threads_.emplace_back([this, name = std::move(stream)] { Poll(name); });
  }
}

LogPollers::~LogPollers() {
  stop_.Set();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void LogPollers::Poll(const std::string& stream) {
  LogQuery query;
  query.stream = stream;
  auto retry = internal::kFirstRetryDelay;
  bool is_reachable = true;
  while (!stop_.is_set()) {
    std::string reason;
    const TimePoint began = ReadMonotonic();
    reads_.Begin(stream);
    auto read = ReadRecords(log_, query, began, reason);
    reads_.End(stream);
    if (read.has_value() != is_reachable) {
      is_reachable = read.has_value();
      on_state_(stream, is_reachable, reason);
    }
    if (read) {
      retry = internal::kFirstRetryDelay;
      query.from = NextOffset(*read);
      const bool is_empty = read->records.empty();
      events_.Post(std::move(*read));
      if (is_empty && ReadMonotonic() - began < internal::kMinEmptyReadTime) {
        // Avoids a busy loop when the log responds at once instead of waiting for records.
        stop_.WaitFor(internal::kMinEmptyReadTime);
      }
    } else {
      events_.Post(LogReadFailed{stream});
      stop_.WaitFor(retry);
      retry = std::min(retry * 2, internal::kMaxRetryDelay);
    }
  }
}

HostListPoller::HostListPoller(Endpoint log, std::function<ListedHost()> self, EventQueue& events)
    : log_(std::move(log)), self_(std::move(self)), events_(events), thread_([this] { Poll(); }) {}

HostListPoller::~HostListPoller() {
  stop_.Set();
  thread_.join();
}

void HostListPoller::Poll() {
  do {
    exchange_.Begin("host_list");
    RegisterHost(log_, self_());
    std::string reason;
    if (auto list = ReadHostList(log_, reason)) {
      events_.Post(std::move(*list));
    }
    exchange_.End("host_list");
  } while (!stop_.WaitFor(internal::kHostListInterval));
}

LoadPollers::LoadPollers(std::size_t max_threads, EventQueue& events)
    : events_(events),
      pool_("load_reports", max_threads, internal::kMaxQueuedReads),
      thread_([this] { Schedule(); }) {}

LoadPollers::~LoadPollers() {
  stop_.Set();
  thread_.join();
}

void LoadPollers::SetTargets(const std::vector<LoadTarget>& targets) {
  const TimePoint now = ReadMonotonic();
  std::map<UpstreamName, Target> next;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [name, endpoint] : targets) {
    const auto known = targets_.find(name);
    if (known != targets_.end() && known->second.endpoint == endpoint) {
      next.insert(targets_.extract(known));
    } else {
      // Spreads the first reads of many upstreams over a quarter of the interval.
      const auto phase = std::chrono::microseconds{
          Hash(name) % static_cast<std::uint64_t>(internal::kLoadInterval.count())};
      next[name] = Target{endpoint, now + phase / 4, false};
    }
  }
  targets_ = std::move(next);
}

void LoadPollers::Schedule() {
  while (!stop_.WaitFor(StartDue())) {
  }
}

std::chrono::microseconds LoadPollers::StartDue() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const TimePoint now = ReadMonotonic();
  auto wait = internal::kMaxScheduleWait;
  for (auto& [name, target] : targets_) {
    if (target.is_reading) {
      continue;
    }
    if (target.due <= now) {
      const LoadTarget read{name, target.endpoint};
      target.due = now + internal::kLoadInterval;
      target.is_reading = pool_.Submit([this, read] { Read(read); });
    } else {
      wait = std::min(wait, target.due - now);
    }
  }
  return wait;
}

void LoadPollers::Read(const LoadTarget& target) {
  std::string reason;
  auto load = ReadLoad(target.first, target.second, ReadMonotonic(), reason);
  if (load) {
    events_.Post(std::move(*load));
  } else {
    events_.Post(LoadReportFailed{target.first});
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = targets_.find(target.first);
  if (found != targets_.end() && found->second.endpoint == target.second) {
    found->second.is_reading = false;
  }
}

}  // namespace snipeturn
