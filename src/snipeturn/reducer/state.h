#pragma once

#include <map>
#include <optional>

#include "snipeturn/base/timers.h"
#include "snipeturn/claims/claims.h"
#include "snipeturn/limits/limits.h"
#include "snipeturn/membership/membership.h"
#include "snipeturn/requests/requests.h"
#include "snipeturn/settings/options.h"
#include "snipeturn/settings/settings.h"

namespace snipeturn {

/// A pending WaitForOffset of an operator.
struct OffsetWait {
  LogOffset offset{0};
  TimePoint expires{};
};

/// The complete state of a daemon, with one member per module.
struct State {
  Options options;
  Timers timers;
  SettingsState settings;
  MembershipState membership;
  LimitsState limits;
  ClaimsState claims;
  RequestsState requests;
  std::map<OperatorRequestId, OffsetWait> offset_waits;
  /// When the last event was handled, and when a peer was last asked for its settings.
  std::optional<TimePoint> last_event_at;
  std::optional<TimePoint> settings_requested_at;
  AppendId next_append{1};
  std::uint64_t random_state{0};
  bool draining{false};
  bool exited{false};
};

}  // namespace snipeturn
