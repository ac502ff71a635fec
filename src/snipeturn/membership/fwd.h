#pragma once

namespace snipeturn {

struct Epoch;
struct Member;
struct MembershipState;
struct PeerView;

}  // namespace snipeturn
