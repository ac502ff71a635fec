#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "snipeturn/base/host.h"
#include "snipeturn/base/time.h"
#include "snipeturn/base/timers.h"
#include "snipeturn/reducer/effect.h"
#include "snipeturn/reducer/event.h"
#include "snipeturn/settings/options.h"

namespace snipeturn {

struct Member {
  HostId id;
  Endpoint endpoint;
  ZoneName zone;
};

/// The set of hosts that own slots, agreed by the order of the log.
struct Epoch {
  /// 0 means that there is none yet.
  std::uint64_t number{0};
  std::vector<Member> members;
  /// When this host adopted it.
  TimePoint adopted{};
  /// How old the record was when it was adopted.
  std::chrono::milliseconds age_at_adoption{0};
};

/// What this host knows of a peer's incarnation.
struct PeerView {
  HostId id;
  Endpoint endpoint;
  ZoneName zone;
  Heartbeat last;
  /// When the last heartbeat arrived; it was sent before.
  TimePoint last_heartbeat_at{};
  /// When this host sent the heartbeat that `last` echoes; `last` was sent after that.
  std::optional<TimePoint> confirmed_at;
};

struct MembershipState {
  HostId self;
  Endpoint endpoint;
  ZoneName zone;
  bool draining{false};
  /// Newest epoch last; a few former ones are kept for the hand-over of slots.
  std::deque<Epoch> epochs;
  /// Start of the last read of the members stream that reached its end.
  std::optional<TimePoint> log_read_began;
  LogOffset members_next{0};
  /// The first records are lost by retention and the end was not reached yet.
  bool seeding{false};
  /// When the log accepted the newest record of the adopted epoch, as measured here.
  std::optional<TimePoint> newest_record;
  std::map<HostName, PeerView> peers;
  std::vector<ListedHost> listed;
  std::optional<TimePoint> listed_at;
  /// Incarnations that are gone from the list or fail probes, with the time since when.
  std::map<HostId, TimePoint> unreachable_since;
  /// Listed incarnations that are not members and answer, with the time since when.
  std::map<HostId, TimePoint> joinable_since;
  /// Members that leave or drain and hold no slot any more, with the time since when.
  std::map<HostId, TimePoint> drained_since;
  std::map<HostId, TimePoint> probe_answered;
  std::map<HostId, TimePoint> probe_failed;
  /// When each incarnation was first heard to have adopted each recent epoch.
  std::map<HostId, std::map<std::uint64_t, TimePoint>> adoptions;
  /// Since when a change of the members is due.
  std::optional<TimePoint> change_seen;
  std::optional<AppendId> pending_proposal;
  std::optional<TimePoint> proposed_at;
  /// Starts at a number that depends on the incarnation, so that an echo of an earlier life never
  /// matches.
  std::uint64_t heartbeat_sequence{0};
  /// Recently sent heartbeats and when they were sent.
  std::map<std::uint64_t, TimePoint> heartbeats_sent;
  std::chrono::milliseconds retention{0};
  /// Highest settings offset that a peer reported, and the offset in force on this host.
  LogOffset settings_known{0};
  LogOffset settings_applied{0};
  /// Start of the last read of the settings stream that reached its end.
  std::optional<TimePoint> settings_read_began;
};

/// @brief The newest adopted epoch.
/// @param state The membership.
/// @return The epoch, or nullptr when none was adopted.
[[nodiscard]] const Epoch* AdoptedEpoch(const MembershipState& state) noexcept;

/// @brief Tells whether this incarnation is a member of the adopted epoch.
[[nodiscard]] bool IsMember(const MembershipState& state) noexcept;

/// @brief Finds a member of an epoch by incarnation.
[[nodiscard]] const Member* FindMember(const Epoch& epoch, const HostId& id) noexcept;

/// @brief Tells whether this host may start work on its slots (docs/design.md, 4.3).
/// @param state The membership.
/// @param tuning The fence and its kin.
/// @param now The current time.
/// @return True with a recent log read or a majority's recent confirmation.
[[nodiscard]] bool MayStartWork(const MembershipState& state, const Tuning& tuning, const Now& now);

/// @brief When the permission of MayStartWork ends without new evidence.
/// @return The time, or nothing when there is no permission.
[[nodiscard]] std::optional<TimePoint> WorkLeaseExpiry(const MembershipState& state,
                                                       const Tuning& tuning,
                                                       const Now& now);

/// @brief Tells whether no host can start work under an epoch older than the adopted one any more.
/// @param state The membership.
/// @param since Number of the oldest epoch whose members may still start work.
/// @param tuning The fence and its kin.
/// @param now The current time.
/// @return True when conditions (a) and (b) of docs/design.md, 4.3, hold for all epochs from
/// `since`.
[[nodiscard]] bool IsFencedSince(const MembershipState& state,
                                 std::uint64_t since,
                                 const Tuning& tuning,
                                 const Now& now);

/// @brief Like IsFencedSince, for the epochs from `since` and below `until`.
[[nodiscard]] bool IsFenced(const MembershipState& state,
                            std::uint64_t since,
                            std::uint64_t until,
                            const Tuning& tuning,
                            const Now& now);

/// @brief Finds a kept epoch by number.
/// @return The epoch, or nullptr when it is not kept.
[[nodiscard]] const Epoch* FindEpoch(const MembershipState& state, std::uint64_t number) noexcept;

/// @brief The members that may own slots of an upstream: at most `owner_group`, by rank.
[[nodiscard]] std::vector<const Member*> OwnerGroup(const Epoch& epoch,
                                                    const UpstreamName& upstream,
                                                    const Tuning& tuning);

/// @brief Tells whether an incarnation may still be alive as far as this host knows.
/// @return False when it left the adopted epoch, or is gone from the platform's list and fails
///     probes for the agreement time.
[[nodiscard]] bool MayBeAlive(const MembershipState& state,
                              const HostId& id,
                              const Tuning& tuning,
                              const Now& now);

/// @brief Reduces records of the members stream.
/// @return True when a new epoch was adopted.
bool HandleMembersRead(MembershipState& state,
                       const LogRead& read,
                       const Tuning& tuning,
                       const Now& now,
                       Effects& effects);

/// @brief Takes a new copy of the platform's host list and asks for the probes that it needs.
void HandleHostList(MembershipState& state,
                    const HostListRead& list,
                    const Tuning& tuning,
                    const Now& now,
                    Effects& effects);

void HandleProbeEnded(MembershipState& state, const ProbeEnded& probe, const Now& now);

/// @brief Takes a peer's heartbeat.
void HandleHeartbeat(MembershipState& state,
                     const HostId& from,
                     const Heartbeat& heartbeat,
                     const Now& now);

/// @brief Periodic work: heartbeats to peers, proposals of epochs, renewal of the epoch's record.
/// @param state The membership.
/// @param gossip The limits module's part of the heartbeat.
/// @param settings_offset The settings offset in force.
/// @param tuning Intervals and fences.
/// @param timers The timer service; the next call is scheduled in it.
/// @param now The current time.
/// @param append_ids Source of append numbers.
/// @param effects Receives messages, probes and appends.
void HandleMembershipTimer(MembershipState& state,
                           const std::vector<UpstreamGossip>& gossip,
                           LogOffset settings_offset,
                           const Tuning& tuning,
                           Timers& timers,
                           const Now& now,
                           AppendId& append_ids,
                           Effects& effects);

/// @brief Chooses the peers that get this host's heartbeats.
/// @param state The membership.
/// @param gossip Names the upstreams.
/// @param tuning Size of an owner group.
/// @return All known hosts of a small deployment; in a larger one those that share an owner group.
[[nodiscard]] std::vector<HostName> HeartbeatRecipients(const MembershipState& state,
                                                        const std::vector<UpstreamGossip>& gossip,
                                                        const Tuning& tuning);

/// @brief Makes the effect that sends a message to a peer, if its address is known.
void SendToPeer(const MembershipState& state,
                const HostName& host,
                PeerMessage message,
                Effects& effects);

/// @brief Status of hosts and epochs for operators.
[[nodiscard]] Json::Value DescribeHosts(const MembershipState& state,
                                        const Tuning& tuning,
                                        const Now& now);

}  // namespace snipeturn
