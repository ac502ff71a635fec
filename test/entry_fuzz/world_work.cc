#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "entry_fuzz/constants.h"
#include "entry_fuzz/world.h"

namespace snipeturn::entry {

using namespace world;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

/// Faults of an upstream.
constexpr int kRefusesRequests = 1;
constexpr int kLosesResponses = 2;
constexpr int kHangs = 3;
constexpr int kLosesCopyReplies = 4;
constexpr int kHasNoRoom = 5;
/// Drops kept connections, so that calls on them are reset unread, and works on when the connection
/// of a stream closes.
constexpr int kDropsConnections = 6;
/// Has no room for the last copy of a generation, but for those before.
constexpr int kRefusesLastCopy = 7;
/// Its copies wait for others, so that moves last for seconds.
constexpr int kCopiesSlowly = 8;
/// Resets half of the calls about generations unread.
constexpr int kResetsCalls = 9;
/// Turns half of these calls away.
constexpr int kTurnsCallsAway = 10;
/// Resets the connection of a stream when it gets a call about it, and turns half of the calls
/// away.
constexpr int kResetsStreams = 11;
/// Makes no events, and resets half of the calls unread.
constexpr int kStalls = 12;
/// Time by which the reply to a copy call may overtake the end of the stream that it stopped.
constexpr milliseconds kLateStreamEnd{200};
/// Time after which an engine that stalls tries to make its next event again.
constexpr milliseconds kStallInterval{100};

/// Tells whether an upstream works on when the connection of a stream closes.
bool WorksOn(int fault) noexcept {
  return fault == kDropsConnections || fault >= kResetsCalls;
}

}  // namespace

void World::StartAttempt(int number, const Send& send) {
  Host& host = hosts_[number];
  const auto caller = host.callers.find(send.request);
  if (caller == host.callers.end()) {
    ReportViolation(fmt::format("{} sends request {} after its end", host.name, send.request));
    return;
  }
  IncomingResponse incoming;
  incoming.caller = caller->second;
  incoming.sent_at = now_;
  host.incoming[send.attempt] = incoming;
  Caller& requester = callers_.at(caller->second);
  requester.upstreams.emplace(send.upstream, now_);
  const auto revoked = revoked_at_.find(requester.key);
  if (revoked != revoked_at_.end() && requester.sent_at > revoked->second + kRevocationBound) {
    ReportViolation(fmt::format(
        "CONFIG: caller {} is served by {} with a key that was revoked {} ms "
        "before",
        caller->second, host.name, ToMilliseconds(requester.sent_at - revoked->second).count()));
  }
  const int incarnation = host.incarnation;
  ScheduleAfter(Delay(),
                [this, number, incarnation, send] { DeliverRequest(number, incarnation, send); });
}

void World::EndAttempt(int number,
                       int incarnation,
                       AttemptKey attempt,
                       AttemptResult result,
                       int status,
                       bool ends_with_connection) {
  ScheduleAfter(Delay(),
                [this, number, incarnation, attempt, result, status, ends_with_connection] {
                  RunOnProcess(number, incarnation,
                               [this, number, attempt, result, status, ends_with_connection] {
                                 Host& host = hosts_[number];
                                 const auto incoming = host.incoming.find(attempt);
                                 if (incoming == host.incoming.end()) {
                                   return;
                                 }
                                 const bool is_cancelled = incoming->second.is_cancelled;
                                 // Events that have arrived are relayed before the end of the
                                 // attempt.
                                 if (!is_cancelled) {
                                   AttemptEnded ended;
                                   ended.attempt = attempt;
                                   ended.result = result;
                                   ended.status = status;
                                   ended.relayable = result == AttemptResult::kAnswered;
                                   ended.ends_with_connection = ends_with_connection;
                                   ApplyEvent(number, ended);
                                 }
                               });
                });
}

