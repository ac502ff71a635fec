#include "snipeturn/runtime/attempt_runner.h"

#include "snipeturn/runtime/clock.h"
#include "snipeturn/transport/upstream_client.h"

namespace snipeturn {
namespace internal {
namespace {

constexpr std::size_t kCancelThreads = 8;
constexpr std::size_t kCancelQueue = 1024;

}  // namespace
}  // namespace internal

AttemptRunner::AttemptRunner(std::size_t max_streams, std::size_t max_calls, EventQueue& events)
    : events_(events),
      streams_("streams", max_streams, 0),
      calls_("calls", max_calls, 0),
      cancels_("cancels", internal::kCancelThreads, internal::kCancelQueue) {}

void AttemptRunner::Start(const StartAttempt& attempt) {
  const auto abandoned = std::make_shared<std::atomic<bool>>(false);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    running_[{attempt.request, attempt.attempt}] = abandoned;
  }
  WorkerPool& pool = attempt.kind == AttemptKind::kCall ? calls_ : streams_;
  if (!pool.Submit([this, attempt, abandoned] { Run(attempt, abandoned); })) {
    Unregister(attempt);
    AttemptEnded ended;
    ended.request = attempt.request;
    ended.attempt = attempt.attempt;
    ended.result = AttemptResult::kUnsent;
    events_.Post(ended);
  }
}

void AttemptRunner::Abandon(const AbandonAttempt& abandon) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = running_.find({abandon.request, abandon.attempt});
  if (found != running_.end()) {
    found->second->store(true);
    running_.erase(found);
  }
}

void AttemptRunner::Cancel(const CancelGeneration& cancel) {
  // A cancel request is dropped when the queue is full: the engine itself ends generations that
  // have no reader.
  static_cast<void>(cancels_.Submit([cancel] { RunCancel(cancel); }));
}

void AttemptRunner::Run(const StartAttempt& attempt, const AbandonFlag& abandoned) {
  AttemptHooks hooks;
  hooks.may_send = [&] { return !abandoned->load() && ReadMonotonic() <= attempt.not_after; };
  hooks.is_abandoned = [&] { return abandoned->load(); };
  hooks.on_token = [&](AttemptToken token) { events_.PostToken(std::move(token)); };
  AttemptEnded ended = RunAttempt(attempt, hooks);
  if (!abandoned->load()) {
    events_.Post(std::move(ended));
  }
  Unregister(attempt);
}

void AttemptRunner::Unregister(const StartAttempt& attempt) {
  const std::lock_guard<std::mutex> lock(mutex_);
  running_.erase({attempt.request, attempt.attempt});
}

}  // namespace snipeturn
