#include <catch2/catch.hpp>

#include "snipeturn/capacity/model.h"

namespace snipeturn::capacity {
namespace {

class ModelFixture {
 public:
  static constexpr int kServers = 20;
  static constexpr unsigned kSeed = 7;

  static Model Make(int hosts, Policy policy, Model::Server::Statement statement) {
    return {hosts, Model::TwoSpeeds(kServers, statement), policy, kSeed};
  }

  /// Runs for two seconds without counting and for the given time with it.
  static void RunWarm(Model& model, std::chrono::milliseconds time, double rate) {
    model.Run(2s, rate);
    model.ResetCounts();
    model.Run(time, rate);
  }
};

// Guards against load that isn't distributed by speed within 2 s of requests.
TEST_CASE_METHOD(ModelFixture, "share_steadySpeeds_nearBestWithinTwoSeconds", "[capacity]") {
  const int hosts = GENERATE(1, 80, 400);
  const auto run = [&](Policy policy, double utilisation) {
    Model model = Make(hosts, policy, Model::Server::Statement::kNone);
    model.noise_share = 0;
    RunWarm(model, 2s, utilisation * model.Capacity());
    return model.FastShare();
  };
  for (const double utilisation : {0.5, 0.85, 0.95}) {
    const double best = run(Policy::kTrueSpeed, utilisation);
    const double learned = run(Policy::kLearned, utilisation);
    CAPTURE(hosts, utilisation, best, learned);
    CHECK(learned >= 0.9 * best);
    CHECK(learned <= 1.1 * best);
  }
  // Near saturation the best share of the least mean time is known without a simulation.
  const Model model = Make(hosts, Policy::kLearned, Model::Server::Statement::kNone);
  const double best = model.BestFastShare(0.95 * model.Capacity());
  const double learned = run(Policy::kLearned, 0.95);
  CAPTURE(hosts, best, learned);
  CHECK(learned >= 0.9 * best);
  CHECK(learned <= 1.1 * best);
}

// Guards against learning that serves callers worse than fixed weights do.
TEST_CASE_METHOD(ModelFixture, "p99_noisyUpstreams_belowEqualAndLeastLoaded", "[capacity]") {
  const int hosts = GENERATE(1, 80, 400);
  const auto statement = GENERATE(Model::Server::Statement::kNone, Model::Server::Statement::kTrue);
  const double utilisation = GENERATE(0.5, 0.85);
  const auto p99 = [&](Policy policy) {
    Model model = Make(hosts, policy, statement);
    RunWarm(model, 5s, utilisation * model.Capacity() / 1.225);
    return model.Quantile(0.99);
  };
  const double equal = p99(Policy::kEqual);
  const double least_loaded = p99(Policy::kLeastLoaded);
  const double learned = p99(Policy::kLearned);
  CAPTURE(hosts, statement, utilisation, equal, least_loaded, learned);
  CHECK(learned < equal);
  CHECK(learned <= least_loaded);
}

// Guards against an upstream that has become slow and is still used as before.
TEST_CASE_METHOD(ModelFixture, "speed_becomesSlow_followedWithinASecond", "[capacity]") {
  const int hosts = GENERATE(1, 80, 400);
  const auto statement = GENERATE(Model::Server::Statement::kNone, Model::Server::Statement::kTrue);
  Model model = Make(hosts, Policy::kLearned, statement);
  const double rate = 0.6 * model.Capacity() / 1.225;
  model.servers[1].has_neighbour = false;
  model.Run(4s, rate);
  model.servers[1].speed /= 4;
  model.Run(1s, rate);
  const auto mean_of_others = [&](auto value_of) {
    double sum = 0;
    for (std::size_t server = 3; server < kServers; server += 2) {
      sum += value_of(server) / (kServers / 2 - 1);
    }
    return sum;
  };
  const double speed =
      model.MedianSpeed(1) / mean_of_others([&](std::size_t id) { return model.MedianSpeed(id); });
  CAPTURE(hosts, statement, speed);
  CHECK(speed <= 0.5);
  model.ResetCounts();
  model.Run(2s, rate);
  const double requests =
      model.sent[1] / mean_of_others([&](std::size_t id) { return model.sent[id]; });
  CAPTURE(requests);
  CHECK(requests <= 0.25 * 1.1);
  CHECK(requests > 0);
}

// Guards against an upstream that draws or sheds load by wrong figures.
TEST_CASE_METHOD(ModelFixture, "share_wrongStatement_likeOthersOfItsSpeed", "[capacity]") {
  const int hosts = GENERATE(1, 80, 400);
  Model model = Make(hosts, Policy::kLearned, Model::Server::Statement::kTrue);
  model.servers[1].statement = Model::Server::Statement::kWrong;
  RunWarm(model, 6s, 0.7 * model.Capacity() / 1.225);
  double others = 0;
  for (std::size_t server = 3; server < kServers; server += 2) {
    others += model.sent[server] / (kServers / 2.0 - 1);
  }
  CAPTURE(hosts, model.sent[1], others);
  CHECK(model.sent[1] >= 0.75 * others);
  CHECK(model.sent[1] <= 1.25 * others);
}

// Guards against upstreams that are passed over by a host whose own responses are late.
TEST_CASE_METHOD(ModelFixture, "speed_slowHostAmongOthers_estimatesAgree", "[capacity]") {
  Model model = Make(80, Policy::kLearned, Model::Server::Statement::kNone);
  model.noise_share = 0;
  for (std::size_t host = 0; host < 8; ++host) {
    model.hosts[host].delay = 400ms;
  }
  RunWarm(model, 4s, 0.7 * model.Capacity());
  double log_ratio = 0;
  for (std::size_t server = 0; server < kServers; ++server) {
    log_ratio += std::abs(std::log(Speed(model.hosts[0].estimates[server], model.now) /
                                   Speed(model.hosts[20].estimates[server], model.now))) /
                 kServers;
  }
  CHECK(log_ratio < 0.2);
}

// Guards against hosts that all turn to the same upstreams at once, and then to others.
TEST_CASE_METHOD(ModelFixture, "shares_manyHostsLearnTheSame_noOscillation", "[capacity]") {
  const int hosts = GENERATE(80, 400);
  Model model = Make(hosts, Policy::kLearned, Model::Server::Statement::kTrue);
  model.noise_share = 0;
  const double rate = 0.8 * model.Capacity();
  model.Run(2s, rate);
  double lowest = 1;
  double highest = 0;
  for (int round = 0; round < 12; ++round) {
    model.ResetCounts();
    model.Run(500ms, rate);
    lowest = std::min(lowest, model.FastShare());
    highest = std::max(highest, model.FastShare());
  }
  CAPTURE(hosts, lowest, highest);
  CHECK(highest - lowest < 0.15);
}

}  // namespace
}  // namespace snipeturn::capacity
