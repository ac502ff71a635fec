#include <vector>

#include "entry_fuzz/world.h"
#include "fuzz/driver.h"

namespace snipeturn::entry {
namespace {

using std::chrono::milliseconds;
using world::kGracePeriod;

void RequestMany(World& world, int first, int second) {
  constexpr RouteKind kKinds[] = {RouteKind::kStream, RouteKind::kNonIdempotent,
                                  RouteKind::kIdempotent};
  for (int count = 0; count <= second % 6; ++count) {
    world.Request((first + count) % 3, kKinds[(first / 3 + count) % 3]);
  }
}

/// Marks engines with running streams as leaving.
void LeaveWithStreams(World& world, int first, int second) {
  for (int count = 0; count < 4; ++count) {
    world.Request(count % 3, RouteKind::kStream);
  }
  world.Run(milliseconds{100 + first * 10});
  world.MarkLeaving(first, true);
  world.MarkLeaving(second, true);
}

/// Moves generations between engines with a fault in their copies: 4 to 8. The zone of some is
/// evacuated, so that they can't go back.
void LeaveWithFaultyCopies(World& world, int first, int second) {
  world.SetEngineFaults(4 + first % 5);
  LeaveWithStreams(world, first, second);
  if (second % 2 == 0) {
    world.Evacuate(first % 2, true);
  }
  // Slow copies last until their engines end.
  world.Run(milliseconds{first % 5 == 4 ? 4000 : 600});
  world.Evacuate(first % 2, false);
  world.SetEngineFaults(0);
}

/// Moves generations from engines that work on when their streams close, and whose calls fail: 9 to
/// 12. Some streams may be resumed.
void LeaveWorkingOn(World& world, int first, int second) {
  world.SetEngineFaults(9 + first % 4);
  for (int count = 0; count < 3; ++count) {
    world.RequestResumable((first + count) % 3, static_cast<std::uint64_t>(second % 4));
  }
  LeaveWithStreams(world, first, second);
  world.Run(milliseconds{400 + second * 60});
  if (second % 3 == 0) {
    world.Crash(first);
  }
  world.SetEngineFaults(0);
}

/// Moves generations from engines that send replies to copy calls a second time, late.
void LeaveWithRepeatedReplies(World& world, int first, int second) {
  world.SetRepeatedReplies(true);
  LeaveWithStreams(world, first, second);
  LeaveWithStreams(world, first, second);
  world.Run(milliseconds{600});
  world.SetRepeatedReplies(false);
}

/// Engines with running streams leave one after another, so that the target of a move may leave
/// before it has sent an event.
void LeaveInTurn(World& world, int first, int second) {
  LeaveWithStreams(world, first, second);
  for (int count = 0; count < 8; ++count) {
    world.Run(milliseconds{10 + second});
    world.MarkLeaving(first + count, true);
  }
}

/// Crashes an engine, sometimes a leaving one, while resumable streams run.
void CrashWithResumableStreams(World& world, int first, int second) {
  for (int count = 0; count < 4; ++count) {
    world.RequestResumable(count % 3, static_cast<std::uint64_t>((first + count) % 4));
  }
  world.Run(milliseconds{60 + first * 10});
  if (second % 2 == 0) {
    world.MarkLeaving(first, true);
  }
  world.Crash(second);
}

/// A planned stop under callers that keep sending on open connections until the process has ended.
void StopUnderRequests(World& world, int first, int second) {
  world.Stop(first % 3);
  constexpr int kRequests = 60;
  for (int count = 0; count < kRequests; ++count) {
    world.Request(first % 3,
                  (count + second) % 4 == 0 ? RouteKind::kIdempotent : RouteKind::kNonIdempotent);
    world.Run(milliseconds{50});
  }
}

/// A planned stop under streams and calls to upstreams of any speed, some of which become slower
/// while the host stops.
void StopUnderStreams(World& world, int first, int second) {
  world.SetAllSpeeds(first / 3);
  const auto request = [&world, first, second](int count) {
    world.RequestStream(first % 3, static_cast<std::uint64_t>(1 + (count * 7 + second) % 40));
    world.Request(first % 3, RouteKind::kNonIdempotent);
    world.Run(milliseconds{30 + second * 5});
  };
  constexpr int kEarlier = 20;
  for (int count = 0; count < kEarlier; ++count) {
    request(count);
  }
  world.Run(milliseconds{second * 60});
  world.Stop(first % 3);
  for (milliseconds stopping{0}; stopping < kGracePeriod;
       stopping += milliseconds{30 + second * 5}) {
    request(first + second + static_cast<int>(stopping.count() / 10));
    if (second % 4 == 1 && stopping > milliseconds{first * 50}) {
      world.SetSpeed(first, second / 4);
    }
  }
}

const std::vector<FuzzAction<World>>& Actions() {
  static const std::vector<FuzzAction<World>> kActions = {
      {"wait", 16, [](World& w, int first, int) { w.Run(milliseconds{first * 60}); }},
      {"requests", 30, RequestMany},
      {"leave under streams", 10, LeaveWithStreams},
      {"leave with faulty copies", 6, LeaveWithFaultyCopies},
      {"leave in turn", 4, LeaveInTurn},
      {"lose under resumable", 8, CrashWithResumableStreams},
      {"give up", 4, [](World& w, int, int) { w.DisconnectCaller(); }},
      {"kill", 3, [](World& w, int first, int) { w.Kill(first % 3); }},
      {"start", 6, [](World& w, int first, int) { w.Start(first % 3); }},
      {"pause", 3, [](World& w, int first, int) { w.Pause(first % 3); }},
      {"continue", 6, [](World& w, int first, int) { w.Continue(first % 3); }},
      {"stop", 2, [](World& w, int first, int) { w.Stop(first % 3); }},
      {"stop under requests", 2, StopUnderRequests},
      {"stop under streams", 2, StopUnderStreams},
      {"speed", 4, [](World& w, int first, int second) { w.SetSpeed(first, second); }},
      {"all speeds", 2, [](World& w, int first, int) { w.SetAllSpeeds(first); }},
      {"cut", 4,
       [](World& w, int first, int second) {
         w.SetPartition(first % 3, second % 2 == 0, second % 3 == 0);
       }},
      {"delay peers", 3,
       [](World& w, int first, int) { w.SetPeerDelay(milliseconds{first * 80}); }},
      {"heal", 4, [](World& w, int, int) { w.Heal(); }},
      {"store down", 3, [](World& w, int first, int) { w.SetStore(false, first % 2 == 0); }},
      {"store up", 6, [](World& w, int, int) { w.SetStore(true, false); }},
      {"store returns", 3,
       [](World& w, int first, int second) {
         w.ReturnStore(static_cast<std::size_t>(first % 5), static_cast<std::size_t>(second));
       }},
      {"drop history", 3, [](World& w, int, int) { w.CompactTopics(); }},
      {"delay writes", 2,
       [](World& w, int first, int) { w.SetWriteDelay(milliseconds{first * 20}); }},
      {"write at once", 4, [](World& w, int, int) { w.SetWriteDelay(milliseconds{0}); }},
      {"configure", 3, [](World& w, int, int) { w.Configure(); }},
      {"revoke", 3, [](World& w, int, int) { w.Revoke(); }},
      {"evacuate", 2, [](World& w, int first, int) { w.Evacuate(first % 2, true); }},
      {"take back", 3, [](World& w, int first, int) { w.Evacuate(first % 2, false); }},
      {"add upstream", 3, [](World& w, int first, int) { w.AddUpstream(first % 2 == 0); }},
      {"leave", 10, [](World& w, int first, int) { w.MarkLeaving(first); }},
      {"crash", 3, [](World& w, int first, int) { w.Crash(first); }},
      {"give address away", 2, [](World& w, int first, int) { w.ReassignAddress(first); }},
      {"restart upstream", 3, [](World& w, int first, int) { w.Restart(first); }},
      {"fault", 4, [](World& w, int first, int second) { w.SetFault(first, second % 6); }},
      {"repair", 6, [](World& w, int first, int) { w.SetFault(first, 0); }},
      {"ask for a pause", 3,
       [](World& w, int first, int second) {
         w.SetPause(first, milliseconds{600 + second * 100});
       }},
      {"end a pause", 6, [](World& w, int first, int) { w.SetPause(first, milliseconds{0}); }},
      {"leave with repeated replies", 4, LeaveWithRepeatedReplies},
      {"leave working on", 6, LeaveWorkingOn},
  };
  return kActions;
}

}  // namespace
}  // namespace snipeturn::entry

int main(int argc, char** argv) {
  return snipeturn::RunFuzz<snipeturn::entry::World>(
      argc, argv, snipeturn::entry::Actions(), [](const snipeturn::entry::World& world) {
        RC_CLASSIFY(world.finished() > 10, "more than 10 answers");
        RC_CLASSIFY(world.migrations() > 0, "moved generations");
        RC_CLASSIFY(world.resumed_anew() > 0, "streams resumed anew");
      });
}
