#pragma once

#include <vector>

#include "snipeturn/base/time.h"
#include "snipeturn/quarantine/crash_log.h"

namespace snipeturn::quarantine {

/// Prompt parts that crash the upstreams which begin to answer a prompt with all of them.
struct Suspect {
  /// Sorted. More than one part if the parts came together in all lost attempts.
  std::vector<PartId> parts;
  /// Crashes at different times that count against the parts.
  int crashes{0};
  TimePoint last_crash_at{};
  /// From then on, single requests may show whether the parts are still harmful.
  TimePoint trial_at{};
  /// Entries on which the suspicion rests.
  std::vector<EntryId> entries;
};

/// @brief Finds the prompt parts that explain why upstreams crash.
///
/// Handles requests that crash every upstream which begins to answer them, among sound requests
/// that share their caller and their other parts, while upstreams also crash for other reasons.
/// Such a part never gets an answer, so one answer clears a part. Parts that were always lost are
/// suspected if that many losses in a row are improbable for a sound part at the rate at which
/// attempts without the part are lost. If several parts explain the same crashes, only prompts with
/// all of them are suspected: a prompt with some of them then shows which one it is.
/// @param log The lost attempts.
/// @param now Current time. Entries younger than `kHoldTime` are left out, so that hosts which
///     know answers can report them first.
/// @return The suspects; the same on all hosts that have the same log.
[[nodiscard]] std::vector<Suspect> FindSuspects(const CrashLog& log, TimePoint now);

/// @brief Tells whether a prompt has all parts of a suspect.
[[nodiscard]] bool Matches(const Suspect& suspect, const std::vector<PartId>& parts);

/// Age from which an entry counts: the time for hosts to confirm a crash and to exchange answers.
inline constexpr std::chrono::milliseconds kHoldTime{350};
/// Time from which parts count that a host learned after their entry: the hosts that know answers
/// to prompts with them report these first.
inline constexpr std::chrono::milliseconds kDisclosureHoldTime{250};
/// Entries are removed at this age unless a suspicion rests on them.
inline constexpr std::chrono::minutes kEntryTtl{5};

}  // namespace snipeturn::quarantine