void World::DeliverRequest(int number, int incarnation, const Send& send) {
  const Host& host = hosts_[number];
  const auto incoming = host.incoming.find(send.attempt);
  if (host.incarnation != incarnation || !host.state || incoming == host.incoming.end()) {
    return;
  }
  // A cancelled request may already have been sent.
  if (incoming->second.is_cancelled && Random(2) == 0) {
    return;
  }
  const CallerId caller = incoming->second.caller;
  FakeUpstream* upstream = UpstreamAt(send.endpoint);
  if (upstream == nullptr) {
    EndAttempt(number, incarnation, send.attempt, AttemptResult::kUnsent);
    return;
  }
  if (upstream->entry.id != send.upstream) {
    EndAttempt(number, incarnation, send.attempt, AttemptResult::kWrongUpstream, 421);
    return;
  }
  CheckSignalsKept(*upstream, number, incarnation, callers_.at(caller));
  SendSignals(*upstream, number, incarnation, send.attempt);
  if (upstream->fault == kRefusesRequests || upstream->signals.pause) {
    EndAttempt(number, incarnation, send.attempt, AttemptResult::kNotExecuted, 503);
  } else {
    StartJob(*upstream, number, incarnation, send, caller);
  }
}

void World::SendSignals(const FakeUpstream& upstream,
                        int number,
                        int incarnation,
                        AttemptKey attempt) {
  const UpstreamId id = upstream.entry.id;
  const std::int64_t start_time_ms = upstream.entry.start_time_ms;
  const backpressure::Signals signals = upstream.signals;
  ScheduleAfter(Delay(), [this, id, start_time_ms, signals, number, incarnation, attempt] {
    RunOnProcess(
        number, incarnation, [this, id, start_time_ms, signals, number, incarnation, attempt] {
          const auto incoming = hosts_[number].incoming.find(attempt);
          if (incoming == hosts_[number].incoming.end() || incoming->second.is_cancelled) {
            return;
          }
          FakeUpstream& told = upstreams_.at(id);
          if (told.entry.start_time_ms == start_time_ms) {
            const ProcessId process{number, incarnation};
            if (signals.is_leaving) {
              told.told_leaving_at.emplace(process, now_);
            }
            if (signals.pause) {
              told.pauses[process].push_back({now_ + kPauseGrace, now_ + *signals.pause, 0});
            }
          }
          ApplyEvent(number, UpstreamSignalled{id, incoming->second.sent_at, signals, true});
        });
  });
}

void World::CheckSignalsKept(FakeUpstream& upstream,
                             int number,
                             int incarnation,
                             const Caller& caller) {
  const Host& host = hosts_[number];
  const ProcessId process{number, incarnation};
  const auto told = upstream.told_leaving_at.find(process);
  if (told != upstream.told_leaving_at.end() && host.paused_at < told->second &&
      caller.sent_at > told->second + kDrainPeriod) {
    ReportViolation(
        fmt::format("DRAIN: {} got a request from {} {} ms after it said that it leaves",
                    upstream.entry.id, host.name, ToMilliseconds(now_ - told->second).count()));
  }
  for (StatedPause& pause : upstream.pauses[process]) {
    const bool is_inside = now_ >= pause.from && now_ <= pause.until;
    pause.requests += is_inside ? 1 : 0;
    if (is_inside && pause.requests > kMaxRequestsInPause && host.paused_at < pause.from) {
      ReportViolation(fmt::format("BUDGET: {} got {} requests from {} in a pause that it asked for",
                                  upstream.entry.id, pause.requests, host.name));
    }
  }
}

void World::CheckRequestAllowed(const FakeUpstream& upstream, int number, const Caller& caller) {
  const Host& host = hosts_[number];
  const auto evacuated = evacuated_at_.find(upstream.entry.zone);
  if (evacuated != evacuated_at_.end() &&
      now_ > evacuated->second + kEvacuationBound + kMaxMessageDelay &&
      host.degraded_until + kSettleTime < evacuated->second) {
    ReportViolation(fmt::format("EVAC: {} got a request from {}", upstream.entry.id, host.name));
  }
  if (upstream.left_at && now_ > *upstream.left_at + kDrainPeriod + kMaxMessageDelay &&
      host.degraded_until + kSettleTime < *upstream.left_at) {
    ReportViolation(fmt::format(
        "DRAIN: {} got a request from {} {} ms after its termination notice", upstream.entry.id,
        host.name, ToMilliseconds(now_ - *upstream.left_at).count()));
  }
  const auto known_leaving =
      host.known_leaving.find({upstream.entry.id, upstream.entry.start_time_ms});
  if (known_leaving != host.known_leaving.end() &&
      now_ > known_leaving->second + kDrainPeriod + kMaxMessageDelay &&
      host.paused_at < known_leaving->second) {
    ReportViolation(fmt::format(
        "DRAIN: {} got a request from {} {} ms after that had read of its end", upstream.entry.id,
        host.name, ToMilliseconds(now_ - known_leaving->second).count()));
  }
  const auto known_evacuation =
      evacuated == evacuated_at_.end()
          ? host.known_evacuations.end()
          : host.known_evacuations.find({evacuated->first, evacuated->second});
  if (known_evacuation != host.known_evacuations.end() &&
      now_ > known_evacuation->second + kEvacuationBound + kMaxMessageDelay &&
      host.paused_at < known_evacuation->second) {
    ReportViolation(fmt::format("EVAC: {} got a request from {}, which had read of the evacuation",
                                upstream.entry.id, host.name));
  }
  if (caller.is_refused) {
    ReportViolation(fmt::format("REFUSED: {} runs a request of {} that was refused",
                                upstream.entry.id, host.name));
  }
}

