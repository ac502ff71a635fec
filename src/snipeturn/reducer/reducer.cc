#include "snipeturn/reducer/reducer.h"

#include <fmt/format.h>

#include <cassert>
#include <string_view>
#include <utility>
#include <vector>

#include "snipeturn/base/hash.h"
#include "snipeturn/base/log_catalogue.h"
#include "snipeturn/reducer/operator_handling.h"

namespace snipeturn {
namespace internal {

/// Shortest interval between two requests for a peer's settings.
constexpr std::chrono::milliseconds kSettingsRequestInterval{500};
/// Timers fire at least every heartbeat interval, so a longer gap means that the process was
/// paused.
constexpr std::chrono::milliseconds kPauseLimit{1000};

/// Resets the warm-up state of all upstreams after a pause, because suspicions that peers sent
/// during the pause may still wait in a socket buffer.
void ResetWarmthAfterPause(State& state, const Now& now) {
  if (state.last_event_at && now.monotonic - *state.last_event_at > kPauseLimit) {
    ResetWarmth(state.limits);
  }
  state.last_event_at = now.monotonic;
}

/// Dispatches one event to the modules that handle it.
class Dispatcher {
 public:
  Dispatcher(State& state, const Now& now) : state_(state), now_(now) {}

  [[nodiscard]] Effects TakeEffects() noexcept { return std::move(effects_); }

  void operator()(const Started& event) {
    state_.membership.self = HostId{state_.options.host, event.incarnation};
    state_.membership.endpoint = state_.options.listen;
    state_.membership.zone = state_.options.zone;
    state_.random_state = event.random_seed;
    Schedule(state_.timers, {TimerKind::kMembership, 0}, now_.monotonic);
    Schedule(state_.timers, {TimerKind::kLimits, 0}, now_.monotonic);
    effects_.emplace_back(EmitLog{log_events::kStarted,
                                  fmt::format("host={} incarnation={} zone={}", state_.options.host,
                                              event.incarnation, state_.options.zone)});
  }

  void operator()(const CallerRequest& event) {
    auto context = MakeContext();
    HandleCallerRequest(state_.requests, context, event, now_, effects_);
  }

  void operator()(const CallerDisconnected& event) {
    auto context = MakeContext();
    HandleCallerDisconnected(state_.requests, context, event, now_, effects_);
    CheckDrained();
  }

  void operator()(const AttemptToken& event) {
    auto context = MakeContext();
    HandleAttemptToken(state_.requests, context, event, now_, effects_);
  }

  void operator()(const AttemptEnded& event) {
    auto context = MakeContext();
    HandleAttemptEnded(state_.requests, context, event, now_, effects_);
    CheckDrained();
  }

  // Claims and settings take effect when their records are read back, not when the append is
  // confirmed.
  void operator()(const LogAppended& event) {
    if (state_.membership.pending_proposal == event.id) {
      state_.membership.pending_proposal.reset();
    }
  }

  void operator()(const LogAppendFailed& event) {
    if (state_.membership.pending_proposal == event.id) {
      state_.membership.pending_proposal.reset();
    }
  }

  void operator()(const LogRead& event) {
    if (event.stream == kSettingsStream) {
      HandleSettingsRead(state_.settings, event, MakeSettingsPeers(), now_, state_.next_append,
                         effects_);
      if (state_.settings.ready && state_.settings.applied >= event.next) {
        state_.membership.settings_read_began = event.began;
      }
      HandleSettingsChange();
    } else if (event.stream == kMembersStream) {
      if (HandleMembersRead(state_.membership, event, state_.options.tuning, now_, effects_)) {
        ReassignSlots();
      }
    } else if (event.stream.rfind(kClaimsStreamPrefix, 0) == 0) {
      ApplyClaimDecisions(HandleClaimsRead(state_.claims, event, state_.membership,
                                           state_.options.tuning, state_.timers, now_, effects_));
    }
    CheckDrained();
  }

  // Failed reads need no handling: the modules check the age of the last successful read.
  void operator()(const LogReadFailed&) {}

  void operator()(const HostListRead& event) {
    HandleHostList(state_.membership, event, state_.options.tuning, now_, effects_);
  }

  void operator()(const ProbeEnded& event) { HandleProbeEnded(state_.membership, event, now_); }

  void operator()(const LoadReported& event) {
    HandleLoadReport(state_.limits, state_.membership, state_.settings.catalog, event,
                     state_.options.tuning, now_, effects_);
    Dispatch();
  }

