#pragma once

#include <cstdio>
#include <string>

#include "snipeturn/base/fwd.h"
#include "snipeturn/base/log_event.h"
#include "snipeturn/base/time.h"
#include "snipeturn/runtime/log_line.h"
#include "snipeturn/runtime/worker_pool.h"

namespace snipeturn {

/// Writes log lines on its own thread, so that a blocked pipe doesn't block the reducer. Lines
/// beyond the queue limit are dropped and counted.
class LogSink {
 public:
  /// @brief Creates a sink.
  /// @param host Name of this host.
  /// @param file Output file; must stay open for the lifetime of the sink.
  explicit LogSink(HostName host, std::FILE* file = stderr);

  void Write(const EmitLog& entry);

  [[nodiscard]] const WorkerPool& pool() const noexcept { return pool_; }

 private:
  HostName host_;
  std::FILE* file_;
  WorkerPool pool_;
};

}  // namespace snipeturn
