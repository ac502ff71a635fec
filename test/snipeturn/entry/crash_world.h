#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "snipeturn/entry/entry_fixture.h"
#include "snipeturn/loop/peer_socket.h"

namespace snipeturn::entry {

/// Several hosts before the same engines, some of whose requests crash the engine that begins to
/// answer them. Messages between hosts arrive at once unless they are dropped.
class CrashWorld {
 public:
  static constexpr quarantine::PartId kDeadlyPart = 0xdead;
  static constexpr quarantine::PartId kSharedPart = 0xa;
  static constexpr std::chrono::milliseconds kStep{10};
  static constexpr std::chrono::milliseconds kRestartTime{3000};

  explicit CrashWorld(int host_count, int engine_count = 12, int slots = 24)
      : engine_count_(engine_count), slots_(slots) {
    for (int number = 0; number < host_count; ++number) {
      hosts_.emplace_back();
      StartHost(number);
    }
    for (int number = 0; number < engine_count; ++number) {
      AddEngine();
    }
  }

  /// Forgets what the process of a host knows and starts it again.
  void StartHost(int number) {
    EntryFixture fixture;
    fixture.state.options.host = "host-" + std::to_string(number);
    // A share of 110 MB.
    fixture.state.options.max_crash_evidence_bytes = 110U * 1024 * 1024 / 32;
    EngineLimits& limits = *fixture.state.desired->services.at("engines").engine;
    limits.memory_tokens *=
        static_cast<std::uint64_t>(slots_) / static_cast<std::uint64_t>(limits.slots);
    limits.slots = slots_;
    fixture.requests = (++incarnations_) * 1000000ULL;
    fixture.state.next_attempt = fixture.requests;
    fixture.state.hosts = static_cast<int>(hosts_.size());
    fixture.now = now;
    fixture.Apply(StoreConfirmed{now});
    for (auto attempt = attempts_.begin(); attempt != attempts_.end();) {
      attempt = attempt->second.host == number ? attempts_.erase(attempt) : std::next(attempt);
    }
    for (const auto& [id, entry] : engines_) {
      fixture.Apply(UpstreamListed{entry, {0, static_cast<std::uint64_t>(entry.sequence)}});
    }
    hosts_[static_cast<std::size_t>(number)] = std::move(fixture);
  }

  /// Sends a request to a host. The last part is the request's own.
  void Request(int host, std::vector<quarantine::PartId> parts) {
    // Ids are hashes, so that neighbours have nothing in common.
    next_own_part_ += 0x9E3779B1U;
    parts.push_back(next_own_part_);
    Repeat(host, std::move(parts));
  }

  /// Sends a request whose parts are all given.
  void Repeat(int host, std::vector<quarantine::PartId> parts) {
    EntryFixture& fixture = hosts_[static_cast<std::size_t>(host)];
    RequestArrived arrived;
    arrived.request = ++fixture.requests;
    arrived.head.id = "request-" + std::to_string(arrived.request);
    arrived.head.host = "svc.example";
    arrived.head.path = "/long/a";
    arrived.head.key = "key-1";
    arrived.head.time_limit = 30s;
    arrived.head.prompt_tokens = prompt_tokens;
    arrived.head.max_output_tokens = 400;
    arrived.head.prompt_parts = std::move(parts);
    asked_ += IsDeadly(arrived.head.prompt_parts) ? 0 : 1;
    parts_[{host, arrived.request}] = arrived.head.prompt_parts;
    Apply(host, arrived);
  }

  /// Advances time; `on_step` is called for each step.
  template <typename OnStep>
  void Run(std::chrono::milliseconds time, OnStep on_step) {
    const TimePoint until = now + time;
    while (now < until) {
      now += kStep;
      on_step();
      AdvanceEngines();
      for (int host = 0; host < static_cast<int>(hosts_.size()); ++host) {
        Apply(host, Tick{});
        if (ToMilliseconds(now.time_since_epoch()).count() % 500 == 0) {
          Apply(host, StoreConfirmed{now});
          BroadcastLoad(host);
        }
      }
    }
  }