  // A missing report never raises a limit, and the results of callers' requests show the state of
  // the upstream.
  void operator()(const LoadReportFailed&) {}

  void operator()(const PeerMessageReceived& event) {
    sender_ = event.from;
    std::visit([this](const auto& message) { HandleMessage(message); }, event.message);
  }

  void operator()(const OperatorRequest& event) {
    HandleOperatorRequest(state_, event, now_, effects_);
    if (std::holds_alternative<DrainHost>(event.command)) {
      (*this)(ShutdownRequested{});
    }
  }

  void operator()(const ShutdownRequested&) {
    if (state_.draining) {
      return;
    }
    state_.draining = true;
    state_.membership.draining = true;
    Schedule(state_.timers, {TimerKind::kShutdown, 0},
             now_.monotonic + state_.options.tuning.shutdown_grace);
    Schedule(state_.timers, {TimerKind::kMembership, 0}, now_.monotonic);
    effects_.emplace_back(EmitLog{log_events::kDraining,
                                  fmt::format("open={}", state_.requests.open_requests.size())});
  }

  void operator()(const Tick&) {
    while (const auto key = PopDue(state_.timers, now_.monotonic)) {
      HandleTimer(*key);
    }
    CheckDrained();
  }

 private:
  [[nodiscard]] RequestContext MakeContext() {
    return RequestContext{state_.options,    state_.settings.catalog, state_.settings.ready,
                          state_.membership, state_.limits,           state_.claims,
                          state_.timers,     state_.next_append,      state_.random_state};
  }

  [[nodiscard]] SettingsPeers MakeSettingsPeers() const {
    SettingsPeers peers;
    peers.self = state_.membership.self;
    const Epoch* epoch = AdoptedEpoch(state_.membership);
    if (epoch == nullptr) {
      return peers;
    }
    const Member* writer = nullptr;
    std::vector<const Member*> others;
    for (const Member& member : epoch->members) {
      const auto weight = [](const Member& candidate) {
        return RendezvousWeight(kSettingsStream, candidate.id.name);
      };
      if (writer == nullptr || weight(member) > weight(*writer)) {
        writer = &member;
      }
      if (member.id != peers.self) {
        others.push_back(&member);
      }
    }
    if (!others.empty()) {
      // Rotates among the peers, because the last one asked may be dead or not ready itself.
      const Member* copy_source = others[state_.membership.heartbeat_sequence % others.size()];
      peers.copy_source = std::make_pair(copy_source->id.name, copy_source->endpoint);
    }
    peers.appends_snapshots = writer != nullptr && writer->id == peers.self;
    return peers;
  }

  void ReassignSlots() {
    UpdateSlotOwnership(state_.limits, state_.membership, state_.settings.catalog,
                        state_.options.tuning, now_, effects_);
    Dispatch();
  }

  void HandleSettingsChange() {
    state_.membership.applied_settings_offset = state_.settings.applied;
    if (state_.settings.applied == initial_settings_offset_) {
      return;
    }
    ReassignSlots();
    RespondToOffsetWaits(state_, now_, effects_);
  }

  void Dispatch() {
    auto context = MakeContext();
    DispatchWaiting(state_.requests, context, now_, effects_);
  }

  void ApplyClaimDecisions(const ClaimDecisions& decisions) {
    if (decisions.empty()) {
      return;
    }
    auto context = MakeContext();
    HandleClaimDecisions(state_.requests, context, decisions, now_, effects_);
  }

