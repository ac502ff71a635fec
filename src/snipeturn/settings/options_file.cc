#include "snipeturn/settings/options_file.h"

#include <fmt/format.h>
#include <json/reader.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <memory>
#include <utility>

#include "snipeturn/base/json_syntax.h"
#include "snipeturn/settings/document.h"

namespace snipeturn {
namespace internal {

struct DurationKey {
  const char* key;
  std::chrono::milliseconds Tuning::*field;
};

struct CountKey {
  const char* key;
  int Tuning::*field;
};

struct ShareKey {
  const char* key;
  double Tuning::*field;
};

constexpr std::array<DurationKey, 14> kDurations{{
    {"heartbeat_interval_ms", &Tuning::heartbeat_interval},
    {"fence_ms", &Tuning::fence},
    {"long_fence_ms", &Tuning::long_fence},
    {"epoch_agreement_ms", &Tuning::epoch_agreement},
    {"no_progress_ms", &Tuning::no_progress},
    {"caller_grace_ms", &Tuning::caller_grace},
    {"segment_ms", &Tuning::segment},
    {"claim_batch_ms", &Tuning::claim_batch},
    {"key_margin_ms", &Tuning::key_margin},
    {"warm_evidence_ms", &Tuning::warm_evidence},
    {"loan_start_ms", &Tuning::loan_start},
    {"cursor_lifetime_ms", &Tuning::cursor_lifetime},
    {"retry_window_ms", &Tuning::retry_window},
    {"shutdown_grace_ms", &Tuning::shutdown_grace},
}};
constexpr std::array<CountKey, 4> kCounts{{
    {"max_stalled_resumes", &Tuning::max_stalled_resumes},
    {"claim_streams", &Tuning::claim_streams},
    {"owner_group", &Tuning::owner_group},
    {"max_waiting_requests", &Tuning::max_waiting_requests},
}};
constexpr std::array<ShareKey, 3> kShares{{
    {"retry_budget", &Tuning::retry_budget},
    {"critical_reserve", &Tuning::critical_reserve},
    {"long_reserve", &Tuning::long_reserve},
}};

Tuning MakeTuning(const Json::Value& json) {
  Tuning tuning;
  for (const DurationKey& entry : kDurations) {
    if (json.isMember(entry.key)) {
      tuning.*entry.field = std::chrono::milliseconds{json[entry.key].asInt64()};
    }
  }
  for (const CountKey& entry : kCounts) {
    if (json.isMember(entry.key)) {
      tuning.*entry.field = json[entry.key].asInt();
    }
  }
  for (const ShareKey& entry : kShares) {
    if (json.isMember(entry.key)) {
      tuning.*entry.field = json[entry.key].asDouble();
    }
  }
  return tuning;
}

Endpoint MakeEndpoint(const Json::Value& json) {
  return Endpoint{json["address"].asString(), json["port"].asInt()};
}

Options MakeOptions(const Json::Value& json) {
  Options options;
  options.host = json["host"].asString();
  options.zone = json["zone"].asString();
  options.listen = MakeEndpoint(json["listen"]);
  options.log = MakeEndpoint(json["log"]);
  options.cursor_key = json["cursor_key"].asString();
  options.previous_cursor_key = json["previous_cursor_key"].asString();
  for (const Json::Value& key : json["operator_keys_sha256"]) {
    options.operator_keys_sha256.push_back(key.asString());
  }
  options.peer_key = json["peer_key"].asString();
  if (const Json::Value& tls = json["tls"]; tls.isObject()) {
    options.tls = TlsFiles{tls["certificate"].asString(), tls["key"].asString()};
  }
  options.tuning = MakeTuning(json["tuning"]);
  return options;
}

/// Parses JSON without extensions: comments, repeated keys and text after the value are errors.
std::optional<Json::Value> ParseStrictJson(std::string_view text, std::string& problem) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value json;
  std::string messages;
  // The parser throws when the nesting exceeds its limit.
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &json, &messages)) {
      return json;
    }
    problem = DescribeSyntaxError(messages);
  } catch (const Json::Exception& error) {
    problem = error.what();
  }
  return std::nullopt;
}

std::nullopt_t Fail(OptionsFailure& failure,
                    OptionsReason reason,
                    std::vector<DocumentFault> faults) {
  failure.reason = reason;
  failure.faults = std::move(faults);
  return std::nullopt;
}

/// Finds addresses that have the pattern of the schema and yet are none.
void FindAddressFaults(const Json::Value& json, std::vector<DocumentFault>& faults) {
  for (const char* name : {"listen", "log"}) {
    const std::string path = fmt::format("/{}/address", name);
    const bool is_known_bad =
        std::any_of(faults.begin(), faults.end(),
                    [&path](const DocumentFault& fault) { return fault.path == path; });
    if (is_known_bad || !json.isObject() || !json[name].isObject() ||
        !json[name]["address"].isString()) {
      continue;
    }
    if (auto fault = CheckAddress(json[name]["address"], path)) {
      faults.push_back(std::move(*fault));
    }
  }
}

}  // namespace internal

std::optional<Options> ParseOptions(std::string_view text, OptionsFailure& failure) {
  if (text.size() > kMaxOptionsSize) {
    return internal::Fail(failure, OptionsReason::kTooLarge,
                          {{"/", fmt::format("the configuration has {} bytes", text.size()),
                            fmt::format("at most {} bytes", kMaxOptionsSize)}});
  }
  std::string problem;
  const auto json = internal::ParseStrictJson(text, problem);
  if (!json) {
    return internal::Fail(failure, OptionsReason::kNotJson,
                          {{"/", "the configuration is not JSON: " + problem, "one JSON object"}});
  }
  auto faults = FindSchemaFaults(SchemaKind::kDaemon, *json, "/");
  internal::FindAddressFaults(*json, faults);
  if (!faults.empty()) {
    return internal::Fail(failure, OptionsReason::kInvalid, std::move(faults));
  }
  return internal::MakeOptions(*json);
}

std::optional<Options> ReadOptionsFile(const std::string& file, OptionsFailure& failure) {
  std::ifstream stream(file, std::ios::binary);
  // Reads one byte more than allowed, to detect a file that is too large without reading all of it.
  std::string text(kMaxOptionsSize + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!stream.is_open() || stream.bad()) {
    return internal::Fail(failure, OptionsReason::kUnreadable,
                          {{"/", fmt::format("the file \"{}\" can't be read", file), ""}});
  }
  text.resize(static_cast<std::size_t>(stream.gcount()));
  return ParseOptions(text, failure);
}

}  // namespace snipeturn
