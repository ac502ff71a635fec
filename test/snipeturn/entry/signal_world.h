#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "snipeturn/base/hash.h"
#include "snipeturn/entry/cells.h"
#include "snipeturn/entry/entry_fixture.h"
#include "snipeturn/entry/load_broadcast.h"

namespace snipeturn::entry {

/// Several hosts before the same plain upstreams, which say in their responses what they want.
/// Messages between hosts arrive at once unless one of the hosts is isolated.
class SignalWorld {
 public:
  static constexpr std::chrono::milliseconds kStep{10};
  static constexpr std::chrono::milliseconds kResponseTime{30};

  struct Arrival {
    TimePoint at{};
    int host{0};
  };

  struct Server {
    UpstreamEntry entry;
    backpressure::Signals signals;
    /// The server refuses every request.
    bool refuses{false};
    std::vector<Arrival> arrivals;
    /// When each host first had a response with the present signals.
    std::map<int, TimePoint> told_at;
    std::optional<TimePoint> first_told_at;
    /// Responses that state a pause.
    std::vector<Arrival> refusals;
  };

  static backpressure::Signals Limit(double requests_per_second) {
    backpressure::Signals signals;
    signals.requests_per_second = requests_per_second;
    return signals;
  }

  static backpressure::Signals Pause(std::chrono::milliseconds duration) {
    backpressure::Signals signals;
    signals.pause = duration;
    return signals;
  }

  static backpressure::Signals Leaving() {
    backpressure::Signals signals;
    signals.is_leaving = true;
    return signals;
  }

  explicit SignalWorld(int host_count, int server_count = 3) {
    for (int number = 0; number < server_count; ++number) {
      AddServer();
    }
    hosts_.resize(static_cast<std::size_t>(host_count));
    for (int number = 0; number < host_count; ++number) {
      StartHost(number);
    }
  }

  /// Starts the process of a host, which knows nothing of before.
  void StartHost(int number) {
    Host host;
    EntryFixture& fixture = host.fixture;
    fixture.state.options.host = HostName(number);
    fixture.state.options.zone = ZoneOf(number);
    fixture.requests = (++incarnations_) * 1000000ULL;
    fixture.state.next_attempt = fixture.requests;
    fixture.now = now;
    for (auto attempt = attempts_.begin(); attempt != attempts_.end();) {
      attempt = attempt->second.host == number ? attempts_.erase(attempt) : std::next(attempt);
    }
    for (auto& [id, server] : servers) {
      server.told_at.erase(number);
    }
    hosts_[static_cast<std::size_t>(number)] = std::move(host);
    Apply(number, HostsRead{2, {{"other", ""}}});
    Apply(number, ConfirmationReceived{{}, {}, 0, 1h, "other"});
    Apply(number, StoreConfirmed{now});
    HostsRead read;
    read.hosts = static_cast<int>(hosts_.size());
    for (int other = 0; other < static_cast<int>(hosts_.size()); ++other) {
      if (other != number) {
        read.zones[HostName(other)] = ZoneOf(other);
      }
    }
    Apply(number, read);
    for (const auto& [id, server] : servers) {
      Apply(number,
            UpstreamListed{server.entry, {0, static_cast<std::uint64_t>(server.entry.sequence)}});
    }
  }

  /// Sends a request to a host that is drawn with uneven weights, as callers are.
  void Request(const std::string& path = "/look/a") {
    ++requested_;
    const std::uint64_t draw = Hash("draw", requested_) % (hosts_.size() * hosts_.size());
    int host = 0;
    while (static_cast<std::uint64_t>(host + 1) * static_cast<std::uint64_t>(host + 1) <= draw) {
      ++host;
    }
    EntryFixture& fixture = hosts_[static_cast<std::size_t>(host)].fixture;
    RequestArrived arrived;
    arrived.request = ++fixture.requests;
    arrived.head.id = "request-" + std::to_string(arrived.request);
    arrived.head.host = "svc.example";
    arrived.head.path = path;
    arrived.head.key = "key-1";
    arrived.head.time_limit = 3s;
    asked_at_[{host, arrived.request}] = now;
    Apply(host, arrived);
  }

  /// Advances time with a steady rate of requests; `on_step` is called for each step.
  template <typename OnStep>
  void Run(std::chrono::milliseconds time, double requests_per_second, OnStep on_step) {
    const TimePoint until = now + time;
    const double per_step = requests_per_second * std::chrono::duration<double>(kStep).count();
    while (now < until) {
      now += kStep;
      on_step();
      due_requests_ += per_step;
      while (due_requests_ >= 1) {
        due_requests_ -= 1;
        Request();
      }
      Respond();
      for (int host = 0; host < static_cast<int>(hosts_.size()); ++host) {
        const bool is_busy = !hosts_[static_cast<std::size_t>(host)].fixture.state.requests.empty();
        const bool is_housekeeping =
            (ToMilliseconds(now.time_since_epoch()).count() / 10 + host) % 10 == 0;
        if (is_busy || is_housekeeping) {
          Apply(host, Tick{});
        }
        if (is_housekeeping) {
          Apply(host, StoreConfirmed{now});
          Broadcast(host);
        }
      }
    }
  }

