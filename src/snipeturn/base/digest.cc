#include "snipeturn/base/digest.h"

#include <fmt/format.h>
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace snipeturn {
namespace internal {

constexpr std::size_t kSha256Size = 32;

}  // namespace internal

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, internal::kSha256Size> digest{};
  const int result = gnutls_hash_fast(GNUTLS_DIG_SHA256, text.data(), text.size(), digest.data());
  assert(result == 0 && "SHA-256 is always available");
  (void)result;
  return fmt::format("{:02x}", fmt::join(digest, ""));
}

std::string HmacSha256(std::string_view key, std::string_view text) {
  std::string code(internal::kSha256Size, '\0');
  const int result = gnutls_hmac_fast(GNUTLS_MAC_SHA256, key.data(), key.size(), text.data(),
                                      text.size(), code.data());
  assert(result == 0 && "HMAC-SHA-256 is always available");
  (void)result;
  return code;
}

bool EqualInConstantTime(std::string_view left, std::string_view right) noexcept {
  return left.size() == right.size() && gnutls_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string Base64UrlEncode(std::string_view bytes) {
  const gnutls_datum_t input{reinterpret_cast<unsigned char*>(const_cast<char*>(bytes.data())),
                             static_cast<unsigned int>(bytes.size())};
  gnutls_datum_t output{nullptr, 0};
  const int result = gnutls_base64_encode2(&input, &output);
  assert(result == 0 && "encoding fails only when memory is exhausted");
  (void)result;
  std::string text(reinterpret_cast<const char*>(output.data), output.size);
  gnutls_free(output.data);
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  text.erase(text.find_last_not_of('=') + 1);
  return text;
}

std::optional<std::string> Base64UrlDecode(std::string_view text) {
  constexpr std::string_view kAlphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
  if (text.find_first_not_of(kAlphabet) != std::string_view::npos || text.size() % 4 == 1) {
    return std::nullopt;
  }
  if (text.empty()) {
    return std::string{};
  }
  std::string padded(text);
  std::replace(padded.begin(), padded.end(), '-', '+');
  std::replace(padded.begin(), padded.end(), '_', '/');
  padded.append((4 - padded.size() % 4) % 4, '=');
  const gnutls_datum_t input{reinterpret_cast<unsigned char*>(padded.data()),
                             static_cast<unsigned int>(padded.size())};
  gnutls_datum_t output{nullptr, 0};
  if (gnutls_base64_decode2(&input, &output) != 0) {
    return std::nullopt;
  }
  std::string bytes(reinterpret_cast<const char*>(output.data), output.size);
  gnutls_free(output.data);
  return bytes;
}

}  // namespace snipeturn
