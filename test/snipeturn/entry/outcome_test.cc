#include <catch2/catch.hpp>

#include "snipeturn/entry/entry_fixture.h"

namespace snipeturn::entry {
namespace {

class OutcomeFixture : public EntryFixture {
 public:
  OutcomeFixture() {
    List("plain-1", "plain");
    List("plain-2", "plain");
  }

  Send Only() const { return All<Send>().at(0); }
};

// Guards against a booking that is charged twice: a broken connection proves nothing.
TEST_CASE_METHOD(OutcomeFixture, "nonIdempotent_connectionBreaksAfterSend_unknown", "[entry]") {
  Arrive("/book/a");
  End(Only().attempt, AttemptResult::kBroken);
  CHECK(All<Send>().empty());
  REQUIRE(All<Refuse>().size() == 1);
  CHECK(All<Refuse>()[0].status == 502);
  CHECK_FALSE(All<Refuse>()[0].retry_after);
}

// Guards against a booking that is lost although nothing of it was sent.
TEST_CASE_METHOD(OutcomeFixture, "nonIdempotent_connectFails_sentToOtherUpstream", "[entry]") {
  Arrive("/book/a");
  const Send first = Only();
  End(first.attempt, AttemptResult::kUnsent);
  REQUIRE(All<Send>().size() == 1);
  CHECK(Only().upstream != first.upstream);
}

// Guards against a refusal that claims "not run" after a send with an unknown end.
TEST_CASE_METHOD(OutcomeFixture, "nonIdempotent_notExecutedEverywhere_refusedAsNotRun", "[entry]") {
  Arrive("/book/a");
  End(Only().attempt, AttemptResult::kNotExecuted, 503);
  End(Only().attempt, AttemptResult::kNotExecuted, 503);
  REQUIRE(All<Refuse>().size() == 1);
  CHECK(All<Refuse>()[0].status == 503);
  CHECK(All<Refuse>()[0].retry_after);
}

// Guards against a route that never gets past an address that another service has taken over.
TEST_CASE_METHOD(OutcomeFixture, "anyRequest_wrongUpstream_notUsedAgain", "[entry]") {
  Arrive("/book/a");
  const Send first = Only();
  End(first.attempt, AttemptResult::kWrongUpstream, 421);
  const Send second = Only();
  CHECK(second.upstream != first.upstream);
  for (int count = 0; count < 5; ++count) {
    Arrive("/book/b");
    CHECK(Only().upstream == second.upstream);
  }
}

TEST_CASE_METHOD(OutcomeFixture, "idempotent_serverError_repeatedOnceElsewhere", "[entry]") {
  Arrive("/look/a");
  const Send first = Only();
  End(first.attempt, AttemptResult::kAnswered, 500);
  const Send second = Only();
  CHECK(second.upstream != first.upstream);
  End(second.attempt, AttemptResult::kAnswered, 500);
  CHECK(All<Send>().empty());
  CHECK(All<Relay>().size() == 1);
}

// Guards against a booking's failure that is hidden by a repeat.
TEST_CASE_METHOD(OutcomeFixture, "nonIdempotent_serverError_relayed", "[entry]") {
  Arrive("/book/a");
  End(Only().attempt, AttemptResult::kAnswered, 500);
  CHECK(All<Relay>().size() == 1);
  CHECK(All<Send>().empty());
}

// Guards against an upstream that hangs and holds a lookup until its timeout.
TEST_CASE_METHOD(OutcomeFixture, "idempotent_answerOverdue_sentASecondTime", "[entry]") {
  Arrive("/look/a");
  const Send first = Only();
  Wait(1000ms);
  REQUIRE(All<Send>().size() == 1);
  const Send second = Only();
  CHECK(second.upstream != first.upstream);
  End(second.attempt, AttemptResult::kAnswered, 200);
  CHECK(All<Relay>().size() == 1);
  REQUIRE(All<Abandon>().size() == 1);
  CHECK(All<Abandon>()[0].attempt == first.attempt);
}

// Guards against a booking that is sent twice because the first upstream is slow.
TEST_CASE_METHOD(OutcomeFixture, "nonIdempotent_answerOverdue_waitsThenTimesOut", "[entry]") {
  time_limit = 2s;
  Arrive("/book/a");
  Wait(1990ms);
  CHECK(All<Send>().empty());
  Wait(20ms);
  REQUIRE(All<Refuse>().size() == 1);
  CHECK(All<Refuse>()[0].status == 504);
  CHECK(All<Abandon>().size() == 1);
}

// Guards against work that goes on for a caller who has left.
TEST_CASE_METHOD(OutcomeFixture, "request_callerLeaves_abandoned", "[entry]") {
  const RequestKey request = Arrive("/look/a");
  Do(CallerGone{request});
  CHECK(All<Abandon>().size() == 1);
  CHECK(state.requests.empty());
  CHECK(OwnLoad(state).empty());
}

// Guards against each of many hosts finding out by itself, request by request, that a zone is gone.
TEST_CASE_METHOD(OutcomeFixture, "upstream_unreachedByOtherHost_comesLast", "[entry]") {
  PeerLoadReceived load;
  load.host = "host-2";
  load.unreached = {"plain-1"};
  Do(load);
  for (int count = 0; count < 4; ++count) {
    Arrive("/book/a");
    CHECK(Only().upstream == "plain-2");
  }
  Arrive("/book/a");
  End(Only().attempt, AttemptResult::kUnsent);
  CHECK(UnreachedUpstreams(state, now) == std::vector<UpstreamId>{"plain-2"});
  CHECK(UnreachedUpstreams(state, now + 2s).empty());
}

// Guards against one cut off host that keeps all others from an upstream.
TEST_CASE_METHOD(OutcomeFixture, "upstream_answersHere_otherHostsFailuresDontCount", "[entry]") {
  Arrive("/book/a");
  const std::string answering = Only().upstream;
  End(Only().attempt, AttemptResult::kAnswered, 200);
  PeerLoadReceived load;
  load.host = "host-2";
  load.unreached = {answering};
  Do(load);
  CHECK(state.upstreams.at(answering).avoid_until <= now);
}

// Guards against repeats that add up over hosts when an upstream fails all requests.
TEST_CASE_METHOD(OutcomeFixture, "repeats_budgetSpent_answerRelayed", "[entry]") {
  state.options.bounds.retry_slack = 10;
  state.hosts = 10;
  int repeats = 0;
  for (int count = 0; count < 50; ++count) {
    Arrive("/look/a");
    End(Only().attempt, AttemptResult::kAnswered, 500);
    if (!All<Send>().empty()) {
      ++repeats;
      End(Only().attempt, AttemptResult::kAnswered, 200);
    }
  }
  CHECK(repeats > 0);
  CHECK(repeats <= 11);
}

// Guards against an answer that the reducer takes for another attempt's.
TEST_CASE_METHOD(OutcomeFixture, "attempt_endsAfterRequest_ignored", "[entry]") {
  const RequestKey request = Arrive("/look/a");
  const AttemptKey attempt = Only().attempt;
  Do(CallerGone{request});
  End(attempt, AttemptResult::kAnswered, 200);
  CHECK(All<Relay>().empty());
}

}  // namespace
}  // namespace snipeturn::entry
