#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "entry_fuzz/constants.h"
#include "entry_fuzz/world.h"
#include "snipeturn/entry/readers.h"

namespace snipeturn::entry {

using namespace world;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr char kConfigurationKey[] = "config";
constexpr milliseconds kReadTimeout{300};
constexpr milliseconds kReadRetryDelay{400};
constexpr milliseconds kPollInterval{30};
constexpr milliseconds kIntervalRecheck{300};
constexpr milliseconds kMinReadInterval{250};
/// Time after the store's recovery at which upstreams whose entries expired are listed again.
constexpr milliseconds kReregistrationDelay{1500};

Route MakeRoute(std::string prefix, RouteKind kind, std::string service) {
  Route route;
  route.name = prefix;
  route.host = "svc.example";
  route.path_prefix = std::move(prefix);
  route.kind = kind;
  route.services = {{std::move(service), 1}};
  route.timeout = kTimeout;
  route.latency_objective = milliseconds{800};
  route.max_upstreams = kind == RouteKind::kIdempotent ? 2 : 1;
  return route;
}

}  // namespace

void World::Write(Topic& topic, Record record) {
  if (write_delay_ > milliseconds{0}) {
    ScheduleAfter(write_delay_, [&topic, record] { topic.records.push_back(record); });
    return;
  }
  topic.records.push_back(std::move(record));
}

void World::Configure() {
  DesiredState desired;
  desired.version = ++version_;
  Service engines;
  engines.name = "engines";
  engines.engine = EngineLimits{};
  engines.engine->slots = kSlots;
  engines.engine->memory_tokens = 60000;
  engines.engine->supports_migration = true;
  engines.engine->tokens_per_event = 4;
  desired.services["engines"] = engines;
  desired.services["plain"].name = "plain";
  desired.routes = {MakeRoute("/long/", RouteKind::kStream, "engines"),
                    MakeRoute("/book/", RouteKind::kNonIdempotent, "plain"),
                    MakeRoute("/look/", RouteKind::kIdempotent, "plain"),
                    MakeRoute("/short/", RouteKind::kStream, "engines")};
  desired.routes.back().is_resumable = true;
  desired.routes.back().max_upstreams = kMaxRuns;
  // Every other version has routes that compete for the engines.
  if (version_ % 2 == 0) {
    desired.routes.front().priority = 2;
    desired.routes.front().latency_objective *= 2;
  }
  desired.has_organisations = true;
  for (const std::string& key : keys_) {
    desired.organisation_by_key[key] = {"org-" + key, std::nullopt};
  }
  desired_ = desired;
  configured_at_ = now_;
  Record record;
  record.key = kConfigurationKey;
  record.desired = std::move(desired);
  record.is_set = true;
  // Not delayed: the operator waits until the write is acknowledged.
  configuration_.records.push_back(std::move(record));
}

void World::Revoke() {
  if (!is_store_up_ || keys_.count("key-2") == 0) {
    return;
  }
  keys_.erase("key-2");
  Configure();
  revoked_at_["key-2"] = now_;
}

void World::Evacuate(int zone, bool is_evacuated) {
  if (!is_store_up_) {
    return;
  }
  Record record;
  record.key = "zone-" + std::to_string(zone);
  record.is_set = is_evacuated;
  configuration_.records.push_back(std::move(record));
  if (is_evacuated) {
    evacuated_at_.emplace("zone-" + std::to_string(zone), now_);
  } else {
    evacuated_at_.erase("zone-" + std::to_string(zone));
  }
}

void World::SetStore(bool is_up, bool expires_entries) {
  if (is_store_up_ && !is_up && expires_entries) {
    for (const FakeUpstream* upstream : LiveUpstreams()) {
      Record record;
      record.key = upstream->entry.id;
      list_.records.push_back(std::move(record));
    }
  }
  if (!is_store_up_ && is_up) {
    ScheduleAfter(kReregistrationDelay, [this] {
      for (const FakeUpstream* upstream : LiveUpstreams()) {
        PublishEntry(*upstream);
      }
    });
  }
  is_store_up_ = is_up;
  if (is_up && has_lost_records_) {
    RewriteLostRecords();
  }
}

void World::ReturnStore(std::size_t lost_configurations, std::size_t lost_entries) {
  const auto drop = [](Topic& topic, std::size_t count, std::size_t kept) {
    const std::size_t size = topic.records.size();
    topic.records.resize(std::max(std::min(size, kept), size - std::min(size, count)));
    topic.first = std::min(topic.first, topic.records.size());
  };
  drop(configuration_, lost_configurations, 1);
  drop(list_, lost_entries, 0);
  ++era_;
  for (Host& host : hosts_) {
    host.degraded_until = now_;
  }
  has_lost_records_ = true;
  ScheduleRewriting(milliseconds{100 + Random(kMaxRewritingDelay.count())});
}

