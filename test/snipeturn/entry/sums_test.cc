#include <catch2/catch.hpp>

#include "snipeturn/entry/entry_fixture.h"

namespace snipeturn::entry {
namespace {

/// Several hosts that receive one another's load broadcasts.
class ColdStartFixture {
 public:
  /// Gives every host eight requests for a cold upstream within one second; returns the total
  /// number that were sent. Each host knows of the first `known_hosts` hosts.
  static int ColdStarts(int hosts, double cold_per_second, int known_hosts) {
    int starts = 0;
    for (int host = 0; host < hosts; ++host) {
      EntryFixture one;
      one.state.options.host = "host-" + std::to_string(host);
      one.desired.version = 2;
      one.desired.services["plain"].cold_requests_per_second = cold_per_second;
      one.Apply(DesiredStateRead{one.desired});
      one.Apply(HostsRead{hosts, {}});
      for (int other = 0; other < known_hosts; ++other) {
        if (other != host) {
          PeerLoadReceived load;
          load.host = "host-" + std::to_string(other);
          one.Apply(load);
        }
      }
      UpstreamEntry entry = one.AddUpstream("plain-1", "plain");
      entry.cold_left = 5s;
      entry.sequence += 1;
      one.Apply(UpstreamListed{entry, {0, 100}});
      for (int request = 0; request < 8; ++request) {
        one.ReceiveRequest("/book/a");
        starts += static_cast<int>(one.EffectsOf<Send>().size());
      }
    }
    return starts;
  }
};

// Guards against a cold upstream that crashes under the total of the requests of all hosts.
TEST_CASE_METHOD(ColdStartFixture, "coldUpstream_anyNumberOfHosts_totalWithinLimit", "[entry]") {
  for (const int hosts : {1, 2, 7, 9, 26, 69, 83, 120}) {
    const int starts = ColdStarts(hosts, 26, hosts);
    CHECK(starts <= 26);
    CHECK(starts > 0);
  }
}

// Guards against a total that grows without bound when broadcasts of some hosts are missing.
TEST_CASE_METHOD(ColdStartFixture, "coldUpstream_someHostsUnknown_totalGrowsByOneEach", "[entry]") {
  CHECK(ColdStarts(69, 26, 60) <= 26 + 9);
}

// Guards against retries of all hosts that in total exceed the service's budget when it fails every
// request.
TEST_CASE("retryBudget_manyHosts_totalWithinRatioAndSlack", "[entry]") {
  Bounds bounds;
  bounds.retry_ratio = 0.2;
  bounds.retry_slack = 54;
  for (const int hosts : {1, 7, 83}) {
    int requests = 0;
    int retries = 0;
    for (int host = 0; host < hosts; ++host) {
      RetryBudget budget;
      for (int count = 0; count < 40; ++count) {
        const TimePoint now(std::chrono::milliseconds(200 * count));
        CountRequest(budget, bounds, now);
        ++requests;
        retries += TryConsumeRetry(budget, bounds, hosts, now) ? 1 : 0;
      }
    }
    CHECK(retries > 0);
    CHECK(retries <= 0.2 * requests + 54);
  }
}

}  // namespace
}  // namespace snipeturn::entry
