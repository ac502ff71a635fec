#pragma once

#include "snipeturn/entry/contention.h"
#include "snipeturn/entry/demand.h"
#include "snipeturn/entry/desired_state.h"

namespace snipeturn::entry {

/// Parts of each engine that less urgent requests leave free for more urgent ones.
struct Reserve {
  /// Share of the engine's memory.
  double memory{0};
  /// Share of the time that pending prompts may take.
  double prefill{0};
};

/// @brief Sizes what less urgent requests leave free by the recent urgent demand of all hosts: the
///     memory that urgent requests of one objective's time need beyond what they have, and their
///     part of prompt processing. Nothing is left free when no urgent requests arrive.
/// @param contention Needs of the service's routes.
/// @param demand Demand of all hosts on the service.
/// @param limits Capacity of one engine.
/// @param engines Number of engines that serve.
[[nodiscard]] Reserve ReserveForUrgent(const Contention& contention,
                                       const Demand& demand,
                                       const EngineLimits& limits,
                                       int engines) noexcept;

/// @brief Sum of the demand of hosts.
[[nodiscard]] Demand SumOf(const Demand& left, const Demand& right) noexcept;

}  // namespace snipeturn::entry
