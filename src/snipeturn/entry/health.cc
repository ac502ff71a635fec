#include "snipeturn/entry/health.h"

#include <cmath>
#include <string>

#include "snipeturn/entry/cells.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// Half-life of an outcome's weight. It lets hosts try an upstream again a few seconds after
/// failures made all of them avoid it.
constexpr std::chrono::duration<double> kHalfLife{1.0};
/// Responses added to the count of each upstream, so that a single failure yields a low rate.
constexpr double kPriorResponses = 2.0;
/// Weight of a send without any response, relative to an error response. Errors are often caused by
/// the request itself and would occur at any upstream: with equal weights and a quarter of all
/// responses being errors, it took about fifty lost sends to detect an upstream that is down.
constexpr double kNoResponseWeight = 6.0;
/// Smaller decayed counts are treated as no recent failure.
constexpr double kMinFailures = 0.05;
/// Tables of a host that was silent for this long are ignored.
constexpr std::chrono::milliseconds kPeerTimeout{3200};

/// Outcomes at an upstream, summed over the hosts that saw failures there.
struct OutcomeSum {
  double failures{0};
  double responses{0};
  int hosts{0};
};

void AddOutcomes(OutcomeSum& sum, const OutcomeCount& decayed) noexcept {
  sum.failures += decayed.failures;
  sum.responses += decayed.responses;
  ++sum.hosts;
}

using OutcomeSums = std::map<UpstreamId, OutcomeSum>;

/// Estimates by service how many recent responses a host has had from one upstream: the mean of
/// this host's counts and the reported ones. Hosts that saw no failure report nothing, so their
/// responses have to be estimated; without them, a few errors caused by the requests themselves
/// look like an upstream that fails most requests.
std::map<std::string, double> ExpectedResponses(const State& state,
                                                const OutcomeSums& reported,
                                                TimePoint now) {
  struct Sum {
    double responses{0};
    int counts{0};
  };
  std::map<std::string, Sum> sums;
  for (const auto& [id, upstream] : state.upstreams) {
    Sum& sum = sums[upstream.entry.service];
    sum.responses += DecayedOutcomes(upstream.outcomes, now).responses;
    ++sum.counts;
    const auto found = reported.find(id);
    if (found != reported.end()) {
      sum.responses += found->second.responses;
      sum.counts += found->second.hosts;
    }
  }
  std::map<std::string, double> expected;
  for (const auto& [service, sum] : sums) {
    expected[service] = sum.responses / sum.counts;
  }
  return expected;
}

}  // namespace
}  // namespace internal

OutcomeCount DecayedOutcomes(const OutcomeCount& count, TimePoint now) noexcept {
  const std::chrono::duration<double> age = now - count.at;
  const double weight = std::exp2(-age / internal::kHalfLife);
  return {count.failures * weight, count.responses * weight, now};
}

void CountOutcome(OutcomeCount& count, SendOutcome outcome, TimePoint now) noexcept {
  count = DecayedOutcomes(count, now);
  switch (outcome) {
    case SendOutcome::kAnswered:
      count.responses += 1;
      return;
    case SendOutcome::kError:
      count.failures += 1;
      return;
    case SendOutcome::kNoAnswer:
      count.failures += internal::kNoResponseWeight;
      return;
  }
}

OutcomeTable FailingUpstreams(const State& state, TimePoint now) {
  OutcomeTable failing;
  for (const auto& [id, upstream] : state.upstreams) {
    const OutcomeCount decayed = DecayedOutcomes(upstream.outcomes, now);
    if (decayed.failures >= internal::kMinFailures) {
      failing[id] = decayed;
    }
  }
  return failing;
}

std::map<UpstreamId, double> FailureRates(const State& state, TimePoint now) {
  internal::OutcomeSums sums;
  for (const auto& [id, own] : FailingUpstreams(state, now)) {
    internal::AddOutcomes(sums[id], own);
  }
  int hosts = 1;
  for (const auto& [host, peer] : state.peers) {
    if (now - peer.at > internal::kPeerTimeout || !CountsDirectly(state, peer, now)) {
      continue;
    }
    ++hosts;
    for (const auto& [id, reported] : peer.outcomes) {
      internal::AddOutcomes(sums[id], DecayedOutcomes(reported, now));
    }
  }
  for (const auto& [name, cell] : state.cells) {
    if (!IsFresh(cell, now)) {
      continue;
    }
    hosts += cell.hosts;
    for (const auto& [id, reported] : cell.outcomes) {
      const OutcomeCount decayed = DecayedOutcomes(reported.count, now);
      internal::OutcomeSum& sum = sums[id];
      sum.failures += decayed.failures;
      sum.responses += decayed.responses;
      sum.hosts += reported.hosts;
    }
  }
  std::map<UpstreamId, double> rates;
  if (sums.empty()) {
    return rates;
  }
  const auto expected = internal::ExpectedResponses(state, sums, now);
  for (const auto& [id, sum] : sums) {
    const auto upstream = state.upstreams.find(id);
    const auto found = upstream == state.upstreams.end()
                           ? expected.end()
                           : expected.find(upstream->second.entry.service);
    const double responses =
        sum.responses + (found == expected.end() ? 0.0 : found->second * (hosts - sum.hosts));
    rates[id] = sum.failures / (sum.failures + responses + internal::kPriorResponses);
  }
  return rates;
}

}  // namespace snipeturn::entry
