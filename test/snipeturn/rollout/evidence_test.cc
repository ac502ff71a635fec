#include "snipeturn/rollout/evidence.h"

#include <catch2/catch.hpp>

namespace snipeturn::rollout {
namespace {

EvidenceRow MakeRow(std::uint64_t responses, std::uint64_t failures) {
  EvidenceRow row;
  row.route = "/a/";
  row.side = Side::kTarget;
  row.groups[2] = {responses, failures};
  return row;
}

// Guards against evidence that counts twice, or is lost, as tables are repeated or come late.
TEST_CASE("evidence_repeatedAndLateTables_countOnce", "[rollout]") {
  ReportedEvidence reported;
  AdoptRows(reported, {"host-1", 1}, {MakeRow(10, 2)});
  AdoptRows(reported, {"host-1", 1}, {MakeRow(20, 5)});
  AdoptRows(reported, {"host-1", 1}, {MakeRow(20, 5)});
  AdoptRows(reported, {"host-1", 1}, {MakeRow(10, 2)});
  AdoptRows(reported, {"host-1", 2}, {MakeRow(3, 1)});
  EvidenceRows sum;
  for (const auto& [source, rows] : reported) {
    for (const auto& [key, row] : rows) {
      AddRow(sum, row);
    }
  }
  const GroupCounts total = Total(sum.at({"/a/", Side::kTarget}));
  CHECK(total.responses == 23);
  CHECK(total.failures == 6);
}

// Guards against a table that grows without bound where a service has many routes.
TEST_CASE("evidence_manyRoutes_rowsAreBounded", "[rollout]") {
  EvidenceRows rows;
  for (int route = 0; route < 200; ++route) {
    static_cast<void>(FindOrAddRow(rows, std::to_string(route), Side::kOld));
  }
  CHECK(rows.size() == kMaxEvidenceRows);
  CHECK(FindOrAddRow(rows, "199", Side::kOld) == nullptr);
}

}  // namespace
}  // namespace snipeturn::rollout
