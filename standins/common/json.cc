#include "standins/common/json.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace snipeturn::standin {

std::optional<Json::Value> ParseJson(const std::string& text) {
  const std::unique_ptr<Json::CharReader> reader{Json::CharReaderBuilder{}.newCharReader()};
  Json::Value value;
  if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
    return std::nullopt;
  }
  return value;
}

std::string WriteJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

}  // namespace snipeturn::standin
