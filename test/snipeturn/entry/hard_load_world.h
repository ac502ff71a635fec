#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "snipeturn/entry/entry_fixture.h"
#include "snipeturn/entry/load_broadcast.h"

namespace snipeturn::entry {

/// What the callers of one route got.
struct Outcome {
  int arrived{0};
  int on_time{0};
  int late{0};
  int refused{0};

  double OnTimeShare() const { return arrived > 0 ? 1.0 * on_time / arrived : 0; }
};

/// Many hosts before one group of engines, with two kinds of streams: long ones and short, urgent
/// ones. Hosts hear of one another's load by tables that take 10 ms. An engine processes prompts in
/// the order of their arrival, 6 tokens a millisecond, and starts none that its memory can't hold.
class HardLoadWorld {
 public:
  struct Options {
    int hosts{24};
    int engines{24};
    int zones{4};
    /// The routes differ in priority, which switches the decisions for hard load on.
    bool has_classes{true};
    /// Arrivals a second of each kind, in all.
    double longs_per_second{30};
    double shorts_per_second{10};
    /// Additional short streams of a burst.
    double burst_per_second{0};
    std::chrono::milliseconds burst_from{0};
    std::chrono::milliseconds burst_until{0};
    /// An engine is replaced by a new one, empty and warm, this often.
    std::chrono::milliseconds replacement_interval{1500};
    std::chrono::milliseconds duration{8000};
  };

  explicit HardLoadWorld(const Options& options) : options_(options), random_(1) {
    for (int index = 0; index < options_.hosts; ++index) {
      hosts_.push_back(MakeHost(index));
    }
    for (int index = 0; index < options_.engines; ++index) {
      AddEngine();
    }
  }

  void Run() {
    const TimePoint end = now_ + options_.duration;
    TimePoint next_replacement = now_ + options_.replacement_interval;
    while (now_ < end + kDrainTime) {
      now_ += kStep;
      if (now_ < end) {
        Arrive("/long/", 3000, 748, options_.longs_per_second);
        const auto since = now_ - kStart;
        const bool is_burst = since >= options_.burst_from && since < options_.burst_until;
        Arrive("/short/", 2200, 12,
               options_.shorts_per_second + (is_burst ? options_.burst_per_second : 0));
      }
      if (now_ >= next_replacement && now_ < end) {
        next_replacement += options_.replacement_interval;
        ReplaceEngine();
      }
      RunEngines();
      DeliverTables();
      for (std::size_t index = 0; index < hosts_.size(); ++index) {
        if (now_ - hosts_[index].confirmed >= std::chrono::milliseconds(200)) {
          hosts_[index].confirmed = now_;
          Apply(index, StoreConfirmed{now_});
        }
        Apply(index, Tick{});
      }
    }
  }

  Outcome longs() const { return OutcomeOf("/long/"); }
  Outcome shorts() const { return OutcomeOf("/short/"); }
  /// Most prompt tokens that were pending at one engine.
  std::uint64_t max_pending() const { return max_pending_; }

 private:
  static constexpr TimePoint kStart{std::chrono::seconds(1000)};
  static constexpr std::chrono::milliseconds kStep{5};
  static constexpr std::chrono::milliseconds kDrainTime{8000};
  static constexpr std::chrono::milliseconds kTableDelay{10};
  static constexpr std::uint64_t kMemory{26955};
  static constexpr std::uint64_t kSlots{24};

  struct Host {
    State state;
    BroadcastState broadcast;
    TimePoint confirmed{};
  };

  struct Work {
    std::size_t host{0};
    AttemptKey attempt{0};
    std::uint64_t prompt{0};
    std::uint64_t output{0};
    double prompt_left{0};
    TimePoint end{};
  };

  struct Engine {
    UpstreamEntry entry;
    std::deque<Work> waiting;
    std::vector<Work> running;
    std::uint64_t memory{0};
  };

  struct Caller {
    std::string path;
    TimePoint arrived{};
    std::chrono::milliseconds objective{0};
    std::uint64_t prompt{0};
    std::uint64_t output{0};
    bool is_begun{false};
  };

  struct Table {
    TimePoint due{};
    std::size_t to{0};
    PeerLoadReceived content;
  };

