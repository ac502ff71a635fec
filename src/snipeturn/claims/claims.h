#pragma once

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "snipeturn/base/host.h"
#include "snipeturn/base/time.h"
#include "snipeturn/base/timers.h"
#include "snipeturn/membership/membership.h"
#include "snipeturn/reducer/effect.h"
#include "snipeturn/reducer/event.h"

namespace snipeturn {

/// Names one claim: host, incarnation and a counter.
using ClaimId = std::string;

/// Answer of an upstream, kept for repeats of the call.
struct StoredAnswer {
  int status{0};
  std::string content_type;
  std::string body;
};

/// What the claim stream says of a key.
enum class ClaimPhase : std::uint8_t {
  kUnclaimed,
  kClaimed,
  kFinished,
  /// The claiming host can't tell whether the call ran; final.
  kUnknown,
};

/// One key within the retained window.
struct ClaimEntry {
  ClaimPhase phase{ClaimPhase::kUnclaimed};
  ClaimId claim;
  HostId host;
  std::string body_digest;
  /// The first answer; none when it was too large to keep.
  std::optional<StoredAnswer> answer;
  /// Claims that will never run. A delayed copy of such a claim must not take the key again.
  std::set<ClaimId> released;
  /// When the newest record of the key was accepted by the log, as measured here.
  TimePoint recorded{};
};

/// A non-idempotent call that waits for the claim stream.
struct ClaimWaiter {
  RequestId request{0};
  std::string key_digest;
  std::string body_digest;
  ClaimId claim;
  TimePoint deadline{};
  WallTime key_issued{};
  TimePoint started{};
  /// When the claim was last handed to the log.
  std::optional<TimePoint> appended;
  /// The claim was read back as a loser: the waiter joins the winner.
  bool joined{false};
  /// This host holds the claim.
  bool won{false};
  /// The call may have been sent.
  bool dispatched{false};
  /// The claim was given up: it is released, and the peers are asked about the key.
  std::optional<std::uint64_t> query;
  TimePoint gave_up{};
  std::set<HostName> answered_none;
};

/// Records of one claim stream.
struct ClaimShard {
  LogOffset next{0};
  /// Start of the last read that reached the end of the stream.
  std::optional<TimePoint> caught_up;
  /// Records that wait for the next append.
  std::vector<Json::Value> batch;
};

struct ClaimsState {
  std::map<int, ClaimShard> shards;
  std::map<std::string, ClaimEntry> entries;
  std::map<RequestId, ClaimWaiter> waiters;
  /// Outcomes and releases that are appended again until they are read back, by claim.
  std::map<ClaimId, Json::Value> unconfirmed_records;
  std::map<ClaimId, TimePoint> unrecorded_sent;
  /// Keys that this process sent to an upstream, with the time of sending.
  std::map<std::string, TimePoint> dispatched_here;
  std::uint64_t next_claim{1};
  std::uint64_t next_query{1};
  std::chrono::milliseconds retention{0};
};

/// What the requests module is to do with a waiting call.
struct ClaimDecision {
  enum class Kind : std::uint8_t {
    /// This host holds the claim: dispatch once.
    kDispatch,
    /// The key is finished: answer with the first answer.
    kAnswered,
    /// The call ran, but its answer was too large to keep.
    kRan,
    /// The key was used with another body.
    kKeyReused,
    /// The execution can't be known.
    kUnknown,
    /// Nothing ran and nothing will run for the key by this request.
    kNotRun,
  };
  RequestId request{0};
  Kind kind{Kind::kNotRun};
  /// Reason code for refusals, for example "log_unreachable".
  std::string reason;
  std::optional<StoredAnswer> answer;
};

using ClaimDecisions = std::vector<ClaimDecision>;

/// A call that asks for a claim.
struct ClaimRequest {
  RequestId request{0};
  /// Team and organisation; keys of different owners are different keys.
  std::string owner;
  std::string idempotency_key;
  std::string body_digest;
  TimePoint deadline{};
};

/// @brief Starts the claim of a call.
[[nodiscard]] ClaimDecisions BeginClaim(ClaimsState& state,
                                        const ClaimRequest& request,
                                        const MembershipState& membership,
                                        const Tuning& tuning,
                                        Timers& timers,
                                        const Now& now,
                                        AppendId& append_ids,
                                        Effects& effects);

/// @brief Reduces records of a claim stream.
[[nodiscard]] ClaimDecisions HandleClaimsRead(ClaimsState& state,
                                              const LogRead& read,
                                              const MembershipState& membership,
                                              const Tuning& tuning,
                                              Timers& timers,
                                              const Now& now,
                                              Effects& effects);

/// @brief Fires a timer of kind kClaimBatch or kClaim.
[[nodiscard]] ClaimDecisions HandleClaimTimer(ClaimsState& state,
                                              const TimerKey& key,
                                              const MembershipState& membership,
                                              const Tuning& tuning,
                                              Timers& timers,
                                              const Now& now,
                                              AppendId& append_ids,
                                              Effects& effects);

void HandleClaimQuery(const ClaimsState& state,
                      const MembershipState& membership,
                      const HostId& from,
                      const ClaimQuery& query,
                      Effects& effects);

[[nodiscard]] ClaimDecisions HandleClaimAnswer(ClaimsState& state,
                                               const MembershipState& membership,
                                               const HostId& from,
                                               const ClaimAnswer& answer,
                                               const Tuning& tuning,
                                               const Now& now,
                                               Effects& effects);

/// @brief Marks the call as sent: from now on only an answer or "unknown" ends it.
void MarkDispatched(ClaimsState& state, RequestId request, const Now& now);

/// @brief Records the upstream's answer for repeats.
void FinishClaim(ClaimsState& state,
                 RequestId request,
                 const StoredAnswer& answer,
                 const Tuning& tuning,
                 Timers& timers,
                 const Now& now);

/// @brief Records that the call was not run, so that a later request may run it.
void ReleaseClaim(ClaimsState& state,
                  RequestId request,
                  const Tuning& tuning,
                  Timers& timers,
                  const Now& now);

/// @brief Records that the execution can't be known; no request will run the key again.
void MarkClaimUnknown(ClaimsState& state,
                      RequestId request,
                      const Tuning& tuning,
                      Timers& timers,
                      const Now& now);

/// @brief True when nothing of this host waits to be recorded; a graceful shutdown waits for it.
[[nodiscard]] bool IsFlushed(const ClaimsState& state) noexcept;

}  // namespace snipeturn
