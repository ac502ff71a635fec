#include "snipeturn/loop/refusal_log.h"

namespace snipeturn::loop {
namespace internal {
namespace {

/// Removes the entries of past intervals that have nothing to report.
void RemoveEnded(RefusalLog& log, TimePoint now) {
  for (auto entry = log.counts.begin(); entry != log.counts.end();) {
    const bool is_ended = now - entry->second.began >= kRefusalLogInterval;
    entry = is_ended ? log.counts.erase(entry) : std::next(entry);
  }
}

}  // namespace
}  // namespace internal

bool IsClientFault(int status) noexcept {
  return status >= 400 && status < 500 && status != 429;
}

std::optional<std::uint64_t> AdmitRefusalLine(RefusalLog& log,
                                              std::string_view client,
                                              std::string_view reason,
                                              TimePoint now) {
  const std::pair key{std::string(client), std::string(reason)};
  auto found = log.counts.find(key);
  if (found == log.counts.end()) {
    if (log.counts.size() >= kMaxRefusalLogEntries) {
      internal::RemoveEnded(log, now);
    }
    if (log.counts.size() >= kMaxRefusalLogEntries) {
      return std::nullopt;
    }
    found = log.counts.emplace(key, RefusalLog::Count{0, 0, now}).first;
  }
  RefusalLog::Count& count = found->second;
  if (now - count.began >= kRefusalLogInterval) {
    count.began = now;
    count.lines = 0;
  }
  if (count.lines >= kMaxRefusalLines) {
    ++count.suppressed;
    return std::nullopt;
  }
  ++count.lines;
  return std::exchange(count.suppressed, 0);
}

}  // namespace snipeturn::loop