void World::StartJob(FakeUpstream& upstream,
                     int number,
                     int incarnation,
                     const Send& send,
                     CallerId id) {
  Caller& caller = callers_.at(id);
  CheckRequestAllowed(upstream, number, caller);
  Job job;
  job.caller = id;
  job.host = number;
  job.incarnation = incarnation;
  job.attempt = send.attempt;
  if (send.resume) {
    const auto copy = copies_.find(send.resume->handle);
    if (copy == copies_.end()) {
      EndAttempt(number, incarnation, send.attempt, AttemptResult::kNotExecuted, 503);
      return;
    }
    if (copy->second.caller != id) {
      ReportViolation(fmt::format("MIXED: caller {} resumes from the memory of caller {}", id,
                                  copy->second.caller));
    }
    job.generation = copy->second.generation;
    job.events = job.sent = send.resume->events;
    copies_.erase(copy);
    ++migrations_;
    ScheduleAfter(kMaxMigrationOverlap, [this, id] { CheckSingleRun(id); });
  } else {
    caller.runs += 1;
    if (caller.is_resumable) {
      if (caller.runs > kMaxRuns) {
        ReportViolation(fmt::format("BUDGET: caller {} runs {} times", id, caller.runs));
      }
      if (send.position != caller.events) {
        ReportViolation(
            fmt::format("ORDER: caller {} has {} events, but a run continues after event {}", id,
                        caller.events, send.position));
      }
      job.events = job.sent = send.position;
      // Before the first event of a run its request is repeated, which the route allows.
      if (caller.runs > 1 && send.position > caller.first_position) {
        ScheduleAfter(kMaxMigrationOverlap, [this, id] { CheckSingleRun(id); });
      }
      resumed_anew_ += caller.runs > 1 ? 1 : 0;
    } else if (send.position != 0) {
      ReportViolation(fmt::format("ORDER: caller {} gets a run that continues after event {}", id,
                                  send.position));
    }
    if (caller.runs > 1 && caller.kind != RouteKind::kIdempotent && !caller.is_resumable) {
      ReportViolation(fmt::format("TWICE: caller {} runs again at {}", id, upstream.entry.id));
    }
    job.generation = fmt::format("{}@{}", id, upstream.entry.id);
  }
  job.started_at = now_;
  job.events_at_start = job.events;
  job.ends_with_connection = id % 2 == 0;
  const std::uint64_t key = ++next_job_;
  upstream.jobs[key] = job;
  const UpstreamId upstream_id = upstream.entry.id;
  const std::int64_t start_time_ms = upstream.entry.start_time_ms;
  if (caller.kind == RouteKind::kStream) {
    ScheduleAfter(
        send.resume ? upstream.speed.event_interval : upstream.speed.first_event,
        [this, upstream_id, start_time_ms, key] { ProduceEvent(upstream_id, start_time_ms, key); });
  } else {
    const auto time = upstream.fault == kHangs ? kHangDuration : upstream.speed.call;
    ScheduleAfter(time, [this, upstream_id, start_time_ms, key] {
      RespondToJob(upstream_id, start_time_ms, key);
    });
  }
}

void World::CheckSingleRun(CallerId id) {
  int running = 0;
  const Host& host = hosts_[callers_.at(id).host];
  for (const auto& [upstream_id, upstream] : upstreams_) {
    for (const auto& [key, job] : upstream.jobs) {
      running += job.caller == id ? 1 : 0;
    }
  }
  if (running > 1 && host.state && !host.is_paused) {
    ReportViolation(
        fmt::format("TWICE: {} upstreams run the migrated request of caller {}", running, id));
  }
}

