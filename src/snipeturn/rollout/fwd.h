#pragma once

#include <cstdint>

namespace snipeturn::rollout {

enum class Phase : std::uint8_t;
enum class Side : std::uint8_t;
enum class Verdict : std::uint8_t;
struct EvidenceRow;
struct Exposure;
struct MergedEvidence;
struct Order;

}  // namespace snipeturn::rollout
