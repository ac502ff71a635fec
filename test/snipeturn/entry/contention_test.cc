#include "snipeturn/entry/contention.h"

#include <catch2/catch.hpp>

#include "snipeturn/entry/entry_fixture.h"

namespace snipeturn::entry {
namespace {

class ContentionFixture : public EntryFixture {
 public:
  /// Adds a second route to the engines and puts the configuration into force.
  void AddUrgentRoute(int priority, std::chrono::milliseconds objective) {
    desired.version += 1;
    desired.routes[0].priority = 2;
    desired.routes[0].latency_objective = 4000ms;
    desired.routes.push_back(MakeRoute("/short/", RouteKind::kStream, "engines"));
    desired.routes.back().priority = priority;
    desired.routes.back().latency_objective = objective;
    Apply(DesiredStateRead{desired});
  }
};

// Guards against decisions for hard load in deployments without competing routes.
TEST_CASE_METHOD(ContentionFixture, "service_oneRoute_notContended", "[entry]") {
  CHECK_FALSE(IsContended(state, "engines"));
  CHECK_FALSE(IsContended(state, "plain"));
  CHECK_FALSE(IsContended(state, "unknown"));
}

TEST_CASE_METHOD(ContentionFixture,
                 "service_urgentRouteWithShorterObjective_contended",
                 "[entry]") {
  AddUrgentRoute(0, 1500ms);
  const Contention* contention = ContentionOf(state, "engines");
  REQUIRE(contention != nullptr);
  CHECK(contention->urgent_objective == 1500ms);
  CHECK(contention->urgent_priority == 0);
  CHECK_FALSE(IsContended(state, "plain"));
  Request request;
  request.priority = 2;
  request.latency_objective = 4000ms;
  CHECK(IsLessUrgent(*contention, request));
  request.priority = 0;  // Set for the organisation.
  CHECK_FALSE(IsLessUrgent(*contention, request));
}

TEST_CASE_METHOD(ContentionFixture, "service_objectivesTooClose_notContended", "[entry]") {
  AddUrgentRoute(0, 2100ms);
  CHECK_FALSE(IsContended(state, "engines"));
}

TEST_CASE_METHOD(ContentionFixture, "service_samePriority_notContended", "[entry]") {
  AddUrgentRoute(2, 1500ms);
  CHECK_FALSE(IsContended(state, "engines"));
}

// Guards against requests that never wait: without classes no request is less urgent.
TEST_CASE_METHOD(ContentionFixture,
                 "service_upstreamsStateWorkTime_contendedWithoutClasses",
                 "[entry]") {
  state.services_with_work_time.insert("plain");
  const Contention* contention = ContentionOf(state, "plain");
  REQUIRE(contention != nullptr);
  CHECK(contention->urgent_objective == 1800ms);
  Request request;
  request.priority = 9;
  request.latency_objective = 10s;
  CHECK_FALSE(IsLessUrgent(*contention, request));
}

}  // namespace
}  // namespace snipeturn::entry
