#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "snipeturn/entry/rollout_world.h"

namespace snipeturn::entry {
namespace {

/// Several hosts before one store. Their tables come late, or not at all.
class RolloutHostsFixture {
 public:
  struct Host {
    EntryFixture fixture;
    std::vector<PeerLoadReceived> inbox;
    bool is_alive{true};
  };

  void Start(int count, std::uint32_t seed) {
    random.seed(seed);
    for (int number = 0; number < count; ++number) {
      AddHost();
    }
  }

  void AddHost() {
    hosts.emplace_back();
    EntryFixture& fixture = hosts.back().fixture;
    fixture.now = now;
    fixture.state.options.host = "host-" + std::to_string(hosts.size());
    fixture.state.options.rollouts_enabled = true;
    fixture.state.options.incarnation = hosts.size();
    if (has_order) {
      fixture.state.store.confirmed.reset();
    }
    List(hosts.size() - 1, "v1", 1);
    if (has_order) {
      List(hosts.size() - 1, "v2", 21);
      Order(hosts.size() - 1);
    }
    Apply(hosts.size() - 1, StoreConfirmed{now});
  }

  void OrderAll() {
    has_order = true;
    for (std::size_t host = 0; host < hosts.size(); ++host) {
      List(host, "v2", 21);
      Order(host);
    }
  }

  /// Runs all hosts; `bad_rate` is the share of its requests that the target fails.
  void Run(std::chrono::milliseconds time, double bad_rate) {
    for (const TimePoint until = now + time; now < until; now += 10ms) {
      const bool has_tables = (now - TimePoint{}) % 250ms == 0us;
      for (std::size_t host = 0; host < hosts.size(); ++host) {
        if (!hosts[host].is_alive) {
          continue;
        }
        Apply(host, StoreConfirmed{now});
        for (const PeerLoadReceived& table : std::exchange(hosts[host].inbox, {})) {
          Apply(host, table);
        }
        Serve(host, bad_rate);
        if (has_tables) {
          Broadcast(host);
        }
      }
    }
  }

  void Serve(std::size_t host, double bad_rate) {
    EntryFixture& fixture = hosts[host].fixture;
    fixture.now = now;
    fixture.ReceiveRequest("/book/a");
    requests += 1;
    const std::vector<Send> sends = fixture.EffectsOf<Send>();
    AnswerStore(host);
    for (const Send& send : sends) {
      const bool is_target = fixture.state.upstreams.at(send.upstream).entry.version == "v2";
      const bool has_failed = is_target && unit(random) < bad_rate;
      target_sends += is_target ? 1 : 0;
      bad += has_failed ? 1 : 0;
      if (bad == 50 && has_failed) {
        bad_since = now;
      }
      last_target_send = is_target ? now : last_target_send;
      fixture.EndAttempt(send.attempt, AttemptResult::kAnswered, has_failed ? 500 : 200);
      AnswerStore(host);
    }
  }

  void Broadcast(std::size_t host) {
    const PeerLoadReceived table = MakeLoadBroadcast(hosts[host].fixture.state, now);
    for (std::size_t other = 0; other < hosts.size(); ++other) {
      if (other != host && unit(random) < 0.8) {
        hosts[other].inbox.push_back(table);
      }
    }
  }

  void Apply(std::size_t host, const Event& event) {
    hosts[host].fixture.now = now;
    hosts[host].fixture.Apply(event);
    AnswerStore(host);
  }

  void AnswerStore(std::size_t host) {
    const Effects caused = hosts[host].fixture.effects;
    for (const Effect& effect : caused) {
      if (const auto* read = std::get_if<ReadRolloutStatus>(&effect)) {
        Apply(host, RolloutStatusRead{read->service, status, StorePosition(era, end)});
      } else if (const auto* write = std::get_if<WriteRolloutStatus>(&effect)) {
        const bool is_at_end = write->end.offset == end;
        if (is_at_end) {
          end += 1;
          status = write->status;
          states.push_back(write->status.state);
        }
        Apply(host, RolloutStatusWritten{
                        write->service, write->status,
                        is_at_end ? StatusWriteResult::kWritten : StatusWriteResult::kConflict,
                        write->end.era});
      }
    }
  }

