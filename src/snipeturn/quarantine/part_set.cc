#include "snipeturn/quarantine/part_set.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "snipeturn/base/hash.h"

namespace snipeturn::quarantine {
namespace internal {
namespace {

constexpr int kByteBits = 8;
/// Bytes before the codes: length of the numbers, length of the remainders, count (four bytes).
constexpr std::size_t kPrefixBytes = 6;
constexpr std::size_t kCountBytes = 4;

class BitWriter {
 public:
  explicit BitWriter(std::string& bytes) : bytes_(bytes) {}

  void Write(bool bit) {
    if (used_ == 0) {
      bytes_.push_back('\0');
    }
    if (bit) {
      bytes_.back() = static_cast<char>(static_cast<unsigned char>(bytes_.back()) | 1U << used_);
    }
    used_ = (used_ + 1) % kByteBits;
  }

 private:
  std::string& bytes_;
  int used_{0};
};

class BitReader {
 public:
  explicit BitReader(std::string_view bytes) : bytes_(bytes) {}

  /// @return The next bit, or nothing at the end.
  [[nodiscard]] std::optional<bool> Read() {
    const std::size_t byte = next_ / kByteBits;
    if (byte >= bytes_.size()) {
      return std::nullopt;
    }
    const bool bit = (static_cast<unsigned char>(bytes_[byte]) >> (next_ % kByteBits) & 1U) != 0;
    ++next_;
    return bit;
  }

 private:
  std::string_view bytes_;
  std::size_t next_{0};
};

/// Length of the remainders that suits a mean gap.
int RemainderBits(std::size_t count, int bits) {
  const std::uint64_t gap = (std::uint64_t{1} << bits) / std::max<std::size_t>(1, count);
  int remainder_bits = 0;
  while (remainder_bits + 1 < bits && gap >> (remainder_bits + 1) != 0) {
    ++remainder_bits;
  }
  return remainder_bits;
}

std::optional<std::uint64_t> ReadGap(BitReader& reader, int remainder_bits, std::uint64_t limit) {
  std::uint64_t gap = 0;
  while (true) {
    const auto bit = reader.Read();
    if (!bit || gap > limit) {
      return std::nullopt;
    }
    if (!*bit) {
      break;
    }
    gap += std::uint64_t{1} << remainder_bits;
  }
  for (int place = 0; place < remainder_bits; ++place) {
    const auto bit = reader.Read();
    if (!bit) {
      return std::nullopt;
    }
    gap += *bit ? std::uint64_t{1} << place : 0;
  }
  return gap;
}

}  // namespace
}  // namespace internal

PartId HashPart(std::string_view text) noexcept {
  return static_cast<PartId>(Hash(text) >> kPartBits);
}

PartSet MakePartSet(std::vector<std::uint32_t> numbers) {
  std::sort(numbers.begin(), numbers.end());
  numbers.erase(std::unique(numbers.begin(), numbers.end()), numbers.end());
  return numbers;
}

std::string FormatParts(const std::vector<PartId>& parts) {
  constexpr std::size_t kMaxFormatted = 8;
  const auto end =
      parts.begin() + static_cast<std::ptrdiff_t>(std::min(parts.size(), kMaxFormatted));
  std::string text = fmt::format("{:x}", fmt::join(parts.begin(), end, ","));
  if (end != parts.end()) {
    text += fmt::format("+{}", parts.end() - end);
  }
  return text;
}

std::string EncodePartSet(const PartSet& set, int bits) {
  const int remainder_bits = internal::RemainderBits(set.size(), bits);
  std::string bytes;
  bytes.push_back(static_cast<char>(bits));
  bytes.push_back(static_cast<char>(remainder_bits));
  for (std::size_t place = 0; place < internal::kCountBytes; ++place) {
    bytes.push_back(static_cast<char>(set.size() >> (place * internal::kByteBits) & 0xFF));
  }
  internal::BitWriter writer(bytes);
  std::uint64_t next = 0;
  for (const std::uint32_t number : set) {
    const std::uint64_t gap = number - next;
    for (std::uint64_t quotient = gap >> remainder_bits; quotient > 0; --quotient) {
      writer.Write(true);
    }
    writer.Write(false);
    for (int place = 0; place < remainder_bits; ++place) {
      writer.Write((gap >> place & 1) != 0);
    }
    next = std::uint64_t{number} + 1;
  }
  return bytes;
}

std::optional<DecodedPartSet> DecodePartSet(std::string_view bytes) {
  if (bytes.size() < internal::kPrefixBytes) {
    return std::nullopt;
  }
  DecodedPartSet decoded;
  decoded.bits = static_cast<unsigned char>(bytes[0]);
  const int remainder_bits = static_cast<unsigned char>(bytes[1]);
  if (decoded.bits < 1 || decoded.bits > kPartBits || remainder_bits >= decoded.bits) {
    return std::nullopt;
  }
  std::size_t count = 0;
  for (std::size_t place = 0; place < internal::kCountBytes; ++place) {
    count |= std::size_t{static_cast<unsigned char>(bytes[2 + place])}
             << (place * internal::kByteBits);
  }
  bytes.remove_prefix(internal::kPrefixBytes);
  if (count > bytes.size() * internal::kByteBits) {
    return std::nullopt;  // Each number takes a bit or more.
  }
  const std::uint64_t limit = std::uint64_t{1} << decoded.bits;
  internal::BitReader reader(bytes);
  std::uint64_t next = 0;
  decoded.set.reserve(count);
  while (decoded.set.size() < count) {
    const auto gap = internal::ReadGap(reader, remainder_bits, limit);
    if (!gap || next + *gap >= limit) {
      return std::nullopt;
    }
    next += *gap;
    decoded.set.push_back(static_cast<std::uint32_t>(next));
    ++next;
  }
  return decoded;
}

}  // namespace snipeturn::quarantine
