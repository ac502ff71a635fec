#include "snipeturn/runtime/event_queue.h"

#include <utility>

#include "snipeturn/runtime/clock.h"

namespace snipeturn {

void EventQueue::Post(Event event) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Add(std::move(event));
}

void EventQueue::PostToken(AttemptToken token) {
  std::unique_lock<std::mutex> lock(mutex_);
  drained_.wait(lock, [this] { return is_closed_ || events_.size() < soft_limit_; });
  Add(std::move(token));
}

std::optional<Event> EventQueue::Pop(std::optional<TimePoint> due) {
  std::unique_lock<std::mutex> lock(mutex_);
  const auto is_ready = [this] { return is_closed_ || !events_.empty(); };
  if (due) {
    filled_.wait_for(lock, *due - ReadMonotonic(), is_ready);
  } else {
    filled_.wait(lock, is_ready);
  }
  if (events_.empty()) {
    return std::nullopt;
  }
  std::optional<Event> event(std::move(events_.front()));
  events_.pop_front();
  waiting_since_ = ReadMonotonic();
  if (events_.size() + 1 == soft_limit_) {
    drained_.notify_all();
  }
  return event;
}

std::optional<TimePoint> EventQueue::waiting_since() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return events_.empty() ? std::nullopt : std::make_optional(waiting_since_);
}

void EventQueue::Add(Event event) {
  if (events_.empty()) {
    waiting_since_ = ReadMonotonic();
  }
  events_.push_back(std::move(event));
  filled_.notify_one();
}

void EventQueue::Close() {
  const std::lock_guard<std::mutex> lock(mutex_);
  is_closed_ = true;
  filled_.notify_all();
  drained_.notify_all();
}

}  // namespace snipeturn
