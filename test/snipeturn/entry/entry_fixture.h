#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "snipeturn/entry/load.h"
#include "snipeturn/entry/reducer.h"

namespace snipeturn::entry {

using namespace std::chrono_literals;

/// Applies events to the entry reducer and keeps the effects. The configuration has one engine
/// service and one plain service.
class EntryFixture {
 public:
  EntryFixture() {
    state.options.host = "host-1";
    state.options.zone = "zone-a";
    state.options.bounds.retry_slack = 50;
    desired.version = 1;
    desired.services["engines"] = Engines();
    desired.services["plain"].name = "plain";
    desired.routes = {MakeRoute("/long/", RouteKind::kStream, "engines"),
                      MakeRoute("/book/", RouteKind::kNonIdempotent, "plain"),
                      MakeRoute("/look/", RouteKind::kIdempotent, "plain")};
    desired.routes[2].max_upstreams = 2;
    desired.has_organisations = true;
    desired.organisation_by_key["key-1"] = {"org-1", std::nullopt};
    Apply(DesiredStateRead{desired});
    state.store.awaits_versions = false;
    ConfirmStore();
  }

  static Service Engines() {
    Service service;
    service.name = "engines";
    service.engine = EngineLimits{};
    service.engine->slots = 24;
    service.engine->memory_tokens = 30000;
    service.engine->supports_migration = true;
    service.engine->tokens_per_event = 4;
    return service;
  }

  static Route MakeRoute(std::string prefix, RouteKind kind, std::string service) {
    Route route;
    route.name = prefix;
    route.host = "svc.example";
    route.path_prefix = std::move(prefix);
    route.kind = kind;
    route.services = {{std::move(service), 1}};
    route.timeout = 30s;
    route.latency_objective = 1800ms;
    return route;
  }

  /// Applies an event; its effects replace those of the previous call.
  const Effects& Apply(const Event& event) {
    effects = Reduce(state, event, now);
    return effects;
  }

  /// Advances time in steps of 5 ms and collects the effects of all timers.
  const Effects& AdvanceTime(std::chrono::milliseconds time) {
    Effects all;
    const TimePoint until = now + time;
    while (now < until) {
      now = std::min(until, now + std::chrono::milliseconds(5));
      for (Effect& effect : Reduce(state, Tick{}, now)) {
        all.push_back(std::move(effect));
      }
    }
    effects = std::move(all);
    return effects;
  }

  void ConfirmStore() { Apply(StoreConfirmed{now}); }

  UpstreamEntry AddUpstream(const std::string& id,
                            const std::string& service,
                            const std::string& zone = "zone-a") {
    UpstreamEntry entry;
    entry.id = id;
    entry.service = service;
    entry.zone = zone;
    entry.endpoint = {"10.0.0." + std::to_string(++last_address), 80};
    entry.slots = service == "engines" ? 24 : 6;
    entry.start_time_ms = 1000;
    entry.sequence = ++sequence;
    Apply(UpstreamListed{entry, {0, static_cast<std::uint64_t>(sequence)}});
    return entry;
  }

  void MarkLeaving(UpstreamEntry entry) {
    entry.leaving = true;
    entry.sequence = ++sequence;
    Apply(UpstreamListed{entry, {0, static_cast<std::uint64_t>(sequence)}});
  }

  RequestKey ReceiveRequest(const std::string& path,
                            std::uint64_t prompt = 0,
                            std::uint64_t hint = 0) {
    RequestArrived arrived;
    arrived.request = ++requests;
    arrived.head.id = "request-" + std::to_string(requests);
    arrived.head.host = "svc.example";
    arrived.head.path = path;
    arrived.head.key = key;
    arrived.head.time_limit = time_limit;
    arrived.head.prompt_tokens = prompt;
    arrived.head.max_output_tokens = max_output_tokens;
    if (hint > 0) {
      arrived.head.expected_output_tokens = hint;
    }
    Apply(arrived);
    return arrived.request;
  }

  /// Effects of one type among those of the last call.
  template <typename Kind>
  std::vector<Kind> EffectsOf() const {
    std::vector<Kind> found;
    for (const Effect& effect : effects) {
      if (const auto* item = std::get_if<Kind>(&effect)) {
        found.push_back(*item);
      }
    }
    return found;
  }

  /// Starts a stream and delivers its first events.
  Send StartStream(std::uint64_t events, std::uint64_t prompt = 3000, std::uint64_t hint = 2000) {
    ReceiveRequest("/long/a", prompt, hint);
    const std::vector<Send> sends = EffectsOf<Send>();
    const Send send = sends.at(0);
    DeliverEvents(send.attempt, events);
    return send;
  }

  void DeliverEvents(AttemptKey attempt, std::uint64_t events) {
    Apply(StreamProgressed{attempt, events});
  }

  void EndAttempt(AttemptKey attempt, AttemptResult result, int status = 0) {
    AttemptEnded ended;
    ended.attempt = attempt;
    ended.result = result;
    ended.status = status;
    ended.relayable = result == AttemptResult::kAnswered;
    Apply(ended);
  }

  void EndCopy(const StartCopy& copy, CopyStatus status, std::uint64_t events = 0) {
    CopyEnded ended;
    ended.request = copy.request;
    ended.copy = copy.copy;
    ended.status = status;
    // An engine that has stopped the generation names its handle also without room at the target.
    const bool has_stopped = status == CopyStatus::kNoRoom && copy.final;
    ended.handle = status == CopyStatus::kCopied || has_stopped ? "handle-1" : "";
    ended.events = events;
    Apply(ended);
  }

  /// Ends a copy call that the engine turned away without doing anything.
  void TurnCopyAway(const StartCopy& copy) {
    CopyEnded ended;
    ended.request = copy.request;
    ended.copy = copy.copy;
    ended.status = CopyStatus::kNoRoom;
    Apply(ended);
  }

  State state;
  DesiredState desired;
  TimePoint now{std::chrono::seconds(1000)};
  Effects effects;
  std::optional<std::string> key{"key-1"};
  std::optional<std::chrono::milliseconds> time_limit{30s};
  std::uint64_t max_output_tokens{4000};
  RequestKey requests{0};
  int last_address{0};
  std::int64_t sequence{0};
};

}  // namespace snipeturn::entry
