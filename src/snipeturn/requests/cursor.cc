#include "snipeturn/requests/cursor.h"

#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <memory>

#include "snipeturn/base/digest.h"

namespace snipeturn {
namespace internal {

constexpr Json::ArrayIndex kCursorFields = 7;

/// Parses the fields of a cursor whose signature has been verified.
std::optional<Cursor> ParseCursor(const std::string& text) {
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder{}.newCharReader());
  Json::Value fields;
  if (!reader->parse(text.data(), text.data() + text.size(), &fields, nullptr) ||
      !fields.isArray() || fields.size() != kCursorFields) {
    return std::nullopt;
  }
  for (const Json::ArrayIndex index : {0, 1, 2, 3}) {
    if (!fields[index].isString()) {
      return std::nullopt;
    }
  }
  if (!fields[4].isUInt64() || !fields[5].isUInt64() || !fields[6].isInt64()) {
    return std::nullopt;
  }
  Cursor cursor;
  cursor.team = fields[0].asString();
  cursor.organisation = fields[1].asString();
  cursor.upstream = fields[2].asString();
  cursor.generation = fields[3].asString();
  cursor.incarnation = fields[4].asUInt64();
  cursor.index = fields[5].asUInt64();
  cursor.expires = WallTime{std::chrono::milliseconds{fields[6].asInt64()}};
  return cursor;
}

}  // namespace internal

std::string SignCursor(const Cursor& cursor, std::string_view key) {
  Json::Value fields{Json::arrayValue};
  fields.append(cursor.team);
  fields.append(cursor.organisation);
  fields.append(cursor.upstream);
  fields.append(cursor.generation);
  fields.append(Json::UInt64{cursor.incarnation});
  fields.append(Json::UInt64{cursor.index});
  fields.append(Json::Int64{cursor.expires.time_since_epoch().count()});
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  const std::string text = Json::writeString(writer, fields);
  return Base64UrlEncode(text) + '.' + Base64UrlEncode(HmacSha256(key, text));
}

std::optional<Cursor> ReadCursor(std::string_view text,
                                 std::string_view key,
                                 std::string_view previous_key,
                                 WallTime now,
                                 CursorReason& last_reason) {
  const auto dot = text.find('.');
  const auto fields = Base64UrlDecode(text.substr(0, dot));
  const auto code = Base64UrlDecode(dot == std::string_view::npos ? "" : text.substr(dot + 1));
  if (dot == std::string_view::npos || !fields || !code) {
    last_reason = CursorReason::kMalformed;
    return std::nullopt;
  }
  // An empty key is never accepted: anyone could sign with it.
  const auto matches = [&](std::string_view candidate) {
    return !candidate.empty() && EqualInConstantTime(HmacSha256(candidate, *fields), *code);
  };
  if (!matches(key) && !matches(previous_key)) {
    last_reason = CursorReason::kForged;
    return std::nullopt;
  }
  auto cursor = internal::ParseCursor(*fields);
  if (!cursor) {
    last_reason = CursorReason::kMalformed;
    return std::nullopt;
  }
  if (now >= cursor->expires) {
    last_reason = CursorReason::kExpired;
    return std::nullopt;
  }
  last_reason = CursorReason::kNone;
  return cursor;
}

}  // namespace snipeturn
