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
struct Work {
  State& state;
  Effects& effects;
  TimePoint now;
};

inline void Log(Work& work, const LogEvent& event, std::string fields) {
  work.effects.push_back(EmitLog{event, std::move(fields)});
}

inline void CountOne(Work& work, const CounterName& counter, std::string_view label) {
  work.effects.push_back(Count{counter, std::string(label), 1});
}

}  // namespace snipeturn::entry::internal
