#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace snipeturn::standin {

using LogClock = std::chrono::steady_clock;

/// Durations and rate limit of the simulated platform log.
struct LogOptions {
  std::chrono::milliseconds retention{std::chrono::minutes{30}};
  /// Age of the host list that a read returns.
  std::chrono::milliseconds list_lag{500};
  /// A registration that isn't renewed for this long expires.
  std::chrono::milliseconds host_ttl{3000};
  /// Rate limit of all appends together.
  double appends_per_second{400.0};
};

/// Append-only streams of records with offsets; records are dropped after the retention time.
class RecordStreams {
 public:
  /// @brief Appends a record.
  /// @param name The stream; created by its first record.
  /// @param value The record.
  /// @param now The time of the append.
  /// @return The record's offset.
  std::uint64_t Append(const std::string& name, Json::Value value, LogClock::time_point now);

  /// @brief Reads records in order.
  /// @param name The stream.
  /// @param from The first offset to return.
  /// @param limit Maximum number of records to return.
  /// @param retention Records older than this are dropped.
  /// @param now The time of the read.
  /// @return {"oldest", "next", "retention_ms", "records"}.
  [[nodiscard]] Json::Value Read(const std::string& name,
                                 std::uint64_t from,
                                 std::uint64_t limit,
                                 std::chrono::milliseconds retention,
                                 LogClock::time_point now);

  /// Offset of the next record to be appended to a stream.
  [[nodiscard]] std::uint64_t next(const std::string& name) const;

 private:
  struct Record {
    LogClock::time_point time;
    Json::Value value;
  };
  struct Stream {
    std::uint64_t oldest{0};
    std::deque<Record> records;
  };

  std::map<std::string, Stream> streams_;
};

/// Registered hosts, with past versions of the list so that reads can be served with a lag.
class HostList {
 public:
  /// @brief Registers a host or renews its registration.
  void Renew(const std::string& name, Json::Value entry, LogClock::time_point now);

  /// @brief Removes a host at once.
  void Remove(const std::string& name, LogClock::time_point now);

  /// @brief Removes hosts whose registration is older than `ttl`.
  void Expire(std::chrono::milliseconds ttl, LogClock::time_point now);

  /// @brief Freezes the visible list at its present version, or unfreezes it.
  void Freeze(bool frozen, std::chrono::milliseconds lag, LogClock::time_point now);

  /// @brief Returns the frozen list, or else the list as it was `lag` ago.
  [[nodiscard]] Json::Value Visible(std::chrono::milliseconds lag, LogClock::time_point now) const;

 private:
  struct Registration {
    LogClock::time_point renewed_at;
    Json::Value entry;
  };

  void SaveVersion(LogClock::time_point now);

  std::map<std::string, Registration> hosts_;
  std::deque<std::pair<LogClock::time_point, Json::Value>> versions_;
  std::optional<Json::Value> frozen_;
};

/// Token bucket that limits the appends of all hosts together; its capacity is one second's rate.
class RateLimiter {
 public:
  /// @brief Takes the token for one append.
  /// @return False when the rate is exceeded.
  [[nodiscard]] bool TryTake(double per_second, LogClock::time_point now) noexcept;

 private:
  double tokens_{0.0};
  std::optional<LogClock::time_point> last_;
};

}  // namespace snipeturn::standin
