#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace snipeturn {

/// A counter with one label, for example snipeturn_refusals_total{reason="..."}.
struct CounterName {
  std::string_view name;
  std::string_view label_name;
};

inline constexpr CounterName kRefusals{"snipeturn_refusals_total", "reason"};
inline constexpr CounterName kRetries{"snipeturn_retries_total", "reason"};
inline constexpr CounterName kDroppedReplies{"snipeturn_dropped_replies_total", "reason"};
inline constexpr CounterName kFinishedRequests{"snipeturn_finished_total", "class"};
inline constexpr CounterName kPeerMessages{"snipeturn_peer_messages_total", "method"};
inline constexpr CounterName kPeerMessagesRefused{"snipeturn_peer_refused_total", "reason"};
inline constexpr CounterName kPeerMessagesLost{"snipeturn_peer_lost_total", "reason"};

/// Effect: raise a counter.
struct AddToCounter {
  CounterName counter;
  std::string label;
  std::uint64_t amount{1};
};

/// Distributions of durations, kept with Boost.Accumulators.
enum class Distribution : std::uint8_t { kFirstToken, kBetweenTokens, kStall, kQueue, kClaim };

/// Effect: add a sample to a distribution.
struct RecordSample {
  Distribution distribution{Distribution::kFirstToken};
  std::chrono::microseconds value{0};
};

}  // namespace snipeturn
