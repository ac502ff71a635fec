#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "snipeturn/base/fwd.h"
#include "snipeturn/base/time.h"

namespace snipeturn {

/// Position in a generation, handed to the caller as the id of each event.
struct Cursor {
  std::string team;
  std::string organisation;
  UpstreamName upstream;
  std::string generation;
  /// Incarnation of the upstream; a restarted engine may reuse the name of a generation.
  Incarnation incarnation{0};
  /// Index of the next token.
  std::uint64_t index{0};
  WallTime expires{};
};

enum class CursorReason : std::uint8_t { kNone, kMalformed, kForged, kExpired };

/// @brief Writes a cursor with its signature.
/// @param cursor The position.
/// @param key HMAC key.
/// @return Text that is safe in an event id and a header.
[[nodiscard]] std::string SignCursor(const Cursor& cursor, std::string_view key);

/// @brief Reads and checks a signed cursor.
/// @param text The caller's Last-Event-ID.
/// @param key HMAC key.
/// @param previous_key HMAC key before a key change; may be empty.
/// @param now The current wall time.
/// @param last_reason Receives why there is no cursor.
/// @return The cursor, or nothing.
[[nodiscard]] std::optional<Cursor> ReadCursor(std::string_view text,
                                               std::string_view key,
                                               std::string_view previous_key,
                                               WallTime now,
                                               CursorReason& last_reason);

}  // namespace snipeturn
