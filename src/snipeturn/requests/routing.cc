#include "snipeturn/requests/routing.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>
#include <tuple>

#include "snipeturn/base/hash.h"
#include "snipeturn/requests/forecast.h"

namespace snipeturn::internal {

/// Length of the prompt's prefix that is hashed for affinity to an upstream's prefix cache.
constexpr std::size_t kPrefixBytes = 256;
/// Load bound of affinity: the largest multiple of the mean number of slots in use.
constexpr double kBoundedLoad = 1.25;

/// An upstream that the request may go to.
struct Candidate {
  const Upstream* upstream{nullptr};
  bool failed{false};
  /// Chosen by affinity, because the load of the upstream is within the bound.
  bool by_affinity{false};
  int free{0};
  int in_use{0};
  std::uint64_t weight{0};
};

bool ServesRequest(const Upstream& upstream, const Request& request) {
  if (request.call.kind == CallerRequest::Kind::kCall) {
    return upstream.kind == ServiceKind::kPlain && upstream.service == request.call.service;
  }
  return upstream.kind == ServiceKind::kEngine && upstream.models.count(request.call.model) > 0;
}

std::vector<const Upstream*> EligibleUpstreams(const EventScope& scope, const Request& request) {
  std::vector<const Upstream*> eligible;
  const Catalog& catalog = scope.context.catalog;
  const auto team = catalog.teams.find(request.caller.team);
  if (team == catalog.teams.end()) {
    return eligible;
  }
  for (const auto& [name, upstream] : catalog.upstreams) {
    if (!ServesRequest(upstream, request) || !IsInService(catalog, team->second, upstream)) {
      continue;
    }
    const auto limits = scope.context.limits.upstreams.find(name);
    if (limits != scope.context.limits.upstreams.end() && limits->second.report &&
        limits->second.report->leaving) {
      continue;
    }
    eligible.push_back(&upstream);
  }
  return eligible;
}

bool HasFailed(const Request& request, const UpstreamName& upstream) {
  return std::find(request.failed_upstreams.begin(), request.failed_upstreams.end(), upstream) !=
         request.failed_upstreams.end();
}

std::string_view PrefixOf(const Request& request) {
  return std::string_view(request.call.prompt).substr(0, kPrefixBytes);
}

/// Marks the candidates that affinity may use. Only upstreams with a free slot on this host take
/// part in the choice, and all take part in the mean.
void MarkAffinity(std::vector<Candidate>& candidates) {
  int total = 0;
  for (const Candidate& candidate : candidates) {
    total += candidate.in_use;
  }
  const double bound = std::ceil(kBoundedLoad * (total + 1) /
                                 static_cast<double>(std::max<std::size_t>(candidates.size(), 1)));
  for (Candidate& candidate : candidates) {
    candidate.by_affinity = candidate.in_use + 1 <= bound;
  }
}

std::vector<Candidate> RankCandidates(const EventScope& scope, const Request& request) {
  const RequestContext& context = scope.context;
  std::map<UpstreamName, int> in_use;
  for (const auto& [id, hold] : context.limits.holds) {
    ++in_use[hold.upstream];
  }
  const std::string_view prefix = PrefixOf(request);
  // Without a prompt, the key spreads requests of all hosts over upstreams with equal free slots.
  const std::string key = prefix.empty()
                              ? context.options.host + '/' + std::to_string(request.call.id)
                              : std::string(prefix);
  std::vector<Candidate> candidates;
  for (const Upstream* upstream : EligibleUpstreams(scope, request)) {
    Candidate candidate;
    candidate.upstream = upstream;
    candidate.failed = HasFailed(request, upstream->name);
    candidate.free = FreeSlots(context.limits, context.catalog, upstream->name,
                               context.options.tuning, scope.now);
    candidate.in_use = in_use[upstream->name];
    candidate.weight = RendezvousWeight(key, upstream->name);
    candidates.push_back(candidate);
  }
  if (!prefix.empty()) {
    MarkAffinity(candidates);
  }
  std::sort(
      candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        const auto rank = [](const Candidate& candidate) {
          // Candidates by affinity are ordered by weight, the others by free slots.
          return std::make_tuple(candidate.failed, !candidate.by_affinity,
                                 candidate.by_affinity ? 0 : -candidate.free, ~candidate.weight);
        };
        return rank(left) < rank(right);
      });
  return candidates;
}

std::optional<SlotGrant> TakeSlot(EventScope& scope,
                                  const Request& request,
                                  DenialReason& last_reason) {
  RequestContext& context = scope.context;
  last_reason = DenialReason::kNoSlot;
  const std::vector<Candidate> candidates = RankCandidates(scope, request);
  const bool avoid_failed = !candidates.empty() && !candidates.front().failed &&
                            scope.now.monotonic < request.avoid_failed_until;
  for (const Candidate& candidate : candidates) {
    if (candidate.free <= 0 || (avoid_failed && candidate.failed)) {
      continue;
    }
    const SlotRequest wanted{candidate.upstream->name, request.work_class,
                             ExpectedTokens(scope.state, request)};
    auto grant = AcquireSlot(context.limits, context.membership, context.catalog, wanted,
                             context.options.tuning, scope.now, last_reason);
    if (grant) {
      return grant;
    }
  }
  return std::nullopt;
}

bool RequestLoanFor(EventScope& scope, const Request& request) {
  RequestContext& context = scope.context;
  std::vector<const Upstream*> candidates;
  for (const Upstream* upstream : EligibleUpstreams(scope, request)) {
    const auto& pending_loans = context.limits.pending_loans;
    const bool pending =
        std::any_of(pending_loans.begin(), pending_loans.end(),
                    [&](const auto& entry) { return entry.second.upstream == upstream->name; });
    if (!pending) {
      candidates.push_back(upstream);
    }
  }
  if (candidates.empty()) {
    return false;
  }
  // The order is random, so that another upstream is asked after a refusal.
  context.random_state = Hash("loan", context.random_state);
  const std::string key = std::to_string(context.random_state);
  const auto rank = [&](const Upstream* upstream) {
    return std::make_pair(HasFailed(request, upstream->name),
                          ~RendezvousWeight(key, upstream->name));
  };
  const auto* const chosen = *std::min_element(
      candidates.begin(), candidates.end(),
      [&](const Upstream* left, const Upstream* right) { return rank(left) < rank(right); });
  RequestLoan(context.limits, context.membership,
              SlotRequest{chosen->name, request.work_class, ExpectedTokens(scope.state, request)},
              context.options.tuning, scope.now, scope.effects);
  return true;
}

}  // namespace snipeturn::internal
