#include "snipeturn/rollout/exposure.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace snipeturn::rollout {
namespace {

constexpr double kShare = 0.1;
constexpr double kSlack = 50;

/// Requests that arrive at random hosts, which join, are lost and restart meanwhile.
class ExposureFixture {
 public:
  void Run(std::uint32_t seed, std::size_t most_hosts) {
    std::mt19937 random(seed);
    std::vector<Exposure> hosts(1 + random() % most_hosts);
    const unsigned change_interval = 1 + random() % 200;
    for (int step = 0; step < 4000; ++step) {
      if (random() % change_interval == 0) {
        Change(random, hosts, most_hosts);
      }
      Exposure& host = hosts[random() % hosts.size()];
      if (MayUseTarget(host, kShare)) {
        host.target_sends += 1;
        target_requests += 1;
      }
      host.sends += 1;
      requests += 1;
      is_within = is_within && target_requests <= kShare * requests + kSlack;
    }
  }

  double requests{0};
  double target_requests{0};
  bool is_within{true};

 private:
  static void Change(std::mt19937& random, std::vector<Exposure>& hosts, std::size_t most_hosts) {
    const std::size_t index = random() % hosts.size();
    const auto change = random() % 3;
    if (change == 0 && hosts.size() < most_hosts) {
      hosts.emplace_back();
    } else if (change == 1 && hosts.size() > 1) {
      hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(index));
    } else {
      hosts[index] = {};
    }
  }
};

// Guards against a version under trial that gets more than its share when hosts come and go.
TEST_CASE("exposure_hostsJoinAndLeaveAndRestart_sumStaysWithinShare", "[rollout]") {
  for (std::uint32_t seed = 1; seed <= 400; ++seed) {
    ExposureFixture fixture;
    fixture.Run(seed, 1 + seed % 400);
    INFO("seed " << seed << " requests " << fixture.requests << " at the target "
                 << fixture.target_requests);
    CHECK(fixture.is_within);
  }
}

// Guards against a trial that gets too few requests for a verdict.
TEST_CASE("exposure_steadyTraffic_targetGetsMostOfItsShare", "[rollout]") {
  Exposure host;
  for (int request = 0; request < 10000; ++request) {
    host.target_sends += MayUseTarget(host, kShare) ? 1 : 0;
    host.sends += 1;
  }
  CHECK(host.target_sends >= 790);
  CHECK(host.target_sends <= 800);
}

}  // namespace
}  // namespace snipeturn::rollout
