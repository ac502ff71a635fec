#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>

#include "snipeturn/entry/crash_reports.h"
#include "snipeturn/entry/crash_world.h"
#include "snipeturn/loop/peer_socket.h"

namespace snipeturn::entry {
namespace {

/// Prompts with many parts of which one crashes engines, at hosts that are drawn. Some 15 prompts
/// wait at each engine.
class LongPromptsFixture {
 public:
  enum class Kind { kShort, kShared, kUnshared, kOnlyDeadly };
  static constexpr int kEngines = 9;
  static constexpr int kSlots = 24;
  static constexpr std::size_t kParts = 900;

  /// @param step Milliseconds since the start, in steps of the world.
  void Load(CrashWorld& world, int hosts, Kind kind, bool with_deadly) {
    ++step_;
    if (step_ % 2 != 0) {
      return;
    }
    const bool is_deadly = with_deadly && ++count_ % 50 == 0;
    std::vector<quarantine::PartId> parts;
    const bool is_unshared = kind == Kind::kUnshared || (kind == Kind::kOnlyDeadly && !is_deadly);
    for (std::size_t number = 0; number < (kind == Kind::kShort ? 3 : kParts); ++number) {
      parts.push_back(is_unshared ? static_cast<quarantine::PartId>(random_())
                                  : static_cast<quarantine::PartId>(number + 1) * 2654435761U);
    }
    if (is_deadly) {
      const auto place = static_cast<std::ptrdiff_t>(random_() % (parts.size() + 1));
      parts.insert(parts.begin() + place, CrashWorld::kDeadlyPart);
    }
    world.Request(static_cast<int>(random_() % static_cast<unsigned>(hosts)), std::move(parts));
  }

  /// Plays calm and then deadly requests.
  CrashWorld Play(int hosts, Kind kind) {
    CrashWorld world(hosts, kEngines, kSlots);
    world.prefill_time = 1800ms;
    PlayLoad(world, hosts, kind, 4s, false);
    PlayLoad(world, hosts, kind, 12s, true);
    return world;
  }

  void PlayLoad(CrashWorld& world,
                int hosts,
                Kind kind,
                std::chrono::milliseconds time,
                bool with_deadly) {
    world.Run(time, [&] { Load(world, hosts, kind, with_deadly); });
  }

