#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace snipeturn {

/// @brief SHA-256 of a text.
/// @param text The bytes to hash.
/// @return 64 lower-case hexadecimal digits.
[[nodiscard]] std::string Sha256Hex(std::string_view text);

/// @brief HMAC-SHA-256 of a text.
/// @param key The secret key.
/// @param text The bytes to authenticate.
/// @return The 32 raw bytes of the authentication code.
[[nodiscard]] std::string HmacSha256(std::string_view key, std::string_view text);

/// @brief Compares two texts in constant time: the duration depends only on their lengths.
/// @param left One text.
/// @param right The other text.
/// @return True when they are equal.
[[nodiscard]] bool EqualInConstantTime(std::string_view left, std::string_view right) noexcept;

/// @brief Encodes bytes as base64url without padding (RFC 4648, section 5).
/// @param bytes The bytes to encode.
/// @return The encoded text.
[[nodiscard]] std::string Base64UrlEncode(std::string_view bytes);

/// @brief Decodes base64url without padding.
/// @param text The encoded text.
/// @return The bytes, or std::nullopt if the text is not valid base64url.
[[nodiscard]] std::optional<std::string> Base64UrlDecode(std::string_view text);

}  // namespace snipeturn
