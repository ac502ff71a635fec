#include "snipeturn/entry/plain_admission.h"

#include <catch2/catch.hpp>

#include "snipeturn/entry/entry_fixture.h"

namespace snipeturn::entry {
namespace {

// Guards against a surge after a restart of all hosts that waits at the upstreams until it is late.
TEST_CASE("plainUpstream_responseTimesUnknownOrLong_noMoreThanSlots", "[entry]") {
  CHECK(PlainOvercommit(1000ms, std::nullopt, 2) == 1);
  CHECK(PlainOvercommit(1000ms, 2s, 2) == 1);
  CHECK(PlainOvercommit(1000ms, 500ms, 2) == Approx(1.4));
  CHECK(PlainOvercommit(1000ms, 100ms, 2) == 2);
}

class PlainFixture : public EntryFixture {
 public:
  int SendAll(int count) {
    int sends = 0;
    for (int index = 0; index < count; ++index) {
      ReceiveRequest("/book/a");
      sends += static_cast<int>(EffectsOf<Send>().size());
    }
    return sends;
  }
};

TEST_CASE_METHOD(PlainFixture, "plainService_upstreamsStateWorkTime_restWaitsAtHost", "[entry]") {
  AddUpstream("plain-1", "plain");
  state.services_with_work_time.insert("plain");
  CHECK(SendAll(20) == 6);
}

TEST_CASE_METHOD(PlainFixture, "plainService_notContended_slotsOvercommitted", "[entry]") {
  AddUpstream("plain-1", "plain");
  CHECK(SendAll(20) == 12);
}

}  // namespace
}  // namespace snipeturn::entry
