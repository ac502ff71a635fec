#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "snipeturn/base/metric.h"

namespace snipeturn {

/// A value that is read when the metrics are.
struct Gauge {
  std::string name;
  std::string label_name;
  std::string label;
  double value{0};
};

/// Counters and distributions of the process.
class MetricsRegistry {
 public:
  MetricsRegistry();
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;
  ~MetricsRegistry();

  void Add(const AddToCounter& count);
  void Add(const RecordSample& sample);

  /// @brief Writes all metrics in the Prometheus text format, durations in seconds.
  /// @param gauges Values to write beside the counters.
  /// @return The text.
  [[nodiscard]] std::string Render(const std::vector<Gauge>& gauges = {}) const;

 private:
  struct Summary;

  mutable std::mutex mutex_;
  std::map<std::string, std::pair<std::string, std::map<std::string, std::uint64_t>>> counters_;
  std::map<Distribution, std::unique_ptr<Summary>> summaries_;
};

}  // namespace snipeturn
