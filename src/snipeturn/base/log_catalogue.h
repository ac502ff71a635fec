#pragma once

#include "snipeturn/base/log_event.h"

namespace snipeturn::log_events {

// Event numbers are never reused. The hundreds digit names the module: 1xx runtime, 2xx settings,
// 3xx membership, 4xx limits, 5xx claims, 6xx requests, 7xx transport.
inline constexpr LogEvent kStarted{101, "started", LogLevel::kInfo};
inline constexpr LogEvent kDraining{102, "draining", LogLevel::kInfo};
inline constexpr LogEvent kStopped{103, "stopped", LogLevel::kInfo};
inline constexpr LogEvent kListening{104, "listening", LogLevel::kInfo};
inline constexpr LogEvent kCallerTooSlow{105, "caller_too_slow", LogLevel::kWarning};
inline constexpr LogEvent kHeldUp{106, "held_up", LogLevel::kWarning};
inline constexpr LogEvent kPartStalled{107, "part_stalled", LogLevel::kWarning};
inline constexpr LogEvent kPartResumed{108, "part_resumed", LogLevel::kInfo};

inline constexpr LogEvent kSettingsReady{201, "settings_ready", LogLevel::kInfo};
inline constexpr LogEvent kSettingsGap{202, "settings_gap", LogLevel::kWarning};
inline constexpr LogEvent kSettingsAccepted{203, "settings_accepted", LogLevel::kInfo};
inline constexpr LogEvent kSettingsRejected{204, "settings_rejected", LogLevel::kWarning};
inline constexpr LogEvent kSettingsCopyTaken{205, "settings_copy_taken", LogLevel::kInfo};
inline constexpr LogEvent kSettingsSnapshotAppended{206, "settings_snapshot_appended",
                                                    LogLevel::kInfo};
inline constexpr LogEvent kSettingsSnapshotBad{207, "settings_snapshot_bad", LogLevel::kError};

inline constexpr LogEvent kEpochAdopted{301, "epoch_adopted", LogLevel::kInfo};
inline constexpr LogEvent kEpochProposed{302, "epoch_proposed", LogLevel::kInfo};

inline constexpr LogEvent kUpstreamSuspect{401, "upstream_suspect", LogLevel::kWarning};

inline constexpr LogEvent kAttemptFailed{601, "attempt_failed", LogLevel::kWarning};
inline constexpr LogEvent kStreamFailed{602, "stream_failed", LogLevel::kWarning};
inline constexpr LogEvent kCallOutcomeUnknown{603, "call_outcome_unknown", LogLevel::kError};
inline constexpr LogEvent kGenerationCancelled{604, "generation_cancelled", LogLevel::kInfo};
inline constexpr LogEvent kCursorRefused{605, "cursor_refused", LogLevel::kWarning};
inline constexpr LogEvent kGenerationResumed{606, "generation_resumed_here", LogLevel::kInfo};
inline constexpr LogEvent kGenerationTakenOver{607, "generation_taken_over", LogLevel::kInfo};

inline constexpr LogEvent kLogUnreachable{701, "log_unreachable", LogLevel::kWarning};
inline constexpr LogEvent kLogReachable{702, "log_reachable", LogLevel::kInfo};
inline constexpr LogEvent kPeerMessageRefused{703, "peer_message_refused", LogLevel::kWarning};
inline constexpr LogEvent kPeerMessageLost{704, "peer_message_lost", LogLevel::kWarning};

}  // namespace snipeturn::log_events
