#include "src/snipeturnctl/render.h"

#include <fmt/format.h>
#include <json/writer.h>

#include <algorithm>
#include <vector>

#include "snipeturn/settings/schema.h"

namespace snipeturn::ctl {
namespace internal {

using Row = std::vector<std::string>;

/// Renders one cell. Text with control characters is escaped, because a terminal would interpret
/// them.
std::string Cell(const Json::Value& value) {
  if (value.isNull()) {
    return "-";
  }
  if (!value.isString()) {
    return CompactJson(value);
  }
  const std::string text = value.asString();
  const bool is_plain = std::none_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
  });
  return is_plain ? text : CompactJson(value);
}

std::string Align(const std::vector<Row>& rows) {
  std::vector<std::size_t> widths;
  for (const Row& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const Row& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += fmt::format("{:<{}}  ", row[i], widths[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
  }
  return text;
}

/// True for a non-empty array or object whose elements are all objects.
bool IsTable(const Json::Value& value) {
  return (value.isArray() || value.isObject()) && !value.empty() &&
         std::all_of(value.begin(), value.end(),
                     [](const Json::Value& row) { return row.isObject(); });
}

Row Columns(const Json::Value& table) {
  Row columns;
  for (const Json::Value& row : table) {
    for (const std::string& name : row.getMemberNames()) {
      if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.push_back(name);
      }
    }
  }
  return columns;
}

std::string RenderTable(const Json::Value& table) {
  const Row columns = Columns(table);
  std::vector<Row> rows(1);
  if (table.isObject()) {
    rows[0].emplace_back("NAME");
  }
  for (std::string name : columns) {
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
    rows[0].push_back(name);
  }
  for (auto entry = table.begin(); entry != table.end(); ++entry) {
    Row row;
    if (table.isObject()) {
      row.push_back(Cell(entry.key()));
    }
    for (const std::string& column : columns) {
      row.push_back(Cell((*entry)[column]));
    }
    rows.push_back(row);
  }
  return Align(rows);
}

}  // namespace internal

std::string RenderTables(const Json::Value& response) {
  if (!response.isObject()) {
    return internal::IsTable(response) ? internal::RenderTable(response) : RenderJson(response);
  }
  std::vector<internal::Row> values;
  std::string tables;
  for (const std::string& name : response.getMemberNames()) {
    const Json::Value& value = response[name];
    // The value of a setting is printed as JSON, in the form that an operator can write back.
    if (name == "value") {
      tables += fmt::format("\n{}\n{}", name, RenderJson(value));
    } else if (internal::IsTable(value)) {
      tables += fmt::format("\n{}\n{}", name, internal::RenderTable(value));
    } else {
      values.push_back({name, internal::Cell(value)});
    }
  }
  return internal::Align(values) + tables;
}

std::string RenderText(const std::string& text) {
  return internal::Cell(text);
}

std::string RenderJson(const Json::Value& response) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "  ";
  return Json::writeString(builder, response) + '\n';
}

std::string RenderRefusal(int status, const Json::Value& response) {
  if (!response.isObject()) {
    return fmt::format("the daemon responded with status {}", status);
  }
  std::string text = fmt::format("status {}", status);
  for (const char* name : {"reason", "detail", "outcome", "version"}) {
    if (response.isMember(name)) {
      text += fmt::format(", {}: {}", name, internal::Cell(response[name]));
    }
  }
  return text;
}

}  // namespace snipeturn::ctl
