#include "snipeturn/runtime/metrics.h"

#include <fmt/format.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstddef>
#include <iterator>
#include <string_view>

namespace snipeturn {
namespace internal {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> kQuantiles{0.5, 0.95, 0.99};

using Accumulator =
    accumulators::accumulator_set<double,
                                  accumulators::stats<accumulators::tag::count,
                                                      accumulators::tag::mean,
                                                      accumulators::tag::extended_p_square>>;

std::string_view MetricName(Distribution distribution) noexcept {
  switch (distribution) {
    case Distribution::kFirstToken:
      return "snipeturn_first_token_seconds";
    case Distribution::kBetweenTokens:
      return "snipeturn_between_tokens_seconds";
    case Distribution::kStall:
      return "snipeturn_stall_seconds";
    case Distribution::kQueue:
      return "snipeturn_queue_seconds";
    case Distribution::kClaim:
      return "snipeturn_claim_seconds";
  }
  return "";
}

/// Escapes a label value as the text format demands.
std::string EscapeLabel(std::string_view label) {
  std::string escaped;
  for (const char character : label) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') {
      escaped.push_back('\\');
    }
    escaped.push_back(character);
  }
  return escaped;
}

}  // namespace
}  // namespace internal

struct MetricsRegistry::Summary {
  internal::Accumulator samples{internal::accumulators::extended_p_square_probabilities =
                                    internal::kQuantiles};
};

MetricsRegistry::MetricsRegistry() = default;

MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::Add(const AddToCounter& count) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& [label_name, values] = counters_[std::string(count.counter.name)];
  label_name = count.counter.label_name;
  values[count.label] += count.amount;
}

void MetricsRegistry::Add(const RecordSample& sample) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& summary = summaries_[sample.distribution];
  if (!summary) {
    summary = std::make_unique<Summary>();
  }
  summary->samples(std::chrono::duration<double>(sample.value).count());
}

std::string MetricsRegistry::Render(const std::vector<Gauge>& gauges) const {
  std::string text;
  auto out = std::back_inserter(text);
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [name, counter] : counters_) {
    fmt::format_to(out, "# TYPE {} counter\n", name);
    for (const auto& [label, value] : counter.second) {
      fmt::format_to(out, "{}{{{}=\"{}\"}} {}\n", name, counter.first, internal::EscapeLabel(label),
                     value);
    }
  }
  for (const auto& [distribution, summary] : summaries_) {
    const std::string_view name = internal::MetricName(distribution);
    const auto quantiles = internal::accumulators::extended_p_square(summary->samples);
    const auto count = internal::accumulators::count(summary->samples);
    fmt::format_to(out, "# TYPE {} summary\n", name);
    for (std::size_t index = 0; index < internal::kQuantiles.size(); ++index) {
      fmt::format_to(out, "{}{{quantile=\"{}\"}} {:.6f}\n", name, internal::kQuantiles[index],
                     quantiles[static_cast<std::ptrdiff_t>(index)]);
    }
    fmt::format_to(out, "{}_sum {:.6f}\n{}_count {}\n", name,
                   internal::accumulators::mean(summary->samples) * static_cast<double>(count),
                   name, count);
  }
  std::string_view last_name;
  for (const Gauge& gauge : gauges) {
    if (gauge.name != last_name) {
      fmt::format_to(out, "# TYPE {} gauge\n", gauge.name);
      last_name = gauge.name;
    }
    fmt::format_to(out, "{}{{{}=\"{}\"}} {}\n", gauge.name, gauge.label_name,
                   internal::EscapeLabel(gauge.label), gauge.value);
  }
  return text;
}

}  // namespace snipeturn
