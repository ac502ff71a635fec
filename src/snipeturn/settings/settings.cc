#include "snipeturn/settings/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "snipeturn/base/log_catalogue.h"
#include "snipeturn/settings/document.h"
#include "snipeturn/settings/snapshot.h"
#include "snipeturn/settings/write.h"

namespace snipeturn {
namespace internal {

/// A snapshot is appended again after this share of the retention, which leaves time for a retry
/// before a third of it has passed.
constexpr int kSnapshotShare = 4;
/// An append of a snapshot that was not read back is repeated after this share of the retention.
constexpr int kSnapshotRetryShare = 24;
constexpr std::chrono::seconds kLongestSnapshotRetry{10};
constexpr std::chrono::seconds kCopyInterval{1};
constexpr char kSnapshotKey[] = "snapshot";

bool IsSnapshot(const Json::Value& record) {
  return record.isObject() && record.isMember(kSnapshotKey);
}

/// Range of offsets that a read covers.
struct ReadRange {
  LogOffset begin{0};
  LogOffset end{0};
};

ReadRange RangeOf(const LogRead& read) {
  const LogOffset begin = std::max(read.from, read.oldest);
  // A batch may end before the end of the log.
  const LogOffset end =
      read.records.empty() ? std::max(begin, read.next) : read.records.back().offset + 1;
  return {begin, end};
}

void Remember(SettingsState& state, SettingsChange change) {
  state.history.push_back(std::move(change));
  if (state.history.size() > kMaxHistory) {
    state.history.pop_front();
  }
}

void AnswerPending(SettingsState& state,
                   const std::string& write_id,
                   const WriteCheck& check,
                   LogOffset offset,
                   Effects& effects) {
  const auto pending = state.pending_writes.find(write_id);
  if (pending == state.pending_writes.end()) {
    return;
  }
  effects.emplace_back(MakeWriteAnswer(pending->second.request, check, offset));
  state.pending_writes.erase(pending);
}

/// Reduces one write and returns true when it was accepted.
bool ReduceWrite(SettingsState& state, const LogRecord& record, Effects& effects) {
  SettingsChange change;
  change.offset = record.offset;
  WriteCheck check;
  if (const auto write = ParseWriteRecord(record.value, check.fault)) {
    change.write_id = write->write_id;
    change.path = write->path;
    change.writer = write->writer;
    check = CheckWrite(state, *write, record.offset);
    if (check.verdict == SettingsVerdict::kAccepted) {
      ApplyWrite(state, *write, record.offset, check.tree);
    }
  } else {
    check.verdict = SettingsVerdict::kInvalid;
  }
  change.verdict = check.verdict;
  if (check.verdict != SettingsVerdict::kAccepted) {
    change.detail = ToString(check.fault);
  }
  AnswerPending(state, change.write_id, check, record.offset, effects);
  const bool accepted = check.verdict == SettingsVerdict::kAccepted;
  effects.emplace_back(
      EmitLog{accepted ? log_events::kSettingsAccepted : log_events::kSettingsRejected,
              fmt::format("offset={} path={} writer={} verdict={} detail={}", change.offset,
                          ShortJson(change.path), ShortJson(change.writer),
                          ToString(change.verdict), ShortJson(change.detail))});
  Remember(state, std::move(change));
  return accepted;
}

/// Reduces records that continue the state; those below `applied` are already in force.
void ReduceRecords(SettingsState& state,
                   const std::vector<LogRecord>& records,
                   LogOffset end,
                   Effects& effects) {
  bool is_changed = false;
  for (const LogRecord& record : records) {
    if (record.offset < state.applied) {
      continue;
    }
    if (!IsSnapshot(record.value)) {
      is_changed = ReduceWrite(state, record, effects) || is_changed;
    }
    state.applied = record.offset + 1;
  }
  state.applied = std::max(state.applied, end);
  if (is_changed) {
    state.catalog = BuildCatalog(state.tree);
  }
}

/// Takes over a snapshot, and answers operators' writes whose verdict it brings.
void Adopt(SettingsState& state, SettingsSnapshot snapshot, Effects& effects) {
  state.tree = std::move(snapshot.tree);
  state.versions = std::move(snapshot.versions);
  state.applied = snapshot.applied;
  state.complete = true;
  state.catalog = BuildCatalog(state.tree);
  const LogOffset newest = state.history.empty() ? 0 : state.history.back().offset;
  for (SettingsChange& change : snapshot.history) {
    if (!state.history.empty() && change.offset <= newest) {
      continue;
    }
    WriteCheck check;
    check.verdict = change.verdict;
    check.fault = DocumentFault{change.path, change.detail, ""};
    AnswerPending(state, change.write_id, check, change.offset, effects);
    Remember(state, std::move(change));
  }
}

void DropBuffer(SettingsState& state) {
  state.buffered.clear();
  state.buffered_from.reset();
  state.buffered_to = 0;
}

/// Reduces what was buffered, when it continues the state.
void ReduceBuffer(SettingsState& state, Effects& effects) {
  const std::vector<LogRecord> records = std::move(state.buffered);
  const LogOffset end = state.buffered_to;
  DropBuffer(state);
  ReduceRecords(state, records, end, effects);
}

void Buffer(SettingsState& state, const LogRead& read, const ReadRange& range) {
  if (!state.buffered_from || range.begin > state.buffered_to) {
    // A snapshot can't be completed across records that expired unread.
    state.buffered.clear();
    state.buffered_from = range.begin;
    state.buffered_to = range.begin;
  }
  for (const LogRecord& record : read.records) {
    if (record.offset >= state.buffered_to) {
      state.buffered.push_back(record);
    }
  }
  state.buffered_to = std::max(state.buffered_to, range.end);
}

/// Looks for a snapshot from which the buffered records lead up to the present.
std::optional<SettingsSnapshot> FindUsableSnapshot(const SettingsState& state) {
  for (auto record = state.buffered.rbegin(); record != state.buffered.rend(); ++record) {
    if (!IsSnapshot(record->value)) {
      continue;
    }
    auto snapshot = ParseSnapshot(record->value[kSnapshotKey]);
    if (snapshot && snapshot->applied <= record->offset &&
        snapshot->applied >= state.buffered_from.value_or(0) &&
        snapshot->applied >= state.applied) {
      return snapshot;
    }
  }
  return std::nullopt;
}

/// Notes the age of the snapshots in the log.
void NoteSnapshots(SettingsState& state, const LogRead& read, const Now& now, Effects& effects) {
  for (const LogRecord& record : read.records) {
    const TimePoint accepted = now.monotonic - record.age;
    if (!state.first_record) {
      state.first_record = accepted;
    }
    if (!IsSnapshot(record.value)) {
      continue;
    }
    const auto snapshot = ParseSnapshot(record.value[kSnapshotKey]);
    if (!snapshot || snapshot->applied > record.offset) {
      effects.emplace_back(
          EmitLog{log_events::kSettingsSnapshotBad, fmt::format("offset={}", record.offset)});
    } else if (snapshot->applied >= state.snapshot_covers) {
      state.snapshot_covers = snapshot->applied;
      state.snapshot_seen = std::max(state.snapshot_seen.value_or(accepted), accepted);
    }
  }
}

void UpdateReady(SettingsState& state, Effects& effects) {
  if (state.ready || !state.complete || state.applied < state.known_next) {
    return;
  }
  state.ready = true;
  effects.emplace_back(
      EmitLog{log_events::kSettingsReady, fmt::format("applied={}", state.applied)});
}

void LoseTrack(SettingsState& state, LogOffset begin, Effects& effects) {
  if (state.complete && state.applied > 0) {
    effects.emplace_back(EmitLog{log_events::kSettingsGap,
                                 fmt::format("applied={} oldest={}", state.applied, begin)});
  }
  state.complete = false;
  state.ready = false;
}

/// Takes a read that begins at or below `applied`.
void Continue(SettingsState& state, const LogRead& read, const ReadRange& range, Effects& effects) {
  if (state.buffered_from && range.end < *state.buffered_from) {
    // A repeated read, from before the gap that made the state incomplete.
    return;
  }
  state.complete = true;
  ReduceRecords(state, read.records, range.end, effects);
  ReduceBuffer(state, effects);
}

/// Takes a read that begins above `applied`: the records between expired unread.
void Restart(SettingsState& state, const LogRead& read, const ReadRange& range, Effects& effects) {
  LoseTrack(state, range.begin, effects);
  Buffer(state, read, range);
  if (auto snapshot = FindUsableSnapshot(state)) {
    Adopt(state, std::move(*snapshot), effects);
    ReduceBuffer(state, effects);
  }
}

/// Appends a snapshot when the last one, or the first record, will be too old soon.
void RenewSnapshot(SettingsState& state,
                   const LogRead& read,
                   const Now& now,
                   AppendId& append_ids,
                   Effects& effects) {
  const auto oldest = state.snapshot_seen ? state.snapshot_seen : state.first_record;
  if (!oldest || read.retention.count() <= 0 ||
      now.monotonic - *oldest < read.retention / kSnapshotShare) {
    return;
  }
  const auto retry = std::min<MonotonicClock::duration>(read.retention / kSnapshotRetryShare,
                                                        kLongestSnapshotRetry);
  if (state.snapshot_appended && now.monotonic - *state.snapshot_appended < retry) {
    return;
  }
  state.snapshot_appended = now.monotonic;
  Json::Value record;
  record[kSnapshotKey] = MakeSnapshot(state);
  effects.emplace_back(AppendLog{append_ids++, kSettingsStream, std::move(record)});
  effects.emplace_back(
      EmitLog{log_events::kSettingsSnapshotAppended, fmt::format("applied={}", state.applied)});
}

/// Tells whether a peer's copy brings the state further.
bool IsUseful(const SettingsState& state, LogOffset copied) {
  // A copy from before the buffered records leaves a gap that the log can't fill any more.
  if (state.buffered_from && copied < *state.buffered_from) {
    return false;
  }
  return copied > state.applied || (!state.complete && copied == state.applied);
}

void RequestCopy(SettingsState& state,
                 const SettingsPeers& peers,
                 const Now& now,
                 Effects& effects) {
  if (!peers.copy_source ||
      (state.copy_requested && now.monotonic - *state.copy_requested < kCopyInterval)) {
    return;
  }
  state.copy_requested = now.monotonic;
  effects.emplace_back(SendPeer{peers.copy_source->first, peers.copy_source->second,
                                SettingsRequest{state.applied}});
}

}  // namespace internal

void HandleSettingsRead(SettingsState& state,
                        const LogRead& read,
                        const SettingsPeers& peers,
                        const Now& now,
                        AppendId& append_ids,
                        Effects& effects) {
  const internal::ReadRange range = internal::RangeOf(read);
  state.known_next = std::max(state.known_next, read.next);
  internal::NoteSnapshots(state, read, now, effects);
  if (range.begin <= state.applied) {
    internal::Continue(state, read, range, effects);
  } else {
    internal::Restart(state, read, range, effects);
  }
  internal::UpdateReady(state, effects);
  if (!state.ready) {
    internal::RequestCopy(state, peers, now, effects);
  } else if (peers.appends_snapshots && range.end == read.next) {
    internal::RenewSnapshot(state, read, now, append_ids, effects);
  }
}

void HandleSettingsCopy(SettingsState& state,
                        const SettingsCopy& copy,
                        const Now&,
                        Effects& effects) {
  const Json::Value applied = copy.snapshot.isObject() ? copy.snapshot["applied"] : Json::Value();
  // Several peers may send the same copy, so the validation of the whole tree comes last.
  if (applied.isUInt64() && !internal::IsUseful(state, applied.asUInt64())) {
    return;
  }
  auto snapshot = ParseSnapshot(copy.snapshot);
  if (!snapshot) {
    effects.emplace_back(EmitLog{log_events::kSettingsSnapshotBad, "source=peer"});
    return;
  }
  internal::Adopt(state, std::move(*snapshot), effects);
  internal::ReduceBuffer(state, effects);
  effects.emplace_back(
      EmitLog{log_events::kSettingsCopyTaken, fmt::format("applied={}", state.applied)});
  internal::UpdateReady(state, effects);
}

}  // namespace snipeturn
