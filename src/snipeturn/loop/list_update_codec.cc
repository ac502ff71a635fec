#include "snipeturn/loop/list_update_codec.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

namespace snipeturn::loop {
namespace internal {
namespace {

/// Encodes an update of the upstream list as an array, which keeps datagrams small. An entry that
/// was removed has the number, the offset, the id and whether it may have expired only.
Json::Value EncodeListUpdate(const entry::PeerUpdate& update) {
  Json::Value row(Json::arrayValue);
  row.append(Json::UInt64{update.number});
  if (const auto* unlisted = std::get_if<entry::UpstreamUnlisted>(&update.notice)) {
    row.append(Json::UInt64{unlisted->position.offset});
    row.append(unlisted->id);
    row.append(unlisted->may_have_expired);
    return row;
  }
  const auto& listed = std::get<entry::UpstreamListed>(update.notice);
  const entry::UpstreamEntry& entry = listed.entry;
  row.append(Json::UInt64{listed.position.offset});
  row.append(entry.id);
  row.append(entry.service);
  row.append(entry.endpoint.address);
  row.append(entry.endpoint.port);
  row.append(entry.zone);
  row.append(entry.slots);
  row.append(entry.leaving);
  row.append(Json::Int64{entry.cold_left.count()});
  row.append(Json::Int64{entry.start_time_ms});
  row.append(Json::Int64{entry.sequence});
  return row;
}

/// @param row The columns of the update.
/// @param era Era of its position, which the row doesn't hold.
std::optional<entry::PeerUpdate> DecodeListUpdate(const Json::Value& row, entry::StoreEra era) {
  // Hosts of an earlier version send removed entries without their last column.
  constexpr Json::ArrayIndex kMinUnlistedLength = 3;
  constexpr Json::ArrayIndex kUnlistedLength = 4;
  constexpr Json::ArrayIndex kListedLength = 12;
  if (!row.isArray() || row.size() < kMinUnlistedLength ||
      (row.size() > kUnlistedLength && row.size() != kListedLength) || !row[2].isString() ||
      row[2].asString().empty()) {
    return std::nullopt;
  }
  Json::ArrayIndex column = 0;
  const std::uint64_t number = row[column++].asUInt64();
  const entry::StorePosition position(era, row[column++].asUInt64());
  const std::string id = row[column++].asString();
  if (row.size() <= kUnlistedLength) {
    const bool may_have_expired = row.size() < kUnlistedLength || row[column].asBool();
    return entry::PeerUpdate{
        number,
        entry::UpstreamUnlisted{id, position, entry::UpdateSource::kPeer, may_have_expired}};
  }
  entry::UpstreamListed listed;
  listed.source = entry::UpdateSource::kPeer;
  listed.position = position;
  entry::UpstreamEntry& entry = listed.entry;
  entry.id = id;
  entry.service = row[column++].asString();
  entry.endpoint.address = row[column++].asString();
  entry.endpoint.port = row[column++].asInt();
  entry.zone = row[column++].asString();
  entry.slots = row[column++].asInt();
  entry.leaving = row[column++].asBool();
  entry.cold_left = std::chrono::milliseconds(row[column++].asInt64());
  entry.start_time_ms = row[column++].asInt64();
  entry.sequence = row[column++].asInt64();
  return entry::PeerUpdate{number, std::move(listed)};
}

/// Eras of the positions of the updates, in their order. They are no column of the rows, since
/// hosts of an earlier version drop a table with longer rows.
constexpr char kRecentErasKey[] = "recent_eras";
/// Versions of the upstreams, in the order of the updates; only if one has a version.
constexpr char kRecentVersionsKey[] = "recent_versions";
/// As the platform's adapter accepts them.
constexpr std::size_t kMaxVersionBytes = 255;

entry::StoreEra EraOf(const entry::PeerUpdate& update) {
  return std::visit([](const auto& notice) { return notice.position.era; }, update.notice);
}

std::string VersionOf(const entry::PeerUpdate& update) {
  const auto* listed = std::get_if<entry::UpstreamListed>(&update.notice);
  return listed == nullptr ? "" : listed->entry.version;
}

bool IsVersion(const Json::Value& value) {
  const std::string version = value.isString() ? value.asString() : " ";
  return version.size() <= kMaxVersionBytes &&
         std::all_of(version.begin(), version.end(),
                     [](unsigned char byte) { return byte > ' ' && byte < 0x7f; });
}

}  // namespace
}  // namespace internal

bool HasVersions(const std::vector<entry::PeerUpdate>& updates) {
  return std::any_of(updates.begin(), updates.end(), [](const entry::PeerUpdate& update) {
    return !internal::VersionOf(update).empty();
  });
}

void EncodeListUpdates(const std::vector<entry::PeerUpdate>& updates, Json::Value& root) {
  root["recent"] = Json::Value(Json::arrayValue);
  root.removeMember(internal::kRecentErasKey);
  root.removeMember(internal::kRecentVersionsKey);
  if (HasVersions(updates)) {
    root[internal::kRecentVersionsKey] = Json::Value(Json::arrayValue);
  }
  for (const entry::PeerUpdate& update : updates) {
    root["recent"].append(internal::EncodeListUpdate(update));
    root[internal::kRecentErasKey].append(Json::UInt64{internal::EraOf(update)});
    if (root.isMember(internal::kRecentVersionsKey)) {
      root[internal::kRecentVersionsKey].append(internal::VersionOf(update));
    }
  }
}

std::optional<std::vector<entry::PeerUpdate>> DecodeListUpdates(const Json::Value& root) {
  const Json::Value& eras = root[internal::kRecentErasKey];
  const Json::Value& versions = root[internal::kRecentVersionsKey];
  std::vector<entry::PeerUpdate> updates;
  for (Json::ArrayIndex index = 0; index < root["recent"].size(); ++index) {
    auto update = internal::DecodeListUpdate(root["recent"][index], eras.get(index, 0).asUInt64());
    if (!update) {
      return std::nullopt;
    }
    // Hosts of an earlier version send no versions, and those without roll-outs neither.
    if (!versions.isNull()) {
      const Json::Value version = versions.isArray() ? versions.get(index, "\n") : "\n";
      if (!internal::IsVersion(version)) {
        continue;
      }
      if (auto* listed = std::get_if<entry::UpstreamListed>(&update->notice)) {
        listed->entry.version = version.asString();
      }
    }
    updates.push_back(std::move(*update));
  }
  return updates;
}

}  // namespace snipeturn::loop
