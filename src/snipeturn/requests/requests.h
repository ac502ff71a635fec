#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "snipeturn/base/host.h"
#include "snipeturn/base/time.h"
#include "snipeturn/base/timers.h"
#include "snipeturn/base/work_class.h"
#include "snipeturn/claims/claims.h"
#include "snipeturn/limits/limits.h"
#include "snipeturn/membership/membership.h"
#include "snipeturn/reducer/effect.h"
#include "snipeturn/reducer/event.h"
#include "snipeturn/settings/catalog.h"
#include "snipeturn/settings/options.h"

namespace snipeturn {

enum class RequestPhase : std::uint8_t {
  /// A non-idempotent call that waits for its claim.
  kClaiming,
  /// Waits for a slot.
  kQueued,
  /// An attempt is in flight, or a resume or a retry on the same upstream is scheduled.
  kRunning,
};

/// An open request of a caller.
struct Request {
  CallerRequest call;
  CallerIdentity caller;
  RequestPhase phase{RequestPhase::kQueued};
  WorkClass work_class{WorkClass::kShort};
  bool idempotent{true};
  TimePoint arrived_at{};
  TimePoint deadline{};
  AttemptId attempt{0};
  std::optional<SlotGrant> grant;
  /// Hold of a resumed generation that this host did not start.
  std::optional<HoldId> resumed_hold;
  UpstreamName upstream;
  /// Copied here because a settings change may remove the upstream while its work still runs.
  Endpoint endpoint;
  std::string generation;
  /// Incarnation of the upstream that runs the generation; 0 when unknown.
  Incarnation incarnation{0};
  /// Index of the next token to deliver.
  std::uint64_t delivered{0};
  /// Text so far of a response that is not streamed.
  std::string collected_text;
  int stalled_resumes{0};
  /// Attempts lost before the first token or, for responses that are not streamed, before the end.
  int lost_attempts{0};
  bool progress_in_attempt{false};
  AttemptKind attempt_kind{AttemptKind::kGenerate};
  /// No exchange is open; the timer kAttemptProgress will start the next one.
  bool retry_pending{false};
  /// An attempt may have run, so no refusal may state that the request did not run.
  bool may_have_run{false};
  /// A non-idempotent call whose claim this host holds.
  bool holds_claim{false};
  /// The claims module proved that the key has not run.
  bool proved_not_run{false};
  /// End of the backoff: a waiting request gets no slot before this time.
  TimePoint not_before{};
  /// Until this time, upstreams that failed the request are avoided if there is another one.
  TimePoint avoid_failed_until{};
  /// Tokens received on this host, and tokens charged to the organisation's account.
  std::uint64_t received_tokens{0};
  std::uint64_t charged_tokens{0};
  bool caller_disconnected{false};
  TimePoint attempt_started_at{};
  std::optional<TimePoint> last_token_at;
  /// Upstreams that failed this request, most recent last.
  std::vector<UpstreamName> failed_upstreams;
};

/// Ring buffer of the output lengths of complete generations, for the length forecast.
struct LengthSamples {
  std::vector<std::uint32_t> recent;
  std::size_t next{0};
};

struct RequestsState {
  std::map<RequestId, Request> open_requests;
  /// Requests without a slot, in order of arrival.
  std::vector<RequestId> waiting;
  /// Decayed number of tokens served, by class, team and organisation; the least served go first.
  std::map<std::string, double> served_tokens;
  TimePoint served_decayed_at{};
  /// Mean time for which work of a model or service holds its slot, in seconds.
  std::map<std::string, double> mean_hold_seconds;
  std::map<std::string, LengthSamples> output_lengths;
  /// Token bucket for loan requests: its content and when it was last filled.
  double loan_credit{0};
  TimePoint loan_credit_updated_at{};
  /// When waiting requests were last dispatched.
  TimePoint last_dispatch{};
  /// Requests and retries in the current window of the retry budget.
  TimePoint window_started{};
  std::uint64_t window_requests{0};
  std::uint64_t window_retries{0};
  bool draining{false};
};

/// Settings and states of other modules that the handling of requests uses.
struct RequestContext {
  const Options& options;
  const Catalog& catalog;
  bool settings_ready;
  const MembershipState& membership;
  LimitsState& limits;
  ClaimsState& claims;
  Timers& timers;
  AppendId& append_ids;
  std::uint64_t& random_state;
};

void HandleCallerRequest(RequestsState& state,
                         RequestContext& context,
                         const CallerRequest& call,
                         const Now& now,
                         Effects& effects);
void HandleCallerDisconnected(RequestsState& state,
                              RequestContext& context,
                              const CallerDisconnected& event,
                              const Now& now,
                              Effects& effects);
void HandleAttemptToken(RequestsState& state,
                        RequestContext& context,
                        const AttemptToken& token,
                        const Now& now,
                        Effects& effects);
void HandleAttemptEnded(RequestsState& state,
                        RequestContext& context,
                        const AttemptEnded& ended,
                        const Now& now,
                        Effects& effects);
void HandleClaimDecisions(RequestsState& state,
                          RequestContext& context,
                          const ClaimDecisions& decisions,
                          const Now& now,
                          Effects& effects);

/// @brief Handles a timer of kind kRequestDeadline, kAttemptProgress, kCallerGrace or kQueue.
void HandleRequestTimer(RequestsState& state,
                        RequestContext& context,
                        const TimerKey& key,
                        const Now& now,
                        Effects& effects);

/// @brief Assigns free slots to waiting requests by class, fairness and deadline.
void DispatchWaiting(RequestsState& state,
                     RequestContext& context,
                     const Now& now,
                     Effects& effects);

/// @brief Starts the drain: new requests are refused, open requests finish.
void BeginDrain(RequestsState& state, const Now& now);

/// @brief True when no request is open.
[[nodiscard]] bool IsDrained(const RequestsState& state) noexcept;

}  // namespace snipeturn
