#include "snipeturn/entry/sampling.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>

#include "snipeturn/base/hash.h"

namespace snipeturn::entry {
namespace internal {
namespace {

constexpr int kMinSampleSize = 2;

/// Adds the best of the `count` candidates that rank first for the key.
void ChooseBestOf(std::vector<const Candidate*> candidates,
                  const std::string& key,
                  std::size_t count,
                  const Candidate*& best) {
  if (candidates.size() > count) {
    std::vector<std::pair<std::uint64_t, const Candidate*>> ranked;
    ranked.reserve(candidates.size());
    for (const Candidate* candidate : candidates) {
      ranked.emplace_back(RendezvousWeight(key, candidate->id), candidate);
    }
    std::nth_element(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                     ranked.end(),
                     [](const auto& left, const auto& right) { return left.first > right.first; });
    candidates.clear();
    for (std::size_t index = 0; index < count; ++index) {
      candidates.push_back(ranked[index].second);
    }
  }
  for (const Candidate* candidate : candidates) {
    if (best == nullptr || candidate->score < best->score) {
      best = candidate;
    }
  }
}

double TotalRoom(const std::vector<Candidate>& candidates) {
  return std::accumulate(
      candidates.begin(), candidates.end(), 0.0, [](double sum, const Candidate& candidate) {
        return candidate.candidate_class == CandidateClass::kLastResort ? sum
                                                                        : sum + candidate.room;
      });
}

bool IsScarce(double room, double others_requests) noexcept {
  return room > 0 && room < others_requests + 1;
}

/// Chooses by weighted rendezvous hashing, each candidate with the probability of its part of the
/// room.
const Candidate* ChooseByRoom(const std::vector<Candidate>& candidates, const std::string& key) {
  const Candidate* best = nullptr;
  double best_weight = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.candidate_class == CandidateClass::kLastResort) {
      continue;
    }
    constexpr double kMinUnit = 1e-12;
    const double unit = std::clamp(UnitRendezvousWeight(key, candidate.id), kMinUnit, 1 - kMinUnit);
    const double weight = -candidate.room / std::log(unit);
    if (best == nullptr || weight > best_weight) {
      best = &candidate;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace
}  // namespace internal

int SampleSize(int upstreams, double others_requests) noexcept {
  if (others_requests * internal::kMinSampleSize >= upstreams) {
    return std::min(upstreams, internal::kMinSampleSize);
  }
  const double size = others_requests > 0 ? std::round(upstreams / others_requests) : upstreams;
  return static_cast<int>(
      std::min(std::max(size, 1.0 * internal::kMinSampleSize), 1.0 * upstreams));
}

double ExpectedRequests(const Demand& others, std::chrono::microseconds table_interval) noexcept {
  const std::chrono::duration<double> interval = table_interval;
  return others.queued + others.sends_per_second * interval.count();
}

const Candidate* ChooseCandidate(const std::vector<Candidate>& candidates,
                                 std::string_view request_id,
                                 double others_requests) {
  // The score has a random part by the weight of the plain id.
  const std::string key = fmt::format("sample/{}", request_id);
  if (internal::IsScarce(internal::TotalRoom(candidates), others_requests)) {
    return internal::ChooseByRoom(candidates, key);
  }
  std::vector<const Candidate*> own_zone;
  std::vector<const Candidate*> other_zones;
  std::vector<const Candidate*> last_resort;
  for (const Candidate& candidate : candidates) {
    switch (candidate.candidate_class) {
      case CandidateClass::kOwnZone:
        own_zone.push_back(&candidate);
        break;
      case CandidateClass::kOtherZone:
        other_zones.push_back(&candidate);
        break;
      case CandidateClass::kLastResort:
        last_resort.push_back(&candidate);
        break;
    }
  }
  const int size =
      SampleSize(static_cast<int>(own_zone.size() + other_zones.size()), others_requests);
  const Candidate* best = nullptr;
  const int other_size = own_zone.empty() ? size : std::max(1, size / 2);
  internal::ChooseBestOf(own_zone, key, static_cast<std::size_t>(size), best);
  internal::ChooseBestOf(other_zones, key, static_cast<std::size_t>(other_size), best);
  if (best == nullptr) {
    internal::ChooseBestOf(last_resort, key, last_resort.size(), best);
  }
  return best;
}

Turn NextTurn(const std::vector<Candidate>& candidates,
              std::string_view request_id,
              double others_requests,
              std::chrono::microseconds table_interval,
              TimePoint now) {
  const double room = internal::TotalRoom(candidates);
  if (!internal::IsScarce(room, others_requests) || table_interval.count() <= 0) {
    return {true, now};
  }
  const auto interval = now.time_since_epoch() / table_interval;
  const bool is_now = UnitRendezvousWeight(request_id, fmt::format("turn/{}", interval)) <
                      room / (others_requests + 1);
  return {is_now, TimePoint((interval + 1) * table_interval)};
}

}  // namespace snipeturn::entry
