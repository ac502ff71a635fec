#pragma once

namespace snipeturn::backpressure {

struct Pause;
struct RateLimit;
struct Signals;

}  // namespace snipeturn::backpressure
