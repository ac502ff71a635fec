#pragma once

namespace snipeturn {

struct ClaimDecision;
struct ClaimEntry;
struct ClaimsState;

}  // namespace snipeturn
