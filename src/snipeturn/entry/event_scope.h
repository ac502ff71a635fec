#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "snipeturn/base/log_event.h"
#include "snipeturn/base/metric.h"
#include "snipeturn/entry/effect.h"
#include "snipeturn/entry/state.h"

namespace snipeturn::entry::internal {

/// One event's work: the state that it changes and the effects that it makes.
struct EventScope {
  State& state;
  Effects& effects;
  TimePoint now;
};

inline void Log(EventScope& scope, const LogEvent& event, std::string fields) {
  scope.effects.push_back(EmitLog{event, std::move(fields)});
}

inline void IncrementCounter(EventScope& scope,
                             const CounterName& counter,
                             std::string_view label) {
  scope.effects.push_back(AddToCounter{counter, std::string(label), 1});
}

}  // namespace snipeturn::entry::internal
