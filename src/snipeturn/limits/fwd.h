#pragma once

namespace snipeturn {

struct LimitsState;
struct SlotGrant;
struct UpstreamLimits;

}  // namespace snipeturn
