#pragma once

#include <json/value.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "snipeturn/base/host.h"
#include "snipeturn/reducer/log_record.h"
#include "snipeturn/reducer/platform.h"

namespace snipeturn {

/// Result of an append.
enum class AppendResult : std::uint8_t {
  kAppended,
  /// The log refused the record or was not reached: the append had no effect.
  kRefused,
  /// No response, or an unclear one: the append may have taken effect.
  kUnknown,
};

struct AppendResponse {
  AppendResult result{AppendResult::kUnknown};
  LogOffset offset{0};
};

/// Which records of a stream to read.
struct LogQuery {
  std::string stream;
  LogOffset from{0};
  std::size_t limit{500};
  /// Time that the log waits for a record when there is none (long polling); 500 ms at most.
  std::chrono::milliseconds wait{500};
};

/// @brief Appends a record to a stream of the platform's log.
/// @param log Address of the log.
/// @param stream The stream.
/// @param value The record.
/// @return The result, with the record's offset when it was appended.
[[nodiscard]] AppendResponse AppendRecord(const Endpoint& log,
                                          const std::string& stream,
                                          const Json::Value& value);

/// @brief Reads records of a stream.
/// @param log Address of the log.
/// @param query Which records to read.
/// @param began Start time of the read; copied into the result.
/// @param last_reason Receives the reason when the read fails.
/// @return The batch, or nothing. Records are in ascending order of offset, none below `from`.
[[nodiscard]] std::optional<LogRead> ReadRecords(const Endpoint& log,
                                                 const LogQuery& query,
                                                 TimePoint began,
                                                 std::string& last_reason);

/// @brief Returns the offset at which to continue reading after a batch.
/// @param read The batch.
/// @return The offset after its last record. For an empty batch, the offset that was requested, or
/// that of the oldest retained record if it is higher.
[[nodiscard]] LogOffset NextOffset(const LogRead& read) noexcept;

/// @brief Reads the platform's host list.
/// @param log Address of the log.
/// @param last_reason Receives the reason when the read fails.
/// @return The list, or nothing.
[[nodiscard]] std::optional<HostListRead> ReadHostList(const Endpoint& log,
                                                       std::string& last_reason);

/// @brief Registers this host or renews its registration.
/// @param log Address of the log.
/// @param host This host.
/// @return True when the platform accepted the registration.
bool RegisterHost(const Endpoint& log, const ListedHost& host);

}  // namespace snipeturn
