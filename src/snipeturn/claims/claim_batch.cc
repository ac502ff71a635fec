#include "snipeturn/claims/claim_batch.h"

#include <utility>
#include <vector>

#include "snipeturn/claims/claim_record.h"

namespace snipeturn::internal {

void AddToBatch(ClaimsState& state,
                const std::string& key_digest,
                Json::Value record,
                const Tuning& tuning,
                Timers& timers,
                const Now& now) {
  const int shard = ClaimShardOf(key_digest, tuning.claim_streams);
  state.shards[shard].batch.push_back(std::move(record));
  const TimerKey key{TimerKind::kClaimBatch, static_cast<std::uint64_t>(shard)};
  if (!IsScheduled(timers, key)) {
    Schedule(timers, key, now.monotonic + tuning.claim_batch);
  }
}

void KeepRecord(ClaimsState& state,
                const ClaimId& claim,
                const std::string& key_digest,
                Json::Value record,
                const Tuning& tuning,
                Timers& timers,
                const Now& now) {
  state.unconfirmed_records[claim] = record;
  state.unrecorded_sent[claim] = now.monotonic;
  AddToBatch(state, key_digest, std::move(record), tuning, timers, now);
  const TimerKey key{TimerKind::kClaim, kRecordTimer};
  if (!IsScheduled(timers, key)) {
    Schedule(timers, key, now.monotonic + kAppendAgain);
  }
}

void AppendKeptRecords(ClaimsState& state, const Tuning& tuning, Timers& timers, const Now& now) {
  for (const auto& [claim, record] : state.unconfirmed_records) {
    if (now.monotonic - state.unrecorded_sent[claim] >= kAppendAgain) {
      state.unrecorded_sent[claim] = now.monotonic;
      AddToBatch(state, record["key"].asString(), record, tuning, timers, now);
    }
  }
  if (!state.unconfirmed_records.empty()) {
    Schedule(timers, {TimerKind::kClaim, kRecordTimer}, now.monotonic + kAppendAgain);
  }
}

void FlushBatch(ClaimsState& state, int shard, AppendId& append_ids, Effects& effects) {
  std::vector<Json::Value> batch = std::move(state.shards[shard].batch);
  state.shards[shard].batch.clear();
  if (batch.empty()) {
    return;
  }
  Json::Value value;
  for (Json::Value& record : batch) {
    value["records"].append(std::move(record));
  }
  effects.emplace_back(AppendLog{append_ids++, kClaimsStreamPrefix + std::to_string(shard), value});
}

}  // namespace snipeturn::internal
