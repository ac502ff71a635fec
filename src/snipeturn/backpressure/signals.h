#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace snipeturn::backpressure {

enum class SignalKind : std::uint8_t { kLimit, kPause, kLeaving, kLoad };

/// @brief Name of a signal in log lines.
[[nodiscard]] constexpr std::string_view ToString(SignalKind kind) noexcept {
  switch (kind) {
    case SignalKind::kLimit:
      return "limit";
    case SignalKind::kPause:
      return "pause";
    case SignalKind::kLeaving:
      return "leaving";
    case SignalKind::kLoad:
      return "load";
  }
  return "";
}

/// Responses of an upstream with a kind of statement, and requests that were not sent to it for
/// that.
struct StatementCount {
  std::uint64_t seen{0};
  std::uint64_t kept_back{0};
};

/// By SignalKind.
using StatementCounts = std::array<StatementCount, 4>;

/// @brief Returns the count of a kind of statement.
[[nodiscard]] constexpr StatementCount& CountOf(StatementCounts& counts, SignalKind kind) noexcept {
  return counts[static_cast<std::size_t>(kind)];
}

/// @brief Returns the count of a kind of statement.
[[nodiscard]] constexpr const StatementCount& CountOf(const StatementCounts& counts,
                                                      SignalKind kind) noexcept {
  return counts[static_cast<std::size_t>(kind)];
}

/// Load that an upstream states, at the time of the statement.
struct StatedLoad {
  int running{0};
  int waiting{0};
  int slots{0};
  /// How long work takes on its machine at present, relative to the usual time; empty if it doesn't
  /// say so.
  std::optional<double> work_time;
};

/// What an upstream says in the head of a response about the requests that it wants.
struct Signals {
  /// Requests a second that it takes from all hosts together; empty if it states no limit.
  std::optional<double> requests_per_second;
  /// It refused the request and wants none from this host for so long.
  std::optional<std::chrono::milliseconds> pause;
  /// It is about to stop.
  bool is_leaving{false};
  std::optional<StatedLoad> load;
  /// A signal that can't be parsed, which changes nothing; the first one if there are several.
  std::optional<SignalKind> unreadable;
};

}  // namespace snipeturn::backpressure