  /// Lets the store return from a copy that has the order, but not how it ended. Each host learns
  /// of it later than the one before, while tables from before are on their way.
  void ReturnStoreWithoutEnd(std::chrono::milliseconds delay) {
    era += 1;
    end = 1;
    status = RolloutStatus{"v2", RolloutState::kRunning, 10};
    for (std::size_t host = 0; host < hosts.size(); ++host) {
      Apply(host, StoreEraRead{era});
      Run(delay, 1);
    }
  }

  std::vector<Host> hosts;
  TimePoint now{std::chrono::seconds(2000)};
  std::mt19937 random;
  std::uniform_real_distribution<double> unit{0, 1};
  std::optional<RolloutStatus> status;
  std::vector<RolloutState> states;
  std::uint64_t end{0};
  StoreEra era{0};
  double requests{0};
  double target_sends{0};
  int bad{0};
  std::optional<TimePoint> bad_since;
  TimePoint last_target_send{};

 private:
  void List(std::size_t host, const std::string& version, int first) {
    for (int number = first; number < first + 6; ++number) {
      UpstreamEntry entry;
      entry.id = "plain-" + std::to_string(number);
      entry.service = "plain";
      entry.zone = "zone-a";
      entry.slots = 100;
      entry.start_time_ms = 1000 + number;
      entry.version = version;
      Apply(host, UpstreamListed{entry, {0, static_cast<std::uint64_t>(number)}});
    }
  }

  void Order(std::size_t host) {
    Apply(host, RolloutOrderRead{"plain", "v2", 12s, false, 0ms, StorePosition(0, 10)});
  }

  bool has_order{false};
};

// Guards against a bad version that gets more than its share, or is used after the time for a
// rollback, while hosts die and start.
TEST_CASE_METHOD(RolloutHostsFixture,
                 "rolloutHosts_badVersion_withinShareAndTime",
                 "[entry][entry_rollout]") {
  for (const double bad_rate : {0.05, 0.3, 1.0}) {
    RolloutHostsFixture world;
    world.Start(8, 1);
    world.Run(5s, 0);
    world.OrderAll();
    world.requests = 0;
    for (int change = 0; change < 6; ++change) {
      world.Run(1s, bad_rate);
      world.hosts[static_cast<std::size_t>(change)].is_alive = false;
      world.AddHost();
    }
    world.Run(7s, bad_rate);
    INFO("rate " << bad_rate << " bad " << world.bad << " target " << world.target_sends << " of "
                 << world.requests);
    CHECK(world.states == std::vector{RolloutState::kRunning, RolloutState::kRolledBack});
    CHECK(world.target_sends <= 0.1 * world.requests + 50);
    CHECK(world.last_target_send <= world.bad_since.value_or(world.now) + 5s);
    CHECK(world.bad <= 60);
  }
}

// Guards against a good version that misses its time limit while hosts die and start, and against
// two final states.
TEST_CASE_METHOD(RolloutHostsFixture,
                 "rolloutHosts_goodVersion_succeedsOnce",
                 "[entry][entry_rollout]") {
  Start(8, 2);
  Run(5s, 0);
  OrderAll();
  for (int change = 0; change < 5; ++change) {
    Run(2s, 0);
    hosts[static_cast<std::size_t>(change)].is_alive = false;
    AddHost();
  }
  Run(1900ms, 0);
  CHECK(states == std::vector{RolloutState::kRunning, RolloutState::kSucceeded});
  Run(1s, 0);
  for (const Host& host : hosts) {
    CHECK((!host.is_alive ||
           host.fixture.state.rollouts.at("plain").active->phase == rollout::Phase::kSucceeded));
  }
}

// Guards against a final state that stays lost with a return of the store, since each host takes
// another host's word from before the return for the store's.
TEST_CASE_METHOD(RolloutHostsFixture,
                 "rolloutHosts_finalStateLost_writtenAgain",
                 "[entry][entry_rollout]") {
  for (const auto delay : {0ms, 50ms, 100ms, 300ms}) {
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
      RolloutHostsFixture world;
      world.Start(3, seed);
      world.Run(5s, 0);
      world.OrderAll();
      world.Run(5s, 1);
      REQUIRE(world.states == std::vector{RolloutState::kRunning, RolloutState::kRolledBack});
      world.ReturnStoreWithoutEnd(delay);
      world.Run(8s, 1);
      INFO("delay " << delay.count() << " ms, seed " << seed);
      CHECK(world.states == std::vector{RolloutState::kRunning, RolloutState::kRolledBack,
                                        RolloutState::kRolledBack});
    }
  }
}

}  // namespace
}  // namespace snipeturn::entry
