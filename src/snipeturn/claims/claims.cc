#include "snipeturn/claims/claims.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <string_view>
#include <utility>

#include "snipeturn/base/digest.h"
#include "snipeturn/base/idempotency_key.h"
#include "snipeturn/base/log_catalogue.h"
#include "snipeturn/claims/claim_batch.h"
#include "snipeturn/claims/claim_proof.h"
#include "snipeturn/claims/claim_record.h"

namespace snipeturn {
namespace internal {

using std::chrono::milliseconds;

/// Interval at which the state of a waiting call is checked.
constexpr milliseconds kCheckInterval{250};
/// How long before its deadline a call gives up a claim that was not read back, and queries the
/// peers.
constexpr milliseconds kQueryLead{500};

ClaimDecision MakeDecision(const ClaimWaiter& waiter,
                           ClaimDecision::Kind kind,
                           std::string reason) {
  ClaimDecision decision;
  decision.request = waiter.request;
  decision.kind = kind;
  decision.reason = std::move(reason);
  return decision;
}

/// Decides a call whose key is finished, unknown, or used with another body.
std::optional<ClaimDecision> DecideByKeyState(const ClaimWaiter& waiter, const ClaimEntry& entry) {
  if (entry.phase == ClaimPhase::kUnclaimed) {
    return std::nullopt;
  }
  if (entry.body_digest != waiter.body_digest) {
    return MakeDecision(waiter, ClaimDecision::Kind::kKeyReused, "idempotency_key_reused");
  }
  if (entry.phase == ClaimPhase::kUnknown) {
    return MakeDecision(waiter, ClaimDecision::Kind::kUnknown, "outcome_unknown");
  }
  if (entry.phase == ClaimPhase::kClaimed) {
    return std::nullopt;
  }
  if (!entry.response) {
    return MakeDecision(waiter, ClaimDecision::Kind::kRan, "answer_not_stored");
  }
  ClaimDecision decision = MakeDecision(waiter, ClaimDecision::Kind::kAnswered, "");
  decision.response = entry.response;
  return decision;
}

void AppendClaim(ClaimsState& state,
                 ClaimWaiter& waiter,
                 const MembershipState& membership,
                 const Tuning& tuning,
                 Timers& timers,
                 const Now& now) {
  waiter.appended_at = now.monotonic;
  AddToBatch(state, waiter.key_digest, MakeClaimRecord(waiter, membership.self), tuning, timers,
             now);
}

ClaimId NewClaimId(ClaimsState& state, const HostId& self) {
  return fmt::format("{}.{:x}.{}", self.name, self.incarnation, state.next_claim++);
}

void ScheduleCheck(Timers& timers, const ClaimWaiter& waiter, const Now& now) {
  TimePoint due = now.monotonic + kCheckInterval;
  for (const TimePoint limit : {waiter.deadline - kQueryLead, waiter.deadline}) {
    if (limit > now.monotonic) {
      due = std::min(due, limit);
    }
  }
  Schedule(timers, {TimerKind::kClaim, waiter.request}, due);
}

/// Erases a waiter and its timer.
void EraseWaiter(ClaimsState& state, RequestId request, Timers& timers) {
  Cancel(timers, {TimerKind::kClaim, request});
  state.waiters.erase(request);
}

/// Records how a claim ended and erases its waiter.
template <typename MakeRecord>
void EndClaim(ClaimsState& state,
              RequestId request,
              const MakeRecord& make_record,
              const Tuning& tuning,
              Timers& timers,
              const Now& now) {
  const auto waiter = state.waiters.find(request);
  if (waiter == state.waiters.end()) {
    return;
  }
  AppendUntilRead(state, waiter->second.claim, waiter->second.key_digest,
                  make_record(waiter->second), tuning, timers, now);
  EraseWaiter(state, request, timers);
}

/// Ends the wait of a call with a decision.
void EndWait(ClaimsState& state,
             ClaimDecision decision,
             Timers& timers,
             ClaimDecisions& decisions) {
  EraseWaiter(state, decision.request, timers);
  decisions.push_back(std::move(decision));
}

/// Decides a call whose key is too old or too far in the future to be run.
std::optional<ClaimDecision> DecideByKeyAge(const ClaimWaiter& waiter,
                                            const ClaimsState& state,
                                            const Tuning& tuning,
                                            const Now& now) {
  const milliseconds age = now.wall - waiter.key_issued;
  // The records of an older key may have expired, so it isn't known whether its call ran.
  if (state.retention > milliseconds{0} && age > state.retention - tuning.key_margin) {
    return MakeDecision(waiter, ClaimDecision::Kind::kUnknown, "idempotency_key_expired");
  }
  if (-age > tuning.key_margin) {
    // Up to twice the margin, a host whose clock is ahead may have accepted the key.
    const bool may_have_run = -age <= 2 * tuning.key_margin;
    return MakeDecision(waiter,
                        may_have_run ? ClaimDecision::Kind::kUnknown : ClaimDecision::Kind::kNotRun,
                        "idempotency_key_in_future");
  }
  return std::nullopt;
}

/// Gives up a claim that was not read back in time. The call can't be dispatched after this.
void GiveUpClaim(ClaimsState& state,
                 ClaimWaiter& waiter,
                 const MembershipState& membership,
                 const Tuning& tuning,
                 Timers& timers,
                 const Now& now,
                 Effects& effects) {
  if (waiter.appended_at) {
    AppendUntilRead(state, waiter.claim, waiter.key_digest,
                    MakeReleaseRecord(waiter.claim, waiter.key_digest), tuning, timers, now);
  }
  waiter.query = state.next_query++;
  waiter.gave_up_at = now.monotonic;
  for (const HostId& host : HostsToQuery(membership)) {
    SendToPeer(membership, host.name, ClaimQuery{*waiter.query, waiter.key_digest}, effects);
  }
}

/// Checks a waiting call: appends its claim again, gives the claim up, or ends the wait if the
/// deadline has passed or the claiming host is lost.
void CheckWaiter(ClaimsState& state,
                 ClaimWaiter& waiter,
                 const MembershipState& membership,
                 const Tuning& tuning,
                 Timers& timers,
                 const Now& now,
                 Effects& effects,
                 ClaimDecisions& decisions) {
  const ClaimEntry& entry = state.entries[waiter.key_digest];
  const bool is_expired = now.monotonic >= waiter.deadline;
  if (waiter.waits_for_winner && entry.phase == ClaimPhase::kClaimed) {
    const bool is_host_lost =
        entry.host != membership.self && !MayBeAlive(membership, entry.host, tuning, now);
    if (is_host_lost || is_expired) {
      EndWait(state,
              MakeDecision(waiter, ClaimDecision::Kind::kUnknown,
                           is_host_lost ? "claiming_host_lost" : "claim_in_progress"),
              timers, decisions);
      return;
    }
  } else if (is_expired) {
    const bool is_proven = IsProvenNotRun(state, waiter, membership, tuning, now);
    EndWait(state,
            MakeDecision(waiter,
                         is_proven ? ClaimDecision::Kind::kNotRun : ClaimDecision::Kind::kUnknown,
                         "claim_not_recorded"),
            timers, decisions);
    return;
  } else if (!waiter.query && now.monotonic >= waiter.deadline - kQueryLead) {
    GiveUpClaim(state, waiter, membership, tuning, timers, now, effects);
  } else if (!waiter.query && IsMember(membership) &&
             (!waiter.appended_at || now.monotonic - *waiter.appended_at >= kReappendInterval)) {
    AppendClaim(state, waiter, membership, tuning, timers, now);
  }
  ScheduleCheck(timers, waiter, now);
}

/// Applies the new state of a key to the calls that wait for it.
void NotifyWaiters(ClaimsState& state,
                   const std::string& key_digest,
                   const MembershipState& membership,
                   const Tuning& tuning,
                   Timers& timers,
                   const Now& now,
                   ClaimDecisions& decisions) {
  const ClaimEntry& entry = state.entries[key_digest];
  std::vector<RequestId> waiting;
  for (const auto& [request, waiter] : state.waiters) {
    if (waiter.key_digest == key_digest && !waiter.dispatched && !waiter.holds_claim) {
      waiting.push_back(request);
    }
  }
  for (const RequestId request : waiting) {
    ClaimWaiter& waiter = state.waiters.at(request);
    if (auto decision = DecideByKeyState(waiter, entry)) {
      EndWait(state, std::move(*decision), timers, decisions);
      continue;
    }
    const bool is_own_claim = entry.phase == ClaimPhase::kClaimed && entry.claim == waiter.claim;
    if (is_own_claim && !waiter.query) {
      // The key may have become too old while the claim waited for a slow log.
      if (auto decision = DecideByKeyAge(waiter, state, tuning, now)) {
        AppendUntilRead(state, waiter.claim, key_digest,
                        MakeReleaseRecord(waiter.claim, key_digest), tuning, timers, now);
        EndWait(state, std::move(*decision), timers, decisions);
        continue;
      }
      waiter.holds_claim = true;
      Cancel(timers, {TimerKind::kClaim, request});
      decisions.push_back(MakeDecision(waiter, ClaimDecision::Kind::kDispatch, ""));
    } else if (entry.phase == ClaimPhase::kClaimed) {
      waiter.waits_for_winner = !is_own_claim;
    } else if (waiter.waits_for_winner && !waiter.query) {
      // The other host released the key: claim it under a new id, because the old claim has lost.
      waiter.waits_for_winner = false;
      waiter.claim = NewClaimId(state, membership.self);
      AppendClaim(state, waiter, membership, tuning, timers, now);
    }
  }
}

/// Erases keys whose records have passed the log's retention.
void EraseExpiredKeys(ClaimsState& state, const Now& now) {
  if (state.retention <= milliseconds{0}) {
    return;
  }
  for (auto entry = state.entries.begin(); entry != state.entries.end();) {
    const bool is_expired = now.monotonic - entry->second.recorded_at > state.retention;
    entry = is_expired ? state.entries.erase(entry) : std::next(entry);
  }
  for (auto sent = state.dispatched_keys.begin(); sent != state.dispatched_keys.end();) {
    const bool is_expired = now.monotonic - sent->second > state.retention;
    sent = is_expired ? state.dispatched_keys.erase(sent) : std::next(sent);
  }
}

/// Parses the shard number in the name of a claim stream.
std::optional<int> ShardOfStream(std::string_view stream) {
  stream.remove_prefix(std::string_view(kClaimsStreamPrefix).size());
  int shard = 0;
  const auto result = std::from_chars(stream.data(), stream.data() + stream.size(), shard);
  if (result.ec != std::errc{} || result.ptr != stream.data() + stream.size()) {
    return std::nullopt;
  }
  return shard;
}

}  // namespace internal

ClaimDecisions BeginClaim(ClaimsState& state,
                          const ClaimRequest& request,
                          const MembershipState& membership,
                          const Tuning& tuning,
                          Timers& timers,
                          const Now& now,
                          AppendId& /*append_ids*/,
                          Effects& /*effects*/) {
  ClaimDecisions decisions;
  ClaimWaiter waiter;
  waiter.request = request.request;
  waiter.key_digest = Sha256Hex(request.owner + '\n' + request.idempotency_key);
  waiter.body_digest = request.body_digest;
  waiter.deadline = request.deadline;
  waiter.started = now.monotonic;
  const auto issued = IssueTime(request.idempotency_key);
  if (!issued) {
    decisions.push_back(internal::MakeDecision(waiter, ClaimDecision::Kind::kNotRun,
                                               "idempotency_key_without_time"));
    return decisions;
  }
  waiter.key_issued = *issued;
  const auto entry = state.entries.find(waiter.key_digest);
  if (entry != state.entries.end()) {
    if (auto decision = internal::DecideByKeyState(waiter, entry->second)) {
      decisions.push_back(std::move(*decision));
      return decisions;
    }
    waiter.waits_for_winner = entry->second.phase == ClaimPhase::kClaimed;
  }
  if (auto decision = internal::DecideByKeyAge(waiter, state, tuning, now)) {
    decisions.push_back(std::move(*decision));
    return decisions;
  }
  // A host that shuts down doesn't become a member again, so it could only wait.
  if (!waiter.waits_for_winner && membership.draining && !IsMember(membership)) {
    decisions.push_back(internal::MakeDecision(waiter, ClaimDecision::Kind::kUnknown, "draining"));
    return decisions;
  }
  waiter.claim = internal::NewClaimId(state, membership.self);
  // Only members claim keys, so that a query to all members reaches each host that may have run
  // one.
  if (!waiter.waits_for_winner && IsMember(membership)) {
    internal::AppendClaim(state, waiter, membership, tuning, timers, now);
  }
  internal::ScheduleCheck(timers, waiter, now);
  state.waiters[request.request] = std::move(waiter);
  return decisions;
}

ClaimDecisions HandleClaimsRead(ClaimsState& state,
                                const LogRead& read,
                                const MembershipState& membership,
                                const Tuning& tuning,
                                Timers& timers,
                                const Now& now,
                                Effects& /*effects*/) {
  ClaimDecisions decisions;
  const auto number = internal::ShardOfStream(read.stream);
  if (!number) {
    return decisions;
  }
  state.retention = read.retention;
  ClaimShard& shard = state.shards[*number];
  for (const LogRecord& record : read.records) {
    if (record.offset < shard.next) {
      continue;
    }
    shard.next = record.offset + 1;
    for (const Json::Value& item : record.value["records"]) {
      const std::string key_digest = item["key"].asString();
      ApplyClaimRecord(state.entries[key_digest], item, now.monotonic - record.age);
      if (item["type"].asString() != "claim") {
        state.unconfirmed_records.erase(item["claim"].asString());
        state.unconfirmed_appended_at.erase(item["claim"].asString());
      }
      internal::NotifyWaiters(state, key_digest, membership, tuning, timers, now, decisions);
    }
  }
  if (shard.next >= read.next || (read.records.empty() && read.from >= read.next)) {
    shard.caught_up_at = read.began;
  }
  internal::EraseExpiredKeys(state, now);
  return decisions;
}

ClaimDecisions HandleClaimTimer(ClaimsState& state,
                                const TimerKey& key,
                                const MembershipState& membership,
                                const Tuning& tuning,
                                Timers& timers,
                                const Now& now,
                                AppendId& append_ids,
                                Effects& effects) {
  ClaimDecisions decisions;
  if (key.kind == TimerKind::kClaimBatch) {
    internal::FlushBatch(state, static_cast<int>(key.id), append_ids, effects);
    return decisions;
  }
  if (key.id == internal::kReappendTimer) {
    internal::ReappendUnreadRecords(state, tuning, timers, now);
    return decisions;
  }
  const auto waiter = state.waiters.find(key.id);
  if (waiter != state.waiters.end() && !waiter->second.holds_claim) {
    internal::CheckWaiter(state, waiter->second, membership, tuning, timers, now, effects,
                          decisions);
  }
  return decisions;
}

void HandleClaimQuery(const ClaimsState& state,
                      const MembershipState& membership,
                      const HostId& from,
                      const ClaimQuery& query,
                      Effects& effects) {
  SendToPeer(membership, from.name,
             ClaimReply{query.query, query.key_digest, ClaimKnowledgeOf(state, query.key_digest)},
             effects);
}

ClaimDecisions HandleClaimReply(ClaimsState& state,
                                const MembershipState& membership,
                                const HostId& from,
                                const ClaimReply& reply,
                                const Tuning& tuning,
                                const Now& now,
                                Effects& /*effects*/) {
  ClaimDecisions decisions;
  const Epoch* epoch = AdoptedEpoch(membership);
  for (auto& [request, waiter] : state.waiters) {
    if (waiter.query != reply.query || reply.knowledge != ClaimKnowledge::kNone ||
        epoch == nullptr || FindMember(*epoch, from) == nullptr) {
      continue;
    }
    waiter.denied_by.insert(from.name);
    if (IsProvenNotRun(state, waiter, membership, tuning, now)) {
      decisions.push_back(
          internal::MakeDecision(waiter, ClaimDecision::Kind::kNotRun, "claim_not_recorded"));
      state.waiters.erase(request);
      break;
    }
  }
  return decisions;
}

void MarkDispatched(ClaimsState& state, RequestId request, const Now& now) {
  const auto waiter = state.waiters.find(request);
  assert(waiter != state.waiters.end() && waiter->second.holds_claim &&
         "only the holder of a claim dispatches");
  waiter->second.dispatched = true;
  state.dispatched_keys[waiter->second.key_digest] = now.monotonic;
}

void FinishClaim(ClaimsState& state,
                 RequestId request,
                 const StoredResponse& response,
                 const Tuning& tuning,
                 Timers& timers,
                 const Now& now) {
  internal::EndClaim(
      state, request,
      [&response](const ClaimWaiter& waiter) {
        return MakeOutcomeRecord(waiter.claim, waiter.key_digest, response);
      },
      tuning, timers, now);
}

void ReleaseClaim(ClaimsState& state,
                  RequestId request,
                  const Tuning& tuning,
                  Timers& timers,
                  const Now& now) {
  const auto waiter = state.waiters.find(request);
  if (waiter == state.waiters.end()) {
    return;
  }
  state.dispatched_keys.erase(waiter->second.key_digest);
  if (!waiter->second.appended_at) {
    internal::EraseWaiter(state, request, timers);
    return;
  }
  internal::EndClaim(
      state, request,
      [](const ClaimWaiter& ended) { return MakeReleaseRecord(ended.claim, ended.key_digest); },
      tuning, timers, now);
}

void MarkClaimUnknown(ClaimsState& state,
                      RequestId request,
                      const Tuning& tuning,
                      Timers& timers,
                      const Now& now) {
  internal::EndClaim(
      state, request,
      [](const ClaimWaiter& ended) { return MakeUnknownRecord(ended.claim, ended.key_digest); },
      tuning, timers, now);
}

bool IsFlushed(const ClaimsState& state) noexcept {
  return state.unconfirmed_records.empty() &&
         std::all_of(state.shards.begin(), state.shards.end(),
                     [](const auto& shard) { return shard.second.batch.empty(); });
}

}  // namespace snipeturn
