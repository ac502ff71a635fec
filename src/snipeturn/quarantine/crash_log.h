#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "snipeturn/base/time.h"
#include "snipeturn/quarantine/fwd.h"

namespace snipeturn::quarantine {

/// An attempt that was lost before its first token because its upstream disconnected.
struct CrashEntry {
  CrashId crash{0};
  TimePoint at{};
  /// Parts of the prompt that are known to all hosts; `AddEntry` sorts them.
  std::vector<PartId> parts;
  /// Answers that all hosts began per second when the attempt was lost: the highest estimate of a
  /// host. The host of the attempt may begin none itself.
  double answers_per_second{0};
  /// Further parts, which only the host of the attempt knows.
  std::uint32_t hidden_parts{0};
  /// When this host learned the last of the parts.
  TimePoint known_at{};
};

/// Last answer that began for a prompt with a part.
struct PartAnswer {
  TimePoint at{};
  /// The part of it that other hosts know.
  TimePoint shared_at{};
};

/// Entries of a log whose host states no bound of its memory.
inline constexpr std::size_t kMaxEntries = 64;

/// Lost attempts of all hosts as far as this host knows, and the answers that clear their parts.
struct CrashLog {
  std::map<EntryId, CrashEntry> entries;
  /// Holds parts of `entries` only.
  std::map<PartId, PartAnswer> answers;
  /// Entries on which a quarantine rests; they neither age nor make room.
  std::set<EntryId> kept;
  std::size_t max_entries{kMaxEntries};
  /// Entries that were dropped, or not taken, because the log was full.
  std::uint64_t dropped{0};
};

/// @brief Adds a lost attempt. When the log is full, the least useful entry that isn't kept makes
///     room: first those without known parts, then those whose parts got answers, then the oldest.
///     Of an attempt that the log has already, it takes further parts and a higher rate of answers.
/// @return False if the log hasn't changed: it knew all of the attempt, or has no room for it.
bool AddEntry(CrashLog& log, EntryId id, CrashEntry entry);

/// @brief Records that an upstream began to answer a prompt. Parts that are in no entry are
/// ignored.
/// @param parts Parts of the prompt.
/// @param is_shared The answer was reported by another host.
/// @return True if an entry was clear evidence against one of the parts until now.
bool RecordAnswer(CrashLog& log, const std::vector<PartId>& parts, TimePoint at, bool is_shared);

/// @brief Tells whether an entry still counts against a part: no answer to a prompt with the part
///     began later.
[[nodiscard]] bool CountsAgainst(const CrashLog& log, const CrashEntry& entry, PartId part);

/// @brief Parts that other hosts may suspect although this host knows that they are sound: two
///     entries or more count against them by what the other hosts know.
[[nodiscard]] std::vector<PartId> UnsharedAnswers(const CrashLog& log);

/// @brief Removes the entries of attempts that were lost before a time, except those that are kept
///     or were cleared later: hosts that still have them learn the answer first.
void RemoveOldEntries(CrashLog& log, TimePoint before);

/// @brief Tells whether an entry has a part; its parts are sorted.
[[nodiscard]] bool HasPart(const CrashEntry& entry, PartId part) noexcept;

/// @brief Digest of the entries; hosts with the same entries and parts have the same digest.
[[nodiscard]] std::uint64_t Digest(const CrashLog& log) noexcept;

}  // namespace snipeturn::quarantine
