#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "snipeturn/base/fwd.h"
#include "snipeturn/base/host.h"

namespace snipeturn {

/// Durations, counts and shares that tests may override; docs/design.md states the defaults.
struct Tuning {
  std::chrono::milliseconds heartbeat_interval{500};
  /// Time after which a host that left an epoch has certainly stopped starting work.
  std::chrono::milliseconds fence{6000};
  /// Time after which an epoch counts as fenced without the confirmation of a majority of its
  /// members, as when a majority was replaced at once.
  std::chrono::milliseconds long_fence{30000};
  /// How long the host list and the probe must agree before an epoch is proposed.
  std::chrono::milliseconds epoch_agreement{2000};
  /// An attempt without progress for this time is given up.
  std::chrono::milliseconds no_progress{2000};
  /// How long a generation is kept for a disconnected caller that may resume it.
  std::chrono::milliseconds caller_grace{5000};
  /// Longest exchange with an engine; a generation that takes longer is resumed by another one.
  std::chrono::milliseconds segment{30000};
  /// Limit on resumes without progress.
  int max_stalled_resumes{3};
  /// How long claims are collected before they are appended to the log as one batch.
  std::chrono::milliseconds claim_batch{20};
  /// Streams of the log among which claims are sharded by key.
  int claim_streams{4};
  /// Clock skew and delay allowed around the age of an idempotency key.
  std::chrono::milliseconds key_margin{60000};
  /// How long an observation that an upstream is warm stays valid.
  std::chrono::milliseconds warm_evidence{10000};
  /// Work on a borrowed slot must start within this time after the loan request was sent.
  std::chrono::milliseconds loan_start{2000};
  /// A cursor that is older than this has expired and is rejected.
  std::chrono::milliseconds cursor_lifetime{std::chrono::minutes{10}};
  /// Limit on the hosts that own slots of one upstream.
  int owner_group{16};
  int max_waiting_requests{1024};
  /// Limit on retries, relative to the requests in the same `retry_window`.
  double retry_budget{0.2};
  std::chrono::milliseconds retry_window{10000};
  /// Share of the usable slots of an upstream that only critical work may use.
  double critical_reserve{0.1};
  /// Share of the usable slots of an upstream that short work may not use.
  double long_reserve{0.1};
  std::chrono::milliseconds shutdown_grace{2000};
};

/// Certificate and key files for TLS towards callers.
struct TlsFiles {
  std::string certificate;
  std::string key;
};

/// Options of a daemon, from its configuration file.
struct Options {
  HostName host;
  ZoneName zone;
  /// Where this host listens for callers, operators and peers.
  Endpoint listen;
  /// The platform's log.
  Endpoint log;
  /// Key of the HMAC that authenticates cursors; the same on all hosts.
  std::string cursor_key;
  /// Cursor key before a key rotation; empty when there is none.
  std::string previous_cursor_key;
  /// SHA-256 digests of the operators' bearer keys.
  std::vector<std::string> operator_keys_sha256;
  /// Secret that the peers share; the sender of a peer message signs it with this key.
  std::string peer_key;
  std::optional<TlsFiles> tls;
  Tuning tuning;
};

}  // namespace snipeturn
