#include <catch2/catch.hpp>

#include "snipeturn/entry/rollout_world.h"

namespace snipeturn::entry {
namespace {

// Guards against a repeated order that ends at once on a restarted host, by the final state of the
// earlier order with the same target.
TEST_CASE_METHOD(RolloutFixture,
                 "status_ofAnyOrder_countsOnlyForItsOwn",
                 "[entry][entry_rollout]") {
  const bool is_own = GENERATE(true, false);
  state.store.confirmed.reset();
  AddVersion("v1", 1, 3);
  AddVersion("v2", 21, 3);
  status = RolloutStatus{"v2", RolloutState::kRolledBack, is_own ? 10 : 9};
  Order("v2", 10, 2s);
  ConfirmStore();
  ServeWell(2s);
  CHECK(Phase() == (is_own ? rollout::Phase::kRolledBack : rollout::Phase::kCanary));
  CHECK((sends["v2"] > 0) == !is_own);
  CHECK(status->order == 10);
}

}  // namespace
}  // namespace snipeturn::entry
