#include "snipeturn/entry/readers.h"

#include <algorithm>

#include "snipeturn/base/hash.h"

namespace snipeturn::entry {
namespace internal {
namespace {

constexpr std::string_view kListSubject = "upstream list";
constexpr std::string_view kConfigurationSubject = "configuration";
/// A host that sent no table for this long is not ranked as a reader; a reader sends one at least
/// every 0.5 s.
constexpr std::chrono::milliseconds kReaderTimeout{900};
constexpr std::chrono::milliseconds kFirstInterval{120};
constexpr std::chrono::milliseconds kSecondInterval{400};
/// Interval of the other hosts while a reader broadcasts its updates, whose numbers reveal a lost
/// one. It stays below the 20 s after which the store drops the records from which such a read
/// continues.
constexpr std::chrono::milliseconds kRelaxedInterval{18000};
/// Maximum age of a reader's last read for other hosts to rely on it. A reader of the configuration
/// waits at the store for up to a second. When it is cut off from the store it reports no further
/// reads, and the other hosts have to see a change by themselves within two seconds.
constexpr std::chrono::milliseconds kMaxListAge{1300};
constexpr std::chrono::milliseconds kMaxConfigurationAge{1250};
/// Share of the drain time that a host without a reader uses as its own read interval; the rest is
/// for the call and for the record to reach the store.
constexpr double kOwnReadShare = 0.5;

/// Long-poll times of the first and the second reader of the configuration.
constexpr std::chrono::milliseconds kFirstConfigurationWait{1000};
constexpr std::chrono::milliseconds kSecondConfigurationWait{950};
/// Share of the time after which keys expire within which every host confirms the configuration. A
/// host whose confirmation gets much older reports that it is not ready.
constexpr double kConfirmShare = 0.44;
/// Read interval of the other hosts while a reader confirms the configuration to them.
constexpr std::chrono::milliseconds kRelaxedConfigurationInterval{40000};
/// Read interval of a host without a reader, which has to see a change by itself within about a
/// second.
constexpr std::chrono::milliseconds kOwnConfigurationInterval{900};

/// A peer that hasn't seen that the store came back from a copy reads a log that no longer exists.
bool IsRecentRead(const State& state,
                  const PeerLoad& peer,
                  const std::optional<TimePoint>& confirmed,
                  std::chrono::milliseconds limit,
                  TimePoint now) {
  return now - peer.at < kReaderTimeout && confirmed && now - *confirmed < limit &&
         peer.era >= state.store.era.value_or(0);
}

}  // namespace
}  // namespace internal

int ReaderRank(const State& state, std::string_view subject, TimePoint now) {
  const std::uint64_t own = RendezvousWeight(subject, state.options.host);
  int rank = 0;
  for (const auto& [host, peer] : state.peers) {
    if (now - peer.at < internal::kReaderTimeout && !peer.is_stopping &&
        RendezvousWeight(subject, host) > own) {
      ++rank;
    }
  }
  return rank;
}

bool IsListReader(const State& state, TimePoint now) {
  return ReaderRank(state, internal::kListSubject, now) <= 1;
}

bool IsConfigurationReader(const State& state, TimePoint now) {
  return ReaderRank(state, internal::kConfigurationSubject, now) <= 1;
}

bool IsActiveConfigurationReader(const State& state, const PeerLoad& peer, TimePoint now) {
  return internal::IsRecentRead(state, peer, peer.configuration_confirmed,
                                internal::kMaxConfigurationAge, now);
}

bool IsUpstreamListFresh(const State& state, TimePoint now) {
  if (state.list_confirmed && now - *state.list_confirmed < internal::kMaxListAge) {
    return true;
  }
  return std::any_of(state.peers.begin(), state.peers.end(), [&state, now](const auto& entry) {
    return internal::IsRecentRead(state, entry.second, entry.second.list_confirmed,
                                  internal::kMaxListAge, now);
  });
}

ConfigurationReadPlan PlanConfigurationReads(const State& state, TimePoint now) {
  switch (ReaderRank(state, internal::kConfigurationSubject, now)) {
    case 0:
      return {internal::kFirstConfigurationWait, std::chrono::milliseconds{0}};
    case 1:
      return {internal::kSecondConfigurationWait, std::chrono::milliseconds{0}};
    default:
      break;
  }
  const bool is_reader_known =
      std::any_of(state.peers.begin(), state.peers.end(), [&state, now](const auto& entry) {
        return IsActiveConfigurationReader(state, entry.second, now);
      });
  if (!is_reader_known) {
    return {std::chrono::milliseconds{0}, internal::kOwnConfigurationInterval};
  }
  const auto limit = std::chrono::milliseconds(static_cast<std::int64_t>(
      static_cast<double>(state.options.bounds.revoke.count()) * internal::kConfirmShare));
  const bool is_confirmed = state.store.confirmed && now - *state.store.confirmed < limit;
  return {std::chrono::milliseconds{0},
          is_confirmed ? internal::kRelaxedConfigurationInterval : limit};
}

std::chrono::milliseconds ListReadInterval(const State& state, TimePoint now) {
  if (state.peers.empty()) {
    return internal::kSecondInterval;  // Hosts that start together don't know one another yet.
  }
  switch (ReaderRank(state, internal::kListSubject, now)) {
    case 0:
      return internal::kFirstInterval;
    case 1:
      return internal::kSecondInterval;
    default:
      break;
  }
  if (IsUpstreamListFresh(state, now)) {
    return internal::kRelaxedInterval;
  }
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      static_cast<double>(state.options.bounds.drain.count()) * internal::kOwnReadShare));
}

}  // namespace snipeturn::entry
