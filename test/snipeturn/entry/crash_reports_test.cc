#include <catch2/catch.hpp>

#include "snipeturn/entry/crash_world.h"

namespace snipeturn::entry {
namespace {

/// Sound requests of twenty topics at all hosts in turn; every seventh request has the deadly part.
/// All requests share the first part.
class CrashFixture {
 public:
  static void Load(CrashWorld& world, int hosts, std::uint64_t& step, bool with_deadly) {
    ++step;
    if (step % 10 != 0) {
      return;
    }
    const std::uint64_t number = step / 10;
    const int host = static_cast<int>(number % static_cast<std::uint64_t>(hosts));
    if (with_deadly && number % 7 == 0) {
      world.Request(host, {CrashWorld::kSharedPart, 100 + number % 20, CrashWorld::kDeadlyPart});
    } else {
      world.Request(host, {CrashWorld::kSharedPart, 100 + number % 20});
    }
  }
};

// Guards against requests with one prompt part that crash engine after engine.
TEST_CASE_METHOD(CrashFixture, "deadlyPart_afterFiveCrashes_notSentAgain", "[entry_crash]") {
  const int hosts = GENERATE(1, 7, 40);
  CrashWorld world(hosts);
  std::uint64_t step = 0;
  world.Run(5s, [&] { Load(world, hosts, step, false); });
  world.Run(20s, [&] { Load(world, hosts, step, true); });
  CHECK(world.crash_count() <= 8);
  CHECK(world.DeadlySendsAfterFifthCrash(3s) <= 3);
}

}  // namespace
}  // namespace snipeturn::entry