void World::ScheduleRewriting(milliseconds delay) {
  const StoreEra era = era_;
  ScheduleAfter(delay, [this, era] {
    if (era == era_ && is_store_up_ && has_lost_records_) {
      RewriteLostRecords();
    }
  });
}

void World::RewriteLostRecords() {
  has_lost_records_ = false;
  Record record;
  record.key = kConfigurationKey;
  record.desired = desired_;
  record.is_set = true;
  configuration_.records.push_back(std::move(record));
  configured_at_ = now_;
  for (int zone = 0; zone < kZones; ++zone) {
    Record evacuation;
    evacuation.key = "zone-" + std::to_string(zone);
    evacuation.is_set = evacuated_at_.count(evacuation.key) > 0;
    configuration_.records.push_back(std::move(evacuation));
  }
  for (auto& [id, upstream] : upstreams_) {
    if (upstream.is_alive) {
      upstream.entry.sequence += 1;
      PublishEntry(upstream);
    } else {
      ExpireEntry(id, upstream.entry.start_time_ms);
    }
  }
}

void World::RecordKnowledge(Host& host) {
  const State& state = *host.state;
  for (const auto& [id, upstream] : state.upstreams) {
    if (upstream.entry.leaving) {
      host.known_leaving.emplace(std::pair(id, upstream.entry.start_time_ms), now_);
    }
  }
  for (const auto& [zone, at] : evacuated_at_) {
    if (state.evacuated_zones.count(zone) > 0) {
      host.known_evacuations.emplace(std::pair(zone, at), now_);
    }
  }
  const std::int64_t version = state.desired ? state.desired->version : 0;
  if (version < host.highest_version) {
    ReportViolation(fmt::format("CONFIG: {} went back from version {} to {}", host.name,
                                host.highest_version, version));
  }
  host.highest_version = version;
}

void World::CheckVersion(const Host& host) {
  const bool is_due = !IsDegraded(host) &&
                      now_ > configured_at_ + kConfigurationBound + kMaxMessageDelay &&
                      now_ > host.degraded_until + kSettleTime + kConfigurationBound;
  if (is_due && host.state->desired && host.state->desired->version < version_) {
    ReportViolation(fmt::format("CONFIG: {} has version {} in force {} ms after the ack of {}",
                                host.name, host.state->desired->version,
                                ToMilliseconds(now_ - configured_at_).count(), version_));
  }
}

void World::CompactTopics() {
  configuration_.first = configuration_.records.size();
  list_.first = list_.records.size();
}

void World::PublishEntry(const FakeUpstream& upstream) {
  Record record;
  record.key = upstream.entry.id;
  record.upstream = upstream.entry;
  record.is_set = true;
  Write(list_, std::move(record));
}

void World::ScheduleRead(int host, bool is_list, microseconds delay) {
  Host& reader = hosts_[host];
  Follower& follower = is_list ? reader.list : reader.configuration;
  const std::uint64_t read_number = ++follower.read_number;
  // Reads that are triggered by messages keep a minimum interval.
  delay = std::max<microseconds>(delay, kMinReadInterval - (now_ - follower.began));
  const int incarnation = reader.incarnation;
  ScheduleAfter(delay, [this, host, incarnation, is_list, read_number] {
    RunOnProcess(host, incarnation, [this, host, is_list, read_number] {
      Follower& scheduled = is_list ? hosts_[host].list : hosts_[host].configuration;
      if (scheduled.read_number == read_number && !scheduled.is_reading) {
        Read(host, is_list);
      }
    });
  });
}

void World::Read(int host, bool is_list) {
  Host& reader = hosts_[host];
  Follower& follower = is_list ? reader.list : reader.configuration;
  follower.is_reading = true;
  follower.began = now_;
  const auto wait = is_list ? milliseconds{500} : PlanConfigurationReads(*reader.state, now_).wait;
  const int incarnation = reader.incarnation;
  const TimePoint until = now_ + (follower.next ? wait : milliseconds{0});
  ScheduleAfter(Delay(), [this, host, incarnation, is_list, until] {
    RunOnProcess(host, incarnation,
                 [this, host, is_list, until] { CompleteRead(host, is_list, until); });
  });
}

