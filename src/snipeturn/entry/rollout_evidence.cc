#include "snipeturn/entry/rollout_evidence.h"

#include <algorithm>
#include <chrono>

#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/rollouts.h"

namespace snipeturn::entry::internal {
namespace {

/// Broken connections of an upstream within this time count once: a crash breaks all of them.
constexpr std::chrono::milliseconds kBrokenWindow{1000};

/// The running roll-out of the service of an attempt that was sent after the order; else nullptr.
Rollout* FindRunning(State& state, const Request& request, TimePoint sent_at) {
  if (!state.options.rollouts_enabled) {
    return nullptr;
  }
  const auto found = state.rollouts.find(request.service);
  if (found == state.rollouts.end() || !found->second.active) {
    return nullptr;
  }
  Rollout& rollout = *found->second.active;
  return rollout::IsFinal(rollout.phase) || sent_at < rollout.ordered_at ? nullptr : &rollout;
}

rollout::EvidenceRow* FindRow(Rollout& rollout, const Request& request, const Attempt& attempt) {
  return rollout::FindOrAddRow(
      rollout.own, request.route,
      attempt.version == rollout.order.target ? rollout::Side::kTarget : rollout::Side::kOld);
}

/// Tells whether a broken connection says something about the version: not if the upstream is on
/// its way out, and once for a crash.
bool CountsAsBroken(EventScope& scope, const Request& request, const Attempt& attempt) {
  const auto upstream = scope.state.upstreams.find(attempt.upstream);
  if (upstream == scope.state.upstreams.end() ||
      upstream->second.phase != UpstreamPhase::kServing ||
      scope.state.evacuated_zones.count(upstream->second.entry.zone) > 0) {
    return false;
  }
  auto& broken_at = scope.state.rollouts.at(request.service).broken_at;
  const auto known = broken_at.find(attempt.upstream);
  if (known != broken_at.end() && scope.now - known->second < kBrokenWindow) {
    return false;
  }
  broken_at[attempt.upstream] = scope.now;
  return true;
}

double PromptUnits(const Request& request) noexcept {
  return request.kind == RouteKind::kStream ? static_cast<double>(request.head.prompt_tokens) : 1;
}

}  // namespace

void CountRolloutSend(EventScope& scope, const Request& request, const Upstream& upstream) {
  Rollout* rollout = FindRunning(scope.state, request, scope.now);
  if (rollout == nullptr) {
    return;
  }
  const bool is_target = upstream.entry.version == rollout->order.target;
  rollout->exposure.sends += request.sends == 0 ? 1 : 0;
  rollout->exposure.target_sends += is_target ? 1 : 0;
  IncrementCounter(scope, kRolloutSends, is_target ? "target" : "old");
}

void RecordAttemptEvidence(EventScope& scope,
                           const Request& request,
                           const Attempt& attempt,
                           const AttemptEnded& event) {
  Rollout* rollout = FindRunning(scope.state, request, attempt.sent_at);
  const bool has_run = event.result == AttemptResult::kAnswered ||
                       event.result == AttemptResult::kStreamFinished ||
                       event.result == AttemptResult::kBroken;
  if (rollout == nullptr || !has_run || attempt.is_resume || request.migration) {
    return;
  }
  const bool is_broken = event.result == AttemptResult::kBroken;
  if (is_broken && !CountsAsBroken(scope, request, attempt)) {
    return;
  }
  rollout::EvidenceRow* row = FindRow(*rollout, request, attempt);
  if (row == nullptr) {
    return;
  }
  const bool has_failed =
      is_broken || (event.result == AttemptResult::kAnswered && event.status >= 500);
  rollout::GroupCounts& group = row->groups.at(rollout::UpstreamGroup(attempt.upstream));
  group.responses += 1;
  group.failures += has_failed ? 1 : 0;
  if (event.result == AttemptResult::kAnswered && !has_failed) {
    rollout::AddTime(row->response, scope.now - attempt.sent_at, PromptUnits(request));
  }
  if (event.result == AttemptResult::kStreamFinished && request.first_event_at &&
      request.events > request.first_event) {
    rollout::AddTime(row->pace, request.last_event_at - *request.first_event_at,
                     static_cast<double>(request.events - request.first_event));
  }
}

void RecordFirstEventEvidence(EventScope& scope, const Request& request, const Attempt& attempt) {
  Rollout* rollout = FindRunning(scope.state, request, attempt.sent_at);
  rollout::EvidenceRow* row = rollout == nullptr ? nullptr : FindRow(*rollout, request, attempt);
  if (row != nullptr) {
    rollout::AddTime(row->response, scope.now - attempt.sent_at, PromptUnits(request));
  }
}

void RecordOverdueEvidence(EventScope& scope, const Request& request, TimePoint before) {
  for (const Attempt& attempt : request.attempts) {
    Rollout* rollout = FindRunning(scope.state, request, attempt.sent_at);
    const bool is_waiting = request.kind != RouteKind::kStream || attempt.is_reading_prompt;
    if (rollout == nullptr || !is_waiting || attempt.is_resume || attempt.sent_at >= before) {
      continue;
    }
    if (rollout::EvidenceRow* row = FindRow(*rollout, request, attempt)) {
      rollout::AddTime(row->response, scope.now - attempt.sent_at, PromptUnits(request));
    }
  }
}

}  // namespace snipeturn::entry::internal

namespace snipeturn::entry {

std::vector<RolloutGauge> RolloutGauges(const State& state, TimePoint now) {
  std::vector<RolloutGauge> gauges;
  const auto add = [&](std::string_view name, const auto& value_of) {
    for (const auto& [service, versions] : state.rollouts) {
      if (versions.active) {
        gauges.push_back({name, service, static_cast<double>(value_of(*versions.active))});
      }
    }
  };
  add("snipeturn_rollout_phase", [](const Rollout& rollout) { return rollout.phase; });
  add("snipeturn_rollout_age_seconds", [now](const Rollout& rollout) {
    return std::chrono::duration<double>(now - rollout.ordered_at).count();
  });
  add("snipeturn_rollout_target_share", [](const Rollout& rollout) {
    const auto sends = static_cast<double>(std::max<std::uint64_t>(1, rollout.exposure.sends));
    return static_cast<double>(rollout.exposure.target_sends) / sends;
  });
  add("snipeturn_rollout_score", [](const Rollout& rollout) { return rollout.judgement.score; });
  return gauges;
}

}  // namespace snipeturn::entry
