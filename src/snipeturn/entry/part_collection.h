#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/event_scope.h"
#include "snipeturn/entry/state.h"

namespace snipeturn::entry::internal {

/// @brief Most entries of the crash log.
[[nodiscard]] std::size_t MaxLogEntries(const Options& options) noexcept;

/// @brief Memory of the remembered answers.
[[nodiscard]] std::size_t AnswerMemoryBytes(const Options& options) noexcept;

/// @brief Logs and counts evidence that was dropped because its memory is bounded.
/// @param kind What was dropped.
void CountDropped(EventScope& scope, std::string_view kind, std::size_t count);

/// @brief Decides whether other hosts are told all parts of a lost prompt at once; otherwise keeps
///     them at this host and removes them from the entry.
/// @param inline_prompts Prompts of the same crash whose parts are told at once.
void HideParts(EventScope& scope,
               quarantine::EntryId id,
               quarantine::CrashEntry& entry,
               std::size_t inline_prompts);

/// @brief Adds the parts of a lost prompt that the log has already to its entry, as these may be
///     what the crashes have in common.
void DiscloseKnownParts(EventScope& scope, quarantine::EntryId id);

/// @brief Applies the answers that this host remembers to the parts of an entry that has grown.
/// @return True if they cleared a part.
bool ApplyRememberedAnswers(EventScope& scope, quarantine::EntryId id);

/// @brief Handles another host's request for summaries.
void HandleSketchRequest(EventScope& scope, const std::string& host, const SketchRequest& request);

/// @brief Keeps a summary of another host for the next comparison.
void HandleSketch(EventScope& scope, const std::string& host, const quarantine::Sketch& sketch);

/// @brief Tells all hosts the parts of this host's lost prompts that crashes may have in common; if
///     there are many, when the answers to prompts with them are known.
void HandleCommonBuckets(EventScope& scope, const CommonBuckets& common);

/// @brief Takes over another host's answers.
void HandleAnsweredParts(EventScope& scope, const AnsweredParts& answered);

/// @brief Requests and compares the summaries of the hosts, if this host is the one to do so.
/// @return When there is more to do.
[[nodiscard]] std::optional<TimePoint> CollectParts(EventScope& scope);

}  // namespace snipeturn::entry::internal
