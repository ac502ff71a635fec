#include "snipeturn/quarantine/part_set.h"

#include <catch2/catch.hpp>

#include <random>

namespace snipeturn::quarantine {
namespace {

// Guards against parts that change on their way to another host.
TEST_CASE("partSet_roundTrip_preserved", "[quarantine]") {
  std::mt19937 random(1);
  for (const int bits : {1, 12, 20, kPartBits}) {
    for (const std::size_t count : {0, 1, 2, 900, 5000}) {
      std::vector<std::uint32_t> numbers{0, 0xFFFFFFFFU >> (kPartBits - bits)};
      while (numbers.size() < count + 2) {
        numbers.push_back(static_cast<std::uint32_t>(random()) >> (kPartBits - bits));
      }
      const PartSet set = MakePartSet(count == 0 ? std::vector<std::uint32_t>{} : numbers);
      const auto decoded = DecodePartSet(EncodePartSet(set, bits));
      REQUIRE(decoded);
      CHECK(decoded->set == set);
      CHECK(decoded->bits == bits);
    }
  }
}

// Guards against messages that grow as fast as with whole part ids.
TEST_CASE("partSet_manyParts_twoBytesEach", "[quarantine]") {
  constexpr int kBits = 21;
  constexpr std::size_t kCount = 3000;
  std::mt19937 random(2);
  std::vector<std::uint32_t> numbers;
  for (std::size_t count = 0; count < kCount; ++count) {
    numbers.push_back(static_cast<std::uint32_t>(random()) >> (kPartBits - kBits));
  }
  CHECK(EncodePartSet(MakePartSet(numbers), kBits).size() <= 2 * kCount);
}

// Guards against a damaged message that ends the process or takes its memory.
TEST_CASE("partSet_damaged_rejected", "[quarantine]") {
  const std::string whole = EncodePartSet({1, 500, 70000}, kPartBits);
  for (std::size_t size = 0; size + 1 < whole.size(); ++size) {
    CHECK_FALSE(DecodePartSet(whole.substr(0, size)));
  }
  std::string many = whole;
  many[3] = '\x7f';
  CHECK_FALSE(DecodePartSet(many));
  std::string long_numbers = whole;
  long_numbers[0] = 33;
  CHECK_FALSE(DecodePartSet(long_numbers));
  std::mt19937 random(3);
  for (int round = 0; round < 20000; ++round) {
    std::string bytes(random() % 40, '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random());
    }
    const auto decoded = DecodePartSet(bytes);
    CHECK((!decoded || decoded->set.size() <= bytes.size() * 8));
  }
}

}  // namespace
}  // namespace snipeturn::quarantine
