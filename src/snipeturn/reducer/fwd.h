#pragma once

namespace snipeturn {

struct CallerRequest;
struct Problem;
struct StartAttempt;
struct State;

}  // namespace snipeturn
