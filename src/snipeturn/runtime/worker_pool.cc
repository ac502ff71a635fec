#include "snipeturn/runtime/worker_pool.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <list>
#include <mutex>
#include <system_error>
#include <thread>
#include <utility>

#include "snipeturn/runtime/clock.h"

namespace snipeturn {
namespace internal {
namespace {

constexpr std::chrono::seconds kIdleTimeout{10};

}  // namespace
}  // namespace internal

struct WorkerPool::Shared {
  std::mutex mutex;
  std::condition_variable filled;
  std::condition_variable ended;
  std::deque<Job> jobs;
  /// Start times of the running jobs, oldest first.
  std::list<TimePoint> starts;
  std::size_t threads{0};
  std::size_t idle{0};
  std::uint64_t refused{0};
  bool is_stopping{false};
};

WorkerPool::WorkerPool(std::string name, std::size_t max_threads, std::size_t max_queue)
    : name_(std::move(name)),
      max_threads_(max_threads),
      max_queue_(max_queue),
      shared_(std::make_shared<Shared>()) {}

WorkerPool::~WorkerPool() {
  std::unique_lock<std::mutex> lock(shared_->mutex);
  shared_->is_stopping = true;
  shared_->jobs.clear();
  shared_->filled.notify_all();
  shared_->ended.wait(lock, [this] { return shared_->threads == 0; });
}

bool WorkerPool::Submit(Job job) {
  const std::lock_guard<std::mutex> lock(shared_->mutex);
  if (shared_->jobs.size() >= shared_->idle && shared_->threads < max_threads_) {
    try {
      std::thread(&WorkerPool::RunJobs, shared_).detach();
      ++shared_->threads;
      ++shared_->idle;
    } catch (const std::system_error&) {
      // The system can't create another thread: the job waits for one of the pool's threads or is
      // refused.
    }
  }
  const bool has_room = shared_->threads > 0 && shared_->jobs.size() < shared_->idle + max_queue_;
  if (shared_->is_stopping || !has_room) {
    ++shared_->refused;
    return false;
  }
  shared_->jobs.push_back(std::move(job));
  shared_->filled.notify_one();
  return true;
}

PoolUsage WorkerPool::usage() const {
  const std::lock_guard<std::mutex> lock(shared_->mutex);
  return PoolUsage{shared_->threads - shared_->idle, shared_->jobs.size(), shared_->refused};
}

std::optional<TimePoint> WorkerPool::busy_since() const {
  const std::lock_guard<std::mutex> lock(shared_->mutex);
  return shared_->starts.empty() ? std::nullopt : std::make_optional(shared_->starts.front());
}

void WorkerPool::RunJobs(const std::shared_ptr<Shared>& shared) {
  std::unique_lock<std::mutex> lock(shared->mutex);
  const auto is_ready = [&shared] { return shared->is_stopping || !shared->jobs.empty(); };
  std::list<TimePoint>::iterator start;
  while (shared->filled.wait_for(lock, internal::kIdleTimeout, is_ready) && !shared->jobs.empty()) {
    {
      const Job job = std::move(shared->jobs.front());
      shared->jobs.pop_front();
      --shared->idle;
      start = shared->starts.insert(shared->starts.end(), ReadMonotonic());
      lock.unlock();
      job();
    }
    lock.lock();
    shared->starts.erase(start);
    ++shared->idle;
  }
  --shared->idle;
  --shared->threads;
  shared->ended.notify_all();
}

}  // namespace snipeturn