  /// Crashes an engine for a reason that has nothing to do with its requests.
  void Crash(const UpstreamId& id) {
    const auto found = engines_.find(id);
    if (found == engines_.end()) {
      return;
    }
    engines_.erase(found);
    crashed_at_.push_back(now);
    restarts_.push_back(now + kRestartTime);
    std::vector<AttemptKey> lost;
    for (const auto& [key, attempt] : attempts_) {
      if (attempt.upstream == id) {
        lost.push_back(key);
      }
    }
    for (const AttemptKey key : lost) {
      AttemptEnded ended;
      ended.attempt = key;
      ended.result = AttemptResult::kBroken;
      ended.status = 200;
      ended.is_disconnected = true;
      ended.reason = "disconnected: End of file";
      const int host = attempts_.at(key).host;
      attempts_.erase(key);
      Apply(host, ended);
    }
    for (int host = 0; host < static_cast<int>(hosts_.size()); ++host) {
      Apply(host, UpstreamUnlisted{id, {0, ++offset_}, UpdateSource::kStore, false});
    }
  }

  [[nodiscard]] UpstreamId AnyEngine(std::size_t number) const {
    return engines_.empty()
               ? ""
               : std::next(engines_.begin(), static_cast<std::ptrdiff_t>(number % engines_.size()))
                     ->first;
  }

  [[nodiscard]] static bool IsDeadly(const std::vector<quarantine::PartId>& parts) {
    return std::count(parts.begin(), parts.end(), kDeadlyPart) > 0;
  }

  /// Sends of requests with the deadly part later than the given time after the fifth crash.
  [[nodiscard]] int DeadlySendsAfterFifthCrash(std::chrono::milliseconds time) const {
    constexpr std::size_t kFifth = 4;
    if (crashed_at_.size() <= kFifth) {
      return 0;
    }
    return static_cast<int>(
        std::count_if(deadly_sends_.begin(), deadly_sends_.end(),
                      [&](TimePoint at) { return at > crashed_at_[kFifth] + time; }));
  }

  [[nodiscard]] std::size_t crash_count() const noexcept { return crashed_at_.size(); }
  [[nodiscard]] std::size_t deadly_send_count() const noexcept { return deadly_sends_.size(); }
  [[nodiscard]] int sound_requests() const noexcept { return asked_; }
  [[nodiscard]] int sound_begins() const noexcept { return begun_; }
  [[nodiscard]] int refusals() const noexcept { return static_cast<int>(refused_.size()); }
  [[nodiscard]] const std::vector<Refuse>& refused() const noexcept { return refused_; }
  /// Sound requests that were held back.
  [[nodiscard]] int sound_refusals() const noexcept { return sound_refusals_; }
  [[nodiscard]] State& state(int host) { return hosts_[static_cast<std::size_t>(host)].state; }
  void ResetCounts() {
    asked_ = 0;
    begun_ = 0;
    sound_refusals_ = 0;
    refused_.clear();
    deadly_sends_.clear();
  }

  /// Delivers an event to a host.
  void Deliver(int host, const Event& event) { Apply(host, event); }

  TimePoint now{std::chrono::seconds(1000)};
  /// Hosts whose messages to and from others are lost.
  std::set<int> isolated;
  std::optional<CrashReport> saved_report;
  /// Whether requests with the deadly part crash engines.
  bool is_deadly{true};
  /// Time from a send to the first token, or to the crash.
  std::chrono::milliseconds prefill_time{150};
  std::chrono::milliseconds answer_time{2000};
  std::uint64_t prompt_tokens{500};
  /// Bytes of the messages between hosts about crashes, counted at the receivers.
  std::size_t message_bytes{0};
  /// Bytes of the fields of log lines.
  std::size_t log_bytes{0};
  /// Messages with which these hosts collect parts are lost.
  std::set<int> silent_collectors;
  /// Hosts that have requested summaries.
  std::set<int> collectors;

 private:
  struct Attempt {
    int host{0};
    UpstreamId upstream;
    RequestKey request{0};
    TimePoint sent_at{};
    bool has_begun{false};
  };

  void AddEngine() {
    UpstreamEntry entry;
    entry.id = "engine-" + std::to_string(++last_engine_);
    entry.service = "engines";
    entry.zone = "zone-a";
    entry.endpoint = {"10.0.0.1", last_engine_};
    entry.slots = slots_;
    entry.start_time_ms = last_engine_;
    entry.sequence = last_engine_;
    engines_[entry.id] = entry;
    for (int host = 0; host < static_cast<int>(hosts_.size()); ++host) {
      Apply(host, UpstreamListed{entry, {0, ++offset_}});
    }
  }

