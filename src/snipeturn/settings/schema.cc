#include "snipeturn/settings/schema.h"

#include <fmt/format.h>
#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <iterator>
#include <memory>
#include <regex>
#include <set>
#include <string_view>
#include <valijson/adapters/jsoncpp_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>
#include <vector>

#include "snipeturn/settings/embedded_schemas.h"

namespace snipeturn {
namespace internal {

/// A schema as JSON, for error messages, and as parsed by valijson, for validation.
struct ParsedSchema {
  Json::Value json;
  valijson::Schema schema;
};

std::unique_ptr<ParsedSchema> ParseSchema(SchemaKind kind) {
  auto parsed = std::make_unique<ParsedSchema>();
  const std::string_view text = SchemaText(kind);
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  const bool read = reader->parse(text.data(), text.data() + text.size(), &parsed->json, nullptr);
  assert(read && "an embedded schema is JSON");
  (void)read;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::JsonCppAdapter(parsed->json), parsed->schema);
  return parsed;
}

const ParsedSchema& FindSchema(SchemaKind kind) {
  static const std::array<std::unique_ptr<ParsedSchema>, 4> schemas{
      ParseSchema(SchemaKind::kDaemon), ParseSchema(SchemaKind::kZone),
      ParseSchema(SchemaKind::kService), ParseSchema(SchemaKind::kTeam)};
  return *schemas[static_cast<std::size_t>(kind)];
}

/// Schema of a member of an object, or nullptr when the object has no such member.
const Json::Value* FindMemberSchema(const Json::Value& schema, const std::string& name) {
  if (const Json::Value& members = schema["properties"]; members.isMember(name)) {
    return &members[name];
  }
  const Json::Value& patterns = schema["patternProperties"];
  for (const std::string& pattern : patterns.getMemberNames()) {
    if (std::regex_search(name, std::regex(pattern))) {
      return &patterns[pattern];
    }
  }
  return nullptr;
}

/// A value in a document with its schema and path.
struct ValueLocation {
  const Json::Value* value{nullptr};
  const Json::Value* schema{nullptr};
  std::string path;
};

/// Finds the value that a validation error is about.
/// @param context Context of the error: "<root>", then "[name]" or "[index]" for each step.
ValueLocation Locate(const Json::Value& document,
                     const Json::Value& schema,
                     const std::string& path,
                     const std::vector<std::string>& context) {
  ValueLocation location{&document, &schema, path};
  for (std::size_t i = 1; i < context.size(); ++i) {
    const std::string step = context[i].substr(1, context[i].size() - 2);
    if (location.value->isArray()) {
      location.value = &(*location.value)[static_cast<Json::ArrayIndex>(std::stoul(step))];
      location.schema = &(*location.schema)["items"];
    } else {
      const Json::Value* member = FindMemberSchema(*location.schema, step);
      assert(member != nullptr && "an unknown member is an error of its object");
      location.value = &(*location.value)[step];
      location.schema = member;
    }
    location.path += (location.path == "/" ? "" : "/") + step;
  }
  return location;
}

std::string ListMembers(const Json::Value& schema) {
  const std::vector<std::string> names = schema["properties"].getMemberNames();
  if (names.empty()) {
    return schema["description"].asString();
  }
  return fmt::format("{}", fmt::join(names, ", "));
}

/// Describes the unknown and the missing keys of an object.
std::vector<DocumentFault> DescribeKeys(const ValueLocation& location) {
  const Json::Value& value = *location.value;
  const Json::Value& schema = *location.schema;
  std::vector<DocumentFault> faults;
  if (!value.isObject()) {
    return faults;
  }
  for (const std::string& name : value.getMemberNames()) {
    if (FindMemberSchema(schema, name) == nullptr) {
      faults.push_back(
          {location.path, fmt::format("unknown key {}", ShortJson(name)), ListMembers(schema)});
    }
  }
  for (const Json::Value& name : schema["required"]) {
    if (!value.isMember(name.asString())) {
      const Json::Value& member = schema["properties"][name.asString()];
      faults.push_back({location.path, fmt::format("the key \"{}\" is missing", name.asString()),
                        member["description"].asString()});
    }
  }
  return faults;
}

DocumentFault DescribeValue(const ValueLocation& location) {
  const Json::Value& schema = *location.schema;
  // Secrets (writeOnly in the schema) must not appear in messages, which reach logs and terminals.
  const std::string shown = schema["writeOnly"].asBool() ? "the value" : ShortJson(*location.value);
  return {location.path, fmt::format("{} is not allowed", shown), schema["description"].asString()};
}

DocumentFault DescribeFault(const ValueLocation& location) {
  const auto keys = DescribeKeys(location);
  return keys.empty() ? DescribeValue(location) : keys.front();
}

}  // namespace internal

std::string ToString(const DocumentFault& fault) {
  return fault.allowed.empty()
             ? fmt::format("{}: {}", fault.path, fault.problem)
             : fmt::format("{}: {}; allowed: {}", fault.path, fault.problem, fault.allowed);
}

std::optional<DocumentFault> CheckSchema(SchemaKind kind,
                                         const Json::Value& document,
                                         const std::string& path) {
  const internal::ParsedSchema& parsed = internal::FindSchema(kind);
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(parsed.schema, valijson::adapters::JsonCppAdapter(document), &results)) {
    return std::nullopt;
  }
  // valijson reports the errors of a value before those of the objects that contain it.
  valijson::ValidationResults::Error first;
  const bool has_error = results.popError(first);
  assert(has_error && "a refused document has an error");
  (void)has_error;
  return internal::DescribeFault(internal::Locate(document, parsed.json, path, first.context));
}

std::vector<DocumentFault> FindSchemaFaults(SchemaKind kind,
                                            const Json::Value& document,
                                            const std::string& path) {
  const internal::ParsedSchema& parsed = internal::FindSchema(kind);
  valijson::Validator validator;
  valijson::ValidationResults results;
  std::vector<DocumentFault> faults;
  if (validator.validate(parsed.schema, valijson::adapters::JsonCppAdapter(document), &results)) {
    return faults;
  }
  std::set<std::vector<std::string>> described;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    // A value has one error for each rule that it breaks.
    if (!described.insert(error.context).second) {
      continue;
    }
    // valijson reports the containers of an invalid value as invalid too, after the value itself.
    const bool contains_fault =
        std::any_of(described.begin(), described.end(), [&error](const auto& context) {
          return context.size() > error.context.size() &&
                 std::equal(error.context.begin(), error.context.end(), context.begin());
        });
    const auto location = internal::Locate(document, parsed.json, path, error.context);
    auto keys = internal::DescribeKeys(location);
    if (keys.empty() && !contains_fault) {
      keys.push_back(internal::DescribeValue(location));
    }
    std::move(keys.begin(), keys.end(), std::back_inserter(faults));
  }
  return faults;
}

const char* SchemaText(SchemaKind kind) noexcept {
  switch (kind) {
    case SchemaKind::kDaemon:
      return internal::kDaemonSchema;
    case SchemaKind::kZone:
      return internal::kZoneSchema;
    case SchemaKind::kService:
      return internal::kServiceSchema;
    case SchemaKind::kTeam:
      return internal::kTeamSchema;
  }
  return "";
}

std::string CompactJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

std::string ShortJson(const Json::Value& value) {
  constexpr std::size_t kMaxLength = 80;
  std::string text = CompactJson(value);
  if (text.size() > kMaxLength) {
    text.resize(kMaxLength);
    text += "...";
  }
  return text;
}

}  // namespace snipeturn
