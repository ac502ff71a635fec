#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "snipeturn/claims/claims.h"

namespace snipeturn::internal {

/// An outcome or release that was not read back within this time is appended again.
inline constexpr std::chrono::milliseconds kReappendInterval{1000};
/// Timer id for appending outcomes and releases again. It can't clash with a request id, as these
/// start at 1.
inline constexpr std::uint64_t kReappendTimer = 0;

/// @brief Adds a record to the next append to the claim stream of its key.
void AddToBatch(ClaimsState& state,
                const std::string& key_digest,
                Json::Value record,
                const Tuning& tuning,
                Timers& timers,
                const Now& now);

/// @brief Appends an outcome, release or unknown record, and repeats the append every
///     kReappendInterval until the record is read back.
void AppendUntilRead(ClaimsState& state,
                     const ClaimId& claim,
                     const std::string& key_digest,
                     Json::Value record,
                     const Tuning& tuning,
                     Timers& timers,
                     const Now& now);

/// @brief Appends again each record that was not read back within kReappendInterval.
void ReappendUnreadRecords(ClaimsState& state,
                           const Tuning& tuning,
                           Timers& timers,
                           const Now& now);

/// @brief Appends the batched records of a claim stream to the log.
void FlushBatch(ClaimsState& state, int shard, AppendId& append_ids, Effects& effects);

}  // namespace snipeturn::internal
