#include "standins/log/log_state.h"

#include <algorithm>

namespace snipeturn::standin {
namespace internal {

/// Bounds the memory for old versions of the host list. Versions are needed only for the list lag,
/// a few seconds at most.
constexpr std::size_t kMaxListVersions = 4096;

Json::Int64 MillisecondsBetween(LogClock::time_point from, LogClock::time_point to) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

}  // namespace internal

std::uint64_t RecordStreams::Append(const std::string& name,
                                    Json::Value value,
                                    LogClock::time_point now) {
  Stream& stream = streams_[name];
  stream.records.push_back({now, std::move(value)});
  return stream.oldest + stream.records.size() - 1;
}

Json::Value RecordStreams::Read(const std::string& name,
                                std::uint64_t from,
                                std::uint64_t limit,
                                std::chrono::milliseconds retention,
                                LogClock::time_point now) {
  Stream& stream = streams_[name];
  while (!stream.records.empty() && now - stream.records.front().time > retention) {
    stream.records.pop_front();
    ++stream.oldest;
  }
  const std::uint64_t next = stream.oldest + stream.records.size();
  Json::Value result;
  result["oldest"] = Json::UInt64{stream.oldest};
  result["next"] = Json::UInt64{next};
  result["retention_ms"] = Json::Int64{retention.count()};
  result["records"] = Json::arrayValue;
  const std::uint64_t first = std::max(from, stream.oldest);
  for (std::uint64_t offset = first; offset < next && offset - first < limit; ++offset) {
    const Record& record = stream.records[offset - stream.oldest];
    Json::Value item;
    item["offset"] = Json::UInt64{offset};
    item["age_ms"] = internal::MillisecondsBetween(record.time, now);
    item["value"] = record.value;
    result["records"].append(std::move(item));
  }
  return result;
}

std::uint64_t RecordStreams::next(const std::string& name) const {
  const auto found = streams_.find(name);
  return found == streams_.end() ? 0 : found->second.oldest + found->second.records.size();
}

void HostList::Renew(const std::string& name, Json::Value entry, LogClock::time_point now) {
  const auto found = hosts_.find(name);
  const bool changed = found == hosts_.end() || found->second.entry != entry;
  hosts_[name] = {now, std::move(entry)};
  if (changed) {
    SaveVersion(now);
  }
}

void HostList::Remove(const std::string& name, LogClock::time_point now) {
  if (hosts_.erase(name) > 0) {
    SaveVersion(now);
  }
}

void HostList::Expire(std::chrono::milliseconds ttl, LogClock::time_point now) {
  bool changed = false;
  for (auto host = hosts_.begin(); host != hosts_.end();) {
    const bool expired = now - host->second.renewed_at > ttl;
    host = expired ? hosts_.erase(host) : std::next(host);
    changed = changed || expired;
  }
  if (changed) {
    SaveVersion(now);
  }
}

void HostList::Freeze(bool frozen, std::chrono::milliseconds lag, LogClock::time_point now) {
  if (!frozen) {
    frozen_.reset();
  } else if (!frozen_) {
    frozen_ = Visible(lag, now);
  }
}

Json::Value HostList::Visible(std::chrono::milliseconds lag, LogClock::time_point now) const {
  if (frozen_) {
    return *frozen_;
  }
  for (auto version = versions_.rbegin(); version != versions_.rend(); ++version) {
    if (version->first + lag <= now) {
      return version->second;
    }
  }
  return Json::arrayValue;
}

void HostList::SaveVersion(LogClock::time_point now) {
  Json::Value list{Json::arrayValue};
  for (const auto& [name, registration] : hosts_) {
    list.append(registration.entry);
  }
  versions_.emplace_back(now, std::move(list));
  if (versions_.size() > internal::kMaxListVersions) {
    versions_.pop_front();
  }
}

bool RateLimiter::TryTake(double per_second, LogClock::time_point now) noexcept {
  if (!last_) {
    tokens_ = per_second;
  } else {
    const std::chrono::duration<double> passed = now - *last_;
    tokens_ = std::min(per_second, tokens_ + passed.count() * per_second);
  }
  last_ = now;
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

}  // namespace snipeturn::standin
