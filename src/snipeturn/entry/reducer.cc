#include "snipeturn/entry/reducer.h"

#include <fmt/format.h>

#include <type_traits>
#include <variant>

#include "snipeturn/base/timers.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/cells.h"
#include "snipeturn/entry/confirmation.h"
#include "snipeturn/entry/dispatch.h"
#include "snipeturn/entry/knowledge.h"
#include "snipeturn/entry/lifecycle.h"
#include "snipeturn/entry/migration.h"
#include "snipeturn/entry/outcome.h"
#include "snipeturn/entry/peers.h"
#include "snipeturn/entry/work.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// Share of the time to fail closed after which other hosts should get new callers.
constexpr double kReadyShare = 0.6;
/// The balancer leaves a host out after two misses, a second apart; until then callers come.
constexpr std::chrono::milliseconds kBalancerDelay{2500};
/// Kept of the grace for the last bytes to callers.
constexpr std::chrono::milliseconds kGraceReserve{400};
constexpr std::chrono::milliseconds kStopCheck{100};

void CheckStop(Work& work) {
  State& state = work.state;
  const auto stopping = ToMilliseconds(work.now - state.stopping_since);
  const bool is_idle = state.requests.empty() && stopping >= kBalancerDelay;
  if (is_idle || stopping >= state.options.bounds.grace - kGraceReserve) {
    Log(work, log_events::kStopped, fmt::format("open={}", state.requests.size()));
    work.effects.push_back(Exit{});
    return;
  }
  Schedule(state.timers, {TimerKind::kEntryShutdown, 0}, work.now + kStopCheck);
}

void Fire(Work& work, const TimerKey& key) {
  if (key.kind == TimerKind::kEntryUpstream) {
    ReviewUpstreams(work);
    return;
  }
  if (key.kind == TimerKind::kEntryReports) {
    ReadReports(work);
    return;
  }
  if (key.kind == TimerKind::kEntryShutdown) {
    CheckStop(work);
    return;
  }
  const auto found = work.state.requests.find(key.id);
  if (found == work.state.requests.end()) {
    return;
  }
  Request& request = found->second;
  switch (key.kind) {
    case TimerKind::kEntryFinalAnswer:
      ExpireRequest(work, request);
      return;
    case TimerKind::kEntryHold:
      if (request.phase == RequestPhase::kQueued) {
        EndHold(work, request);
      }
      return;
    case TimerKind::kEntryHedge:
      Hedge(work, request);
      return;
    case TimerKind::kEntryMove:
      AdvanceMove(work, request);
      return;
    default:
      return;
  }
}

void Apply(Work& work, const Event& event) {
  State& state = work.state;
  std::visit(
      [&work, &state](const auto& item) {
        using Item = std::decay_t<decltype(item)>;
        if constexpr (std::is_same_v<Item, RequestArrived>) {
          Arrive(work, item);
        } else if constexpr (std::is_same_v<Item, CallerGone>) {
          Leave(work, item);
        } else if constexpr (std::is_same_v<Item, AttemptEnded>) {
          EndAttempt(work, item);
        } else if constexpr (std::is_same_v<Item, StreamProgressed>) {
          Progress(work, item);
        } else if constexpr (std::is_same_v<Item, CopyEnded>) {
          EndCopy(work, item);
        } else if constexpr (std::is_same_v<Item, DesiredStateRead>) {
          AdoptDesiredState(work, item);
        } else if constexpr (std::is_same_v<Item, EvacuationRead>) {
          AdoptEvacuation(work, item);
        } else if constexpr (std::is_same_v<Item, UpstreamListed>) {
          ListUpstream(work, item);
          if (!IsScheduled(state.timers, {TimerKind::kEntryReports, 0})) {
            Schedule(state.timers, {TimerKind::kEntryReports, 0}, work.now);
          }
        } else if constexpr (std::is_same_v<Item, UpstreamUnlisted>) {
          UnlistUpstream(work, item);
        } else if constexpr (std::is_same_v<Item, UpstreamListRead>) {
          AdoptUpstreamList(work, item);
        } else if constexpr (std::is_same_v<Item, StoreConfirmed>) {
          ConfirmStore(work, item);
        } else if constexpr (std::is_same_v<Item, StoreFailed>) {
          FailStore(work, item);
        } else if constexpr (std::is_same_v<Item, HostsRead>) {
          AdoptHosts(work, item);
        } else if constexpr (std::is_same_v<Item, PeerLoadReceived>) {
          TakePeerLoad(work, item);
        } else if constexpr (std::is_same_v<Item, CellLoadReceived>) {
          TakeCellLoad(work, item);
        } else if constexpr (std::is_same_v<Item, ConfirmationAsked>) {
          AnswerReaderQuestion(work, item);
        } else if constexpr (std::is_same_v<Item, ConfirmationAnswered>) {
          TakeReaderAnswer(work, item);
        } else if constexpr (std::is_same_v<Item, UpstreamReported>) {
          TakeReport(work, item);
        } else if constexpr (std::is_same_v<Item, ListConfirmed>) {
          state.list_confirmed = item.began;
        } else if constexpr (std::is_same_v<Item, OptionsChanged>) {
          state.options.bounds = item.bounds;
        } else if constexpr (std::is_same_v<Item, ShutdownRequested>) {
          if (!state.is_stopping) {
            state.is_stopping = true;
            state.stopping_since = work.now;
            Log(work, log_events::kStopping, fmt::format("open={}", state.requests.size()));
            CheckStop(work);
          }
        }
      },
      event);
}

}  // namespace
}  // namespace internal

Effects Reduce(State& state, const Event& event, TimePoint now) {
  Effects effects;
  internal::Work work{state, effects, now};
  internal::Apply(work, event);
  while (const auto key = PopDue(state.timers, now)) {
    internal::Fire(work, *key);
  }
  return effects;
}

bool IsReady(const State& state, TimePoint now) noexcept {
  if (state.is_stopping || !state.desired || !state.store.confirmed) {
    return false;
  }
  const auto limit = std::chrono::duration_cast<std::chrono::microseconds>(
      state.options.bounds.revoke * internal::kReadyShare);
  return !state.options.bounds.fail_closed || now - *state.store.confirmed < limit;
}

}  // namespace snipeturn::entry
