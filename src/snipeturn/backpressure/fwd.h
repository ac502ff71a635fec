#pragma once

namespace snipeturn::backpressure {

struct Signals;

}  // namespace snipeturn::backpressure
