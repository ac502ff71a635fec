#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "snipeturn/base/host.h"
#include "snipeturn/base/time.h"

namespace snipeturn {

/// What a host knows of one upstream's warmth, with the slots that it holds there.
struct UpstreamGossip {
  UpstreamName upstream;
  Incarnation incarnation{0};
  /// Raised by each suspicion; the higher one wins.
  std::uint64_t cold_generation{0};
  int level{0};
  /// How long ago a caller's work last showed the upstream to be warm.
  std::chrono::milliseconds warm_evidence_age{0};
  /// Slots in use by work that started more than 5 s ago.
  int long_running_slots{0};
  /// Slots in use, when one of them is not below the sender's limit; else empty.
  std::vector<int> used_slots_over_limit;
};

struct Heartbeat {
  std::uint64_t sequence{0};
  /// Newest sequence that the sender had from the addressee. It dates the heartbeat by the
  /// addressee's clock: a delayed heartbeat must not count as a recent confirmation.
  std::uint64_t echo{0};
  std::uint64_t epoch{0};
  /// How long ago the sender's last successful read of the members stream began.
  std::chrono::milliseconds log_read_age{0};
  LogOffset settings_offset{0};
  bool draining{false};
  std::vector<UpstreamGossip> upstreams;
};

/// An upstream turned cold; sent at once.
struct UpstreamSuspected {
  UpstreamName upstream;
  Incarnation incarnation{0};
  std::uint64_t cold_generation{0};
};

/// A new owner asks hosts that may use slots to release them.
struct SlotReleaseRequest {
  /// The epoch in which the sender became the owner.
  std::uint64_t epoch{0};
  UpstreamName upstream;
  std::vector<int> slots;
};

/// The sender has adopted the epoch, uses none of these slots and waits for nobody who may.
struct SlotsReleased {
  /// The epoch of the SlotReleaseRequest that this answers.
  std::uint64_t epoch{0};
  UpstreamName upstream;
  std::vector<int> slots;
};

/// Asks an owner for the loan of one slot for one piece of work.
struct LoanRequest {
  std::uint64_t loan{0};
  UpstreamName upstream;
  std::uint8_t work_class{0};
};

/// Answer to Borrow; `slot` is -1 when none is lent.
struct LoanReply {
  std::uint64_t loan{0};
  UpstreamName upstream;
  int slot{-1};
  Incarnation upstream_incarnation{0};
};

/// The lender asks whether a loan is still in use.
struct LoanCheck {
  std::uint64_t loan{0};
  UpstreamName upstream;
};

/// The loan is finished or unknown to the borrower.
struct LoanReturned {
  std::uint64_t loan{0};
  UpstreamName upstream;
};

struct SettingsRequest {
  LogOffset applied_offset{0};
};

/// Settings as a snapshot, with the offset that it covers.
struct SettingsCopy {
  Json::Value snapshot;
};

struct ClaimQuery {
  std::uint64_t query{0};
  std::string key_digest;
};

enum class ClaimKnowledge : std::uint8_t { kNone, kPending, kDispatched, kFinished };

struct ClaimAnswer {
  std::uint64_t query{0};
  std::string key_digest;
  ClaimKnowledge knowledge{ClaimKnowledge::kPending};
};

/// A one-way message between daemons; it may be lost, repeated, delayed or reordered.
using PeerMessage = std::variant<Heartbeat,
                                 UpstreamSuspected,
                                 SlotReleaseRequest,
                                 SlotsReleased,
                                 LoanRequest,
                                 LoanReply,
                                 LoanCheck,
                                 LoanReturned,
                                 SettingsRequest,
                                 SettingsCopy,
                                 ClaimQuery,
                                 ClaimAnswer>;

}  // namespace snipeturn