  void AdvanceEngines() {
    while (!restarts_.empty() && restarts_.front() <= now) {
      restarts_.erase(restarts_.begin());
      AddEngine();
    }
    const std::map<AttemptKey, Attempt> attempts = attempts_;
    for (const auto& [key, attempt] : attempts) {
      if (attempts_.count(key) == 0) {
        continue;
      }
      const auto& parts = parts_.at({attempt.host, attempt.request});
      if (!attempt.has_begun && now - attempt.sent_at >= prefill_time) {
        if (is_deadly && IsDeadly(parts)) {
          Crash(attempt.upstream);
          continue;
        }
        attempts_.at(key).has_begun = true;
        begun_ += IsDeadly(parts) ? 0 : 1;
        Apply(attempt.host, StreamProgressed{key, 1});
      } else if (now - attempt.sent_at >= prefill_time + answer_time) {
        AttemptEnded ended;
        ended.attempt = key;
        ended.result = AttemptResult::kStreamFinished;
        ended.status = 200;
        attempts_.erase(key);
        Apply(attempt.host, ended);
      }
    }
  }

  void BroadcastLoad(int from) {
    const PeerLoadReceived load =
        MakeLoadBroadcast(hosts_[static_cast<std::size_t>(from)].state, now);
    for (int host = 0; host < static_cast<int>(hosts_.size()); ++host) {
      if (host != from && isolated.count(host) == 0 && isolated.count(from) == 0) {
        Apply(host, load);
      }
    }
  }

  void Apply(int host, const Event& event) {
    EntryFixture& fixture = hosts_[static_cast<std::size_t>(host)];
    fixture.now = now;
    const Effects effects = Reduce(fixture.state, event, now);
    for (const Effect& effect : effects) {
      if (const auto* send = std::get_if<Send>(&effect)) {
        attempts_[send->attempt] = {host, send->upstream, send->request, now, false};
        if (IsDeadly(parts_.at({host, send->request}))) {
          deadly_sends_.push_back(now);
        }
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
        attempts_.erase(cancel->attempt);
      } else if (const auto* refuse = std::get_if<Refuse>(&effect)) {
        refused_.push_back(*refuse);
        const bool is_held_back = refuse->reason == "prompt_part_crashes_upstreams";
        sound_refusals_ += is_held_back && !IsDeadly(parts_.at({host, refuse->request})) ? 1 : 0;
      } else {
        Exchange(host, effect);
      }
    }
  }

  void Exchange(int from, const Effect& effect) {
    if (const auto* line = std::get_if<EmitLog>(&effect)) {
      log_bytes += line->fields.size();
    } else if (const auto* sent = std::get_if<SendCrashReport>(&effect)) {
      const std::string text = loop::EncodeCrashMessage(state(from).options.host, sent->report);
      // Longer ones are cut off by the receivers.
      REQUIRE(text.size() <= loop::kMaxDatagramBytes);
      if (sent->report.sketch_request) {
        collectors.insert(from);
      }
      if ((sent->report.sketch_request || sent->report.common) &&
          silent_collectors.count(from) > 0) {
        return;
      }
      for (int host = 0; host < static_cast<int>(hosts_.size()); ++host) {
        const bool is_meant = sent->host.empty() || sent->host == state(host).options.host;
        if (is_meant && host != from && isolated.count(host) == 0 && isolated.count(from) == 0) {
          message_bytes += text.size();
          Apply(host, CrashReportReceived{state(from).options.host, sent->report});
        }
      }
    } else if (const auto* saved = std::get_if<SaveCrashReport>(&effect)) {
      saved_report = saved->report;
    }
  }

  int engine_count_{0};
  int slots_{0};
  std::vector<EntryFixture> hosts_;
  std::map<UpstreamId, UpstreamEntry> engines_;
  std::map<AttemptKey, Attempt> attempts_;
  std::map<std::pair<int, RequestKey>, std::vector<quarantine::PartId>> parts_;
  std::vector<TimePoint> crashed_at_;
  std::vector<TimePoint> restarts_;
  std::vector<TimePoint> deadly_sends_;
  std::vector<Refuse> refused_;
  quarantine::PartId next_own_part_{1000000};
  std::uint64_t offset_{1000};
  std::uint64_t incarnations_{0};
  int last_engine_{0};
  int asked_{0};
  int begun_{0};
  int sound_refusals_{0};
};

}  // namespace snipeturn::entry
