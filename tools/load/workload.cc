#include "tools/load/workload.h"

#include <fmt/format.h>

#include <algorithm>

#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>

namespace snipeturn::load {
namespace internal {

// max_tokens of long and short calls.
constexpr std::uint64_t kLongMaxTokens = 600;
constexpr std::uint64_t kShortMaxTokens = 24;
// Fractions of critical, long and short calls.
constexpr double kClassShares[] = {0.1, 0.35, 0.55};
constexpr std::size_t kLargeOrganisations = 2;
// Calls of a large organisation per call of a small one.
constexpr double kLargeWeight = 6.0;

std::vector<double> OrganisationWeights(std::size_t count) {
  std::vector<double> weights(count, 1.0);
  for (std::size_t i = 0; i < std::min(count, kLargeOrganisations); ++i) {
    weights[i] = kLargeWeight;
  }
  return weights;
}

std::string Prompt(const WorkloadOptions& options, const PlannedCall& call, std::size_t number) {
  return fmt::format("Organisation {}: {} {:-<160} seed {} call {}", call.organisation,
                     call.work_class == WorkClass::kLong ? "route sheet" : "stock label", "",
                     options.seed, number);
}

}  // namespace internal

std::vector<PlannedCall> DrawWorkload(const WorkloadOptions& options) {
  boost::random::mt19937_64 generator{options.seed};
  boost::random::exponential_distribution<double> interarrival_times{options.rate};
  boost::random::discrete_distribution<> classes{internal::kClassShares};
  boost::random::discrete_distribution<std::size_t> organisations{
      internal::OrganisationWeights(options.organisations)};
  constexpr WorkClass kClasses[] = {WorkClass::kCritical, WorkClass::kLong, WorkClass::kShort};
  std::vector<PlannedCall> calls;
  double seconds = interarrival_times(generator);
  while (seconds < static_cast<double>(options.duration.count())) {
    PlannedCall call;
    call.start = std::chrono::microseconds{static_cast<std::int64_t>(seconds * 1e6)};
    call.work_class = kClasses[classes(generator)];
    call.organisation = organisations(generator);
    call.prompt = internal::Prompt(options, call, calls.size());
    call.max_tokens =
        call.work_class == WorkClass::kLong ? internal::kLongMaxTokens : internal::kShortMaxTokens;
    call.key_high = generator();
    call.key_low = generator();
    calls.push_back(std::move(call));
    seconds += interarrival_times(generator);
  }
  return calls;
}

std::chrono::milliseconds DeadlineOf(WorkClass work_class) noexcept {
  return std::chrono::milliseconds{work_class == WorkClass::kLong ? 10000 : 5000};
}

std::string IssueKey(const PlannedCall& call) {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  const auto time = static_cast<std::uint64_t>(now.count());
  return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", time >> 16U, time & 0xffffU,
                     call.key_high & 0xfffU, 0x8000U | ((call.key_low >> 48U) & 0x3fffU),
                     call.key_low & 0xffffffffffffU);
}

}  // namespace snipeturn::load