void World::CompleteRead(int host, bool is_list, TimePoint until) {
  Host& reader = hosts_[host];
  const int incarnation = reader.incarnation;
  Follower& follower = is_list ? reader.list : reader.configuration;
  const Topic& topic = is_list ? list_ : configuration_;
  if (!is_store_up_ || reader.is_partitioned_from_store) {
    ScheduleAfter(kReadTimeout, [this, host, incarnation, is_list] {
      RunOnProcess(host, incarnation, [this, host, is_list] {
        (is_list ? hosts_[host].list : hosts_[host].configuration).is_reading = false;
        ScheduleRead(host, is_list, kReadRetryDelay);
        ApplyEvent(host, StoreReadFailed{"no answer"});
      });
    });
    return;
  }
  if (follower.next && follower.era == era_ && *follower.next >= topic.records.size() &&
      now_ < until) {
    ScheduleAfter(kPollInterval, [this, host, incarnation, is_list, until] {
      RunOnProcess(host, incarnation,
                   [this, host, is_list, until] { CompleteRead(host, is_list, until); });
    });
    return;
  }
  follower.is_reading = false;
  if (reader.era < era_) {
    reader.era = era_;
    ApplyEvent(host, StoreEraRead{era_});
    if (!reader.state || reader.incarnation != incarnation) {
      return;
    }
  }
  if (!follower.next || follower.era != era_ || *follower.next < topic.first) {
    ApplySnapshot(host, is_list);
  }
  for (std::size_t offset = *follower.next; offset < topic.records.size(); ++offset) {
    follower.next = offset + 1;
    ApplyRecord(host, is_list, topic.records[offset], offset);
    if (!reader.state || reader.incarnation != incarnation || !follower.next) {
      return;  // The process has ended, or a snapshot has been scheduled.
    }
  }
  const TimePoint began = follower.began;
  if (is_list) {
    ApplyEvent(host, ListConfirmed{began, {era_, *follower.next}});
  } else {
    ApplyEvent(host, StoreConfirmed{began, {era_, *follower.next}});
  }
  if (!reader.state || reader.incarnation != incarnation) {
    return;
  }
  ReadAfterInterval(host, incarnation, is_list, follower.read_number);
}

void World::ReadAfterInterval(int host, int incarnation, bool is_list, std::uint64_t read_number) {
  RunOnProcess(host, incarnation, [this, host, incarnation, is_list, read_number] {
    const Host& reader = hosts_[host];
    const Follower& follower = is_list ? reader.list : reader.configuration;
    if (follower.read_number != read_number || follower.is_reading) {
      return;
    }
    const auto interval = is_list ? ListReadInterval(*reader.state, now_)
                                  : PlanConfigurationReads(*reader.state, now_).interval;
    const microseconds rest = interval - (now_ - follower.began);
    if (rest <= microseconds{0}) {
      Read(host, is_list);
      return;
    }
    // The interval may become shorter while the follower waits.
    ScheduleAfter(std::min<microseconds>(rest, kIntervalRecheck),
                  [this, host, incarnation, is_list, read_number] {
                    ReadAfterInterval(host, incarnation, is_list, read_number);
                  });
  });
}

void World::ApplySnapshot(int host, bool is_list) {
  Host& reader = hosts_[host];
  const Topic& topic = is_list ? list_ : configuration_;
  Follower& follower = is_list ? reader.list : reader.configuration;
  follower.next = topic.records.size();
  follower.era = era_;
  std::map<std::string, std::size_t> newest;
  for (std::size_t offset = 0; offset < topic.records.size(); ++offset) {
    newest[topic.records[offset].key] = offset;
  }
  if (!is_list) {
    EvacuationsRead read;
    for (const auto& [key, offset] : newest) {
      const Record& record = topic.records[offset];
      if (record.desired) {
        ApplyRecord(host, false, record, offset);
      } else if (record.is_set) {
        read.evacuations.push_back({record.key, true, {era_, offset}});
      }
    }
    ApplyEvent(host, read);
    return;
  }
  UpstreamListRead read;
  read.end = {era_, topic.records.size()};
  for (const auto& [key, offset] : newest) {
    if (const auto& upstream = topic.records[offset].upstream) {
      read.entries.push_back({*upstream, {era_, offset}});
    }
  }
  ApplyEvent(host, read);
}

void World::ApplyRecord(int host, bool is_list, const Record& record, std::size_t offset) {
  if (!is_list) {
    if (record.desired) {
      ApplyEvent(host, DesiredStateRead{*record.desired});
    } else {
      ApplyEvent(host, EvacuationRead{record.key, record.is_set, {era_, offset}});
    }
  } else if (record.upstream) {
    ApplyEvent(host, UpstreamListed{*record.upstream, {era_, offset}});
  } else {
    ApplyEvent(host, UpstreamUnlisted{record.key, {era_, offset}});
  }
}

}  // namespace snipeturn::entry
