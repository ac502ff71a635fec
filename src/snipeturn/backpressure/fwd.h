#pragma once

namespace snipeturn::backpressure {

struct RateLimit;
struct Signals;

}  // namespace snipeturn::backpressure
