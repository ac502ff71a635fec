#include "snipeturn/transport/json_text.h"

#include <json/reader.h>
#include <json/writer.h>

#include <charconv>
#include <memory>

namespace snipeturn {
namespace internal {
namespace {

constexpr int kMaxNesting = 64;

Json::CharReaderBuilder MakeReaderBuilder() {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  // The values of settings may be scalars.
  builder["strictRoot"] = false;
  builder["stackLimit"] = kMaxNesting;
  return builder;
}

}  // namespace
}  // namespace internal

std::optional<Json::Value> ParseJson(std::string_view text, std::string& last_reason) {
  static const Json::CharReaderBuilder builder = internal::MakeReaderBuilder();
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &value, &last_reason)) {
      return value;
    }
  } catch (const Json::Exception& exception) {
    // jsoncpp throws when the nesting exceeds the limit.
    last_reason = exception.what();
  }
  return std::nullopt;
}

std::string WriteJson(const Json::Value& value) {
  static const Json::StreamWriterBuilder builder = [] {
    Json::StreamWriterBuilder made;
    made["indentation"] = "";
    made["emitUTF8"] = true;
    return made;
  }();
  return Json::writeString(builder, value);
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) noexcept {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

}  // namespace snipeturn
