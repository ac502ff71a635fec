#include "snipeturn/claims/claims.h"

#include <fmt/format.h>
#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

#include "snipeturn/claims/claim_proof.h"
#include "snipeturn/claims/claim_record.h"

namespace snipeturn {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = ClaimDecision::Kind;

constexpr char kBody[] = "digest of the body";

/// An in-memory claim stream, shared by the claims modules of three hosts.
class ClaimsFixture {
 protected:
  struct Host {
    ClaimsState claims;
    MembershipState membership;
    Timers timers;
    AppendId append_ids{1};
    LogOffset next{0};
    ClaimDecisions decisions;
    std::vector<SendPeer> sent;
  };

  ClaimsFixture() {
    tuning_.claim_streams = 1;
    now_.monotonic = TimePoint{seconds{10000}};
    now_.wall = WallTime{milliseconds{1700000000000}};
    Epoch epoch;
    epoch.number = 1;
    epoch.adopted = now_.monotonic - seconds{1000};
    for (const char* name : {"a", "b", "c"}) {
      epoch.members.push_back(Member{HostId{name, 1}, Endpoint{"127.0.0.1", 1}, "zone"});
    }
    for (const Member& member : epoch.members) {
      Host& host = hosts_[member.id.name];
      host.membership.self = member.id;
      host.membership.epochs = {epoch};
      for (const Member& peer : epoch.members) {
        host.membership.peers[peer.id.name].id = peer.id;
        host.membership.peers[peer.id.name].endpoint = peer.endpoint;
      }
    }
  }

  /// Makes a key that was issued `age` ago.
  [[nodiscard]] std::string Key(milliseconds age = milliseconds{0}) const {
    const auto issued = static_cast<std::uint64_t>((now_.wall - age).time_since_epoch().count());
    return fmt::format("{:08x}-{:04x}-7000-8000-000000000001", issued >> 16U, issued & 0xffffU);
  }

  void Begin(const std::string& name,
             RequestId request,
             const std::string& key,
             const std::string& body = kBody,
             const std::string& owner = "team/first") {
    Host& host = hosts_[name];
    Effects effects;
    Collect(host,
            BeginClaim(host.claims, {request, owner, key, body, now_.monotonic + seconds{5}},
                       host.membership, tuning_, host.timers, now_, host.append_ids, effects),
            effects);
  }

  void Read(const std::string& name) {
    Host& host = hosts_[name];
    LogRead read{"claims-0", now_.monotonic, host.next, 0, log_.size(), seconds{3600}, {}};
    for (; host.next < log_.size(); ++host.next) {
      read.records.push_back({host.next, milliseconds{0}, log_[host.next]});
    }
    Effects effects;
    Collect(
        host,
        HandleClaimsRead(host.claims, read, host.membership, tuning_, host.timers, now_, effects),
        effects);
  }

  /// Advances the time in steps of 10 ms. Each host fires its due timers and reads the log unless
  /// it is down.
  void Run(milliseconds duration) {
    for (milliseconds passed{0}; passed < duration; passed += milliseconds{10}) {
      now_.monotonic += milliseconds{10};
      now_.wall += milliseconds{10};
      for (auto& [name, host] : hosts_) {
        while (const auto key = PopDue(host.timers, now_.monotonic)) {
          Effects effects;
          Collect(host,
                  HandleClaimTimer(host.claims, *key, host.membership, tuning_, host.timers, now_,
                                   host.append_ids, effects),
                  effects);
        }
        if (!log_down_) {
          Read(name);
        }
      }
    }
  }

  void Finish(const std::string& name, RequestId request) {
    Host& host = hosts_[name];
    MarkDispatched(host.claims, request, now_);
    FinishClaim(host.claims, request, {200, "text/plain", "booked"}, tuning_, host.timers, now_);
  }

  void Release(const std::string& name, RequestId request) {
    ReleaseClaim(hosts_[name].claims, request, tuning_, hosts_[name].timers, now_);
  }

  [[nodiscard]] std::vector<Kind> Decisions(const std::string& name) {
    std::vector<Kind> kinds;
    for (const ClaimDecision& decision : hosts_[name].decisions) {
      kinds.push_back(decision.kind);
    }
    return kinds;
  }

  /// Delivers claim queries and their replies between hosts.
  void DeliverMessages() {
    for (bool any = true; any;) {
      any = false;
      for (auto& [name, host] : hosts_) {
        std::vector<SendPeer> sent = std::move(host.sent);
        host.sent.clear();
        for (const SendPeer& send : sent) {
          any = true;
          Deliver(host.membership.self, send);
        }
      }
    }
  }

  Tuning tuning_;
  Now now_;
  std::map<std::string, Host> hosts_;
  std::vector<Json::Value> log_;
  bool log_down_{false};
  /// Appends during an outage are written, but can be read only after it.
  bool appends_hidden_{false};