  void HandleTimer(const TimerKey& key) {
    switch (key.kind) {
      case TimerKind::kMembership:
        HandleMembershipTimer(state_.membership, MakeGossip(state_.limits, now_),
                              state_.settings.applied, state_.options.tuning, state_.timers, now_,
                              state_.next_append, effects_);
        RespondToOffsetWaits(state_, now_, effects_);
        break;
      case TimerKind::kLimits:
      case TimerKind::kLoan:
        if (HandleLimitsTimer(state_.limits, state_.membership, state_.settings.catalog,
                              state_.options.tuning, state_.timers, now_, effects_)) {
          Dispatch();
        }
        break;
      case TimerKind::kClaimBatch:
      case TimerKind::kClaim:
        ApplyClaimDecisions(HandleClaimTimer(state_.claims, key, state_.membership,
                                             state_.options.tuning, state_.timers, now_,
                                             state_.next_append, effects_));
        break;
      case TimerKind::kSettings:
        HandleSettingsTimer(state_.settings, state_.timers, now_, effects_);
        break;
      case TimerKind::kOperator:
        RespondToOffsetWaits(state_, now_, effects_);
        break;
      case TimerKind::kRequestDeadline:
      case TimerKind::kAttemptProgress:
      case TimerKind::kCallerGrace:
      case TimerKind::kQueue: {
        auto context = MakeContext();
        HandleRequestTimer(state_.requests, context, key, now_, effects_);
        break;
      }
      case TimerKind::kShutdown: {
        BeginDrain(state_.requests, now_);
        break;
      }
      case TimerKind::kEntryFinalAnswer:
      case TimerKind::kEntryHold:
      case TimerKind::kEntryHedge:
      case TimerKind::kEntryMove:
      case TimerKind::kEntryUpstream:
      case TimerKind::kEntryReports:
      case TimerKind::kEntryShutdown:
      case TimerKind::kEntryDispatch:
      case TimerKind::kEntryCrashReview:
      case TimerKind::kEntryCrashSync:
      case TimerKind::kEntryCopyHold:
      case TimerKind::kEntryDeferredRead:
      case TimerKind::kEntryRollout:
        assert(false && "timer belongs to the reducer of the entry path");
        break;
    }
  }

  void HandleMessage(const Heartbeat& message) {
    HandleHeartbeat(state_.membership, sender_, message, now_);
    HandleGossip(state_.limits, state_.membership, state_.settings.catalog, sender_, message,
                 state_.options.tuning, now_, effects_);
    RequestSettings(message.settings_offset);
    RespondToOffsetWaits(state_, now_, effects_);
    Dispatch();
  }

  /// Requests the settings of a peer that has newer ones. The reply contains all settings, so the
  /// rate is limited; usually the settings come from the log.
  void RequestSettings(LogOffset offered) {
    if (offered <= state_.settings.applied ||
        (state_.settings_requested_at &&
         now_.monotonic - *state_.settings_requested_at < kSettingsRequestInterval)) {
      return;
    }
    state_.settings_requested_at = now_.monotonic;
    SendToPeer(state_.membership, sender_.name, SettingsRequest{state_.settings.applied}, effects_);
  }

  void HandleMessage(const SettingsRequest& message) {
    if (state_.settings.ready && state_.settings.applied > message.applied_offset) {
      SendToPeer(state_.membership, sender_.name, SettingsCopy{MakeSnapshot(state_.settings)},
                 effects_);
    }
  }

  void HandleMessage(const SettingsCopy& message) {
    HandleSettingsCopy(state_.settings, message, now_, effects_);
    HandleSettingsChange();
  }

  void HandleMessage(const ClaimQuery& message) {
    HandleClaimQuery(state_.claims, state_.membership, sender_, message, effects_);
  }

  void HandleMessage(const ClaimReply& message) {
    ApplyClaimDecisions(HandleClaimReply(state_.claims, state_.membership, sender_, message,
                                         state_.options.tuning, now_, effects_));
  }

  // All other messages belong to the limits module.
  template <typename Message>
  void HandleMessage(const Message& message) {
    if (HandleLimitsMessage(state_.limits, state_.membership, state_.settings.catalog, sender_,
                            message, state_.options.tuning, now_, effects_)) {
      Dispatch();
    }
  }

  void CheckDrained() {
    if (!state_.requests.draining || state_.exited || !IsDrained(state_.requests) ||
        !IsFlushed(state_.claims)) {
      return;
    }
    state_.exited = true;
    effects_.emplace_back(EmitLog{log_events::kStopped, ""});
    effects_.emplace_back(Exit{});
  }

  State& state_;
  const Now& now_;
  Effects effects_;
  HostId sender_;
  const LogOffset initial_settings_offset_ = state_.settings.applied;
};

}  // namespace internal

State MakeState(Options options) {
  State state;
  state.options = std::move(options);
  return state;
}

Effects Reduce(State& state, const Event& event, const Now& now) {
  internal::ResetWarmthAfterPause(state, now);
  internal::Dispatcher dispatcher(state, now);
  std::visit(dispatcher, event);
  return dispatcher.TakeEffects();
}

std::optional<TimePoint> NextDue(const State& state) noexcept {
  return NextDue(state.timers);
}

}  // namespace snipeturn