 private:
  std::mt19937 random_{7};
  std::uint64_t step_{0};
  std::uint64_t count_{0};
};

// Guards against a part that crashes engine after engine because it stands among many others, and
// against messages and log lines that grow with their number.
TEST_CASE_METHOD(LongPromptsFixture, "deadlyPart_amongManyParts_heldBack", "[entry_crash]") {
  const int hosts = GENERATE(1, 4, 20);
  const CrashWorld with_short = Play(hosts, Kind::kShort);
  for (const Kind kind : {Kind::kShared, Kind::kUnshared, Kind::kOnlyDeadly}) {
    const CrashWorld world = Play(hosts, kind);
    CAPTURE(hosts, static_cast<int>(kind), world.crash_count(), with_short.crash_count(),
            world.message_bytes, with_short.message_bytes, world.log_bytes, with_short.log_bytes);
    CHECK(world.crash_count() >= 3);
    CHECK(world.crash_count() <= 8);
    CHECK(world.DeadlySendsAfterFifthCrash(3s) <= 3);
    CHECK(world.sound_refusals() == 0);
    CHECK(world.message_bytes / world.crash_count() <=
          3 * with_short.message_bytes / with_short.crash_count());
    CHECK(world.log_bytes <= 2 * with_short.log_bytes);
  }
}

// Guards against a quarantine of long prompts that is forgotten when all hosts restart, as the
// store's record of it is too large.
TEST_CASE_METHOD(LongPromptsFixture,
                 "deadlyPart_allHostsRestart_smallRecordHoldsItBack",
                 "[entry_crash]") {
  constexpr int kHosts = 4;
  const Kind kind = GENERATE(Kind::kShared, Kind::kUnshared, Kind::kOnlyDeadly);
  CrashWorld world = Play(kHosts, kind);
  CAPTURE(static_cast<int>(kind), world.crash_count());
  REQUIRE(world.saved_report);
  const std::string record = loop::EncodeCrashMessage("host", *world.saved_report);
  CHECK(record.size() <= 8192);
  const auto saved = loop::DecodePeerMessage(record);
  REQUIRE(saved);
  for (int host = 0; host < kHosts; ++host) {
    world.StartHost(host);
  }
  world.ResetCounts();
  CrashReportReceived received = std::get<CrashReportReceived>(saved->content);
  received.host.clear();
  for (int host = 0; host < kHosts; ++host) {
    world.Deliver(host, received);
  }
  PlayLoad(world, kHosts, kind, 8s, true);
  CHECK(world.deadly_send_count() == 0);
  CHECK(world.sound_refusals() == 0);
}

// Guards against a record that the store refuses, so that no quarantine is kept.
TEST_CASE_METHOD(LongPromptsFixture, "savedReport_suspectsWithMostParts_leftOut", "[entry_crash]") {
  CrashWorld world(1);
  QuarantineState& own = world.state(0).quarantine;
  for (const std::size_t parts : {60000, 1, 60000, 900}) {
    quarantine::Suspect suspect;
    suspect.parts.resize(parts);
    for (std::size_t number = 0; number < parts; ++number) {
      suspect.parts[number] = static_cast<quarantine::PartId>(number) * 50000;
    }
    suspect.entries = {parts, parts + own.suspects.size()};
    for (const quarantine::EntryId id : suspect.entries) {
      own.log.entries[id] = {};
      own.log.entries[id].parts = suspect.parts;
    }
    own.suspects.push_back(std::move(suspect));
  }
  const CrashReport report = MakeSavedCrashReport(world.state(0), world.now);
  CHECK(loop::EncodeCrashMessage("host", report).size() <= 256 * 1024);
  std::set<std::size_t> sizes;
  for (const ReportedCrash& crash : report.crashes) {
    sizes.insert(crash.parts.size());
  }
  CHECK(sizes == std::set<std::size_t>{1, 900});
}

// Guards against a part that is never found as the host that collects parts has stopped, or as its
// messages are lost.
TEST_CASE_METHOD(LongPromptsFixture, "deadlyPart_collectorSilent_foundByAnother", "[entry_crash]") {
  constexpr int kHosts = 4;
  CrashWorld world(kHosts, kEngines, kSlots);
  world.prefill_time = 1800ms;
  PlayLoad(world, kHosts, Kind::kUnshared, 4s, false);
  // The first host that collects is never heard.
  world.Run(20s, [&] {
    if (world.silent_collectors.empty()) {
      world.silent_collectors = world.collectors;
    }
    Load(world, kHosts, Kind::kUnshared, true);
  });
  CHECK(world.crash_count() <= 8);
  CHECK(world.DeadlySendsAfterFifthCrash(3s) <= 3);
}

// Guards against sound parts that are taken for harmful as other hosts than those that lost them
// began to answer prompts with them.
TEST_CASE_METHOD(LongPromptsFixture,
                 "sharedParts_answeredAtOtherHosts_notHeldBack",
                 "[entry_crash]") {
  constexpr int kHosts = 3;
  CrashWorld world(kHosts, kEngines);
  const auto prompt = [](bool is_deadly) {
    std::vector<quarantine::PartId> parts;
    for (quarantine::PartId part = 1; part <= kParts; ++part) {
      parts.push_back(part * 2654435761U);
    }
    if (is_deadly) {
      parts.push_back(CrashWorld::kDeadlyPart);
    }
    return parts;
  };
  int step = 0;
  // Hosts 0 and 1 get the deadly requests only, so that they never see an answer.
  world.Run(30s, [&] {
    ++step;
    if (step > 300 && step % 120 == 0) {
      world.Request(step / 120 % 2, prompt(true));
    }
    if (step % 5 == 0) {
      world.Request(2, prompt(false));
    }
  });
  CHECK(world.crash_count() >= 3);
  CHECK(world.crash_count() <= 6);
  CHECK(world.sound_refusals() == 0);
}

}  // namespace
}  // namespace snipeturn::entry
