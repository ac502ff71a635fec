#pragma once

#include <json/value.h>

#include <optional>
#include <vector>

#include "snipeturn/membership/membership.h"

namespace snipeturn::internal {

/// A record of the members stream.
struct EpochRecord {
  std::uint64_t number{0};
  std::vector<Member> members;
  /// Members of the epoch before.
  std::vector<Member> previous;
  /// The same epoch again, so that the log keeps it.
  bool renewal{false};
};

/// @brief Reads a record.
/// @return The record, or nothing when it is malformed.
[[nodiscard]] std::optional<EpochRecord> ParseEpochRecord(const Json::Value& value);

/// @brief Writes a record.
[[nodiscard]] Json::Value ToJson(const EpochRecord& record);

/// @brief Tells whether a heartbeat of this incarnation arrived lately.
[[nodiscard]] bool HasRecentHeartbeat(const MembershipState& state,
                                      const HostId& id,
                                      const Tuning& tuning,
                                      const Now& now);

/// @brief Finds the list's entry of an incarnation.
[[nodiscard]] const ListedHost* FindListed(const MembershipState& state, const HostId& id) noexcept;

/// @brief Follows which hosts are present, gone or idle, from the list, probes and heartbeats.
void TrackMemberChanges(MembershipState& state,
                        bool self_holds_slots,
                        const Tuning& tuning,
                        const Now& now);

/// @brief Proposes the next epoch when a change is due and it is this host's turn.
void ProposeEpoch(MembershipState& state,
                  const Tuning& tuning,
                  const Now& now,
                  AppendId& append_ids,
                  Effects& effects);

/// @brief Appends the newest epoch again before the log drops its record.
void RenewEpoch(MembershipState& state,
                const Tuning& tuning,
                const Now& now,
                AppendId& append_ids,
                Effects& effects);

/// @brief Drops epochs that no host can start work under any more, and what is known of them.
void PruneEpochs(MembershipState& state, const Tuning& tuning, const Now& now);

/// @brief Sends a heartbeat to each recipient.
void SendHeartbeats(MembershipState& state,
                    const std::vector<UpstreamGossip>& gossip,
                    LogOffset settings_offset,
                    const Tuning& tuning,
                    const Now& now,
                    Effects& effects);

}  // namespace snipeturn::internal
