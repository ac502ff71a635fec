#include "snipeturn/entry/request_bytes.h"

#include <catch2/catch.hpp>

namespace snipeturn::entry {
namespace {

/// A request of this host with 60 bytes at an upstream "a", and a further one of 50 bytes.
class RequestBytesFixture {
 public:
  RequestBytesFixture() {
    Request& sent = state.requests[1];
    sent.head.body_bytes = 60;
    sent.attempts.push_back({1, "a"});
    next.head.body_bytes = 50;
  }

  bool HasRoom(const UpstreamId& upstream) const {
    return HasRoomForBody(state, RequestBytesInFlight(state, next), next, upstream);
  }

  State state;
  Request next;
};

// Guards against a bound that takes effect where none is stated.
TEST_CASE_METHOD(RequestBytesFixture, "body_noBoundStated_hasRoom", "[entry]") {
  CHECK(HasRoom("a"));
}

// Guards against a slow upstream whose requests take the memory of the host.
TEST_CASE_METHOD(RequestBytesFixture, "body_overBoundOfHost_goesElsewhere", "[entry]") {
  state.options.max_upstream_bytes = 100;
  CHECK_FALSE(HasRoom("a"));
  CHECK(HasRoom("b"));
  next.head.body_bytes = 40;
  CHECK(HasRoom("a"));
  next.head.body_bytes = 500;
  CHECK(HasRoom("b"));
}

// Guards against hosts that together send an upstream more than it holds.
TEST_CASE_METHOD(RequestBytesFixture, "body_overPartOfAllHosts_goesElsewhere", "[entry]") {
  state.options.max_upstream_bytes = 1000;
  state.options.max_upstream_bytes_of_all = 400;
  state.hosts = 2;
  CHECK(HasRoom("a"));
  state.hosts = 4;
  CHECK_FALSE(HasRoom("a"));
  CHECK(HasRoom("b"));
}

}  // namespace
}  // namespace snipeturn::entry
