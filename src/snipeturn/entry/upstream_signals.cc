#include "snipeturn/entry/upstream_signals.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "snipeturn/entry/catalogue.h"

namespace snipeturn::entry::internal {
namespace {

void AdoptLimit(EventScope& scope, Upstream& upstream, std::optional<double> limit) {
  if (upstream.stated_limit == limit) {
    return;
  }
  if (limit) {
    IncrementCounter(scope, kUpstreamSignals, "limit");
    Log(scope, log_events::kLimitStated,
        fmt::format("upstream={} service={} per_s={} before={} source=response", upstream.entry.id,
                    upstream.entry.service, *limit, upstream.stated_limit.value_or(-1)));
  } else {
    Log(scope, log_events::kLimitEnded, fmt::format("upstream={}", upstream.entry.id));
  }
  upstream.stated_limit = limit;
}

}  // namespace

void HandleSignals(EventScope& scope, const UpstreamSignalled& event) {
  const auto key = scope.state.request_by_attempt.find(event.attempt);
  if (key == scope.state.request_by_attempt.end()) {
    return;
  }
  const Request& request = scope.state.requests.at(key->second);
  const auto attempt =
      std::find_if(request.attempts.begin(), request.attempts.end(),
                   [&event](const Attempt& item) { return item.key == event.attempt; });
  const auto upstream = scope.state.upstreams.find(attempt->upstream);
  if (upstream == scope.state.upstreams.end()) {
    return;
  }
  const bool was_unreadable =
      std::exchange(upstream->second.has_unreadable_signal, event.signals.has_unreadable_limit);
  if (event.signals.has_unreadable_limit) {
    IncrementCounter(scope, kUpstreamSignals, "unreadable");
    if (!was_unreadable) {
      Log(scope, log_events::kSignalUnreadable,
          fmt::format("upstream={} signal=limit", upstream->first));
    }
    return;
  }
  AdoptLimit(scope, upstream->second, event.signals.requests_per_second);
}

}  // namespace snipeturn::entry::internal
