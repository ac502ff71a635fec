#include "snipeturn/capacity/summary.h"

#include <catch2/catch.hpp>

namespace snipeturn::capacity {
namespace {

using namespace std::chrono_literals;

class SummaryFixture {
 public:
  [[nodiscard]] Row MakeSlow(int weight, std::int64_t start = 1) const {
    Evidence own;
    own.speed = {static_cast<double>(weight), -0.7};
    own.recent_speed = {weight / 4.0, -0.7};
    own.at = now;
    own.observed_at = now;
    return MakeRow("upstream-1", start, own, now);
  }

  TimePoint now{std::chrono::seconds(1000)};
  HostEvidenceTable table;
};

// Guards against evidence that counts twice because its datagram came twice or late.
TEST_CASE_METHOD(SummaryFixture, "rows_repeatedOrLate_countOnce", "[capacity]") {
  AdoptRows(table, "host-2", {MakeSlow(8)}, now, now);
  AdoptRows(table, "host-3", {MakeSlow(4)}, now, now);
  CHECK(SumOfHosts(table, "upstream-1", 1, now).speed.weight == Approx(12));
  AdoptRows(table, "host-2", {MakeSlow(8)}, now, now);
  AdoptRows(table, "host-2", {MakeSlow(40)}, now - 1s, now);
  AdoptRows(table, "host-2", {MakeSlow(8)}, now + 200ms, now);
  CHECK(SumOfHosts(table, "upstream-1", 1, now).speed.weight == Approx(12));
  CHECK(SumOfHosts(table, "upstream-1", 1, now).speed.value == Approx(-0.7));
}

// Guards against a host that is no longer heard because its clock began anew.
TEST_CASE_METHOD(SummaryFixture, "rows_hostRestarted_adopted", "[capacity]") {
  AdoptRows(table, "host-2", {MakeSlow(8)}, now, now);
  AdoptRows(table, "host-2", {MakeSlow(2)}, now - 900s, now + 4s);
  CHECK(SumOfHosts(table, "upstream-1", 1, now + 4s).speed.weight == Approx(2));
}

// Guards against a new incarnation that is judged by the former one.
TEST_CASE_METHOD(SummaryFixture, "evidence_ofOtherIncarnationOrOld_ignored", "[capacity]") {
  AdoptRows(table, "host-2", {MakeSlow(8, 1)}, now, now);
  CHECK(SumOfHosts(table, "upstream-1", 2, now).speed.weight == 0.0);
  now += kEvidenceTtl + 1ms;
  CHECK(SumOfHosts(table, "upstream-1", 1, now).speed.weight == 0.0);
  RemoveExpired(table, now);
  CHECK(table.empty());
}

// Guards against tables that don't fit into a datagram.
TEST_CASE_METHOD(SummaryFixture, "rows_ofManyUpstreams_newestKept", "[capacity]") {
  std::vector<Row> rows;
  for (int weight = 0; weight < 400; ++weight) {
    rows.push_back(MakeSlow(weight));
  }
  KeepNewest(rows);
  REQUIRE(rows.size() == kMaxRows);
  CHECK(rows.front().speed_weight == 4 * 399);
}

// Guards against figures of a faulty host that make sums infinite or negative.
TEST_CASE_METHOD(SummaryFixture, "rows_absurdFigures_bounded", "[capacity]") {
  Row row = MakeSlow(1);
  row.speed_weight = -5;
  row.recent_weight = 2'000'000'000;
  row.recent_speed = -2'000'000'000;
  AdoptRows(table, "host-2", {row}, now, now);
  const Evidence sum = SumOfHosts(table, "upstream-1", 1, now);
  CHECK(sum.speed.weight == 0.0);
  CHECK(sum.recent_speed.weight <= 1000);
  CHECK(sum.recent_speed.value >= -5);
}

}  // namespace
}  // namespace snipeturn::capacity
