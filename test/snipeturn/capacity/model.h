#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "snipeturn/capacity/estimate.h"
#include "snipeturn/capacity/summary.h"

namespace snipeturn::capacity {

using namespace std::chrono_literals;

/// The last one knows the true speeds, as a reference.
enum class Policy { kEqual, kLeastLoaded, kLearned, kTrueSpeed };

/// Hosts before plain upstreams that share their time among their requests. Up to a knee, a request
/// takes as long as alone; beyond it, the requests there slow one another down. Hosts know one
/// another's load by tables of every 250 ms, within cells of at most 40 hosts.
class Model {
 public:
  struct Server {
    double speed{1};
    int slots{24};
    int knee{12};
    /// States the time of work: nothing, the truth, or wrong figures.
    enum class Statement { kNone, kTrue, kWrong } statement{Statement::kNone};
    bool has_neighbour{true};
  };

  struct Host {
    std::vector<Estimate> estimates;
    Baseline baseline;
    HostEvidenceTable others;
    std::vector<int> own;
    std::vector<int> reported;
    /// Added to each of its responses: a host that is slow itself.
    std::chrono::milliseconds delay{0};
  };

  struct Done {
    TimePoint at{};
    std::size_t server{0};
    std::size_t host{0};
    double ms{0};
  };

  Model(int hosts, std::vector<Server> setup, Policy policy, unsigned seed)
      : servers(std::move(setup)), policy_(policy), random_(seed), running_(servers.size()) {
    total_.assign(servers.size(), 0);
    sent.assign(servers.size(), 0);
    noise_until_.assign(servers.size(), now);
    if (hosts > 1) {
      sampled_share = 0.2;
    }
    for (int number = 0; number < hosts; ++number) {
      Host host;
      host.estimates.resize(servers.size());
      host.own.assign(servers.size(), 0);
      host.reported.assign(servers.size(), 0);
      this->hosts.push_back(std::move(host));
    }
  }

  /// Half of the servers at 0.7, half at 1.7.
  static std::vector<Server> TwoSpeeds(int count, Server::Statement statement) {
    std::vector<Server> setup(static_cast<std::size_t>(count));
    for (std::size_t number = 0; number < setup.size(); ++number) {
      setup[number].speed = number % 2 == 0 ? 0.7 : 1.7;
      setup[number].statement = statement;
    }
    return setup;
  }

  /// Requests a millisecond that all servers together complete at most, without noise.
  [[nodiscard]] double Capacity() const {
    double capacity = 0;
    for (const Server& server : servers) {
      capacity += server.speed * server.knee / kWorkMs;
    }
    return capacity;
  }

  /// Share of the faster half with the least mean time at a rate: it is filled to its knee first.
  [[nodiscard]] double BestFastShare(double per_ms) const {
    double fast = 0;
    for (const Server& server : servers) {
      fast += server.speed > 1 ? server.speed * server.knee / kWorkMs : 0;
    }
    return std::min(1.0, fast / per_ms);
  }

  void Run(std::chrono::milliseconds time, double per_ms) {
    const TimePoint until = now + time;
    std::poisson_distribution<int> arrivals(per_ms * kStepMs);
    while (now < until) {
      now += kStep;
      ++step_;
      ChangeNoise();
      Work();
      for (int count = arrivals(random_); count > 0; --count) {
        Send(random_() % hosts.size());
      }
      Tell();
    }
  }

  [[nodiscard]] double FastShare() const {
    double fast = 0;
    double all = 0;
    for (std::size_t index = 0; index < servers.size(); ++index) {
      fast += servers[index].speed > 1 ? sent[index] : 0;
      all += sent[index];
    }
    return fast / all;
  }

