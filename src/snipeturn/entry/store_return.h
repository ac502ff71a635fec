#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/event_scope.h"

namespace snipeturn::entry {

/// @brief Tells whether the store may list less than it has acknowledged, as it came back from an
///     older copy a moment ago.
[[nodiscard]] bool IsCopyHeld(const State& state, TimePoint now) noexcept;

/// @brief Tells whether a record of the upstream list may be one of the copy from which the store
///     came back. What was written again before this host's first read counts as such, too.
[[nodiscard]] bool MayBeOfCopy(const State& state,
                               const StorePosition& position,
                               TimePoint now) noexcept;

/// @brief Newest version of the configuration that this host has read or heard of, for its peers.
///
/// What it has only heard of counts as long as it waits for that version itself: a host that starts
/// after all that had read it have ended must not take an older one for the newest.
/// @return The version; 0 if it knows of none.
[[nodiscard]] std::int64_t NewestKnownVersion(const State& state, TimePoint now) noexcept;

}  // namespace snipeturn::entry

namespace snipeturn::entry::internal {

/// @brief Learns the store's era from a response of the store or from a peer.
///
/// A higher era than the one known means that the store came back from an older copy: everything is
/// read anew, and for a while the copy takes nothing out of force that is newer here.
/// @param scope The event.
/// @param era The era; 0 if it isn't known.
/// @param source Where it comes from, for the log.
void LearnEra(EventScope& scope, StoreEra era, std::string_view source);

/// @brief Ends the time in which the copy takes nothing out of force: the operator and the servers
///     have written again, so what the store lists is read and counts.
void EndCopyHold(EventScope& scope);

/// @brief Tells whether what this host knows of a zone's evacuation stays in force against what the
///     store lists. Begins with the store's return, and ends after a while.
[[nodiscard]] bool HoldsEvacuation(EventScope& scope, const std::string& zone);

/// @brief Learns the newest version that a peer has read or heard of.
void LearnPeerVersion(EventScope& scope, std::int64_t version);

/// @brief Tells whether the configuration that this host has read is older than a peer's, so that
///     the store lacks a version that it had acknowledged. Ends after a while, in case that the
///     version is never written again.
[[nodiscard]] bool IsBehindPeers(EventScope& scope);

/// @brief Keeps a read back until the peers have stated their versions, if this host has just
/// started
///     or has just learned that the store came back from a copy.
/// @return False if the read counts at once.
[[nodiscard]] bool DeferRead(EventScope& scope, const StoreConfirmed& event);

/// @brief Asks the peers that the store lists for their versions, if this host has just started.
void AskListedPeers(EventScope& scope, const HostsRead& event);

/// @brief Notes that a peer has stated what it knows.
void CountVersionReply(EventScope& scope, const std::string& host);

/// @brief Counts the read that was kept back if it is due, else asks the peers again that haven't
///     replied.
void ReviewAwaitedVersions(EventScope& scope);

/// @brief Counts the read that was kept back, if what it waits for has come.
void ReviewDeferredRead(EventScope& scope);

}  // namespace snipeturn::entry::internal
