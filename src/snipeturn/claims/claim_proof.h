#pragma once

#include <string>
#include <vector>

#include "snipeturn/claims/claims.h"

namespace snipeturn {

/// @brief Hosts that may have run the call of a key: all other members of the adopted epoch.
/// @param membership The membership.
/// @return The hosts to query when the log can't be read.
[[nodiscard]] std::vector<HostId> HostsToQuery(const MembershipState& membership);

/// @brief Reports what this host knows about the execution of a key.
/// @param state The claims.
/// @param key_digest The key.
/// @return kNone only if this host never dispatched the key and no claim on it is pending.
[[nodiscard]] ClaimKnowledge ClaimKnowledgeOf(const ClaimsState& state,
                                              const std::string& key_digest);

/// @brief Returns whether a call that this host will not dispatch is proven not to have run.
/// @param state The claims.
/// @param waiter The call; its claim was given up or never appended.
/// @param membership The membership.
/// @param tuning The fencing time and the margin for clock skew.
/// @param now The current time.
/// @return True if a log read that began after the claim was given up shows no execution, or if
///     every member of an epoch that is older than the key answers that it has not run it.
[[nodiscard]] bool IsProvenNotRun(const ClaimsState& state,
                                  const ClaimWaiter& waiter,
                                  const MembershipState& membership,
                                  const Tuning& tuning,
                                  const Now& now);

}  // namespace snipeturn
