#pragma once

#include <json/value.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "standins/engine/prefix_cache.h"

namespace snipeturn::standin {

using EngineClock = std::chrono::steady_clock;

/// Parameters of the simulated engine; durations are those of a warm engine.
struct EngineOptions {
  std::chrono::microseconds step{10000};
  /// Added to each step for each running generation.
  std::chrono::microseconds step_per_generation{200};
  /// Added to a step for each prompt token that is computed in it.
  std::chrono::microseconds prefill_per_token{20};
  std::uint64_t memory_tokens{65536};
  std::uint64_t cache_tokens{16384};
  /// Maximum number of generations in a batch.
  int slots{16};
  /// Maximum number of waiting generations; further requests are rejected.
  int max_waiting{64};
  /// Generations that a cold engine can serve at once; further ones fail while it is cold.
  int cold_slots{2};
  std::chrono::milliseconds cold_time{5000};
  /// Completed generations after which the engine is warm, even before `cold_time` has passed.
  int cold_completions{16};
  /// Factor of the step time while a cold engine has more than `cold_slots` generations.
  int cold_slowdown{8};
  /// Age of the load report that is returned.
  std::chrono::milliseconds report_lag{500};
  std::chrono::milliseconds report_interval{100};
  /// Time for which a generation is kept without a reader.
  std::chrono::milliseconds reader_grace{15000};
  std::set<std::string> models;
  std::uint64_t seed{1};
  /// Draw lengths of at most max_tokens from a lognormal distribution instead of using exactly
  /// max_tokens. Without max_tokens a length is always drawn.
  bool drawn_lengths{false};
  double median_length{150.0};
  double length_sigma{1.2};
};

/// A request to generate.
struct GenerationRequest {
  std::string model;
  std::string prompt;
  std::uint64_t max_tokens{0};
  /// 0 is the highest priority.
  int priority{0};
};

enum class GenerationPhase : std::uint8_t { kWaiting, kRunning, kFinished, kCancelled, kFailed };

struct Generation {
  std::string id;
  int priority{0};
  std::uint64_t arrival{0};
  std::uint64_t prompt_tokens{0};
  std::uint64_t length{0};
  std::uint64_t produced_tokens{0};
  /// Tokens to prefill before the next token: the uncached part of the prompt, or everything after
  /// a preemption.
  std::uint64_t uncached_tokens{0};
  /// Tokens held in memory; 0 while waiting.
  std::uint64_t resident_tokens{0};
  GenerationPhase phase{GenerationPhase::kWaiting};
  bool started_cold{false};
  /// Started on a cold engine that already had `cold_slots` generations.
  bool exceeds_cold_limit{false};
  /// Id of the latest reader; earlier ones are superseded.
  std::uint64_t reader{0};
  bool has_reader{false};
  EngineClock::time_point detached_at{};
};

/// A generation that was started while the engine was cold.
struct ColdStart {
  /// Milliseconds since the engine turned cold.
  std::int64_t after_ms{0};
  /// Waiting and running generations at that time, including this one.
  int active{0};
  /// Generations that both started and completed since the engine turned cold.
  int completed{0};
};

/// Counters and peaks that tests compare with the limits.
struct EngineStats {
  int peak_concurrency{0};
  std::uint64_t peak_memory{0};
  std::uint64_t preemptions{0};
  std::uint64_t starts{0};
  std::uint64_t completed{0};
  std::uint64_t cancelled{0};
  std::uint64_t failed{0};
  std::uint64_t refused{0};
  std::uint64_t resumes{0};
  std::uint64_t restarts{0};
  /// Maximum of waiting and running generations when one started on the cold engine.
  int peak_cold_concurrency{0};
  std::vector<ColdStart> cold_starts;
  /// Starts after the termination notice: milliseconds since the notice.
  std::vector<std::int64_t> leaving_starts;
  /// Executions by the first 16 hexadecimal digits of the prompt's SHA-256.
  std::map<std::string, std::uint64_t> executions;
  EngineClock::time_point last_start{};
};

/// Identifies a reader of a generation.
struct ReaderTicket {
  std::string generation;
  std::uint64_t reader{0};
};

enum class ReadResult : std::uint8_t { kToken, kPending, kDone, kSuperseded, kCancelled, kFailed };

/// Simulates continuous batching with limited memory: a thread runs one step at a time for all
/// running generations.
class Engine {
 public:
  explicit Engine(EngineOptions options);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  /// @brief Starts a generation.
  /// @param request The request.
  /// @param max_active Number of waiting and running generations from which on it is refused,
  /// beside
  ///     the limits of the engine.
  /// @return Its first reader, or nothing when it is refused.
  [[nodiscard]] std::optional<ReaderTicket> Start(const GenerationRequest& request,
                                                  std::optional<int> max_active);

