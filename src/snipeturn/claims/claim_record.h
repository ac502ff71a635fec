#pragma once

#include <json/value.h>

#include <string>

#include "snipeturn/claims/claims.h"

namespace snipeturn {

/// Largest response body in bytes that is stored for repeated calls. The limit keeps log records
/// small.
inline constexpr std::size_t kMaxStoredResponse = 64 * 1024;

/// @brief Makes the record with which a host claims a key.
/// @param waiter The call, with its claim.
/// @param host The claiming host.
/// @return The record.
[[nodiscard]] Json::Value MakeClaimRecord(const ClaimWaiter& waiter, const HostId& host);

/// @brief Makes the record of the response of a call that ran.
/// @param claim The claim under which the call ran.
/// @param key_digest The key.
/// @param response The upstream's response; a body above kMaxStoredResponse is omitted.
/// @return The record.
[[nodiscard]] Json::Value MakeOutcomeRecord(const ClaimId& claim,
                                            const std::string& key_digest,
                                            const StoredResponse& response);

/// @brief Makes the record that a claim was not run and never will be.
[[nodiscard]] Json::Value MakeReleaseRecord(const ClaimId& claim, const std::string& key_digest);

/// @brief Makes the record that it can't be known whether the call ran.
[[nodiscard]] Json::Value MakeUnknownRecord(const ClaimId& claim, const std::string& key_digest);

/// @brief Applies a record to the entry of its key.
/// @param entry The key's entry; changed in place.
/// @param record A record of this key.
/// @param recorded_at When the log accepted the record, by the clock of this host.
void ApplyClaimRecord(ClaimEntry& entry, const Json::Value& record, TimePoint recorded_at);

/// @brief Selects the claim stream of a key.
/// @param key_digest The key.
/// @param streams Number of claim streams.
/// @return Index of the stream, from 0.
[[nodiscard]] int ClaimShardOf(const std::string& key_digest, int streams);

}  // namespace snipeturn
