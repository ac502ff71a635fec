#pragma once

#include <chrono>
#include <cstddef>

#include "snipeturn/base/time.h"

namespace snipeturn::entry::world {

inline constexpr int kHosts = 3;
inline constexpr int kZones = 2;
inline constexpr TimePoint kStart{std::chrono::seconds{1000}};
/// Bounds of the platform's settings; the oracles allow for the delay of a message in addition.
inline constexpr std::chrono::milliseconds kRevocationBound{5000};
inline constexpr std::chrono::milliseconds kDrainPeriod{2000};
inline constexpr std::chrono::milliseconds kEvacuationBound{2000};
inline constexpr std::chrono::milliseconds kConfigurationBound{2000};
/// Longest time from the store's return until the operator and the upstreams have written again.
inline constexpr std::chrono::milliseconds kMaxRewritingDelay{1200};
inline constexpr std::chrono::milliseconds kGracePeriod{8000};
inline constexpr std::chrono::milliseconds kMaxMessageDelay{150};
/// Time from a process's decision to exit to its end.
inline constexpr std::chrono::milliseconds kExitDelay{150};
/// A host is expected to be up to date when neither it nor the store was degraded for this long.
inline constexpr std::chrono::milliseconds kSettleTime{3000};
/// Two upstreams may work on one request for this long during its migration.
inline constexpr std::chrono::milliseconds kMaxMigrationOverlap{400};
inline constexpr std::chrono::milliseconds kTimeout{9000};
/// Maximum time from the route's timeout to the final response.
inline constexpr std::chrono::milliseconds kMaxResponseLateness{500};
/// Time that an upstream takes for a request.
struct Speed {
  std::chrono::milliseconds call;
  std::chrono::milliseconds first_event;
  std::chrono::milliseconds event_interval;
};
/// Speeds of upstreams. A stop can end all streams of the second and few of the last.
inline constexpr Speed kSpeeds[] = {
    {std::chrono::milliseconds{40}, std::chrono::milliseconds{40}, std::chrono::milliseconds{40}},
    {std::chrono::milliseconds{10}, std::chrono::milliseconds{30}, std::chrono::milliseconds{10}},
    {std::chrono::milliseconds{500}, std::chrono::milliseconds{800}, std::chrono::milliseconds{50}},
    {std::chrono::milliseconds{1500}, std::chrono::milliseconds{2500},
     std::chrono::milliseconds{100}},
    {std::chrono::milliseconds{4000}, std::chrono::milliseconds{1500},
     std::chrono::milliseconds{400}},
};
inline constexpr int kSpeedCount = 5;
/// Time after a change of an upstream's speed in which a process that has had no response since
/// can't know of it.
inline constexpr std::chrono::milliseconds kSpeedUnknown{15000};
inline constexpr std::chrono::milliseconds kBroadcastInterval{500};
/// Time after which the entry of an upstream that is gone expires.
inline constexpr std::chrono::milliseconds kEntryTtl{2000};
/// Messages that a paused host buffers; further ones are lost.
inline constexpr std::size_t kMaxDeferredMessages = 400;
/// Longer than the route's timeout.
inline constexpr std::chrono::milliseconds kHangDuration{12000};
/// Time after which a process must keep a pause that an upstream asked for, and the requests that
/// may arrive in it all the same.
inline constexpr std::chrono::milliseconds kPauseGrace{500};
inline constexpr int kMaxRequestsInPause = 2;
inline constexpr int kSlots = 24;
/// Upstreams that may run one request whose stream is resumable.
inline constexpr int kMaxRuns = 2;

}  // namespace snipeturn::entry::world
