#include "snipeturn/reducer/operator_handling.h"

#include <string>
#include <variant>
#include <vector>

namespace snipeturn {
namespace internal {

/// Hosts of the adopted epoch whose settings are older than an offset.
std::vector<HostName> HostsBehind(const State& state, LogOffset offset) {
  std::vector<HostName> behind;
  if (state.settings.applied < offset) {
    behind.push_back(state.membership.self.name);
  }
  const Epoch* epoch = AdoptedEpoch(state.membership);
  if (epoch == nullptr) {
    return behind;
  }
  for (const Member& member : epoch->members) {
    if (member.id == state.membership.self) {
      continue;
    }
    const auto peer = state.membership.peers.find(member.id.name);
    if (peer == state.membership.peers.end() || peer->second.id != member.id ||
        peer->second.last.settings_offset < offset) {
      behind.push_back(member.id.name);
    }
  }
  return behind;
}

Json::Value DescribeOffsets(const State& state, LogOffset offset) {
  Json::Value body;
  body["applied"] = Json::UInt64{state.settings.applied};
  body["ready"] = state.settings.ready;
  body["behind"] = Json::arrayValue;
  for (const HostName& host : HostsBehind(state, offset)) {
    body["behind"].append(host);
  }
  Json::Value hosts{Json::objectValue};
  hosts[state.membership.self.name] = Json::UInt64{state.settings.applied};
  for (const auto& [name, peer] : state.membership.peers) {
    hosts[name] = Json::UInt64{peer.last.settings_offset};
  }
  body["hosts"] = hosts;
  return body;
}

/// Answers one operator's command.
class CommandHandler {
 public:
  CommandHandler(State& state, OperatorRequestId id, const Now& now, Effects& effects)
      : state_(state), id_(id), now_(now), effects_(effects) {}

  void operator()(const PutSettings& command) {
    HandlePutSettings(state_.settings, id_, command, state_.membership.self, state_.timers, now_,
                      state_.next_append, effects_);
  }

  void operator()(const ReadSettings& command) {
    Answer(DescribeSettings(state_.settings, command.path));
  }

  void operator()(const ListSettings& command) {
    Answer(ListSettingsPaths(state_.settings, command.path));
  }

  void operator()(const ReadHistory& command) {
    Answer(DescribeHistory(state_.settings, command.path));
  }

  void operator()(const ReadStatus& command) {
    const Tuning& tuning = state_.options.tuning;
    if (command.subject == "hosts") {
      Answer(DescribeHosts(state_.membership, tuning, now_));
    } else if (command.subject == "upstreams" || command.subject == "limits") {
      Answer(DescribeLimits(state_.limits, state_.settings.catalog, tuning, now_));
    } else if (command.subject == "offsets") {
      Answer(DescribeOffsets(state_, state_.settings.applied));
    } else {
      Json::Value body;
      body["reason"] = "unknown_subject";
      body["allowed"] = "hosts, upstreams, limits, offsets";
      effects_.emplace_back(AnswerOperator{id_, 404, body});
    }
  }

  void operator()(const WaitForOffset& command) {
    const TimePoint expires = now_.monotonic + command.timeout;
    state_.offset_waits[id_] = OffsetWait{command.offset, expires};
    Schedule(state_.timers, {TimerKind::kOperator, id_}, expires);
    AnswerOffsetWaits(state_, now_, effects_);
  }

  void operator()(const DrainHost&) {
    Json::Value body;
    body["draining"] = true;
    Answer(body);
  }

 private:
  void Answer(const Json::Value& body) { effects_.emplace_back(AnswerOperator{id_, 200, body}); }

  State& state_;
  OperatorRequestId id_;
  const Now& now_;
  Effects& effects_;
};

}  // namespace internal

void HandleOperatorRequest(State& state,
                           const OperatorRequest& request,
                           const Now& now,
                           Effects& effects) {
  internal::CommandHandler handler(state, request.id, now, effects);
  std::visit(handler, request.command);
}

void AnswerOffsetWaits(State& state, const Now& now, Effects& effects) {
  for (auto wait = state.offset_waits.begin(); wait != state.offset_waits.end();) {
    const bool in_force = internal::HostsBehind(state, wait->second.offset).empty();
    if (!in_force && now.monotonic < wait->second.expires) {
      ++wait;
      continue;
    }
    effects.emplace_back(AnswerOperator{wait->first, in_force ? 200 : 408,
                                        internal::DescribeOffsets(state, wait->second.offset)});
    Cancel(state.timers, {TimerKind::kOperator, wait->first});
    wait = state.offset_waits.erase(wait);
  }
}

}  // namespace snipeturn
