#pragma once

#include <cstdint>

namespace snipeturn::quarantine {

/// Hash of the id of a prompt part. Ids may be of any length; the hash bounds memory and messages.
using PartId = std::uint64_t;

}  // namespace snipeturn::quarantine
