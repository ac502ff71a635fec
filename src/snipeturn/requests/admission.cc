#include "snipeturn/requests/admission.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "snipeturn/base/log_catalogue.h"
#include "snipeturn/requests/attempts.h"
#include "snipeturn/requests/calls.h"
#include "snipeturn/requests/cursor.h"
#include "snipeturn/requests/lifecycle.h"
#include "snipeturn/requests/queue.h"
#include "snipeturn/requests/routing.h"
#include "snipeturn/requests/streams.h"

namespace snipeturn::internal {

using std::chrono::milliseconds;

/// Deadline of requests for which neither the caller nor the settings give one.
constexpr milliseconds kDefaultDeadline{std::chrono::seconds{30}};
/// Upper bound for a caller's deadline, so that it can't overflow the clock.
constexpr milliseconds kMaxDeadline{std::chrono::hours{24}};

Request MakeRequest(const CallerRequest& call, const Now& now) {
  Request request;
  request.call = call;
  request.arrived_at = now.monotonic;
  return request;
}

void SetDeadline(Request& request, milliseconds configured_deadline) {
  const milliseconds default_deadline =
      configured_deadline > milliseconds{0} ? configured_deadline : kDefaultDeadline;
  request.deadline =
      request.arrived_at +
      std::clamp(request.call.deadline.value_or(default_deadline), milliseconds{0}, kMaxDeadline);
}

/// Registers a request and starts its deadline timer.
Request& OpenRequest(EventScope& scope, Request request) {
  const RequestId id = request.call.id;
  Schedule(scope.context.timers, {TimerKind::kRequestDeadline, id}, request.deadline);
  CountRequest(scope);
  return scope.state.open_requests.insert_or_assign(id, std::move(request)).first->second;
}

const Refusal* CheckCanStart(const EventScope& scope, const Request& request) {
  if (scope.state.draining) {
    return &refusals::kDraining;
  }
  if (request.deadline <= scope.now.monotonic) {
    return &refusals::kDeadlineUnreachable;
  }
  if (request.call.kind == CallerRequest::Kind::kCall) {
    const auto& upstreams = scope.context.catalog.upstreams;
    const bool known = std::any_of(upstreams.begin(), upstreams.end(), [&](const auto& entry) {
      return entry.second.kind == ServiceKind::kPlain &&
             entry.second.service == request.call.service;
    });
    if (!known) {
      return &refusals::kUnknownService;
    }
  }
  return EligibleUpstreams(scope, request).empty() ? &refusals::kNoUpstreamInService : nullptr;
}

/// Sets the class and deadline of the request's application, or of the team's first one if the
/// request names none.
/// @return The refusal for an unknown application, which applies to new work only, or nullptr.
const Refusal* ApplyApplication(const Team& team, Request& request) {
  const auto& applications = team.applications;
  const auto found =
      request.call.application.empty()
          ? applications.begin()
          : std::find_if(applications.begin(), applications.end(), [&](const Application& each) {
              return each.name == request.call.application;
            });
  if (found == applications.end()) {
    SetDeadline(request, milliseconds{0});
    return &refusals::kUnknownApplication;
  }
  request.call.application = found->name;
  request.work_class = found->work_class;
  SetDeadline(request, found->deadline);
  return nullptr;
}

const Refusal& RefusalOf(CursorReason reason) noexcept {
  switch (reason) {
    case CursorReason::kForged:
      return refusals::kCursorForged;
    case CursorReason::kExpired:
      return refusals::kCursorExpired;
    case CursorReason::kNone:
    case CursorReason::kMalformed:
      break;
  }
  return refusals::kCursorMalformed;
}

void RefuseCursor(EventScope& scope, Request& request, const Refusal& refusal) {
  scope.effects.emplace_back(
      EmitLog{log_events::kCursorRefused,
              fmt::format("request={} team={} organisation={} reason={}", request.call.id,
                          request.caller.team, request.caller.organisation, refusal.reason)});
  Refuse(scope, request, refusal);
}

/// Copies the position in the caller's cursor to the request, or refuses the request.
/// @return False when it was refused.
bool ApplyCursor(EventScope& scope, Request& request) {
  if (!request.call.stream) {
    RefuseCursor(scope, request, refusals::kCursorWithoutStream);
    return false;
  }
  const Options& options = scope.context.options;
  CursorReason reason = CursorReason::kNone;
  const auto cursor = ReadCursor(request.call.cursor, options.cursor_key,
                                 options.previous_cursor_key, scope.now.wall, reason);
  if (!cursor) {
    RefuseCursor(scope, request, RefusalOf(reason));
    return false;
  }
  if (cursor->team != request.caller.team || cursor->organisation != request.caller.organisation) {
    RefuseCursor(scope, request, refusals::kCursorForeign);
    return false;
  }
  request.upstream = cursor->upstream;
  request.generation = cursor->generation;
  request.incarnation = cursor->incarnation;
  request.delivered = cursor->index;
  request.may_have_run = true;
  return true;
}

/// Resumes a generation. The generation already runs, so it needs neither a zone in service
/// nor a work lease.
void AdmitResume(EventScope& scope, const Team& team, Request request) {
  if (!ApplyCursor(scope, request)) {
    return;
  }
  (void)ApplyApplication(team, request);
  const auto upstream = scope.context.catalog.upstreams.find(request.upstream);
  if (upstream == scope.context.catalog.upstreams.end()) {
    RefuseCursor(scope, request, refusals::kGenerationGone);
    return;
  }
  if (scope.state.draining) {
    Refuse(scope, request, refusals::kDraining);
    return;
  }
  request.endpoint = upstream->second.endpoint;
  StartFromCursor(scope, OpenRequest(scope, std::move(request)));
}

void AdmitCompletion(EventScope& scope, const Team& team, Request request) {
  if (team.models.count(request.call.model) == 0) {
    Refuse(scope, request, refusals::kUnknownModel);
    return;
  }
  const Refusal* refusal = ApplyApplication(team, request);
  if (refusal == nullptr) {
    refusal = CheckCanStart(scope, request);
  }
  if (refusal != nullptr) {
    Refuse(scope, request, *refusal);
    return;
  }
  Enqueue(scope, OpenRequest(scope, std::move(request)));
}

/// True when too many calls wait for their claims, for example while the log is unavailable.
bool HasTooManyClaims(const EventScope& scope) {
  const auto claiming = std::count_if(
      scope.state.open_requests.begin(), scope.state.open_requests.end(),
      [](const auto& entry) { return entry.second.phase == RequestPhase::kClaiming; });
  return claiming >= scope.context.options.tuning.max_waiting_requests;
}

void AdmitNonIdempotentCall(EventScope& scope, Request request) {
  if (request.call.idempotency_key.empty()) {
    Refuse(scope, request, refusals::kIdempotencyKeyMissing);
    return;
  }
  if (HasTooManyClaims(scope)) {
    Refuse(scope, request, refusals::kQueueFull);
    return;
  }
  StartClaim(scope, OpenRequest(scope, std::move(request)));
}

void AdmitCall(EventScope& scope, const Team& team, Request request) {
  const CallerRequest& call = request.call;
  const Route* route = FindRoute(team, call.service, call.method, call.path);
  request.idempotent = route == nullptr ? call.method == "GET" : route->idempotent;
  request.work_class = route == nullptr ? WorkClass::kShort : route->work_class;
  SetDeadline(request, route == nullptr ? milliseconds{0} : route->deadline);
  if (!request.idempotent) {
    AdmitNonIdempotentCall(scope, std::move(request));
    return;
  }
  if (const Refusal* refusal = CheckCanStart(scope, request)) {
    Refuse(scope, request, *refusal);
    return;
  }
  Enqueue(scope, OpenRequest(scope, std::move(request)));
}

void Admit(EventScope& scope, const CallerRequest& call) {
  Request request = MakeRequest(call, scope.now);
  if (!scope.context.settings_ready) {
    Refuse(scope, request, refusals::kSettingsNotReady);
    return;
  }
  const auto caller = FindCaller(scope.context.catalog, call.key_sha256);
  if (!caller) {
    Refuse(scope, request, refusals::kUnknownKey);
    return;
  }
  request.caller = *caller;
  const Team& team = scope.context.catalog.teams.at(caller->team);
  if (call.kind == CallerRequest::Kind::kCall) {
    AdmitCall(scope, team, std::move(request));
  } else if (call.cursor.empty()) {
    AdmitCompletion(scope, team, std::move(request));
  } else {
    AdmitResume(scope, team, std::move(request));
  }
}

}  // namespace snipeturn::internal
