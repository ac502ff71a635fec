#pragma once

#include "snipeturn/base/log_event.h"
#include "snipeturn/base/metric.h"

namespace snipeturn::entry {

// Log events of the entry path, numbered 8xx. Numbers are never reused.
namespace log_events {

inline constexpr LogEvent kStarted{801, "entry_started", LogLevel::kInfo};
inline constexpr LogEvent kStopping{802, "entry_stopping", LogLevel::kInfo};
inline constexpr LogEvent kStopped{803, "entry_stopped", LogLevel::kInfo};
inline constexpr LogEvent kReloaded{804, "entry_reloaded", LogLevel::kInfo};
inline constexpr LogEvent kReloadFailed{805, "entry_reload_failed", LogLevel::kError};
inline constexpr LogEvent kLinesDropped{806, "entry_lines_dropped", LogLevel::kWarning};
inline constexpr LogEvent kExited{807, "entry_exited", LogLevel::kInfo};
inline constexpr LogEvent kLoopDelayed{808, "entry_loop_delayed", LogLevel::kWarning};

inline constexpr LogEvent kDesiredState{811, "desired_state", LogLevel::kInfo};
inline constexpr LogEvent kEvacuation{812, "evacuation", LogLevel::kInfo};
inline constexpr LogEvent kUpstreamListed{813, "upstream_listed", LogLevel::kInfo};
inline constexpr LogEvent kUpstreamLeaving{814, "upstream_leaving", LogLevel::kInfo};
inline constexpr LogEvent kUpstreamLapsed{815, "upstream_lapsed", LogLevel::kWarning};
inline constexpr LogEvent kUpstreamGone{816, "upstream_gone", LogLevel::kInfo};
inline constexpr LogEvent kUpstreamAvoided{817, "upstream_avoided", LogLevel::kWarning};
inline constexpr LogEvent kRecordUnreadable{818, "record_unreadable", LogLevel::kWarning};
inline constexpr LogEvent kHosts{819, "hosts", LogLevel::kInfo};
inline constexpr LogEvent kCell{820, "cell", LogLevel::kInfo};

inline constexpr LogEvent kStoreLost{821, "store_lost", LogLevel::kWarning};
inline constexpr LogEvent kStoreRegained{822, "store_regained", LogLevel::kInfo};
inline constexpr LogEvent kStoreReturned{823, "store_returned", LogLevel::kWarning};
inline constexpr LogEvent kCopyHoldEnded{824, "store_copy_hold_ended", LogLevel::kInfo};
inline constexpr LogEvent kOlderRecordIgnored{825, "older_record_ignored", LogLevel::kWarning};
inline constexpr LogEvent kBehindPeers{826, "configuration_behind_peers", LogLevel::kWarning};
inline constexpr LogEvent kConfirmationIgnored{827, "confirmation_ignored", LogLevel::kWarning};
inline constexpr LogEvent kStoreEraRead{828, "store_era_read", LogLevel::kWarning};
inline constexpr LogEvent kTopicEraChanged{829, "topic_era_changed", LogLevel::kWarning};
inline constexpr LogEvent kSnapshotRead{830, "snapshot_read", LogLevel::kInfo};
inline constexpr LogEvent kConfigurationRecord{839, "configuration_record", LogLevel::kInfo};
inline constexpr LogEvent kStoreEraUnreadable{840, "store_era_unreadable", LogLevel::kWarning};

inline constexpr LogEvent kQueued{831, "queued", LogLevel::kInfo};
inline constexpr LogEvent kSent{832, "sent", LogLevel::kInfo};
inline constexpr LogEvent kAttemptFailed{833, "entry_attempt_failed", LogLevel::kWarning};
inline constexpr LogEvent kRefused{834, "refused", LogLevel::kInfo};
inline constexpr LogEvent kAnswered{835, "answered", LogLevel::kInfo};
inline constexpr LogEvent kStreamBroken{836, "stream_broken", LogLevel::kWarning};
inline constexpr LogEvent kCallerLeft{837, "caller_left", LogLevel::kInfo};
inline constexpr LogEvent kStreamStarted{838, "stream_started", LogLevel::kInfo};

inline constexpr LogEvent kStreamHeld{845, "stream_held", LogLevel::kInfo};
inline constexpr LogEvent kMoveStarted{841, "move_started", LogLevel::kInfo};
inline constexpr LogEvent kMoveCopied{842, "move_copied", LogLevel::kInfo};
inline constexpr LogEvent kMoveResumed{843, "move_resumed", LogLevel::kInfo};
inline constexpr LogEvent kMoveFailed{844, "move_failed", LogLevel::kWarning};
inline constexpr LogEvent kRunStopped{846, "run_stopped", LogLevel::kInfo};

inline constexpr LogEvent kAttemptLostUnstarted{851, "attempt_lost_unstarted", LogLevel::kWarning};
inline constexpr LogEvent kPartsQuarantined{852, "parts_quarantined", LogLevel::kWarning};
inline constexpr LogEvent kPartsReleased{853, "parts_released", LogLevel::kInfo};
inline constexpr LogEvent kQuarantineTrial{854, "quarantine_trial", LogLevel::kInfo};

inline constexpr LogEvent kPartsCollected{855, "crash_parts_collected", LogLevel::kInfo};
inline constexpr LogEvent kCrashEvidenceDropped{856, "crash_evidence_dropped", LogLevel::kWarning};

inline constexpr LogEvent kCallerClosed{809, "caller_closed", LogLevel::kWarning};
inline constexpr LogEvent kLimitStated{861, "upstream_limit_stated", LogLevel::kWarning};
inline constexpr LogEvent kLimitEnded{862, "upstream_limit_ended", LogLevel::kInfo};
inline constexpr LogEvent kPauseStated{864, "upstream_pause_stated", LogLevel::kWarning};
inline constexpr LogEvent kPauseEnded{865, "upstream_pause_ended", LogLevel::kInfo};
inline constexpr LogEvent kSignalUnreadable{863, "upstream_signal_unreadable", LogLevel::kWarning};

inline constexpr LogEvent kRolloutOrdered{871, "rollout_ordered", LogLevel::kInfo};
inline constexpr LogEvent kRolloutEnded{872, "rollout_ended", LogLevel::kInfo};
inline constexpr LogEvent kRolloutPhase{873, "rollout_phase", LogLevel::kWarning};
inline constexpr LogEvent kRolloutStatusWritten{874, "rollout_status_written", LogLevel::kInfo};
inline constexpr LogEvent kRolloutStatusNotWritten{875, "rollout_status_not_written",
                                                   LogLevel::kWarning};
inline constexpr LogEvent kVersionHeld{876, "version_held", LogLevel::kInfo};
inline constexpr LogEvent kCapacityLearned{881, "capacity_learned", LogLevel::kInfo};
inline constexpr LogEvent kUpstreamSpeed{882, "upstream_speed", LogLevel::kInfo};

}  // namespace log_events

inline constexpr CounterName kEntryMoves{"snipeturn_moves_total", "result"};
inline constexpr CounterName kQuarantines{"snipeturn_quarantines_total", "change"};
inline constexpr CounterName kCrashEvidenceDrops{"snipeturn_crash_evidence_dropped_total", "kind"};
inline constexpr CounterName kUpstreamSignals{"snipeturn_upstream_signals_total", "signal"};
inline constexpr CounterName kKeptBack{"snipeturn_kept_back_total", "signal"};
inline constexpr CounterName kStoreReturns{"snipeturn_store_returns_total", "source"};
inline constexpr CounterName kCopyIgnored{"snipeturn_store_copy_ignored_total", "kind"};
inline constexpr CounterName kRolloutPhases{"snipeturn_rollout_phases_total", "phase"};
inline constexpr CounterName kRolloutSends{"snipeturn_rollout_sends_total", "version"};
inline constexpr CounterName kRolloutWrites{"snipeturn_rollout_status_writes_total", "result"};
inline constexpr CounterName kClosedCallers{"snipeturn_closed_callers_total", "reason"};
inline constexpr CounterName kSuppressedLines{"snipeturn_suppressed_lines_total", "reason"};
inline constexpr CounterName kEntryStreams{"snipeturn_streams_broken_total", "reason"};

}  // namespace snipeturn::entry
