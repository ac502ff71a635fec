#include "snipeturn/claims/claim_record.h"

#include <string>
#include <vector>

#include "snipeturn/base/hash.h"

namespace snipeturn {
namespace internal {

Json::Value MakeRecord(const char* type, const ClaimId& claim, const std::string& key_digest) {
  Json::Value record;
  record["type"] = type;
  record["claim"] = claim;
  record["key"] = key_digest;
  return record;
}

void ApplyClaim(ClaimEntry& entry, const Json::Value& record) {
  const ClaimId claim = record["claim"].asString();
  if (entry.phase != ClaimPhase::kUnclaimed || entry.released.count(claim) > 0) {
    return;
  }
  entry.phase = ClaimPhase::kClaimed;
  entry.claim = claim;
  entry.host = HostId{record["host"].asString(), record["incarnation"].asUInt64()};
  entry.body_digest = record["body"].asString();
}

void ApplyOutcome(ClaimEntry& entry, const Json::Value& record) {
  entry.phase = ClaimPhase::kFinished;
  if (record.isMember("answer")) {
    entry.response = StoredResponse{record["status"].asInt(), record["content_type"].asString(),
                                    record["answer"].asString()};
  }
}

}  // namespace internal

Json::Value MakeClaimRecord(const ClaimWaiter& waiter, const HostId& host) {
  Json::Value record = internal::MakeRecord("claim", waiter.claim, waiter.key_digest);
  record["body"] = waiter.body_digest;
  record["host"] = host.name;
  record["incarnation"] = Json::UInt64{host.incarnation};
  return record;
}

Json::Value MakeOutcomeRecord(const ClaimId& claim,
                              const std::string& key_digest,
                              const StoredResponse& response) {
  Json::Value record = internal::MakeRecord("outcome", claim, key_digest);
  record["status"] = response.status;
  record["content_type"] = response.content_type;
  if (response.body.size() <= kMaxStoredResponse) {
    record["answer"] = response.body;
  }
  return record;
}

Json::Value MakeReleaseRecord(const ClaimId& claim, const std::string& key_digest) {
  return internal::MakeRecord("release", claim, key_digest);
}

Json::Value MakeUnknownRecord(const ClaimId& claim, const std::string& key_digest) {
  return internal::MakeRecord("unknown", claim, key_digest);
}

void ApplyClaimRecord(ClaimEntry& entry, const Json::Value& record, TimePoint recorded_at) {
  entry.recorded_at = recorded_at;
  const std::string type = record["type"].asString();
  const ClaimId claim = record["claim"].asString();
  const bool holds_key = entry.phase == ClaimPhase::kClaimed && entry.claim == claim;
  if (type == "claim") {
    internal::ApplyClaim(entry, record);
  } else if (type == "release") {
    entry.released.insert(claim);
    if (holds_key) {
      entry.phase = ClaimPhase::kUnclaimed;
    }
  } else if (type == "outcome" && holds_key) {
    internal::ApplyOutcome(entry, record);
  } else if (type == "unknown" && holds_key) {
    entry.phase = ClaimPhase::kUnknown;
  }
}

int ClaimShardOf(const std::string& key_digest, int streams) {
  int best = 0;
  for (int stream = 1; stream < streams; ++stream) {
    if (RendezvousWeight(key_digest, std::to_string(stream)) >
        RendezvousWeight(key_digest, std::to_string(best))) {
      best = stream;
    }
  }
  return best;
}

}  // namespace snipeturn
