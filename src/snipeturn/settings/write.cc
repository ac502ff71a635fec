#include "snipeturn/settings/write.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "snipeturn/settings/document.h"
#include "snipeturn/settings/snapshot.h"

namespace snipeturn {
namespace internal {

WriteCheck MakeInvalid(DocumentFault fault) {
  WriteCheck check;
  check.verdict = SettingsVerdict::kInvalid;
  check.fault = std::move(fault);
  return check;
}

WriteCheck MakeConflict(const SettingsWrite& write, LogOffset version) {
  WriteCheck check;
  check.verdict = SettingsVerdict::kConflict;
  check.conflict = version;
  check.fault.path = write.path;
  check.fault.problem =
      fmt::format("changed at offset {}, after the version that the write is based on", version);
  return check;
}

std::optional<DocumentFault> CheckFields(const Json::Value& record) {
  if (!record.isObject()) {
    return DocumentFault{"/", "the record is not an object", ""};
  }
  for (const char* name : {"path", "writer", "write_id"}) {
    if (!record[name].isString()) {
      return DocumentFault{"/", fmt::format("the record's {} is not a text", name), ""};
    }
  }
  const Json::Value& based_on = record["based_on"];
  if (!based_on.isNull() && !based_on.isUInt64()) {
    return DocumentFault{record["path"].asString(),
                         fmt::format("based_on {} is not allowed", ShortJson(based_on)),
                         "an offset or null"};
  }
  return std::nullopt;
}

}  // namespace internal

Json::Value MakeWriteRecord(const SettingsWrite& write) {
  Json::Value record;
  record["path"] = write.path;
  record["value"] = write.value;
  record["based_on"] = write.based_on ? Json::Value(Json::UInt64{*write.based_on}) : Json::Value();
  record["writer"] = write.writer;
  record["write_id"] = write.write_id;
  return record;
}

std::optional<SettingsWrite> ParseWriteRecord(const Json::Value& record, DocumentFault& fault) {
  if (auto found = internal::CheckFields(record)) {
    fault = std::move(*found);
    return std::nullopt;
  }
  SettingsWrite write;
  write.path = record["path"].asString();
  write.value = record["value"];
  if (!record["based_on"].isNull()) {
    write.based_on = record["based_on"].asUInt64();
  }
  write.writer = record["writer"].asString();
  write.write_id = record["write_id"].asString();
  return write;
}

std::optional<LogOffset> VersionOf(const std::map<std::string, LogOffset>& versions,
                                   const std::string& path) {
  std::optional<LogOffset> newest;
  for (const auto& [other, offset] : versions) {
    if (PathsOverlap(path, other)) {
      newest = std::max(newest.value_or(0), offset);
    }
  }
  return newest;
}

WriteCheck CheckWrite(const SettingsState& state,
                      const SettingsWrite& write,
                      std::optional<LogOffset> offset) {
  const auto path = ParseSettingsPath(write.path);
  if (!path) {
    return internal::MakeInvalid(
        {"/", fmt::format("{} is not a path", ShortJson(write.path)), std::string(kAllowedPath)});
  }
  if (CompactJson(write.value).size() > kMaxSettingsValue) {
    return internal::MakeInvalid({write.path, "the value is too large",
                                  fmt::format("at most {} bytes of JSON", kMaxSettingsValue)});
  }
  if (offset && write.based_on && *write.based_on >= *offset) {
    return internal::MakeInvalid(
        {write.path,
         fmt::format("based_on {} is not below the record's offset {}", *write.based_on, *offset),
         "the version that was read"});
  }
  const auto version = VersionOf(state.versions, write.path);
  if (version && (!write.based_on || *version > *write.based_on)) {
    return internal::MakeConflict(write, *version);
  }
  WriteCheck check;
  check.tree = state.tree;
  if (!SetValue(check.tree, *path, write.value)) {
    return internal::MakeInvalid(
        {write.path, "a value above the path is not an object", "a path below objects"});
  }
  if (auto fault = CheckTree(check.tree, *path)) {
    return internal::MakeInvalid(std::move(*fault));
  }
  return check;
}

void ApplyWrite(SettingsState& state,
                const SettingsWrite& write,
                LogOffset offset,
                Json::Value tree) {
  state.tree = std::move(tree);
  // The new version is higher than the versions at and below the path, and its path overlaps with
  // every path that theirs overlap with, so they no longer affect any conflict check.
  for (auto entry = state.versions.begin(); entry != state.versions.end();) {
    entry = IsAtOrBelow(entry->first, write.path) ? state.versions.erase(entry) : std::next(entry);
  }
  state.versions[write.path] = offset;
}

RespondToOperator MakeWriteResponse(OperatorRequestId request,
                                    const WriteCheck& check,
                                    std::optional<LogOffset> offset) {
  Json::Value body;
  body["verdict"] = ToString(check.verdict);
  if (offset) {
    body["offset"] = Json::UInt64{*offset};
    body["applied"] = Json::UInt64{*offset + 1};
  }
  if (check.verdict == SettingsVerdict::kAccepted) {
    return {request, 200, body};
  }
  body["reason"] =
      check.verdict == SettingsVerdict::kConflict ? "settings_conflict" : "settings_invalid";
  body["detail"] = ToString(check.fault);
  body["path"] = check.fault.path;
  if (check.verdict == SettingsVerdict::kConflict) {
    body["version"] = Json::UInt64{check.conflict};
    return {request, 409, body};
  }
  body["allowed"] = check.fault.allowed;
  return {request, 422, body};
}

}  // namespace snipeturn
