#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

#include "snipeturn/settings/settings.h"
#include "snipeturn/settings/write.h"

namespace snipeturn {
namespace internal {

/// Longest name of a writer, in bytes.
constexpr std::size_t kMaxWriterLength = 128;
constexpr TimerKey kWriteTimer{TimerKind::kSettings, 0};

RespondToOperator MakeRefusal(OperatorRequestId request,
                              int status,
                              const std::string& reason,
                              const DocumentFault& fault) {
  Json::Value body;
  body["reason"] = reason;
  body["outcome"] = "not_run";
  body["detail"] = ToString(fault);
  body["path"] = fault.path;
  body["allowed"] = fault.allowed;
  return {request, status, body};
}

/// Checks a write before it is appended to the log.
/// @return The response when the write is refused, or nothing.
std::optional<RespondToOperator> CheckBeforeAppend(const SettingsState& state,
                                                   OperatorRequestId request,
                                                   const SettingsWrite& write) {
  if (!state.ready) {
    return MakeRefusal(request, 503, "settings_not_ready",
                       {write.path, "this host has not read all settings yet", ""});
  }
  if (CompactJson(write.value).size() > kMaxSettingsValue) {
    return MakeRefusal(request, 413, "settings_too_large",
                       {write.path, "the value is too large",
                        fmt::format("at most {} bytes of JSON", kMaxSettingsValue)});
  }
  if (write.writer.size() > kMaxWriterLength) {
    return MakeRefusal(request, 422, "settings_invalid",
                       {write.path, "the writer's name is too long",
                        fmt::format("at most {} bytes", kMaxWriterLength)});
  }
  // Versions only increase, so a write that conflicts now still conflicts when its record is read
  // back from the log.
  const WriteCheck check = CheckWrite(state, write, std::nullopt);
  if (check.verdict == SettingsVerdict::kAccepted) {
    return std::nullopt;
  }
  RespondToOperator response = MakeWriteResponse(request, check, std::nullopt);
  response.body["outcome"] = "not_run";
  return response;
}

void ScheduleExpiry(const SettingsState& state, Timers& timers) {
  const auto first = std::min_element(state.pending_writes.begin(), state.pending_writes.end(),
                                      [](const auto& left, const auto& right) {
                                        return left.second.expires < right.second.expires;
                                      });
  if (first != state.pending_writes.end()) {
    Schedule(timers, kWriteTimer, first->second.expires);
  }
}

}  // namespace internal

void HandlePutSettings(SettingsState& state,
                       OperatorRequestId request,
                       const PutSettings& command,
                       const HostId& self,
                       Timers& timers,
                       const Now& now,
                       AppendId& append_ids,
                       Effects& effects) {
  SettingsWrite write;
  write.path = command.path;
  write.value = command.value;
  write.based_on = command.based_on;
  if (!write.based_on && state.applied > 0) {
    write.based_on = state.applied - 1;
  }
  write.writer = command.writer;
  if (auto refusal = internal::CheckBeforeAppend(state, request, write)) {
    effects.emplace_back(std::move(*refusal));
    return;
  }
  write.write_id = fmt::format("{}-{:x}-{}", self.name, self.incarnation, ++state.write_sequence);
  state.pending_writes[write.write_id] = PendingWrite{request, now.monotonic + kVerdictTimeout};
  internal::ScheduleExpiry(state, timers);
  effects.emplace_back(AppendLog{append_ids++, kSettingsStream, MakeWriteRecord(write)});
}

void HandleSettingsTimer(SettingsState& state, Timers& timers, const Now& now, Effects& effects) {
  for (auto write = state.pending_writes.begin(); write != state.pending_writes.end();) {
    if (now.monotonic < write->second.expires) {
      ++write;
      continue;
    }
    Json::Value body;
    body["reason"] = "verdict_late";
    body["outcome"] = "unknown";
    body["write_id"] = write->first;
    body["detail"] = fmt::format(
        "no verdict within {} s; the write may still take effect, see the history of the path",
        kVerdictTimeout.count());
    effects.emplace_back(RespondToOperator{write->second.request, 504, body});
    write = state.pending_writes.erase(write);
  }
  internal::ScheduleExpiry(state, timers);
}

}  // namespace snipeturn