void World::RespondToJob(const UpstreamId& id, std::int64_t start_time_ms, std::uint64_t key) {
  FakeUpstream& upstream = upstreams_.at(id);
  const auto found = upstream.jobs.find(key);
  if (upstream.entry.start_time_ms != start_time_ms || found == upstream.jobs.end()) {
    return;
  }
  const Job job = found->second;
  upstream.jobs.erase(found);
  RecordKnownSpeed(upstream, job);
  const bool is_lost = upstream.fault == kLosesResponses;
  EndAttempt(job.host, job.incarnation, job.attempt,
             is_lost ? AttemptResult::kBroken : AttemptResult::kAnswered, is_lost ? 0 : 200);
}

void World::ProduceEvent(const UpstreamId& id, std::int64_t start_time_ms, std::uint64_t key) {
  FakeUpstream& upstream = upstreams_.at(id);
  const auto found = upstream.jobs.find(key);
  if (upstream.entry.start_time_ms != start_time_ms || found == upstream.jobs.end()) {
    return;
  }
  if (upstream.fault == kStalls) {
    ScheduleAfter(kStallInterval,
                  [this, id, start_time_ms, key] { ProduceEvent(id, start_time_ms, key); });
    return;
  }
  Job& job = found->second;
  const std::uint64_t length = callers_.at(job.caller).length;
  job.events = std::min(length, job.events + 1);
  const int number = job.host;
  const int incarnation = job.incarnation;
  const AttemptKey attempt = job.attempt;
  const std::string generation = job.generation;
  const std::uint64_t events = job.events;
  // A fixed delay, since a connection delivers events in order.
  ScheduleAfter(microseconds{300}, [this, number, incarnation, attempt, generation, events] {
    RunOnProcess(number, incarnation, [this, number, attempt, generation, events] {
      const auto incoming = hosts_[number].incoming.find(attempt);
      if (incoming == hosts_[number].incoming.end() || incoming->second.is_cancelled) {
        return;
      }
      incoming->second.generation = generation;
      incoming->second.arrived = events;
      ApplyEvent(number, StreamProgressed{attempt, events});
    });
  });
  if (events < length) {
    ScheduleAfter(upstream.speed.event_interval,
                  [this, id, start_time_ms, key] { ProduceEvent(id, start_time_ms, key); });
    return;
  }
  RecordKnownSpeed(upstream, job);
  const bool ends_with_connection = job.ends_with_connection;
  upstream.jobs.erase(found);
  ScheduleAfter(milliseconds{1}, [this, number, incarnation, attempt, ends_with_connection] {
    EndAttempt(number, incarnation, attempt, AttemptResult::kStreamFinished, 200,
               ends_with_connection);
  });
}

void World::CloseAttempt(int number, AttemptKey attempt) {
  Host& host = hosts_[number];
  const auto incoming = host.incoming.find(attempt);
  if (incoming == host.incoming.end()) {
    return;
  }
  incoming->second.is_cancelled = true;
  const int incarnation = host.incarnation;
  ScheduleAfter(Delay(), [this, number, incarnation, attempt] {
    for (auto& [id, upstream] : upstreams_) {
      for (auto job = upstream.jobs.begin(); job != upstream.jobs.end();) {
        const bool is_closed = job->second.host == number &&
                               job->second.incarnation == incarnation &&
                               job->second.attempt == attempt && !WorksOn(upstream.fault);
        if (is_closed) {
          CheckMayBeClosed(upstream, job->second);
        }
        job = is_closed ? upstream.jobs.erase(job) : std::next(job);
      }
    }
  });
}

void World::CheckMayBeClosed(const FakeUpstream& upstream, const Job& job) {
  const Caller& caller = callers_.at(job.caller);
  const Host& host = hosts_[job.host];
  const bool is_wanted = caller.kind == RouteKind::kStream && (!caller.is_done || caller.is_cut) &&
                         now_ - caller.sent_at < kTimeout;
  if (is_wanted && upstream.fault == 0 && host.state && !host.state->is_exiting) {
    ReportViolation(fmt::format("LOST: {} closes the connection on which {} runs the stream of {}",
                                host.name, upstream.entry.id, job.caller));
  }
}

World::CallConnection World::AcquireConnection(FakeUpstream& upstream,
                                               int number,
                                               int incarnation,
                                               bool needs_new_connection) {
  CallConnection connection;
  std::vector<CallConnection>& idle = upstream.call_connections[{number, incarnation}];
  const auto found = std::find_if(idle.rbegin(), idle.rend(), [](const CallConnection& candidate) {
    return loop::MayCarry(candidate.history, loop::ResponseMatch::kConnection);
  });
  if (!needs_new_connection && found != idle.rend()) {
    connection = *found;
    idle.erase(std::next(found).base());
  }
  loop::RecordCall(connection.history, loop::ResponseMatch::kConnection);
  return connection;
}

