#pragma once

#include <string>

#include "snipeturn/base/fwd.h"
#include "snipeturn/base/log_event.h"
#include "snipeturn/base/time.h"

namespace snipeturn {

/// @brief Formats a log line: time, level, number, name, host, fields.
/// @param entry The event with its fields.
/// @param host This host.
/// @param time When it happened.
/// @return The line with its end; control characters in the fields become spaces.
[[nodiscard]] std::string FormatLogLine(const EmitLog& entry, const HostName& host, WallTime time);

}  // namespace snipeturn
