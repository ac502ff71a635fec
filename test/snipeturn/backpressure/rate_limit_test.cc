#include "snipeturn/backpressure/rate_limit.h"

#include <catch2/catch.hpp>

namespace snipeturn::backpressure {
namespace {

using namespace std::chrono_literals;

class RateLimitFixture {
 public:
  RateLimitFixture() { State(2.0); }

  bool State(std::optional<double> requests_per_second) {
    return AdoptStatement(limit, {requests_per_second, now, true}, now);
  }

  /// Number of requests that may start within a time if each starts as early as possible.
  int CountStarts(double host_rate, std::chrono::milliseconds time) {
    const TimePoint until = now + time;
    int starts = 0;
    while ((now = NextStart(limit, host_rate, now)) < until) {
      RecordStart(limit, host_rate, now);
      ++starts;
    }
    return starts;
  }

  RateLimit limit;
  TimePoint now{1000s};
};

// Guards against a host that saves up requests while it sends none.
TEST_CASE_METHOD(RateLimitFixture, "host_idleForLong_sendsAtItsRate", "[backpressure]") {
  now += 100s;
  CHECK(CountStarts(0.5, 10s) == 6);
  now += 100s;
  CHECK(CountStarts(10, 10s) == 102);
}

// Guards against a host without a part of the limit that sends all the same.
TEST_CASE_METHOD(RateLimitFixture, "host_withoutPart_neverSends", "[backpressure]") {
  CHECK(NextStart(limit, 0, now) == TimePoint::max());
}

// Guards against a time that overflows at a very low rate.
TEST_CASE_METHOD(RateLimitFixture, "host_tinyPart_waitIsBounded", "[backpressure]") {
  RecordStart(limit, 1e-12, now);
  CHECK(NextStart(limit, 1e-12, now) == now + 24h);
}

// Guards against an older statement of another host that replaces a newer one.
TEST_CASE_METHOD(RateLimitFixture, "statement_older_ignored", "[backpressure]") {
  CHECK_FALSE(AdoptStatement(limit, {std::nullopt, now - 1s, false}, now));
  CHECK_FALSE(AdoptStatement(limit, {9.0, now - 1s, false}, now));
  CHECK(limit.requests_per_second == 2.0);
  now += 1s;
  CHECK(AdoptStatement(limit, {9.0, now, false}, now));
  CHECK(limit.requests_per_second == 9.0);
}

// Guards against an end of a limit that the other hosts don't hear.
TEST_CASE_METHOD(RateLimitFixture, "statement_ownEnd_reportedForSomeTime", "[backpressure]") {
  CHECK(IsReported(limit, now));
  now += 1s;
  CHECK(State(std::nullopt));
  CHECK(IsReported(limit, now + 1s));
  CHECK_FALSE(IsReported(limit, now + 6s));
}

// Guards against a limit of another host that lapses although hosts can't hear of it more often.
TEST_CASE_METHOD(RateLimitFixture, "limit_lowRate_expiresLate", "[backpressure]") {
  now += 1s;
  REQUIRE(State(std::nullopt));
  now += 1s;
  REQUIRE(AdoptStatement(limit, {3.0, now, false}, now));
  CHECK_FALSE(HasExpired(limit, now + 10s));
  CHECK(HasExpired(limit, now + 11s));
  now += 1s;
  REQUIRE(AdoptStatement(limit, {0.1, now, false}, now));
  CHECK_FALSE(HasExpired(limit, now + 39s));
  CHECK(HasExpired(limit, now + 41s));
}

// Guards against a limit that is forgotten as its upstream gets no request for some seconds.
TEST_CASE_METHOD(RateLimitFixture, "limit_statedToThisHost_neverExpires", "[backpressure]") {
  CHECK_FALSE(HasExpired(limit, now + 24h));
  now += 1s;
  // Another host's statement of it doesn't release this one.
  REQUIRE(AdoptStatement(limit, {3.0, now, false}, now));
  CHECK_FALSE(HasExpired(limit, now + 24h));
}

// Guards against a limit that is forgotten while the host to which it was stated repeats it.
TEST_CASE_METHOD(RateLimitFixture, "limit_repeatedByOtherHost_kept", "[backpressure]") {
  now += 1s;
  REQUIRE(State(std::nullopt));
  now += 1s;
  const TimePoint stated = now;
  REQUIRE(AdoptStatement(limit, {3.0, stated, false}, now));
  now += 9s;
  CHECK_FALSE(AdoptStatement(limit, {3.0, stated, false}, now));
  CHECK_FALSE(HasExpired(limit, now + 9s));
  CHECK_FALSE(AdoptStatement(limit, {4.0, stated - 1s, false}, now + 9s));
  CHECK(HasExpired(limit, now + 11s));
}

// Guards against a sum over hosts that exceeds the tolerance of a burst: half of what the limit
// allows in four seconds, and five requests.
TEST_CASE_METHOD(RateLimitFixture, "senders_allAtOnce_withinTolerance", "[backpressure]") {
  const double per_second = GENERATE(0.0, 0.2, 1.0, 2.5, 5.0, 40.0, 400.0);
  const int hosts = MaxSendingHosts(per_second);
  const double rate = HostRate(per_second, hosts);
  CHECK(hosts >= 1);
  const double burst = hosts * (1 + 0.2 * rate);
  CHECK(burst + 4 * rate * hosts <= 1.5 * 4 * per_second + 5);
}

}  // namespace
}  // namespace snipeturn::backpressure
