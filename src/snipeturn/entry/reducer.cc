#include "snipeturn/entry/reducer.h"

#include <type_traits>
#include <variant>

#include "snipeturn/base/timers.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/cells.h"
#include "snipeturn/entry/confirmation.h"
#include "snipeturn/entry/crash_reports.h"
#include "snipeturn/entry/dispatch.h"
#include "snipeturn/entry/event_scope.h"
#include "snipeturn/entry/learned_capacity.h"
#include "snipeturn/entry/lifecycle.h"
#include "snipeturn/entry/migration.h"
#include "snipeturn/entry/outcome.h"
#include "snipeturn/entry/peers.h"
#include "snipeturn/entry/rollouts.h"
#include "snipeturn/entry/shutdown.h"
#include "snipeturn/entry/store_return.h"
#include "snipeturn/entry/store_updates.h"
#include "snipeturn/entry/upstream_signals.h"

namespace snipeturn::entry {
namespace internal {
namespace {

/// Share of the time to fail closed after which the host reports that it is not ready, so that the
/// balancer sends new callers to other hosts.
constexpr double kReadyShare = 0.6;

void HandleTimer(EventScope& scope, const TimerKey& key) {
  if (scope.state.is_exiting) {
    return;
  }
  if (key.kind == TimerKind::kEntryUpstream) {
    ReviewUpstreams(scope);
    return;
  }
  if (key.kind == TimerKind::kEntryReports) {
    ReadReports(scope);
    return;
  }
  if (key.kind == TimerKind::kEntryCrashReview) {
    ReviewCrashes(scope);
    return;
  }
  if (key.kind == TimerKind::kEntryCrashSync) {
    SyncCrashLog(scope);
    return;
  }
  if (key.kind == TimerKind::kEntryDispatch) {
    DispatchQueue(scope);
    return;
  }
  if (key.kind == TimerKind::kEntryCopyHold) {
    EndCopyHold(scope);
    return;
  }
  if (key.kind == TimerKind::kEntryDeferredRead) {
    ReviewAwaitedVersions(scope);
    return;
  }
  if (key.kind == TimerKind::kEntryRollout) {
    ReviewRollouts(scope);
    return;
  }
  if (key.kind == TimerKind::kEntryShutdown) {
    CheckShutdown(scope);
    return;
  }
  const auto found = scope.state.requests.find(key.id);
  if (found == scope.state.requests.end()) {
    return;
  }
  Request& request = found->second;
  switch (key.kind) {
    case TimerKind::kEntryFinalAnswer:
      ExpireRequest(scope, request);
      return;
    case TimerKind::kEntryHold:
      if (request.phase == RequestPhase::kQueued) {
        ExpireQueueWait(scope, request);
      }
      return;
    case TimerKind::kEntryHedge:
      SendHedge(scope, request);
      return;
    case TimerKind::kEntryMove:
      AdvanceMigration(scope, request);
      return;
    default:
      return;
  }
}

void HandleEvent(EventScope& scope, const Event& event) {
  State& state = scope.state;
  std::visit(
      [&scope, &state](const auto& item) {
        using Item = std::decay_t<decltype(item)>;
        if constexpr (std::is_same_v<Item, RequestArrived>) {
          HandleArrival(scope, item);
        } else if constexpr (std::is_same_v<Item, CallerDisconnected>) {
          HandleCallerDisconnect(scope, item);
        } else if constexpr (std::is_same_v<Item, AttemptEnded>) {
          HandleAttemptEnd(scope, item);
        } else if constexpr (std::is_same_v<Item, UpstreamSignalled>) {
          HandleSignals(scope, item);
        } else if constexpr (std::is_same_v<Item, StreamProgressed>) {
          HandleStreamProgress(scope, item);
        } else if constexpr (std::is_same_v<Item, CopyEnded>) {
          HandleCopyEnd(scope, item);
        } else if constexpr (std::is_same_v<Item, DesiredStateRead>) {
          AdoptDesiredState(scope, item);
        } else if constexpr (std::is_same_v<Item, EvacuationRead>) {
          AdoptEvacuation(scope, item);
        } else if constexpr (std::is_same_v<Item, EvacuationsRead>) {
          AdoptEvacuations(scope, item);
        } else if constexpr (std::is_same_v<Item, RolloutOrderRead>) {
          AdoptRolloutOrder(scope, item);
        } else if constexpr (std::is_same_v<Item, RolloutOrdersRead>) {
          AdoptRolloutOrders(scope, item);
        } else if constexpr (std::is_same_v<Item, RolloutStatusRead>) {
          HandleRolloutStatus(scope, item);
        } else if constexpr (std::is_same_v<Item, RolloutStatusWritten>) {
          HandleRolloutStatusWritten(scope, item);
        } else if constexpr (std::is_same_v<Item, UpstreamListed>) {
          ListUpstream(scope, item);
          if (!IsScheduled(state.timers, {TimerKind::kEntryReports, 0})) {
            Schedule(state.timers, {TimerKind::kEntryReports, 0}, scope.now);
          }
        } else if constexpr (std::is_same_v<Item, UpstreamUnlisted>) {
          UnlistUpstream(scope, item);
        } else if constexpr (std::is_same_v<Item, UpstreamListRead>) {
          AdoptUpstreamList(scope, item);
        } else if constexpr (std::is_same_v<Item, StoreConfirmed>) {
          ConfirmStore(scope, item);
        } else if constexpr (std::is_same_v<Item, StoreEraRead>) {
          LearnEra(scope, item.era, "store");
        } else if constexpr (std::is_same_v<Item, StoreReadFailed>) {
          HandleStoreFailure(scope, item);
        } else if constexpr (std::is_same_v<Item, HostsRead>) {
          AdoptHosts(scope, item);
          AskListedPeers(scope, item);
        } else if constexpr (std::is_same_v<Item, PeerLoadReceived>) {
          HandlePeerLoad(scope, item);
        } else if constexpr (std::is_same_v<Item, CellLoadReceived>) {
          HandleCellLoad(scope, item);
        } else if constexpr (std::is_same_v<Item, ConfirmationRequested>) {
          HandleConfirmationRequest(scope, item);
        } else if constexpr (std::is_same_v<Item, ConfirmationReceived>) {
          HandleConfirmation(scope, item);
        } else if constexpr (std::is_same_v<Item, CrashReportReceived>) {
          HandleCrashReport(scope, item);
        } else if constexpr (std::is_same_v<Item, UpstreamReported>) {
          HandleReport(scope, item);
        } else if constexpr (std::is_same_v<Item, ListConfirmed>) {
          ConfirmList(scope, item);
        } else if constexpr (std::is_same_v<Item, OptionsChanged>) {
          state.options.bounds = item.bounds;
          state.options.learned_capacity = item.learned_capacity;
        } else if constexpr (std::is_same_v<Item, ShutdownRequested>) {
          BeginShutdown(scope);
        } else if constexpr (std::is_same_v<Item, Tick>) {
          ReviewCapacity(scope);
        }
      },
      event);
}

}  // namespace
}  // namespace internal

Effects Reduce(State& state, const Event& event, TimePoint now) {
  Effects effects;
  internal::EventScope scope{state, effects, now};
  internal::HandleEvent(scope, event);
  while (const auto key = PopDue(state.timers, now)) {
    internal::HandleTimer(scope, *key);
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
