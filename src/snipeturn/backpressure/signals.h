#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace snipeturn::backpressure {

enum class SignalKind : std::uint8_t { kLimit, kPause, kLeaving };

/// @brief Name of a signal in log lines.
[[nodiscard]] constexpr std::string_view ToString(SignalKind kind) noexcept {
  switch (kind) {
    case SignalKind::kLimit:
      return "limit";
    case SignalKind::kPause:
      return "pause";
    case SignalKind::kLeaving:
      return "leaving";
  }
  return "";
}

/// What an upstream says in the head of a response about the requests that it wants.
struct Signals {
  /// Requests a second that it takes from all hosts together; empty if it states no limit.
  std::optional<double> requests_per_second;
  /// It refused the request and wants none from this host for so long.
  std::optional<std::chrono::milliseconds> pause;
  /// It is about to stop.
  bool is_leaving{false};
  /// A signal that can't be parsed, which changes nothing; the first one if there are several.
  std::optional<SignalKind> unreadable;
};

}  // namespace snipeturn::backpressure
