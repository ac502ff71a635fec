#include "standins/engine/engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <cmath>

#include "snipeturn/base/digest.h"
#include "snipeturn/base/hash.h"
#include "standins/common/incarnation.h"

namespace snipeturn::standin {
namespace internal {

constexpr std::chrono::milliseconds kIdleWaitInterval{5};
constexpr std::chrono::milliseconds kReaderWaitInterval{20};
/// Bounds the lists of starts in the statistics.
constexpr std::size_t kMaxRecordedStarts = 2000;
/// Bound on a drawn length, in tokens.
constexpr std::uint64_t kMaxDrawnTokens = 32768;

std::int64_t MillisecondsSince(EngineClock::time_point start) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(EngineClock::now() - start).count();
}

bool IsActive(const Generation& generation) noexcept {
  return generation.phase == GenerationPhase::kWaiting ||
         generation.phase == GenerationPhase::kRunning;
}

}  // namespace internal

Engine::Engine(EngineOptions options)
    : options_{std::move(options)},
      incarnation_{DrawIncarnation()},
      cache_{options_.cache_tokens},
      cold_since_{EngineClock::now()} {
  cold_ = options_.cold_time.count() > 0;
  SampleLoad();
  thread_ = std::thread{[this] { Run(); }};
}

Engine::~Engine() {
  {
    const std::lock_guard lock{mutex_};
    stopped_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

std::optional<ReaderTicket> Engine::Start(const GenerationRequest& request,
                                          std::optional<int> max_active) {
  const std::lock_guard lock{mutex_};
  const std::uint64_t prompt_tokens = CountTokens(request.prompt);
  const std::uint64_t length = DrawLength(request);
  if (active() >= max_active.value_or(options_.slots + options_.max_waiting) ||
      active() >= options_.slots + options_.max_waiting ||
      prompt_tokens + length > options_.memory_tokens) {
    ++stats_.refused;
    return std::nullopt;
  }
  auto generation = std::make_shared<Generation>();
  generation->arrival = next_arrival_++;
  generation->id = fmt::format("{:x}-{}", incarnation_, generation->arrival);
  generation->priority = request.priority;
  generation->prompt_tokens = prompt_tokens;
  generation->uncached_tokens = cache_.LookUpAndInsert(request.prompt);
  generation->length = length;
  generation->reader = next_reader_++;
  generation->has_reader = true;
  generations_[generation->id] = generation;
  generation->exceeds_cold_limit = cold_ && active() > options_.cold_slots;
  RecordStart(request, *generation);
  changed_.notify_all();
  return ReaderTicket{generation->id, generation->reader};
}

void Engine::RecordStart(const GenerationRequest& request, Generation& generation) {
  generation.started_cold = cold_;
  const int active_count = active();
  ++stats_.starts;
  ++stats_.executions[Sha256Hex(request.prompt).substr(0, 16)];
  stats_.peak_concurrency = std::max(stats_.peak_concurrency, active_count);
  stats_.last_start = EngineClock::now();
  if (cold_) {
    stats_.peak_cold_concurrency = std::max(stats_.peak_cold_concurrency, active_count);
    if (stats_.cold_starts.size() < internal::kMaxRecordedStarts) {
      stats_.cold_starts.push_back(
          {internal::MillisecondsSince(cold_since_), active_count, cold_started_completed_});
    }
  }
  if (leaving_ && stats_.leaving_starts.size() < internal::kMaxRecordedStarts) {
    stats_.leaving_starts.push_back(internal::MillisecondsSince(leaving_since_));
  }
}

std::uint64_t Engine::DrawLength(const GenerationRequest& request) const {
  if (request.max_tokens > 0 && !options_.drawn_lengths) {
    return request.max_tokens;
  }
  boost::random::mt19937_64 generator{Hash(request.prompt, options_.seed)};
  boost::random::lognormal_distribution<double> lengths{std::log(options_.median_length),
                                                        options_.length_sigma};
  const double drawn = std::clamp(lengths(generator), 1.0, double{internal::kMaxDrawnTokens});
  const auto length = static_cast<std::uint64_t>(drawn);
  return request.max_tokens > 0 ? std::min(length, request.max_tokens) : length;
}

std::optional<ReaderTicket> Engine::Resume(const std::string& id) {
  const std::lock_guard lock{mutex_};
  const auto found = generations_.find(id);
  if (found == generations_.end()) {
    return std::nullopt;
  }
  Generation& generation = *found->second;
  generation.reader = next_reader_++;
  generation.has_reader = true;
  ++stats_.resumes;
  changed_.notify_all();
  return ReaderTicket{id, generation.reader};
}

bool Engine::Cancel(const std::string& id) {
  const std::lock_guard lock{mutex_};
  const auto found = generations_.find(id);
  if (found == generations_.end()) {
    return false;
  }
  if (internal::IsActive(*found->second)) {
    ++stats_.cancelled;
    Finish(*found->second, GenerationPhase::kCancelled);
  }
  generations_.erase(found);
  changed_.notify_all();
  return true;
}

ReadResult Engine::WaitForToken(const ReaderTicket& ticket, std::uint64_t index) {
  std::unique_lock lock{mutex_};
  const auto found = generations_.find(ticket.generation);
  if (found == generations_.end()) {
    return ReadResult::kFailed;
  }
  const std::shared_ptr<Generation> generation = found->second;
  const auto has_update = [&] {
    return generation->reader != ticket.reader || generation->produced_tokens > index ||
           !internal::IsActive(*generation);
  };
  changed_.wait_for(lock, internal::kReaderWaitInterval, has_update);
  if (generation->reader != ticket.reader) {
    return ReadResult::kSuperseded;
  }
  if (generation->phase == GenerationPhase::kFailed) {
    return ReadResult::kFailed;
  }
  if (generation->phase == GenerationPhase::kCancelled) {
    return ReadResult::kCancelled;
  }
  if (generation->produced_tokens > index) {
    return ReadResult::kToken;
  }
  return generation->phase == GenerationPhase::kFinished ? ReadResult::kDone : ReadResult::kPending;
}

void Engine::Detach(const ReaderTicket& ticket) {
  const std::lock_guard lock{mutex_};
  const auto found = generations_.find(ticket.generation);
  if (found != generations_.end() && found->second->reader == ticket.reader) {
    found->second->has_reader = false;
    found->second->detached_at = EngineClock::now();
  }
}

void Engine::Run() {
  std::unique_lock lock{mutex_};
  EngineClock::time_point next = EngineClock::now();
  while (!stopped_) {
    EndColdPhase();
    RemoveAbandoned();
    SampleLoad();
    Admit();
    if (CountPhase(GenerationPhase::kRunning) == 0) {
      changed_.wait_for(lock, internal::kIdleWaitInterval);
      next = EngineClock::now();
      continue;
    }
    next = std::max(next, EngineClock::now() - options_.step) + StepTime();
    lock.unlock();
    std::this_thread::sleep_until(next);
    lock.lock();
    FailColdExcess();
    ProduceTokens();
    Preempt();
    changed_.notify_all();
  }
}

void Engine::Admit() {
  int running = CountPhase(GenerationPhase::kRunning);
  while (running < options_.slots) {
    const std::shared_ptr<Generation> next = NextWaiting();
    if (!next) {
      return;
    }
    const std::uint64_t needed = next->prompt_tokens + next->produced_tokens + 1;
    if (memory_used() + needed > options_.memory_tokens) {
      return;
    }
    next->phase = GenerationPhase::kRunning;
    next->resident_tokens = needed - 1;
    ++running;
  }
}

std::chrono::microseconds Engine::StepTime() {
  std::chrono::microseconds time = options_.step;
  for (const auto& [id, generation] : generations_) {
    if (generation->phase == GenerationPhase::kRunning) {
      time += options_.step_per_generation;
      time += options_.prefill_per_token * generation->uncached_tokens;
      generation->uncached_tokens = 0;
    }
  }
  return cold_ && active() > options_.cold_slots ? time * options_.cold_slowdown : time;
}

void Engine::ProduceTokens() {
  for (const auto& [id, generation] : generations_) {
    if (generation->phase != GenerationPhase::kRunning) {
      continue;
    }
    ++generation->produced_tokens;
    ++generation->resident_tokens;
    if (generation->produced_tokens >= generation->length) {
      Finish(*generation, GenerationPhase::kFinished);
      ++stats_.completed;
      ++cold_completed_;
      cold_started_completed_ += generation->started_cold ? 1 : 0;
    }
  }
  stats_.peak_memory = std::max(stats_.peak_memory, memory_used());
}

/// Evicts the lowest-priority, most recently arrived generations until the rest fit into memory. An
/// evicted generation waits again and must recompute its prompt and its tokens.
void Engine::Preempt() {
  while (memory_used() > options_.memory_tokens) {
    std::shared_ptr<Generation> victim;
    for (const auto& [id, generation] : generations_) {
      if (generation->phase == GenerationPhase::kRunning &&
          (!victim || std::pair{generation->priority, generation->arrival} >
                          std::pair{victim->priority, victim->arrival})) {
        victim = generation;
      }
    }
    victim->phase = GenerationPhase::kWaiting;
    victim->resident_tokens = 0;
    victim->uncached_tokens = victim->prompt_tokens + victim->produced_tokens;
    ++stats_.preemptions;
  }
}

void Engine::Finish(Generation& generation, GenerationPhase phase) {
  generation.phase = phase;
  generation.resident_tokens = 0;
  generation.detached_at = EngineClock::now();
}

void Engine::FailColdExcess() {
  for (const auto& [id, generation] : generations_) {
    if (cold_ && generation->exceeds_cold_limit && internal::IsActive(*generation)) {
      Finish(*generation, GenerationPhase::kFailed);
      ++stats_.failed;
    }
  }
}

void Engine::RemoveAbandoned() {
  const EngineClock::time_point oldest = EngineClock::now() - options_.reader_grace;
  for (auto entry = generations_.begin(); entry != generations_.end();) {
    Generation& generation = *entry->second;
    if (generation.has_reader || generation.detached_at > oldest) {
      ++entry;
      continue;
    }
    if (internal::IsActive(generation)) {
      ++stats_.cancelled;
      Finish(generation, GenerationPhase::kCancelled);
    }
    entry = generations_.erase(entry);
  }
}

void Engine::SampleLoad() {
  const EngineClock::time_point now = EngineClock::now();
  if (!reports_.empty() && now - reports_.back().first < options_.report_interval) {
    return;
  }
  Json::Value report;
  report["incarnation"] = Json::UInt64{incarnation_};
  report["running"] = CountPhase(GenerationPhase::kRunning);
  report["waiting"] = CountPhase(GenerationPhase::kWaiting);
  report["memory_used_tokens"] = Json::UInt64{memory_used()};
  report["memory_total_tokens"] = Json::UInt64{options_.memory_tokens};
  report["leaving"] = leaving_;
  report["models"] = Json::arrayValue;
  for (const std::string& model : options_.models) {
    report["models"].append(model);
  }
  reports_.emplace_back(now, std::move(report));
  while (reports_.size() > 1 && reports_[1].first + options_.report_lag <= now) {
    reports_.pop_front();
  }
}

Json::Value Engine::Load() const {
  const std::lock_guard lock{mutex_};
  Json::Value report = reports_.front().second;
  report["measured_ms_ago"] = Json::Int64{internal::MillisecondsSince(reports_.front().first)};
  return report;
}

void Engine::EndColdPhase() {
  if (cold_ && (internal::MillisecondsSince(cold_since_) >= options_.cold_time.count() ||
                cold_completed_ >= options_.cold_completions)) {
    cold_ = false;
  }
}

void Engine::TurnCold() {
  cold_ = true;
  cold_since_ = EngineClock::now();
  cold_completed_ = 0;
  cold_started_completed_ = 0;
  for (const auto& [id, generation] : generations_) {
    generation->started_cold = false;
  }
  cache_.Clear();
}

void Engine::Restart() {
  for (const auto& [id, generation] : generations_) {
    Finish(*generation, GenerationPhase::kFailed);
  }
  generations_.clear();
  incarnation_ = DrawIncarnation();
  leaving_ = false;
  ++stats_.restarts;
  reports_.clear();
  TurnCold();
  SampleLoad();
}

void Engine::Control(const Json::Value& control) {
  const std::lock_guard lock{mutex_};
  if (control["restart"].asBool()) {
    Restart();
  }
  if (control["cold"].asBool()) {
    TurnCold();
  }
  if (control.isMember("leaving")) {
    leaving_ = control["leaving"].asBool();
    leaving_since_ = EngineClock::now();
  }
  options_.step = std::chrono::microseconds{
      control.get("step_us", Json::Int64{options_.step.count()}).asInt64()};
  options_.report_lag = std::chrono::milliseconds{
      control.get("report_lag_ms", Json::Int64{options_.report_lag.count()}).asInt64()};
  changed_.notify_all();
}

std::shared_ptr<Generation> Engine::NextWaiting() const {
  std::shared_ptr<Generation> next;
  for (const auto& [id, generation] : generations_) {
    if (generation->phase == GenerationPhase::kWaiting &&
        (!next || std::pair{generation->priority, generation->arrival} <
                      std::pair{next->priority, next->arrival})) {
      next = generation;
    }
  }
  return next;
}

int Engine::CountPhase(GenerationPhase phase) const {
  return static_cast<int>(
      std::count_if(generations_.begin(), generations_.end(),
                    [phase](const auto& entry) { return entry.second->phase == phase; }));
}

int Engine::active() const {
  return CountPhase(GenerationPhase::kWaiting) + CountPhase(GenerationPhase::kRunning);
}

std::uint64_t Engine::memory_used() const {
  std::uint64_t used = 0;
  for (const auto& [id, generation] : generations_) {
    used += generation->resident_tokens;
  }
  return used;
}

std::uint64_t Engine::incarnation() const {
  const std::lock_guard lock{mutex_};
  return incarnation_;
}

bool Engine::serves(const std::string& model) const {
  return options_.models.count(model) > 0;
}

Json::Value Engine::Stats() const {
  const std::lock_guard lock{mutex_};
  Json::Value stats;
  stats["incarnation"] = Json::UInt64{incarnation_};
  stats["active"] = active();
  stats["cold"] = cold_;
  stats["peak_concurrency"] = stats_.peak_concurrency;
  stats["peak_cold_concurrency"] = stats_.peak_cold_concurrency;
  stats["peak_memory_tokens"] = Json::UInt64{stats_.peak_memory};
  stats["preemptions"] = Json::UInt64{stats_.preemptions};
  stats["starts"] = Json::UInt64{stats_.starts};
  stats["completed"] = Json::UInt64{stats_.completed};
  stats["cancelled"] = Json::UInt64{stats_.cancelled};
  stats["failed"] = Json::UInt64{stats_.failed};
  stats["refused"] = Json::UInt64{stats_.refused};
  stats["resumes"] = Json::UInt64{stats_.resumes};
  stats["restarts"] = Json::UInt64{stats_.restarts};
  stats["last_start_ms_ago"] =
      stats_.starts > 0 ? Json::Value{Json::Int64{internal::MillisecondsSince(stats_.last_start)}}
                        : Json::Value{};
  stats["executions"] = Json::objectValue;
  for (const auto& [prompt, count] : stats_.executions) {
    stats["executions"][prompt] = Json::UInt64{count};
  }
  stats["cold_starts"] = Json::arrayValue;
  for (const ColdStart& start : stats_.cold_starts) {
    Json::Value item;
    item["after_ms"] = Json::Int64{start.after_ms};
    item["active"] = start.active;
    item["completed"] = start.completed;
    stats["cold_starts"].append(std::move(item));
  }
  stats["leaving_starts_ms"] = Json::arrayValue;
  for (const std::int64_t after_ms : stats_.leaving_starts) {
    stats["leaving_starts_ms"].append(Json::Int64{after_ms});
  }
  return stats;
}

std::string TokenText(const std::string& generation, std::uint64_t index) {
  return fmt::format("{}/{} ", generation, index);
}

}  // namespace snipeturn::standin