  /// @brief Attaches a new reader, which supersedes the present one.
  /// @return The reader, or nothing when the generation is unknown.
  [[nodiscard]] std::optional<ReaderTicket> Resume(const std::string& id);

  /// @brief Cancels a generation and frees its memory.
  /// @return False when it is unknown.
  [[nodiscard]] bool Cancel(const std::string& id);

  /// @brief Waits for a token, at most 20 ms.
  /// @param ticket The reader.
  /// @param index The index of the token.
  /// @return kPending when nothing changed in that time.
  [[nodiscard]] ReadResult WaitForToken(const ReaderTicket& ticket, std::uint64_t index);

  /// Detaches a reader whose connection ended; starts the reader grace time.
  void Detach(const ReaderTicket& ticket);

  /// @brief Returns the load report delayed by the report lag, with its age.
  [[nodiscard]] Json::Value Load() const;
  [[nodiscard]] Json::Value Stats() const;
  [[nodiscard]] std::uint64_t incarnation() const;
  [[nodiscard]] bool serves(const std::string& model) const;

  /// @brief Applies the members "restart", "cold", "leaving", "step_us" and "report_lag_ms" of a
  /// control request; absent ones change nothing.
  void Control(const Json::Value& control);

 private:
  using GenerationMap = std::map<std::string, std::shared_ptr<Generation>>;

  void Run();
  void TurnCold();
  void Restart();
  void Admit();
  void ProduceTokens();
  void Preempt();
  void Finish(Generation& generation, GenerationPhase phase);
  void FailColdExcess();
  void RemoveAbandoned();
  void SampleLoad();
  void EndColdPhase();
  [[nodiscard]] std::chrono::microseconds StepTime();
  [[nodiscard]] std::shared_ptr<Generation> NextWaiting() const;
  [[nodiscard]] int CountPhase(GenerationPhase phase) const;
  [[nodiscard]] int active() const;
  [[nodiscard]] std::uint64_t memory_used() const;
  [[nodiscard]] std::uint64_t DrawLength(const GenerationRequest& request) const;
  void RecordStart(const GenerationRequest& request, Generation& generation);

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  EngineOptions options_;
  std::uint64_t incarnation_{0};
  std::uint64_t next_arrival_{1};
  std::uint64_t next_reader_{1};
  GenerationMap generations_;
  PrefixCache cache_;
  bool cold_{true};
  EngineClock::time_point cold_since_;
  /// Generations completed since the engine turned cold.
  int cold_completed_{0};
  /// Those of them that also started since then.
  int cold_started_completed_{0};
  bool leaving_{false};
  EngineClock::time_point leaving_since_{};
  std::deque<std::pair<EngineClock::time_point, Json::Value>> reports_;
  EngineStats stats_;
  bool stopped_{false};
  std::thread thread_;
};

/// @brief Makes the text of a token, "generation/index ", so that clients can verify both.
/// @param generation The generation.
/// @param index The index of the token.
/// @return The text, with a trailing space.
[[nodiscard]] std::string TokenText(const std::string& generation, std::uint64_t index);

}  // namespace snipeturn::standin
