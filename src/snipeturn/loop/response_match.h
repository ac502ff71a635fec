#pragma once

#include <cstdint>

namespace snipeturn::loop {

/// What shows that a response on a connection answers the last call made there. A faulty server may
/// send a response again, late, where the response to a later call is expected.
enum class ResponseMatch : std::uint8_t {
  /// The response carries the request's id, which the handler of its head compares.
  kRequestId,
  /// The response carries no id: no other call without one was made on the connection before.
  kConnection,
  /// Nothing: the response isn't used, or what it says holds whichever call it answers.
  kNone,
  /// The server sends each response once, so the order on the connection tells.
  kOrder,
};

/// Calls that were made on a connection.
struct ConnectionHistory {
  int calls{0};
  /// Calls whose responses can't be recognised when they come again.
  int calls_without_id{0};
};

/// @return True if a response can be sent again and then can't be told from one to a later call.
[[nodiscard]] constexpr bool IsWithoutId(ResponseMatch match) noexcept {
  return match == ResponseMatch::kConnection || match == ResponseMatch::kNone;
}

/// @brief Tells whether the response to a further call on a connection can be told from late ones.
/// @param history Calls that were made on the connection.
/// @param match What identifies the response to the further call.
/// @return False if a response of an earlier call could be taken for it.
[[nodiscard]] constexpr bool MayCarry(const ConnectionHistory& history,
                                      ResponseMatch match) noexcept {
  return match != ResponseMatch::kConnection || history.calls_without_id == 0;
}

/// @brief Adds a call to the history of its connection.
constexpr void RecordCall(ConnectionHistory& history, ResponseMatch match) noexcept {
  ++history.calls;
  history.calls_without_id += IsWithoutId(match) ? 1 : 0;
}

}  // namespace snipeturn::loop