  [[nodiscard]] double Quantile(double share) const {
    std::vector<double> times;
    for (const Done& item : done) {
      times.push_back(item.ms);
    }
    if (times.empty()) {
      return 0;
    }
    std::sort(times.begin(), times.end());
    return times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))];
  }

  /// Median over the hosts of a server's estimated speed.
  [[nodiscard]] double MedianSpeed(std::size_t server) const {
    std::vector<double> speeds;
    for (const Host& host : hosts) {
      speeds.push_back(Speed(host.estimates[server], now));
    }
    std::sort(speeds.begin(), speeds.end());
    return speeds[speeds.size() / 2];
  }

  void ResetCounts() {
    std::fill(sent.begin(), sent.end(), 0);
    done.clear();
  }

  std::vector<Server> servers;
  std::vector<Host> hosts;
  TimePoint now{std::chrono::seconds(1000)};
  std::vector<int> sent;
  std::vector<Done> done;
  /// Share of the servers beside a busy neighbour, for 600 ms at a time.
  double noise_share{0.15};
  /// Requests that no server had room for within its limit.
  int limited{0};
  bool uses_limits{true};
  /// Share of the servers that a request considers; with several hosts a sample, so that they don't
  /// all choose the same one between two tables.
  double sampled_share{1};

 private:
  static constexpr double kStepMs = 5;
  static constexpr std::chrono::milliseconds kStep{5};
  static constexpr double kWorkMs = 200;
  static constexpr double kNoiseFactor = 2.5;
  static constexpr std::chrono::milliseconds kNoiseTime{600};
  static constexpr std::size_t kCellHosts = 40;
  static constexpr std::uint64_t kTableSteps = 50;

  struct Running {
    std::size_t host;
    double left_ms;
    TimePoint sent_at;
    int requests;
  };

  [[nodiscard]] double Noise(std::size_t server) const {
    return now < noise_until_[server] ? kNoiseFactor : 1;
  }

  void ChangeNoise() {
    std::uniform_real_distribution<double> unit;
    const double rate =
        noise_share / (1 - noise_share) * kStepMs / static_cast<double>(kNoiseTime.count());
    for (std::size_t server = 0; server < servers.size(); ++server) {
      if (servers[server].has_neighbour && now >= noise_until_[server] && unit(random_) < rate) {
        noise_until_[server] = now + kNoiseTime;
      }
    }
  }

  std::optional<backpressure::StatedLoad> Stated(std::size_t server) {
    backpressure::StatedLoad load;
    switch (servers[server].statement) {
      case Server::Statement::kNone:
        return std::nullopt;
      case Server::Statement::kTrue:
        load.work_time = Noise(server);
        return load;
      case Server::Statement::kWrong:
        load.work_time = std::uniform_real_distribution<double>(0.1, 10)(random_);
        return load;
    }
    return std::nullopt;
  }

  void Work() {
    for (std::size_t server = 0; server < servers.size(); ++server) {
      std::vector<Running>& running = running_[server];
      const double crowd =
          std::max(1.0, static_cast<double>(running.size()) / servers[server].knee);
      const double progress = kStepMs * servers[server].speed / Noise(server) / crowd;
      for (Running& request : running) {
        request.left_ms -= progress;
      }
      for (std::size_t index = 0; index < running.size();) {
        if (running[index].left_ms > 0) {
          ++index;
          continue;
        }
        const Running request = running[index];
        running[index] = running.back();
        running.pop_back();
        Finish(server, request);
      }
    }
  }

  void Finish(std::size_t server, const Running& request) {
    Host& host = hosts[request.host];
    host.own[server] -= 1;
    const TimePoint answered = now + host.delay;
    done.push_back({now, server, request.host,
                    std::chrono::duration<double, std::milli>(answered - request.sent_at).count()});
    if (policy_ != Policy::kLearned) {
      return;
    }
    Observation observation = MakeObservation(server, request, answered);
    observation.stated = Stated(server);
    Observe(host.estimates[server], host.baseline, observation, now);
  }

  void Send(std::size_t number) {
    Host& host = hosts[number];
    std::uniform_real_distribution<double> unit;
    const double jitter = std::min(0.2, 0.04 + 0.0015 * static_cast<double>(hosts.size()));
    const double draw = unit(random_);
    std::size_t best = 0;
    double best_score = 1e9;
    bool is_limited = false;
    for (std::size_t server = 0; server < servers.size(); ++server) {
      if (sampled_share < 1 && unit(random_) > sampled_share) {
        continue;
      }
      const int load = total_[server] - host.reported[server] + host.own[server];
      double score =
          policy_ == Policy::kEqual ? 0 : static_cast<double>(load + 1) / servers[server].slots;
      score += (policy_ == Policy::kEqual ? 1 : jitter) * unit(random_);
      if (policy_ == Policy::kTrueSpeed) {
        score /= servers[server].speed;
      }
      if (policy_ == Policy::kLearned) {
        const Estimate& estimate = host.estimates[server];
        score = MayExplore(estimate, draw, now) ? 0 : score / Speed(estimate, now);
        const auto limit = Limit(estimate, now);
        if (uses_limits && limit && load + 1 > *limit) {
          is_limited = true;
          score += 10;  // Stands for the queue of the host.
        }
      }
      if (score < best_score) {
        best_score = score;
        best = server;
      }
    }
    limited += is_limited && best_score > 10 ? 1 : 0;
    const int requests = total_[best] - host.reported[best] + host.own[best] + 1;
    std::uniform_real_distribution<double> work(0.5 * kWorkMs, 1.5 * kWorkMs);
    running_[best].push_back({number, work(random_), now, requests});
    host.own[best] += 1;
    sent[best] += 1;
  }

  /// Hosts tell their load, and their evidence within their cell, in turn.
  void Tell() {
    for (std::size_t number = 0; number < hosts.size(); ++number) {
      if ((step_ + number) % kTableSteps != 0) {
        continue;
      }
      Host& host = hosts[number];
      for (std::size_t server = 0; server < servers.size(); ++server) {
        total_[server] += host.own[server] - host.reported[server];
        host.reported[server] = host.own[server];
      }
      if (policy_ == Policy::kLearned) {
        TellEvidence(number);
        Review(host);
      }
    }
  }

  void TellEvidence(std::size_t number) {
    std::vector<Row> rows;
    for (std::size_t server = 0; server < servers.size(); ++server) {
      ObserveOpen(number, server);
      const Evidence own = ReportedEvidence(hosts[number].estimates[server], now);
      if (IsNew(own, now)) {
        rows.push_back(MakeRow(std::to_string(server), 1, own, now));
      }
    }
    KeepNewest(rows);
    const std::size_t first = number / kCellHosts * kCellHosts;
    const std::size_t last = std::min(hosts.size(), first + kCellHosts);
    for (std::size_t other = first; other < last; ++other) {
      if (other != number) {
        AdoptRows(hosts[other].others, std::to_string(number), rows, now, now);
      }
    }
    if (number == first && last - first < hosts.size()) {
      TellCell(number, first, last);
    }
  }

  /// The sum of a cell goes to the hosts of all others.
  void TellCell(std::size_t number, std::size_t first, std::size_t last) {
    std::vector<Row> rows;
    for (std::size_t server = 0; server < servers.size(); ++server) {
      Evidence sum = ReportedEvidence(hosts[number].estimates[server], now);
      Add(sum, SumOfHosts(hosts[number].others, std::to_string(server), 1, now, false));
      if (IsNew(sum, now)) {
        rows.push_back(MakeRow(std::to_string(server), 1, sum, now));
      }
    }
    for (std::size_t other = 0; other < hosts.size(); ++other) {
      if (other < first || other >= last) {
        AdoptRows(hosts[other].others, CellSender(std::to_string(first)), rows, now, now);
      }
    }
  }

  void ObserveOpen(std::size_t number, std::size_t server) {
    Host& host = hosts[number];
    ClearOverdue(host.estimates[server], now);
    for (const Running& request : running_[server]) {
      if (request.host == number) {
        ObserveOverdue(host.estimates[server], host.baseline, MakeObservation(server, request, now),
                       now);
      }
    }
  }

  Observation MakeObservation(std::size_t server, const Running& request, TimePoint until) {
    Observation observation;
    observation.kind = Kind::kCall;
    observation.upstream = server + 1;
    observation.time = until - request.sent_at;
    observation.requests = request.requests;
    observation.slots = servers[server].slots;
    return observation;
  }

  void Review(Host& host) {
    std::vector<const Estimate*> all;
    for (std::size_t server = 0; server < servers.size(); ++server) {
      host.estimates[server].others = SumOfHosts(host.others, std::to_string(server), 1, now);
      if (HasChanged(host.estimates[server], now)) {
        DropOutdated(host.estimates[server].own, now);
        DropOutdated(host.others, std::to_string(server), now);
        host.estimates[server].others = SumOfHosts(host.others, std::to_string(server), 1, now);
      }
      all.push_back(&host.estimates[server]);
    }
    const double centre = Centre(all, now);
    for (Estimate& estimate : host.estimates) {
      estimate.centre = centre;
    }
  }

  Policy policy_;
  std::mt19937 random_;
  std::uint64_t step_{0};
  std::vector<std::vector<Running>> running_;
  std::vector<int> total_;
  std::vector<TimePoint> noise_until_;
};

}  // namespace snipeturn::capacity
