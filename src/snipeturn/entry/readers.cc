#include "snipeturn/entry/readers.h"

#include "snipeturn/base/hash.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// A host that was silent for so long is no reader; its load table comes every 0.5 s or sooner.
constexpr std::chrono::milliseconds kSilence{1200};
constexpr std::chrono::milliseconds kReaderInterval{120};
/// Share of the time to drain in which every host reads the list by itself; the rest is for the
/// call and for the record's own way.
constexpr double kOwnReadShare = 0.5;

}  // namespace
}  // namespace internal

bool IsReader(const State& state, std::string_view subject, int readers, TimePoint now) {
  const std::uint64_t own = RendezvousWeight(subject, state.options.host);
  int before = 0;
  for (const auto& [host, peer] : state.peers) {
    if (now - peer.at < internal::kSilence && RendezvousWeight(subject, host) > own) {
      ++before;
    }
  }
  return before < readers;
}

std::chrono::milliseconds ListReadInterval(const State& state, TimePoint now) {
  if (IsReader(state, "upstream list", kListReaders, now)) {
    return internal::kReaderInterval;
  }
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      static_cast<double>(state.options.bounds.drain.count()) * internal::kOwnReadShare));
}

}  // namespace snipeturn::entry