  /// Mean over the time that a stream runs beside others of all ages.
  static std::uint64_t MemoryOf(const Work& work) { return work.prompt + work.output / 2; }

  std::string ZoneOf(int index) const { return "zone-" + std::to_string(index % options_.zones); }

  Host MakeHost(int index) {
    Host host;
    host.state.options.host = "host-" + std::to_string(index);
    host.state.options.zone = ZoneOf(index);
    host.state.options.bounds.retry_slack = 50;
    DesiredState desired;
    desired.version = 1;
    desired.services["engines"] = EntryFixture::Engines();
    desired.services["engines"].engine->memory_tokens = kMemory;
    desired.services["engines"].engine->supports_migration = false;
    desired.routes = {EntryFixture::MakeRoute("/long/", RouteKind::kStream, "engines"),
                      EntryFixture::MakeRoute("/short/", RouteKind::kStream, "engines")};
    desired.routes[0].latency_objective = std::chrono::milliseconds(4000);
    desired.routes[1].latency_objective = std::chrono::milliseconds(1500);
    if (options_.has_classes) {
      desired.routes[0].priority = 2;
    }
    static_cast<void>(Reduce(host.state, DesiredStateRead{desired}, now_));
    host.state.store.awaits_versions = false;
    static_cast<void>(Reduce(host.state, StoreConfirmed{now_}, now_));
    host.confirmed = now_;
    HostsRead hosts;
    hosts.hosts = options_.hosts;
    static_cast<void>(Reduce(host.state, hosts, now_));
    return host;
  }

  void AddEngine() {
    Engine engine;
    const int number = ++last_engine_;
    engine.entry.id = "engine-" + std::to_string(number);
    engine.entry.service = "engines";
    engine.entry.zone = ZoneOf(number);
    engine.entry.endpoint = {
        "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1), 80};
    engine.entry.slots = kSlots;
    engine.entry.start_time_ms = number;
    engine.entry.sequence = 1;
    engines_[engine.entry.id] = engine;
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
      Apply(index, UpstreamListed{engine.entry, {0, static_cast<std::uint64_t>(++list_position_)}});
    }
  }

  /// The oldest engine stops; its streams end as if they had been moved away in time.
  void ReplaceEngine() {
    const auto oldest =
        std::min_element(engines_.begin(), engines_.end(), [](const auto& left, const auto& right) {
          return left.second.entry.start_time_ms < right.second.entry.start_time_ms;
        });
    const UpstreamId id = oldest->first;
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
      Apply(index, UpstreamUnlisted{id, {0, static_cast<std::uint64_t>(++list_position_)}});
    }
    const Engine stopped = std::move(oldest->second);
    engines_.erase(oldest);
    for (const Work& work : stopped.running) {
      EndStream(work);
    }
    for (const Work& work : stopped.waiting) {
      AttemptEnded ended;
      ended.attempt = work.attempt;
      ended.result = AttemptResult::kNotExecuted;
      Apply(work.host, ended);
    }
    AddEngine();
  }

  void Arrive(const std::string& path, std::uint64_t prompt, std::uint64_t output, double rate) {
    const double expected = rate * std::chrono::duration<double>(kStep).count();
    for (int count = std::poisson_distribution<int>(expected)(random_); count > 0; --count) {
      RequestArrived arrived;
      arrived.request = ++requests_;
      arrived.head.id = "request-" + std::to_string(requests_);
      arrived.head.host = "svc.example";
      arrived.head.path = path + "a";
      arrived.head.time_limit = std::chrono::seconds(15);
      arrived.head.prompt_tokens = prompt;
      arrived.head.max_output_tokens = output;
      arrived.head.expected_output_tokens = output;
      callers_[requests_] = {
          path,   now_,   std::chrono::milliseconds(path == "/long/" ? 4000 : 1500),
          prompt, output, false};
      outcomes_[path].arrived += 1;
      Apply(random_() % hosts_.size(), arrived);
    }
  }

  void Apply(std::size_t host, const Event& event) {
    for (const Effect& effect : Reduce(hosts_[host].state, event, now_)) {
      if (const auto* send = std::get_if<Send>(&effect)) {
        Caller& caller = callers_.at(send->request);
        Work work{
            host, send->attempt, caller.prompt, caller.output, static_cast<double>(caller.prompt),
            {}};
        request_by_attempt_[{host, send->attempt}] = send->request;
        engines_.at(send->upstream).waiting.push_back(work);
      } else if (const auto* refuse = std::get_if<Refuse>(&effect)) {
        Caller& caller = callers_.at(refuse->request);
        outcomes_[caller.path].refused += caller.is_begun ? 0 : 1;
        caller.is_begun = true;
      }
    }
  }

