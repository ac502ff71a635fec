#pragma once

#include <json/value.h>

#include "standins/common/http_server.h"

namespace snipeturn::standin {

/// @brief Applies the fault controls common to all simulators: "cut_connections",
/// "silence_connections" and "stall_ms" on the connections open at this time, and "crash".
/// @param server The server.
/// @param control The body of the control request.
/// @param excluded The connection of the control request, which gets no fault.
void ApplyConnectionFaults(const HttpServer& server,
                           const Json::Value& control,
                           const Connection* excluded);

}  // namespace snipeturn::standin
