#include "snipeturn/entry/plain_admission.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "snipeturn/entry/entry_fixture.h"
#include "snipeturn/entry/load_broadcast.h"

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

/// 30 hosts that have just started, without load tables from one another, and their callers, who
/// return at once. Three upstreams have six slots and take 150 ms for a request; what is beyond the
/// slots waits there.
class SurgeWorld {
 public:
  explicit SurgeWorld(bool is_contended) : hosts_(kHosts) {
    for (int index = 0; index < kHosts; ++index) {
      Host& host = hosts_[static_cast<std::size_t>(index)];
      host.state.options.host = "host-" + std::to_string(index);
      host.desired.routes[1].latency_objective = 1000ms;
      host.desired.version = 2;
      host.Apply(DesiredStateRead{host.desired});
      HostsRead hosts;
      hosts.hosts = kHosts;
      host.Apply(hosts);
      for (const char* id : {"plain-1", "plain-2", "plain-3"}) {
        host.AddUpstream(id, "plain");
      }
      if (is_contended) {
        host.state.services_with_work_time.insert("plain");
      }
    }
  }

  void Run() {
    const TimePoint start = hosts_[0].now;
    for (now_ = start; now_ < start + 6s; now_ += kStep) {
      const double rate = now_ < start + 1s ? 300 : 60;
      for (int count = std::poisson_distribution<int>(rate * 0.005)(random_); count > 0; --count) {
        ++arrived;
        Start({now_, now_, 0});
      }
      for (std::size_t index = 0; index < retries_.size(); ++index) {
        if (retries_[index].due <= now_) {
          const Caller caller = retries_[index];
          retries_.erase(retries_.begin() + static_cast<std::ptrdiff_t>(index--));
          Start(caller);
        }
      }
      RunUpstreams();
      for (std::size_t index = 0; index < hosts_.size(); ++index) {
        Deliver(index, Tick{});
      }
      Broadcast();
    }
  }

  int arrived{0};
  int on_time{0};
  int late{0};

 private:
  static constexpr int kHosts = 30;
  static constexpr std::chrono::milliseconds kStep{5};

  struct Caller {
    TimePoint began{};
    TimePoint due{};
    int attempts{0};
  };
  struct Host : EntryFixture {
    BroadcastState broadcast;
    std::map<RequestKey, Caller> callers;
  };
  struct Work {
    std::size_t host{0};
    Send send;
    TimePoint end{};
  };

  void Start(Caller caller) {
    caller.attempts += 1;
    const std::size_t index = random_() % hosts_.size();
    Host& host = hosts_[index];
    host.now = now_;
    host.callers[host.requests + 1] = caller;
    host.ReceiveRequest("/book/a");
    Handle(index);
  }

  void Deliver(std::size_t index, const Event& event) {
    hosts_[index].now = now_;
    hosts_[index].Apply(event);
    Handle(index);
  }

  void Handle(std::size_t index) {
    Host& host = hosts_[index];
    for (const Send& send : host.EffectsOf<Send>()) {
      upstreams_[send.upstream].push_back({index, send, {}});
    }
    for (const Refuse& refuse : host.EffectsOf<Refuse>()) {
      Caller caller = host.callers.at(refuse.request);
      caller.due = now_ + refuse.retry_after.value_or(1s);
      if (caller.due < caller.began + 5s) {
        retries_.push_back(caller);
      }
    }
  }

  void RunUpstreams() {
    for (auto& [id, works] : upstreams_) {
      for (std::size_t slot = 0; slot < std::min<std::size_t>(6, works.size());) {
        Work& work = works[slot];
        if (work.end == TimePoint{}) {
          work.end = now_ + 150ms;
        }
        if (work.end > now_) {
          ++slot;
          continue;
        }
        const Work done = work;
        works.erase(works.begin() + static_cast<std::ptrdiff_t>(slot));
        const Caller& caller = hosts_[done.host].callers.at(done.send.request);
        (now_ - caller.began <= 1s ? on_time : late) += 1;
        AttemptEnded ended;
        ended.attempt = done.send.attempt;
        ended.result = AttemptResult::kAnswered;
        ended.status = 200;
        ended.relayable = true;
        Deliver(done.host, ended);
      }
    }
  }

  void Broadcast() {
    for (std::size_t from = 0; from < hosts_.size(); ++from) {
      Host& host = hosts_[from];
      if (SelectAudience(host.broadcast, host.state, kHosts - 1, now_) != Audience::kNobody) {
        const PeerLoadReceived table = MakeLoadBroadcast(host.state, now_);
        for (std::size_t to = 0; to < hosts_.size(); ++to) {
          if (to != from) {
            Deliver(to, table);
          }
        }
      }
    }
  }

  TimePoint now_{};
  std::mt19937_64 random_{1};
  std::vector<Host> hosts_;
  std::map<UpstreamId, std::deque<Work>> upstreams_;
  std::deque<Caller> retries_;
};

// Guards against seconds of late responses after a restart of all hosts.
TEST_CASE("plainService_surgeAfterRestart_moreOnTime", "[entry]") {
  SurgeWorld before(false);
  before.Run();
  SurgeWorld after(true);
  after.Run();
  CAPTURE(before.arrived, before.on_time, before.late, after.arrived, after.on_time, after.late);
  CHECK(after.on_time > before.on_time);
  CHECK(after.on_time + after.late > before.on_time + before.late - 10);
}

}  // namespace
}  // namespace snipeturn::entry
