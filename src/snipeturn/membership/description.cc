#include "snipeturn/membership/epoch_record.h"

namespace snipeturn {
namespace internal {
namespace {

Json::Int64 AgeMs(TimePoint time, const Now& now) {
  return ToMilliseconds(now.monotonic - time).count();
}

Json::Value DescribeMember(const MembershipState& state,
                           const Member& member,
                           const Tuning& tuning,
                           const Now& now) {
  Json::Value entry;
  entry["name"] = member.id.name;
  entry["incarnation"] = std::to_string(member.id.incarnation);
  entry["zone"] = member.zone;
  entry["self"] = member.id == state.self;
  entry["alive"] = MayBeAlive(state, member.id, tuning, now);
  const auto peer = state.peers.find(member.id.name);
  if (peer != state.peers.end() && peer->second.id == member.id) {
    entry["epoch"] = Json::UInt64{peer->second.last.epoch};
    entry["draining"] = peer->second.last.draining;
    entry["heard_ms_ago"] = AgeMs(peer->second.last_heartbeat_at, now);
  }
  if (member.id == state.self) {
    entry["draining"] = state.draining;
  }
  return entry;
}

}  // namespace
}  // namespace internal

Json::Value DescribeHosts(const MembershipState& state, const Tuning& tuning, const Now& now) {
  Json::Value body;
  body["self"] = state.self.name;
  body["incarnation"] = std::to_string(state.self.incarnation);
  body["is_member"] = IsMember(state);
  body["may_start_work"] = MayStartWork(state, tuning, now);
  body["epoch"] = Json::UInt64{0};
  body["members"] = Json::arrayValue;
  body["listed"] = Json::arrayValue;
  if (state.log_read_began) {
    body["log_read_ms_ago"] = internal::AgeMs(*state.log_read_began, now);
  }
  if (const Epoch* epoch = AdoptedEpoch(state)) {
    body["epoch"] = Json::UInt64{epoch->number};
    for (const Member& member : epoch->members) {
      body["members"].append(internal::DescribeMember(state, member, tuning, now));
    }
  }
  for (const ListedHost& host : state.listed) {
    Json::Value entry;
    entry["name"] = host.id.name;
    entry["incarnation"] = std::to_string(host.id.incarnation);
    entry["state"] = host.leaving ? "leaving" : "live";
    body["listed"].append(entry);
  }
  return body;
}

}  // namespace snipeturn