void World::CopyGeneration(int number, int incarnation, const StartCopy& call) {
  CopyEnded ended;
  ended.request = call.request;
  ended.copy = call.copy;
  microseconds reply_delay = milliseconds{30 + Random(60)};
  FakeUpstream* source = UpstreamAt(call.source);
  if (source == nullptr || source->entry.id != call.source_id) {
    const bool is_host_gone = call.source.port % 2 == 0;
    ended.status = source != nullptr ? CopyStatus::kUnknownRun
                   : is_host_gone    ? CopyStatus::kUnreachable
                                     : CopyStatus::kConnectionRefused;
    reply_delay = source != nullptr ? reply_delay : milliseconds{is_host_gone ? 300 : 1};
  } else {
    if (source->fault == kCopiesSlowly) {
      reply_delay = milliseconds{300 + Random(600)};
    }
    const auto job = std::find_if(source->jobs.begin(), source->jobs.end(), [&](const auto& entry) {
      return entry.second.host == number && entry.second.incarnation == incarnation &&
             callers_.at(entry.second.caller).request == call.request;
    });
    if (source->fault == kResetsStreams && job != source->jobs.end()) {
      EndAttempt(number, incarnation, job->second.attempt, AttemptResult::kBroken, 200);
    }
    const bool fails_calls = source->fault >= kResetsCalls && Random(2) == 0;
    if (fails_calls) {
      const bool is_turned_away =
          source->fault == kTurnsCallsAway || source->fault == kResetsStreams;
      ended.status = is_turned_away ? CopyStatus::kNoRoom : CopyStatus::kNoAnswer;
      reply_delay = milliseconds{1};
    } else if (source->fault == kDropsConnections && call.final && !call.needs_new_connection) {
      ended.status = CopyStatus::kNoAnswer;
    } else if (job == source->jobs.end()) {
      ended.status = CopyStatus::kUnknownRun;
    } else {
      const FakeUpstream* target = UpstreamAt(call.target);
      const bool has_room = target != nullptr && target->fault != kHasNoRoom &&
                            !(call.final && target->fault == kRefusesLastCopy);
      ended.status = has_room ? CopyStatus::kCopied : CopyStatus::kNoRoom;
      ended.events = job->second.events;
      if (has_room || call.final) {
        ended.handle = fmt::format("{}-{}-{}", job->second.generation, number, call.copy);
        copies_[ended.handle] = {job->second.caller, job->second.generation, ended.events,
                                 call.final};
      }
      if (call.final) {
        const Job stopped = job->second;
        source->jobs.erase(job);
        // The end of the stream may overtake the reply to the call, or come after it.
        ScheduleAfter(call.copy % 3 == 0 ? kLateStreamEnd : milliseconds{1}, [this, stopped] {
          EndAttempt(stopped.host, stopped.incarnation, stopped.attempt,
                     stopped.ends_with_connection ? AttemptResult::kStreamFinished
                                                  : AttemptResult::kBroken,
                     200, stopped.ends_with_connection);
        });
      }
      if (source->fault == kLosesCopyReplies) {
        ended.status = CopyStatus::kNoAnswer;
        ended.handle.clear();
        reply_delay = milliseconds{500};
      }
    }
  }
  if (!IsUnanswered(ended.status)) {
    CallConnection connection =
        AcquireConnection(*source, number, incarnation, call.needs_new_connection);
    if (connection.late_reply) {
      // The connection is closed when the reply to this call comes after it.
      ended = *connection.late_reply;
      ended.request = call.request;
      ended.copy = call.copy;
      reply_delay = milliseconds{1};
    } else {
      if (repeats_replies_ && Random(2) == 0) {
        connection.late_reply = ended;
      }
      ScheduleAfter(reply_delay, [this, id = source->entry.id, number, incarnation, connection] {
        upstreams_.at(id).call_connections[{number, incarnation}].push_back(connection);
      });
    }
  }
  ScheduleAfter(reply_delay, [this, number, incarnation, ended] {
    RunOnProcess(number, incarnation, [this, number, ended] { ApplyEvent(number, ended); });
  });
}

}  // namespace snipeturn::entry
