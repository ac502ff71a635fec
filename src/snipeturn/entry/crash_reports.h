#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "snipeturn/entry/event.h"
#include "snipeturn/entry/event_scope.h"
#include "snipeturn/entry/state.h"

namespace snipeturn::entry {

/// @brief Lost attempts on which the quarantines rest, for the store. Empty unless this host is the
///     one that keeps them for all hosts.
[[nodiscard]] CrashReport MakeSavedCrashReport(const State& state, TimePoint now);

namespace internal {

/// @brief Records an attempt that was lost before its first token because the upstream
/// disconnected.
void RecordLostAttempt(EventScope& scope,
                       const Request& request,
                       const Attempt& attempt,
                       const AttemptEnded& event);

/// @brief Records that an upstream began to answer a request, which clears all parts of its prompt.
void RecordBegunAnswer(EventScope& scope, const Request& request);

/// @brief Decides whether a request is held back because its prompt crashes upstreams.
///
/// A single request is let through from time to time, by one host, to find out whether the parts
/// are still harmful; the caller of this function must send it or place it in the queue.
/// @return Time after which the caller may try again, or nothing if the request is not held back.
[[nodiscard]] std::optional<std::chrono::milliseconds> HoldBack(EventScope& scope,
                                                                const RequestHead& head,
                                                                RequestKey key);

/// @brief Tells whether a request that is not started may be sent to another upstream.
[[nodiscard]] bool MayRetryPrompt(const State& state, const Request& request);

/// @brief Handles the crash report of another host, or the one that was kept in the store.
void HandleCrashReport(EventScope& scope, const CrashReportReceived& event);

/// @brief Confirms and reports lost attempts, and applies the quarantines that follow from them.
void ReviewCrashes(EventScope& scope);

/// @brief Sends a report in datagrams of a bounded size.
/// @param host The receiver; empty for all hosts.
void SendReport(EventScope& scope, const std::string& host, CrashReport report);

/// @brief Tells all hosts entries of the crash log, and repeats this once, as datagrams get lost.
void ReportEntries(EventScope& scope, const std::vector<quarantine::EntryId>& ids);

/// @brief Compares the crash log with that of another host.
void SyncCrashLog(EventScope& scope);

}  // namespace internal
}  // namespace snipeturn::entry
