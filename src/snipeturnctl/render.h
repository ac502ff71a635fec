#pragma once

#include <json/value.h>

#include <string>

namespace snipeturn::ctl {

/// @brief Formats a response for reading: single values first, then a table for each list of
/// records.
/// @param response A JSON object; other values are formatted as JSON.
/// @return Lines of text.
[[nodiscard]] std::string RenderTables(const Json::Value& response);

/// @brief Formats a text for a terminal: with control characters it is escaped.
[[nodiscard]] std::string RenderText(const std::string& text);

/// @brief Formats a response as indented JSON.
/// @param response Any JSON value.
/// @return Lines of text.
[[nodiscard]] std::string RenderJson(const Json::Value& response);

/// @brief Formats the reason why a request was refused.
/// @param status The HTTP status.
/// @param response The body of the daemon's response; null when it was not JSON.
/// @return One line.
[[nodiscard]] std::string RenderRefusal(int status, const Json::Value& response);

}  // namespace snipeturn::ctl
