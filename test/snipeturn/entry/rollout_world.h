#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "snipeturn/entry/entry_fixture.h"
#include "snipeturn/entry/rollouts.h"

namespace snipeturn::entry {

/// A host that serves a plain service of two versions, before a store that the test controls.
class RolloutFixture : public EntryFixture {
 public:
  RolloutFixture() {
    state.options.rollouts_enabled = true;
    state.options.incarnation = 1;
  }

  void AddVersion(const std::string& version, int first, int count) {
    for (int number = first; number < first + count; ++number) {
      UpstreamEntry entry;
      entry.id = "plain-" + std::to_string(number);
      entry.service = "plain";
      entry.zone = "zone-a";
      entry.endpoint = {"10.0.1." + std::to_string(number), 80};
      entry.slots = 100;
      entry.start_time_ms = 1000 + number;
      entry.sequence = ++sequence;
      entry.version = version;
      Apply(UpstreamListed{entry, {0, static_cast<std::uint64_t>(sequence)}});
    }
  }

  void Order(const std::string& target, std::uint64_t offset, std::chrono::milliseconds age = 0ms) {
    RolloutOrderRead order;
    order.service = "plain";
    order.target = target;
    order.duration = 12s;
    order.position = StorePosition(0, offset);
    order.age = age;
    Collect(order);
  }

  void Withdraw(std::uint64_t offset) {
    RolloutOrderRead order;
    order.service = "plain";
    order.is_deleted = true;
    order.position = StorePosition(0, offset);
    Collect(order);
  }

  /// Applies an event, and answers for the store.
  void Collect(const Event& event) {
    Apply(event);
    Answer();
  }

  void Answer() {
    const Effects caused = effects;
    for (const Effect& effect : caused) {
      if (const auto* read = std::get_if<ReadRolloutStatus>(&effect)) {
        reads += 1;
        if (is_store_up) {
          Collect(RolloutStatusRead{read->service, status, StorePosition(0, end)});
        }
      } else if (const auto* write = std::get_if<WriteRolloutStatus>(&effect)) {
        Write(*write);
      }
    }
  }

  void Write(const WriteRolloutStatus& write) {
    const bool is_lost = std::exchange(loses_next_response, false);
    if (write.end.offset != end) {
      Collect(RolloutStatusWritten{write.service, write.status, StatusWriteResult::kConflict});
      return;
    }
    status = write.status;
    states.push_back(write.status.state);
    end += 1;
    Collect(
        RolloutStatusWritten{write.service, write.status,
                             is_lost ? StatusWriteResult::kUnknown : StatusWriteResult::kWritten});
  }

  /// Sends requests for a time, one each 5 ms; `fails` says whether a version fails a request.
  template <typename Fails>
  void Serve(std::chrono::milliseconds time, const Fails& fails) {
    for (const TimePoint until = now + time; now < until;) {
      now += 5ms;
      if (is_store_up) {
        Collect(StoreConfirmed{now});
      }
      Collect(Tick{});
      ReceiveRequest("/book/a");
      const std::vector<Send> sent = EffectsOf<Send>();
      Answer();
      for (const Send& send : sent) {
        const std::string& version = state.upstreams.at(send.upstream).entry.version;
        sends[version] += 1;
        now += 1ms;
        EndAttempt(send.attempt, AttemptResult::kAnswered,
                   fails(version, sends[version]) ? 500 : 200);
        Answer();
      }
    }
  }

  void ServeWell(std::chrono::milliseconds time) {
    Serve(time, [](const std::string&, int) { return false; });
  }

  /// The version under trial fails one request of three.
  void ServeBadly(std::chrono::milliseconds time) {
    Serve(time, [](const std::string& version, int number) {
      return version == "v2" && number % 3 == 0;
    });
  }

  [[nodiscard]] rollout::Phase Phase() const { return state.rollouts.at("plain").active->phase; }

  /// A table of another host about the order at an offset.
  void ReceiveReport(rollout::Phase phase,
                     std::optional<RolloutState> published,
                     std::uint64_t offset,
                     const std::string& host = "host-2") {
    PeerLoadReceived table;
    table.host = host;
    table.zone = "zone-a";
    ReportedRollout report;
    report.service = "plain";
    report.target = "v2";
    report.order = StorePosition(0, offset);
    report.duration = 12s;
    report.age = 2s;
    report.phase = phase;
    if (published) {
      report.published = RecordedState{*published, 0};
    }
    table.rollouts = {report};
    Collect(table);
  }

  std::map<std::string, int> sends;
  std::optional<RolloutStatus> status;
  std::vector<RolloutState> states;
  std::uint64_t end{5};
  int reads{0};
  bool is_store_up{true};
  bool loses_next_response{false};
};

}  // namespace snipeturn::entry
