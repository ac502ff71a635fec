#pragma once

#include <cstdint>
#include <string>

#include "snipeturn/base/log_event.h"
#include "snipeturn/base/time.h"

namespace snipeturn::loop {

/// Writes log lines to a file descriptor without blocking: lines wait in a bounded buffer; when it
/// is full, further lines are dropped and counted.
class LogWriter {
 public:
  /// @brief Makes a writer and sets the descriptor to non-blocking.
  /// @param host Name of this host, part of each line.
  /// @param descriptor Output; must stay open for the lifetime of the writer.
  LogWriter(std::string host, int descriptor);

  void Write(const EmitLog& entry, WallTime time);

  /// @brief Writes as many buffered bytes as the descriptor accepts.
  void Flush();

  [[nodiscard]] std::uint64_t dropped_lines() const noexcept { return dropped_lines_; }

 private:
  std::string host_;
  int descriptor_;
  std::string buffer_;
  std::uint64_t dropped_lines_{0};
  std::uint64_t reported_dropped_lines_{0};
};

}  // namespace snipeturn::loop
