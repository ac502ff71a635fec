#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "entry_fuzz/constants.h"
#include "entry_fuzz/world.h"

namespace snipeturn::entry {

using namespace world;
using std::chrono::milliseconds;

void World::Request(int number, RouteKind kind) {
  RequestOf(number, kind, false, 0);
}

void World::RequestResumable(int number, std::uint64_t position) {
  RequestOf(number, RouteKind::kStream, true, position);
}

void World::RequestStream(int number, std::uint64_t length) {
  RequestOf(number, RouteKind::kStream, false, 0, length);
}

void World::RequestOf(int number,
                      RouteKind kind,
                      bool is_resumable,
                      std::uint64_t position,
                      std::optional<std::uint64_t> length) {
  const CallerId id = ++next_caller_;
  Caller& caller = callers_[id];
  caller.kind = kind;
  caller.host = number;
  caller.key = Random(2) == 0 ? "key-1" : "key-2";
  caller.sent_at = now_;
  caller.length = 5 + Random(120);
  caller.length = length.value_or(caller.length);
  caller.incarnation = hosts_[number].incarnation;
  caller.is_resumable = is_resumable;
  caller.events = caller.first_position = position;
  if (!hosts_[number].state) {
    caller.is_done = true;
    return;
  }
  CheckVersion(hosts_[number]);
  RequestArrived arrived;
  arrived.request = caller.request = ++next_request_;
  arrived.head.id = fmt::format("request-{}", id);
  arrived.head.host = "svc.example";
  if (position > 0) {
    arrived.head.position = position;
  }
  arrived.head.path = is_resumable                        ? "/short/a"
                      : kind == RouteKind::kStream        ? "/long/a"
                      : kind == RouteKind::kNonIdempotent ? "/book/a"
                                                          : "/look/a";
  arrived.head.key = caller.key;
  arrived.head.time_limit = kTimeout;
  arrived.head.prompt_tokens = 400;
  arrived.head.max_output_tokens = length ? 4 * *length : 600;
  const int incarnation = caller.incarnation;
  RunOnProcess(number, incarnation, [this, number, id, arrived] {
    hosts_[number].callers[arrived.request] = id;
    callers_.at(id).arrived_at = now_;
    ApplyEvent(number, arrived);
  });
}

void World::DisconnectCaller() {
  for (auto& [id, caller] : callers_) {
    if (caller.is_done || Random(3) != 0) {
      continue;
    }
    caller.is_done = true;
    const RequestKey request = caller.request;
    const int host = caller.host;
    RunOnProcess(host, caller.incarnation, [this, host, request] {
      hosts_[host].callers.erase(request);
      ApplyEvent(host, CallerDisconnected{request});
    });
    return;
  }
}

void World::DisconnectCallersOf(int number) {
  for (auto& [id, caller] : callers_) {
    if (caller.host == number && caller.incarnation == hosts_[number].incarnation) {
      caller.is_done = true;
    }
  }
  // Upstreams cancel jobs whose connection is closed.
  const int incarnation = hosts_[number].incarnation;
  ScheduleAfter(Delay(), [this, number, incarnation] {
    for (auto& [id, upstream] : upstreams_) {
      for (auto job = upstream.jobs.begin(); job != upstream.jobs.end();) {
        const bool is_cut = job->second.host == number && job->second.incarnation == incarnation;
        job = is_cut ? upstream.jobs.erase(job) : std::next(job);
      }
    }
  });
}

void World::CheckEndedByStop(const Host& host, CallerId id, std::string_view how) {
  const Caller& caller = callers_.at(id);
  const bool is_by_stop = host.state && host.state->is_exiting && host.stopping_since &&
                          now_ - caller.sent_at < kTimeout;
  if (!is_by_stop || caller.upstreams.empty() || caller.arrived_at <= *host.stopping_since ||
      host.paused_at >= caller.arrived_at) {
    return;
  }
  for (const auto& [upstream_id, sent_at] : caller.upstreams) {
    const FakeUpstream& upstream = upstreams_.at(upstream_id);
    const auto known = upstream.speed_known_at.find({caller.host, caller.incarnation});
    const bool is_speed_unknown =
        sent_at - upstream.speed_changed_at < kSpeedUnknown &&
        (known == upstream.speed_known_at.end() || known->second > sent_at);
    if (upstream.fault != 0 || !upstream.is_alive || upstream.disturbed_at >= sent_at ||
        upstream.speed_changed_at >= sent_at || is_speed_unknown) {
      return;
    }
  }
  ReportViolation(fmt::format(
      "LOST: caller {} of {} arrived {} ms after SIGTERM, was sent to {} {} ms "
      "after it and ended as {}",
      id, host.name, ToMilliseconds(caller.arrived_at - *host.stopping_since).count(),
      caller.upstreams.begin()->first,
      ToMilliseconds(caller.upstreams.begin()->second - *host.stopping_since).count(), how));
}

void World::CompleteCaller(int number, RequestKey request, std::string_view how, int status) {
  Host& host = hosts_[number];
  const auto found = host.callers.find(request);
  if (found == host.callers.end()) {
    ReportViolation(
        fmt::format("{} responds to request {} a second time ({})", host.name, request, how));
    return;
  }
  const CallerId id = found->second;
  host.callers.erase(found);
  Caller& caller = callers_.at(id);
  if (caller.is_done) {
    return;
  }
  caller.is_done = true;
  caller.is_served = status == 200;
  caller.is_cut = how == "broken";
  if (how == "broken" || (status == 502 && how == "stopping")) {
    CheckEndedByStop(host, id, how);
  }
  finished_ += caller.is_served ? 1 : 0;
  if (how == "finished" && caller.events != caller.length) {
    ReportViolation(fmt::format("ORDER: caller {} got {} of {} events as a complete stream", id,
                                caller.events, caller.length));
  }
  const bool says_not_run = status == 408 || status == 421 || status == 429 || status == 503;
  if (says_not_run && caller.kind != RouteKind::kIdempotent) {
    caller.is_refused = true;
    if (caller.runs > 0) {
      ReportViolation(fmt::format("REFUSED: caller {} ran and got {} {}", id, status, how));
    }
  }
}

void World::RelayToCaller(int number, const RelayEvents& relay) {
  Host& host = hosts_[number];
  const auto incoming = host.incoming.find(relay.attempt);
  const auto found = host.callers.find(relay.request);
  if (incoming == host.incoming.end() || found == host.callers.end()) {
    return;
  }
  Caller& caller = callers_.at(found->second);
  if (caller.generation.empty() || caller.is_resumable) {
    caller.generation = incoming->second.generation;
  }
  if (caller.generation != incoming->second.generation) {
    ReportViolation(fmt::format("ORDER: caller {} got events of {} and {}", found->second,
                                caller.generation, incoming->second.generation));
  }
  // The event loop relays the events after the caller's last one.
  caller.events = std::max(caller.events, incoming->second.arrived);
}

}  // namespace snipeturn::entry
