#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "entry_fuzz/constants.h"
#include "entry_fuzz/world.h"

namespace snipeturn::entry {

using namespace world;
using std::chrono::milliseconds;

std::vector<World::FakeUpstream*> World::LiveUpstreams(bool engines_only) {
  std::vector<FakeUpstream*> alive;
  for (auto& [id, upstream] : upstreams_) {
    if (upstream.is_alive && (upstream.is_engine || !engines_only)) {
      alive.push_back(&upstream);
    }
  }
  return alive;
}

World::FakeUpstream* World::UpstreamAt(const Endpoint& endpoint) {
  for (FakeUpstream* upstream : LiveUpstreams()) {
    if (upstream->entry.endpoint == endpoint) {
      return upstream;
    }
  }
  return nullptr;
}

void World::AddUpstream(bool is_engine) {
  FakeUpstream upstream;
  upstream.is_engine = is_engine;
  UpstreamEntry& entry = upstream.entry;
  entry.id = fmt::format("i-{}", ++next_upstream_);
  entry.service = is_engine ? "engines" : "plain";
  entry.endpoint = {"10.0.0.1", ++next_port_};
  entry.zone = fmt::format("zone-{}", next_upstream_ % kZones);
  entry.slots = kSlots;
  entry.start_time_ms = ++next_start_time_ms_;
  entry.sequence = 1;
  upstream.speed = speed_of_new_upstreams_;
  upstreams_[entry.id] = upstream;
  PublishEntry(upstream);
}

void World::MarkLeaving(int number, bool engines_only) {
  const std::vector<FakeUpstream*> alive = LiveUpstreams(engines_only);
  if (alive.empty()) {
    return;
  }
  FakeUpstream& upstream = *alive[number % alive.size()];
  if (upstream.entry.leaving) {
    return;
  }
  AddUpstream(upstream.is_engine);
  upstream.signals.is_leaving = Random(2) == 0;
  upstream.entry.leaving = true;
  upstream.entry.sequence += 1;
  // Some upstreams never report to the store that they are leaving.
  if (!upstream.signals.is_leaving || Random(2) == 0) {
    PublishEntry(upstream);
  }
  const bool is_published = !list_.records.empty() && list_.records.back().key == upstream.entry.id;
  if (is_store_up_ && is_published && write_delay_ == milliseconds{0}) {
    upstream.left_at = now_;
  }
  const UpstreamId id = upstream.entry.id;
  const std::int64_t start_time_ms = upstream.entry.start_time_ms;
  ScheduleAfter(milliseconds{1700 + Random(2000)}, [this, id, start_time_ms] {
    FakeUpstream& left = upstreams_.at(id);
    if (left.entry.start_time_ms == start_time_ms && left.is_alive) {
      TerminateUpstream(left);
    }
  });
}

void World::ExpireEntry(const UpstreamId& id, std::int64_t start_time_ms) {
  ScheduleAfter(kEntryTtl, [this, id, start_time_ms] {
    const FakeUpstream& upstream = upstreams_.at(id);
    if (upstream.entry.start_time_ms != start_time_ms) {
      return;
    }
    if (!is_store_up_) {
      ExpireEntry(id, start_time_ms);
      return;
    }
    Record record;
    record.key = id;
    Write(list_, std::move(record));
  });
}

void World::TerminateUpstream(FakeUpstream& upstream) {
  upstream.is_alive = false;
  upstream.disturbed_at = now_;
  ExpireEntry(upstream.entry.id, upstream.entry.start_time_ms);
  const auto jobs = std::exchange(upstream.jobs, {});
  for (const auto& [key, job] : jobs) {
    EndAttempt(job.host, job.incarnation, job.attempt, AttemptResult::kBroken);
  }
}

void World::Crash(int number) {
  const std::vector<FakeUpstream*> alive = LiveUpstreams();
  if (alive.size() < 5) {
    return;
  }
  FakeUpstream& upstream = *alive[number % alive.size()];
  TerminateUpstream(upstream);
  AddUpstream(upstream.is_engine);
}

void World::ReassignAddress(int number) {
  const std::vector<FakeUpstream*> alive = LiveUpstreams();
  FakeUpstream& upstream = *alive[number % alive.size()];
  const Endpoint endpoint = upstream.entry.endpoint;
  const bool is_engine = upstream.is_engine;
  TerminateUpstream(upstream);
  AddUpstream(is_engine);
  AddUpstream(!is_engine);
  FakeUpstream& other = upstreams_.at(fmt::format("i-{}", next_upstream_));
  other.entry.endpoint = endpoint;
  other.entry.sequence += 1;
  PublishEntry(other);
}

void World::Restart(int number) {
  const std::vector<FakeUpstream*> alive = LiveUpstreams();
  FakeUpstream& upstream = *alive[number % alive.size()];
  TerminateUpstream(upstream);
  upstream.is_alive = true;
  upstream.left_at.reset();
  upstream.signals = {};
  upstream.told_leaving_at.clear();
  upstream.pauses.clear();
  upstream.entry.leaving = false;
  upstream.entry.start_time_ms = ++next_start_time_ms_;
  upstream.entry.sequence = 1;
  PublishEntry(upstream);
}

void World::SetFault(int number, int fault) {
  const std::vector<FakeUpstream*> alive = LiveUpstreams();
  alive[number % alive.size()]->fault = fault;
  alive[number % alive.size()]->disturbed_at = now_;
}

void World::SetEngineFaults(int fault) {
  for (FakeUpstream* upstream : LiveUpstreams(true)) {
    upstream->fault = fault;
    upstream->disturbed_at = now_;
  }
}

void World::SetSpeed(int number, int speed) {
  const std::vector<FakeUpstream*> alive = LiveUpstreams();
  ChangeSpeed(*alive[number % alive.size()], speed);
}

void World::SetAllSpeeds(int speed) {
  speed_of_new_upstreams_ = kSpeeds[speed % kSpeedCount];
  for (auto& [id, upstream] : upstreams_) {
    ChangeSpeed(upstream, speed);
  }
}

void World::ChangeSpeed(FakeUpstream& upstream, int speed) {
  upstream.speed = kSpeeds[speed % kSpeedCount];
  upstream.speed_changed_at = now_;
  upstream.speed_known_at.clear();
}

void World::RecordKnownSpeed(FakeUpstream& upstream, const Job& job) {
  const bool shows_speed = !upstream.is_engine || job.events >= job.events_at_start + 2;
  if (shows_speed && job.started_at >= upstream.speed_changed_at) {
    upstream.speed_known_at.emplace(ProcessId{job.host, job.incarnation}, now_ + kMaxMessageDelay);
  }
}

void World::SetPause(int number, milliseconds pause) {
  const std::vector<FakeUpstream*> alive = LiveUpstreams();
  backpressure::Signals& signals = alive[number % alive.size()]->signals;
  signals.pause = pause > milliseconds{0} ? std::optional(pause) : std::nullopt;
}

}  // namespace snipeturn::entry