 private:
  void Collect(Host& host, const ClaimDecisions& decisions, const Effects& effects) {
    host.decisions.insert(host.decisions.end(), decisions.begin(), decisions.end());
    for (const Effect& effect : effects) {
      if (const auto* append = std::get_if<AppendLog>(&effect)) {
        if (!log_down_ || appends_hidden_) {
          log_.push_back(append->value);
        }
      } else if (const auto* send = std::get_if<SendPeer>(&effect)) {
        host.sent.push_back(*send);
      }
    }
  }

  void Deliver(const HostId& from, const SendPeer& send) {
    Host& host = hosts_[send.to];
    Effects effects;
    if (const auto* query = std::get_if<ClaimQuery>(&send.message)) {
      HandleClaimQuery(host.claims, host.membership, from, *query, effects);
      Collect(host, {}, effects);
    } else if (const auto* reply = std::get_if<ClaimReply>(&send.message)) {
      Collect(host,
              HandleClaimReply(host.claims, host.membership, from, *reply, tuning_, now_, effects),
              effects);
    }
  }
};

// Guards against a second execution when a caller sends one key to several hosts at once.
TEST_CASE_METHOD(ClaimsFixture, "key_sent_to_three_hosts_is_dispatched_once", "[claims]") {
  const std::string key = Key();
  Begin("a", 1, key);
  Begin("b", 1, key);
  Begin("c", 1, key);
  Run(seconds{1});
  const auto dispatched = Decisions("a").size() + Decisions("b").size() + Decisions("c").size();
  REQUIRE(dispatched == 1);
  REQUIRE(Decisions("a") == std::vector<Kind>{Kind::kDispatch});
  Finish("a", 1);
  Run(seconds{1});
  CHECK(Decisions("b") == std::vector<Kind>{Kind::kAnswered});
  CHECK(Decisions("c") == std::vector<Kind>{Kind::kAnswered});
  CHECK(hosts_["b"].decisions[0].response->body == "booked");
}

// Guards against dispatching every claim that is read back: only the first claim of a key in the
// log may win it.
TEST_CASE("claim_record_second_for_the_key_doesnt_take_it", "[claims]") {
  ClaimEntry entry;
  ClaimWaiter first;
  first.claim = "a.1.1";
  ClaimWaiter second;
  second.claim = "b.1.1";
  ApplyClaimRecord(entry, MakeClaimRecord(first, {"a", 1}), TimePoint{});
  ApplyClaimRecord(entry, MakeClaimRecord(second, {"b", 1}), TimePoint{});
  CHECK(entry.claim == "a.1.1");
}

// Guards against a delayed duplicate of an append that claims a key again after its release.
TEST_CASE("claim_record_copy_after_release_doesnt_take_the_key", "[claims]") {
  ClaimEntry entry;
  ClaimWaiter waiter;
  waiter.claim = "a.1.1";
  const Json::Value record = MakeClaimRecord(waiter, {"a", 1});
  ApplyClaimRecord(entry, record, TimePoint{});
  ApplyClaimRecord(entry, MakeReleaseRecord("a.1.1", ""), TimePoint{});
  ApplyClaimRecord(entry, record, TimePoint{});
  CHECK(entry.phase == ClaimPhase::kUnclaimed);
}

TEST_CASE_METHOD(ClaimsFixture, "key_released_by_winner_is_run_by_waiting_host", "[claims]") {
  const std::string key = Key();
  Begin("a", 1, key);
  Run(milliseconds{200});
  Begin("b", 1, key);
  Run(milliseconds{200});
  Release("a", 1);
  Run(milliseconds{500});
  CHECK(Decisions("b") == std::vector<Kind>{Kind::kDispatch});
}

// Guards against a second execution after the host that claimed the key died between claim and
// outcome.
TEST_CASE_METHOD(ClaimsFixture, "key_of_lost_host_is_unknown", "[claims]") {
  const std::string key = Key();
  Begin("a", 1, key);
  Run(milliseconds{200});
  for (const char* name : {"b", "c"}) {
    Epoch epoch = hosts_[name].membership.epochs.back();
    epoch.number = 2;
    epoch.adopted = now_.monotonic;
    epoch.members.erase(epoch.members.begin());
    hosts_[name].membership.epochs.push_back(epoch);
  }
  Begin("b", 1, key);
  Run(seconds{1});
  CHECK(Decisions("b") == std::vector<Kind>{Kind::kUnknown});
  CHECK(hosts_["b"].decisions[0].reason == "claiming_host_lost");
}

// Guards against treating a lost append response as a lost append: the record may be in the log.
TEST_CASE_METHOD(ClaimsFixture, "claim_with_lost_answer_is_settled_by_reading", "[claims]") {
  const std::string key = Key();
  log_down_ = true;
  appends_hidden_ = true;
  Begin("a", 1, key);
  Run(milliseconds{1500});
  CHECK(Decisions("a").empty());
  log_down_ = false;
  Run(milliseconds{100});
  CHECK(Decisions("a") == std::vector<Kind>{Kind::kDispatch});
}

// Guards against dispatching a claim that is read back only after its call was refused.
TEST_CASE_METHOD(ClaimsFixture, "claim_read_after_refusal_is_released", "[claims]") {
  const std::string key = Key();
  log_down_ = true;
  appends_hidden_ = true;
  Begin("a", 1, key);
  Run(seconds{6});
  CHECK(Decisions("a") == std::vector<Kind>{Kind::kUnknown});
  log_down_ = false;
  Run(seconds{2});
  CHECK(Decisions("a").size() == 1);
  Begin("b", 1, key);
  Run(seconds{1});
  CHECK(Decisions("b") == std::vector<Kind>{Kind::kDispatch});
}

// Guards against reporting "not run" for a key that another member may have run in a log outage.
TEST_CASE_METHOD(ClaimsFixture, "refusal_in_outage_needs_the_denial_of_all_members", "[claims]") {
  const std::string key = Key();
  log_down_ = true;
  const bool another_pending = GENERATE(false, true);
  Begin("a", 1, key);
  Run(seconds{2});
  // The later call on host c has not given up its claim when host a sends its query.
  if (another_pending) {
    Begin("c", 1, key);
  }
  Run(milliseconds{2600});
  DeliverMessages();
  Run(milliseconds{500});
  if (another_pending) {
    CHECK(Decisions("a") == std::vector<Kind>{Kind::kUnknown});
  } else {
    CHECK(Decisions("a") == std::vector<Kind>{Kind::kNotRun});
  }
}

TEST_CASE_METHOD(ClaimsFixture, "refusal_in_outage_with_silent_member_is_unknown", "[claims]") {
  log_down_ = true;
  Begin("a", 1, Key());
  Run(milliseconds{4600});
  hosts_["a"].sent.pop_back();
  DeliverMessages();
  Run(milliseconds{500});
  CHECK(Decisions("a") == std::vector<Kind>{Kind::kUnknown});
}

// Guards against a call that waits until its deadline on a host which shuts down and has left the
// epoch: it can't claim a key any more, and the process does not end before the call does.
TEST_CASE_METHOD(ClaimsFixture, "claim_drainingHostLeftEpoch_decidedAtOnce", "[claims]") {
  Host& host = hosts_["a"];
  host.membership.draining = true;
  SECTION("still a member") {
    Begin("a", 1, Key());
    Run(milliseconds{100});
    CHECK(Decisions("a") == std::vector<Kind>{Kind::kDispatch});
  }
  SECTION("no longer a member") {
    Epoch epoch = host.membership.epochs.back();
    epoch.number = 2;
    epoch.members.erase(epoch.members.begin());
    host.membership.epochs.push_back(epoch);
    REQUIRE_FALSE(IsMember(host.membership));
    Begin("a", 1, Key());
    // An earlier call with the key may have run at another host.
    REQUIRE(Decisions("a") == std::vector<Kind>{Kind::kUnknown});
    CHECK(host.decisions.back().reason == "draining");
    CHECK(host.claims.waiters.empty());
  }
}

// Guards against a second execution of a key whose records have expired in the log.
TEST_CASE_METHOD(ClaimsFixture, "key_older_than_the_retention_is_never_dispatched", "[claims]") {
  Read("a");
  Begin("a", 1, Key(seconds{3590}));
  CHECK(Decisions("a") == std::vector<Kind>{Kind::kUnknown});
  Begin("a", 2, Key(seconds{-130}));
  CHECK(Decisions("a") == std::vector<Kind>{Kind::kUnknown, Kind::kNotRun});
}

TEST_CASE_METHOD(ClaimsFixture, "key_with_another_body_is_refused", "[claims]") {
  const std::string key = Key();
  Begin("a", 1, key);
  Run(milliseconds{200});
  Finish("a", 1);
  Run(milliseconds{200});
  Begin("b", 1, key, "another body");
  CHECK(Decisions("b") == std::vector<Kind>{Kind::kKeyReused});
}

// Guards against returning the stored response of one organisation to another.
TEST_CASE_METHOD(ClaimsFixture, "key_of_another_organisation_is_another_key", "[claims]") {
  const std::string key = Key();
  Begin("a", 1, key);
  Run(milliseconds{200});
  Finish("a", 1);
  Run(milliseconds{200});
  Begin("b", 1, key, kBody, "team/second");
  Run(milliseconds{200});
  CHECK(Decisions("b") == std::vector<Kind>{Kind::kDispatch});
}

// Guards against losing an outcome when the log fails while the call runs.
TEST_CASE_METHOD(ClaimsFixture, "outcome_in_outage_is_recorded_afterwards", "[claims]") {
  const std::string key = Key();
  Begin("a", 1, key);
  Run(milliseconds{200});
  log_down_ = true;
  Finish("a", 1);
  Run(seconds{20});
  CHECK_FALSE(IsFlushed(hosts_["a"].claims));
  log_down_ = false;
  Run(seconds{2});
  CHECK(IsFlushed(hosts_["a"].claims));
  Begin("b", 1, key);
  CHECK(Decisions("b") == std::vector<Kind>{Kind::kAnswered});
}

}  // namespace
}  // namespace snipeturn
