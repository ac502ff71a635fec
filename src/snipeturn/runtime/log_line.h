#pragma once

#include <string>

#include "snipeturn/base/fwd.h"
#include "snipeturn/base/log_event.h"
#include "snipeturn/base/time.h"

namespace snipeturn {

/// @brief Formats a log line: time, level, event number, event name, host, fields.
/// @param entry The event with its fields.
/// @param host Name of this host.
/// @param time Time of the event.
/// @return The line with a trailing newline; control characters in the fields are replaced by
/// spaces.
[[nodiscard]] std::string FormatLogLine(const EmitLog& entry, const HostName& host, WallTime time);

}  // namespace snipeturn