  void Run(std::chrono::milliseconds time, double requests_per_second) {
    Run(time, requests_per_second, [] {});
  }

  /// Makes a server say something else from now on.
  void Signal(const UpstreamId& id, const backpressure::Signals& signals) {
    Server& server = servers.at(id);
    server.signals = signals;
    server.told_at.clear();
    server.first_told_at.reset();
  }

  /// Arrivals in any span at hosts that the server had told at least `grace` before, from `delay`
  /// after it had first told one.
  [[nodiscard]] int MostArrivals(const UpstreamId& id,
                                 std::chrono::milliseconds span,
                                 std::chrono::milliseconds delay,
                                 std::chrono::milliseconds grace) const {
    const Server& server = servers.at(id);
    std::deque<TimePoint> window;
    std::size_t most = 0;
    for (const Arrival& arrival : server.arrivals) {
      const auto told = server.told_at.find(arrival.host);
      if (!server.first_told_at || arrival.at < *server.first_told_at + delay ||
          told == server.told_at.end() || arrival.at < told->second + grace) {
        continue;
      }
      window.push_back(arrival.at);
      while (arrival.at - window.front() > span) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    return static_cast<int>(most);
  }

  /// Most requests that a host sends from `grace` after a server had told it to pause to the end of
  /// that pause.
  [[nodiscard]] int MostInPause(const UpstreamId& id,
                                std::chrono::milliseconds duration,
                                std::chrono::milliseconds grace) const {
    const Server& server = servers.at(id);
    std::ptrdiff_t most = 0;
    for (const Arrival& refusal : server.refusals) {
      most = std::max(most, std::count_if(server.arrivals.begin(), server.arrivals.end(),
                                          [&](const Arrival& arrival) {
                                            return arrival.host == refusal.host &&
                                                   arrival.at >= refusal.at + grace &&
                                                   arrival.at <= refusal.at + duration;
                                          }));
    }
    return static_cast<int>(most);
  }

  /// Arrivals from hosts that the server had told before.
  [[nodiscard]] int ArrivalsFromTold(const UpstreamId& id) const {
    const Server& server = servers.at(id);
    return static_cast<int>(std::count_if(
        server.arrivals.begin(), server.arrivals.end(), [&server](const Arrival& arrival) {
          const auto told = server.told_at.find(arrival.host);
          return told != server.told_at.end() && arrival.at > told->second;
        }));
  }

  /// Most arrivals at a server in any span since a time.
  [[nodiscard]] int MostArrivalsWithin(const UpstreamId& id,
                                       std::chrono::milliseconds span,
                                       TimePoint since) const {
    std::deque<TimePoint> window;
    std::size_t most = 0;
    for (const Arrival& arrival : servers.at(id).arrivals) {
      if (arrival.at < since) {
        continue;
      }
      window.push_back(arrival.at);
      while (arrival.at - window.front() > span) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    return static_cast<int>(most);
  }

  /// Delivers an event to all hosts.
  void DeliverToAll(const Event& event) {
    for (int host = 0; host < static_cast<int>(hosts_.size()); ++host) {
      Apply(host, event);
    }
  }

  /// The store lists a server as its heartbeat reports it.
  void ListServer(const UpstreamId& id) {
    UpstreamEntry& entry = servers.at(id).entry;
    entry.sequence += 100;
    DeliverToAll(UpstreamListed{entry, {0, ++offset_}});
  }

  /// A server's process starts anew under the same id.
  void RestartServer(const UpstreamId& id) {
    Server& server = servers.at(id);
    server.entry.start_time_ms += 100000;
    server.signals = {};
    server.told_at.clear();
    ListServer(id);
  }

  [[nodiscard]] int ArrivalsSince(const UpstreamId& id, TimePoint since) const {
    const auto& arrivals = servers.at(id).arrivals;
    return static_cast<int>(
        std::count_if(arrivals.begin(), arrivals.end(),
                      [since](const Arrival& arrival) { return arrival.at >= since; }));
  }

  void ResetCounts() {
    answered = 0;
    refused.clear();
    refused_after.clear();
  }

  [[nodiscard]] State& state(int host) {
    return hosts_[static_cast<std::size_t>(host)].fixture.state;
  }

  TimePoint now{std::chrono::seconds(1000)};
  std::map<UpstreamId, Server> servers;
  /// Hosts whose messages to and from others are lost.
  std::set<int> isolated;
  int answered{0};
  std::vector<Refuse> refused;
  /// How long each refused request had waited.
  std::vector<std::chrono::milliseconds> refused_after;

 private:
  struct Host {
    EntryFixture fixture;
    BroadcastState broadcast;
  };
  struct OpenAttempt {
    int host{0};
    UpstreamId upstream;
    TimePoint sent_at{};
    TimePoint due{};
  };

  static std::string HostName(int number) { return "host-" + std::to_string(number); }
  static std::string ZoneOf(int number) { return number % 2 == 0 ? "zone-a" : "zone-b"; }

  void AddServer() {
    const int number = static_cast<int>(servers.size()) + 1;
    UpstreamEntry entry;
    entry.id = "server-" + std::to_string(number);
    entry.service = "plain";
    entry.zone = ZoneOf(number);
    entry.endpoint = {"10.0.0.1", number};
    entry.slots = 60;
    entry.start_time_ms = number;
    entry.sequence = number;
    servers[entry.id].entry = entry;
  }

  void Respond() {
    std::vector<AttemptKey> due;
    for (const auto& [key, attempt] : attempts_) {
      if (attempt.due <= now) {
        due.push_back(key);
      }
    }
    for (const AttemptKey key : due) {
      const auto found = attempts_.find(key);
      if (found == attempts_.end()) {
        continue;
      }
      const OpenAttempt attempt = found->second;
      attempts_.erase(found);
      Server& server = servers.at(attempt.upstream);
      if (server.signals.pause) {
        server.refusals.push_back({now, attempt.host});
      }
      if (server.signals.requests_per_second || server.signals.is_leaving) {
        server.told_at.emplace(attempt.host, now);
        server.first_told_at = server.first_told_at.value_or(now);
      }
      Apply(attempt.host, UpstreamSignalled{attempt.upstream, attempt.sent_at, server.signals});
      AttemptEnded ended;
      ended.attempt = key;
      ended.status = server.refuses ? 503 : 200;
      ended.result = server.refuses ? AttemptResult::kNotExecuted : AttemptResult::kAnswered;
      ended.relayable = !server.refuses;
      Apply(attempt.host, ended);
    }
  }

  /// Does what the runtime does after events and at its housekeeping.
  void Broadcast(int from) {
    Host& host = hosts_[static_cast<std::size_t>(from)];
    State& state = host.fixture.state;
    const Audience audience = SelectAudience(host.broadcast, state, hosts_.size() - 1, now);
    if (audience != Audience::kNobody) {
      const PeerLoadReceived load = MakeLoadBroadcast(state, now);
      Deliver(from, load,
              [&](const std::string& name) { return IsInAudience(state, audience, name); });
    }
    const std::vector<std::string> targets = SelectCellTargets(host.broadcast, state, now);
    if (!targets.empty()) {
      const CellLoadReceived sum = MakeCellLoad(state, now);
      Deliver(from, sum, [&](const std::string& name) {
        return std::find(targets.begin(), targets.end(), name) != targets.end();
      });
    }
  }

  template <typename IsRecipient>
  void Deliver(int from, const Event& event, IsRecipient is_recipient) {
    for (int to = 0; to < static_cast<int>(hosts_.size()); ++to) {
      if (to != from && isolated.count(to) == 0 && isolated.count(from) == 0 &&
          is_recipient(HostName(to))) {
        Apply(to, event);
      }
    }
  }

  void Apply(int number, const Event& event) {
    Host& host = hosts_[static_cast<std::size_t>(number)];
    host.fixture.now = now;
    const Effects effects = Reduce(host.fixture.state, event, now);
    for (const Effect& effect : effects) {
      if (const auto* send = std::get_if<Send>(&effect)) {
        servers.at(send->upstream).arrivals.push_back({now, number});
        attempts_[send->attempt] = {number, send->upstream, now, now + kResponseTime};
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
        attempts_.erase(cancel->attempt);
      } else if (std::holds_alternative<Relay>(effect)) {
        ++answered;
      } else if (const auto* refuse = std::get_if<Refuse>(&effect)) {
        refused.push_back(*refuse);
        refused_after.push_back(ToMilliseconds(now - asked_at_.at({number, refuse->request})));
      } else if (const auto* sum = std::get_if<ForwardCellLoad>(&effect)) {
        CellLoadReceived forwarded = sum->sum;
        forwarded.is_forwarded = true;
        Deliver(number, forwarded,
                [&](const std::string& name) { return IsInOwnCell(host.fixture.state, name); });
      }
    }
    const BroadcastState& broadcast = host.broadcast;
    const State& state = host.fixture.state;
    if (broadcast.changes != state.load_changes || broadcast.last_update != state.last_update) {
      Broadcast(number);
    }
  }

  std::vector<Host> hosts_;
  std::map<AttemptKey, OpenAttempt> attempts_;
  std::map<std::pair<int, RequestKey>, TimePoint> asked_at_;
  std::uint64_t requested_{0};
  std::uint64_t incarnations_{0};
  std::uint64_t offset_{1000};
  double due_requests_{0};
};

}  // namespace snipeturn::entry
