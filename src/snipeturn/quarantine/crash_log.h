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
  /// Parts of the prompt; the last one is the request's own.
  std::vector<PartId> parts;
  /// Answers that all hosts began per second when the attempt was lost: the highest estimate of a
  /// host. The host of the attempt may begin none itself.
  double answers_per_second{0};
};

/// Last answer that began for a prompt with a part.
struct PartAnswer {
  TimePoint at{};
  /// The part of it that other hosts know.
  TimePoint shared_at{};
};

/// Lost attempts of all hosts as far as this host knows, and the answers that clear their parts.
struct CrashLog {
  std::map<EntryId, CrashEntry> entries;
  /// Holds parts of `entries` only.
  std::map<PartId, PartAnswer> answers;
  /// Entries on which a quarantine rests; they neither age nor make room.
  std::set<EntryId> kept;
};

/// Upper bound of the log: about 40 KB with prompts of the largest number of parts.
inline constexpr std::size_t kMaxEntries = 64;

/// @brief Adds a lost attempt. When the log is full, the oldest entry that isn't kept makes room
/// for
///     a newer one. Of an attempt that the log has already, it takes a higher rate of answers.
/// @return False if the log hasn't changed: it knew the attempt, or has no room for it.
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

/// @brief Digest of the entries; hosts with the same entries have the same digest.
[[nodiscard]] std::uint64_t Digest(const CrashLog& log) noexcept;

}  // namespace snipeturn::quarantine