  void BeginStream(const Work& work) {
    Caller& caller = callers_.at(request_by_attempt_.at({work.host, work.attempt}));
    if (!caller.is_begun) {
      caller.is_begun = true;
      const bool is_on_time = now_ - caller.arrived <= caller.objective;
      outcomes_[caller.path].on_time += is_on_time ? 1 : 0;
      outcomes_[caller.path].late += is_on_time ? 0 : 1;
    }
    Apply(work.host, StreamProgressed{work.attempt, 1});
  }

  void EndStream(const Work& work) {
    AttemptEnded ended;
    ended.attempt = work.attempt;
    ended.result = AttemptResult::kStreamFinished;
    ended.status = 200;
    Apply(work.host, ended);
  }

  void RunEngines() {
    std::vector<Work> begun;
    std::vector<Work> ended;
    for (auto& [id, engine] : engines_) {
      std::uint64_t pending = 0;
      for (const Work& work : engine.waiting) {
        pending += static_cast<std::uint64_t>(work.prompt_left);
      }
      max_pending_ = std::max(max_pending_, pending);
      for (auto work = engine.running.begin(); work != engine.running.end();) {
        if (now_ >= work->end) {
          engine.memory -= MemoryOf(*work);
          ended.push_back(*work);
          work = engine.running.erase(work);
        } else {
          ++work;
        }
      }
      double tokens = 6.0 * kStep.count();
      while (tokens > 0 && !engine.waiting.empty() && engine.running.size() < kSlots) {
        Work& work = engine.waiting.front();
        if (engine.memory + MemoryOf(work) > kMemory) {
          break;
        }
        const double done = std::min(tokens, work.prompt_left);
        work.prompt_left -= done;
        tokens -= done;
        if (work.prompt_left <= 0) {
          // Long streams have an event of 4 tokens each 33 ms, short ones each 17 ms.
          const auto pace = std::chrono::milliseconds(work.output > 100 ? 33 : 17);
          work.end = now_ + static_cast<int>(work.output / 4) * pace;
          engine.memory += MemoryOf(work);
          engine.running.push_back(work);
          begun.push_back(work);
          engine.waiting.pop_front();
        }
      }
    }
    for (const Work& work : begun) {
      BeginStream(work);
    }
    for (const Work& work : ended) {
      EndStream(work);
    }
  }

  void DeliverTables() {
    for (std::size_t from = 0; from < hosts_.size(); ++from) {
      Host& host = hosts_[from];
      const Audience audience = SelectAudience(host.broadcast, host.state, hosts_.size() - 1, now_);
      if (audience == Audience::kNobody) {
        continue;
      }
      const PeerLoadReceived content = MakeLoadBroadcast(host.state, now_);
      for (std::size_t to = 0; to < hosts_.size(); ++to) {
        if (to != from && IsInAudience(host.state, audience, hosts_[to].state.options.host)) {
          tables_.push_back({now_ + kTableDelay, to, content});
        }
      }
    }
    while (!tables_.empty() && tables_.front().due <= now_) {
      const Table table = std::move(tables_.front());
      tables_.pop_front();
      Apply(table.to, table.content);
    }
  }

  Outcome OutcomeOf(const std::string& path) const {
    const auto found = outcomes_.find(path);
    return found == outcomes_.end() ? Outcome{} : found->second;
  }

  Options options_;
  std::mt19937_64 random_;
  TimePoint now_{kStart};
  std::vector<Host> hosts_;
  std::map<UpstreamId, Engine> engines_;
  std::map<RequestKey, Caller> callers_;
  std::map<std::pair<std::size_t, AttemptKey>, RequestKey> request_by_attempt_;
  std::map<std::string, Outcome> outcomes_;
  std::deque<Table> tables_;
  RequestKey requests_{0};
  int last_engine_{0};
  std::int64_t list_position_{0};
  std::uint64_t max_pending_{0};
};

}  // namespace snipeturn::entry
