#include "snipeturn/loop/peer_socket.h"

#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <memory>
#include <utility>
#include <variant>

#include "snipeturn/loop/age_codec.h"
#include "snipeturn/loop/crash_report_codec.h"
#include "snipeturn/loop/demand_codec.h"
#include "snipeturn/loop/upstream_signal_codec.h"

namespace snipeturn::loop {
namespace internal {
namespace {

/// Columns of an upstream's load: id, requests, tokens, pending prompt tokens.
constexpr Json::ArrayIndex kLoadRowLength = 4;
/// Columns of an upstream's outcomes: id, failures, responses.
constexpr Json::ArrayIndex kOutcomeRowLength = 3;

/// Most datagrams that are read before the loop serves connections and timers.
constexpr int kMaxDatagramsPerWakeup = 8;

/// Significant digits of fractions.
constexpr int kSignificantDigits = 4;

std::string WriteCompactJson(const Json::Value& root) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["precision"] = kSignificantDigits;
  return Json::writeString(builder, root);
}

/// Encodes an update of the upstream list as an array, which keeps datagrams small. An entry that
/// was removed has the number, the offset, the id and whether it may have expired only.
Json::Value EncodeListUpdate(const entry::PeerUpdate& update) {
  Json::Value row(Json::arrayValue);
  row.append(Json::UInt64{update.number});
  if (const auto* unlisted = std::get_if<entry::UpstreamUnlisted>(&update.notice)) {
    row.append(Json::UInt64{unlisted->position.offset});
    row.append(unlisted->id);
    row.append(unlisted->may_have_expired);
    return row;
  }
  const auto& listed = std::get<entry::UpstreamListed>(update.notice);
  const entry::UpstreamEntry& entry = listed.entry;
  row.append(Json::UInt64{listed.position.offset});
  row.append(entry.id);
  row.append(entry.service);
  row.append(entry.endpoint.address);
  row.append(entry.endpoint.port);
  row.append(entry.zone);
  row.append(entry.slots);
  row.append(entry.leaving);
  row.append(Json::Int64{entry.cold_left.count()});
  row.append(Json::Int64{entry.start_time_ms});
  row.append(Json::Int64{entry.sequence});
  return row;
}

/// @param row The columns of the update.
/// @param era Era of its position, which the row doesn't hold.
std::optional<entry::PeerUpdate> DecodeListUpdate(const Json::Value& row, entry::StoreEra era) {
  // Hosts of an earlier version send removed entries without their last column.
  constexpr Json::ArrayIndex kMinUnlistedLength = 3;
  constexpr Json::ArrayIndex kUnlistedLength = 4;
  constexpr Json::ArrayIndex kListedLength = 12;
  if (!row.isArray() || row.size() < kMinUnlistedLength ||
      (row.size() > kUnlistedLength && row.size() != kListedLength) || !row[2].isString() ||
      row[2].asString().empty()) {
    return std::nullopt;
  }
  Json::ArrayIndex column = 0;
  const std::uint64_t number = row[column++].asUInt64();
  const entry::StorePosition position(era, row[column++].asUInt64());
  const std::string id = row[column++].asString();
  if (row.size() <= kUnlistedLength) {
    const bool may_have_expired = row.size() < kUnlistedLength || row[column].asBool();
    return entry::PeerUpdate{
        number,
        entry::UpstreamUnlisted{id, position, entry::UpdateSource::kPeer, may_have_expired}};
  }
  entry::UpstreamListed listed;
  listed.source = entry::UpdateSource::kPeer;
  listed.position = position;
  entry::UpstreamEntry& entry = listed.entry;
  entry.id = id;
  entry.service = row[column++].asString();
  entry.endpoint.address = row[column++].asString();
  entry.endpoint.port = row[column++].asInt();
  entry.zone = row[column++].asString();
  entry.slots = row[column++].asInt();
  entry.leaving = row[column++].asBool();
  entry.cold_left = std::chrono::milliseconds(row[column++].asInt64());
  entry.start_time_ms = row[column++].asInt64();
  entry.sequence = row[column++].asInt64();
  return entry::PeerUpdate{number, std::move(listed)};
}

/// Eras of the positions of the updates, in their order. They are no column of the rows, since
/// hosts of an earlier version drop a table with longer rows.
constexpr char kRecentErasKey[] = "recent_eras";
constexpr char kEraKey[] = "era";
constexpr char kVersionKey[] = "version";

entry::StoreEra EraOf(const entry::PeerUpdate& update) {
  return std::visit([](const auto& notice) { return notice.position.era; }, update.notice);
}

void EncodeConfigurationPosition(Json::Value& root, const entry::StorePosition& position) {
  root["configuration"] = Json::UInt64{position.offset};
  root[kEraKey] = Json::UInt64{position.era};
}

/// Hosts of an earlier version state no era.
entry::StorePosition DecodeConfigurationPosition(const Json::Value& root) {
  return {root[kEraKey].asUInt64(), root["configuration"].asUInt64()};
}

std::optional<std::int64_t> DecodeVersion(const Json::Value& root) {
  return root.isMember(kVersionKey) ? std::optional(root[kVersionKey].asInt64()) : std::nullopt;
}

/// Marks a confirmation request or its reply, and holds the time of the request on the clock of the
/// host that sent it.
constexpr char kAskedKey[] = "asked_us";
constexpr char kAnsweredKey[] = "answered_us";
/// Marks the sum of a cell.
constexpr char kSumKey[] = "sum";
/// Marks a crash report.
constexpr char kCrashReportKey[] = "crash_report";

TimePoint DecodeTime(const Json::Value& value) {
  return TimePoint(std::chrono::microseconds(value.asInt64()));
}

Json::Value EncodeLoadTable(const entry::LoadTable& table) {
  Json::Value rows(Json::arrayValue);
  for (const auto& [upstream, load] : table) {
    Json::Value row(Json::arrayValue);
    row.append(upstream);
    row.append(load.requests);
    row.append(Json::UInt64{load.tokens});
    row.append(Json::UInt64{load.pending_prompt_tokens});
    rows.append(std::move(row));
  }
  return rows;
}

std::optional<entry::LoadTable> DecodeLoadTable(const Json::Value& rows) {
  entry::LoadTable table;
  for (const Json::Value& row : rows) {
    if (!row.isArray() || row.size() != kLoadRowLength || !row[0].isString()) {
      return std::nullopt;
    }
    table[row[0].asString()] = {row[1].asInt(), row[2].asUInt64(), row[3].asUInt64()};
  }
  return table;
}

std::optional<entry::PeerLoadReceived> DecodeLoad(const Json::Value& root) {
  if (!root["load"].isArray()) {
    return std::nullopt;
  }
  entry::PeerLoadReceived received;
  received.host = root["host"].asString();
  received.zone = root["zone"].asString();
  received.cell = root["cell"].asString();
  received.broadcast_at = DecodeTime(root["told_us"]);
  received.is_forwarded = root["forwarded"].asBool();
  received.is_stopping = root["stopping"].asBool();
  received.last_update = root["news"].asUInt64();
  received.configuration_position = DecodeConfigurationPosition(root);
  received.configuration_version = DecodeVersion(root);
  if (root.isMember("configuration_age_ms")) {
    received.configuration_age = DecodeAge(root["configuration_age_ms"]);
    if (!received.configuration_age) {
      return std::nullopt;
    }
  }
  if (root.isMember("list_age_ms")) {
    received.list_age = DecodeAge(root["list_age_ms"]);
    if (!received.list_age) {
      return std::nullopt;
    }
  }
  const Json::Value& eras = root[kRecentErasKey];
  for (Json::ArrayIndex index = 0; index < root["recent"].size(); ++index) {
    auto update = DecodeListUpdate(root["recent"][index], eras.get(index, 0).asUInt64());
    if (!update) {
      return std::nullopt;
    }
    received.recent_updates.push_back(std::move(*update));
  }
  for (const Json::Value& id : root["unreached"]) {
    received.unreachable_upstreams.push_back(id.asString());
  }
  for (const Json::Value& row : root["outcomes"]) {
    if (!row.isArray() || row.size() != kOutcomeRowLength || !row[0].isString()) {
      return std::nullopt;
    }
    entry::OutcomeCount& count = received.outcomes[row[0].asString()];
    count.failures = row[1].asDouble();
    count.responses = row[2].asDouble();
  }
  auto load = DecodeLoadTable(root["load"]);
  auto limits = DecodeLimits(root["limits"]);
  auto leaving = DecodeLeavings(root["leaving"]);
  if (!load || !limits || !leaving) {
    return std::nullopt;
  }
  received.leaving = std::move(*leaving);
  received.load = std::move(*load);
  received.demand = DecodeDemand(root);
  received.limits = std::move(*limits);
  return received;
}

std::optional<entry::CellLoadReceived> DecodeCellLoad(const Json::Value& root) {
  entry::CellLoadReceived sum;
  sum.cell = root["cell"].asString();
  sum.zone = root["zone"].asString();
  sum.hosts = root["hosts"].asInt();
  sum.is_forwarded = root["forwarded"].asBool();
  auto load = DecodeLoadTable(root[kSumKey]);
  auto limits = DecodeLimits(root["limits"]);
  auto leaving = DecodeLeavings(root["leaving"]);
  if (!load || !limits || !leaving || sum.cell.empty() || sum.hosts < 1) {
    return std::nullopt;
  }
  sum.leaving = std::move(*leaving);
  sum.load = std::move(*load);
  sum.limits = std::move(*limits);
  constexpr Json::ArrayIndex kCellOutcomeRowLength = 4;
  for (const Json::Value& row : root["outcomes"]) {
    if (!row.isArray() || row.size() != kCellOutcomeRowLength || !row[0].isString()) {
      return std::nullopt;
    }
    entry::CellOutcome& outcome = sum.outcomes[row[0].asString()];
    outcome.count.failures = row[1].asDouble();
    outcome.count.responses = row[2].asDouble();
    outcome.hosts = row[3].asInt();
  }
  return sum;
}

std::optional<PeerMessage> DecodeMessage(const Json::Value& root) {
  PeerMessage message{root["host"].asString(), {}, false};
  if (root.isMember(kAskedKey)) {
    message.content = entry::ConfirmationRequested{message.host, DecodeTime(root[kAskedKey])};
    return message;
  }
  if (root.isMember(kAnsweredKey)) {
    const auto age = DecodeAge(root["configuration_age_ms"]);
    if (!age) {
      return std::nullopt;
    }
    message.content = entry::ConfirmationReceived{DecodeTime(root[kAnsweredKey]),
                                                  DecodeConfigurationPosition(root),
                                                  DecodeVersion(root), *age, message.host};
    return message;
  }
  if (root.isMember(kSumKey)) {
    auto sum = DecodeCellLoad(root);
    if (!sum) {
      return std::nullopt;
    }
    message.content = std::move(*sum);
    return message;
  }
  if (root.isMember(kCrashReportKey)) {
    auto report = DecodeCrashReport(root[kCrashReportKey]);
    if (!report) {
      return std::nullopt;
    }
    message.content = entry::CrashReportReceived{message.host, std::move(*report)};
    return message;
  }
  auto load = DecodeLoad(root);
  if (!load) {
    return std::nullopt;
  }
  message.is_forwarded = load->is_forwarded;
  message.content = std::move(*load);
  return message;
}

}  // namespace
}  // namespace internal

std::string EncodeConfirmationRequest(std::string_view host,
                                      const entry::RequestConfirmation& request) {
  Json::Value root;
  root["host"] = std::string(host);
  root[internal::kAskedKey] = Json::Int64{request.requested_at.time_since_epoch().count()};
  return internal::WriteCompactJson(root);
}

std::string EncodeConfirmationReply(std::string_view host, const entry::SendConfirmation& reply) {
  Json::Value root;
  root["host"] = std::string(host);
  root[internal::kAnsweredKey] = Json::Int64{reply.requested_at.time_since_epoch().count()};
  internal::EncodeConfigurationPosition(root, reply.position);
  root[internal::kVersionKey] = Json::Int64{reply.version};
  root["configuration_age_ms"] = Json::Int64{reply.age.count()};
  return internal::WriteCompactJson(root);
}

std::string EncodeCrashMessage(std::string_view host, const entry::CrashReport& report) {
  Json::Value root;
  root["host"] = std::string(host);
  root[internal::kCrashReportKey] = EncodeCrashReport(report);
  return internal::WriteCompactJson(root);
}

std::string EncodeLoad(const entry::PeerLoadReceived& load) {
  Json::Value root;
  root["host"] = load.host;
  root["zone"] = load.zone;
  if (!load.cell.empty()) {
    root["cell"] = load.cell;
  }
  root["told_us"] = Json::Int64{load.broadcast_at.time_since_epoch().count()};
  if (load.is_forwarded) {
    root["forwarded"] = true;
  }
  root["stopping"] = load.is_stopping;
  root["news"] = Json::UInt64{load.last_update};
  for (const entry::UpstreamId& id : load.unreachable_upstreams) {
    root["unreached"].append(id);
  }
  root["recent"] = Json::Value(Json::arrayValue);
  for (const entry::PeerUpdate& update : load.recent_updates) {
    root["recent"].append(internal::EncodeListUpdate(update));
    root[internal::kRecentErasKey].append(Json::UInt64{internal::EraOf(update)});
  }
  internal::EncodeConfigurationPosition(root, load.configuration_position);
  if (load.configuration_version) {
    root[internal::kVersionKey] = Json::Int64{*load.configuration_version};
  }
  if (load.configuration_age) {
    root["configuration_age_ms"] = Json::Int64{load.configuration_age->count()};
  }
  if (load.list_age) {
    root["list_age_ms"] = Json::Int64{load.list_age->count()};
  }
  for (const auto& [upstream, count] : load.outcomes) {
    Json::Value row(Json::arrayValue);
    row.append(upstream);
    row.append(count.failures);
    row.append(count.responses);
    root["outcomes"].append(std::move(row));
  }
  root["load"] = internal::EncodeLoadTable(load.load);
  EncodeDemand(load.demand, root);
  if (!load.limits.empty()) {
    root["limits"] = EncodeLimits(load.limits);
  }
  if (!load.leaving.empty()) {
    root["leaving"] = EncodeLeavings(load.leaving);
  }
  return internal::WriteCompactJson(root);
}

std::string EncodeCellLoad(std::string_view host, const entry::CellLoadReceived& sum) {
  Json::Value root;
  root["host"] = std::string(host);
  root["cell"] = sum.cell;
  root["zone"] = sum.zone;
  root["hosts"] = sum.hosts;
  root["forwarded"] = sum.is_forwarded;
  root[internal::kSumKey] = internal::EncodeLoadTable(sum.load);
  if (!sum.limits.empty()) {
    root["limits"] = EncodeLimits(sum.limits);
  }
  if (!sum.leaving.empty()) {
    root["leaving"] = EncodeLeavings(sum.leaving);
  }
  for (const auto& [upstream, outcome] : sum.outcomes) {
    Json::Value row(Json::arrayValue);
    row.append(upstream);
    row.append(outcome.count.failures);
    row.append(outcome.count.responses);
    row.append(outcome.hosts);
    root["outcomes"].append(std::move(row));
  }
  return internal::WriteCompactJson(root);
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view text) {
  Json::Value root;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  // The reader throws on deep nesting, the accessors of Json::Value on values of the wrong type.
  try {
    if (!reader->parse(text.data(), text.data() + text.size(), &root, nullptr) ||
        !root.isObject() || !root["host"].isString()) {
      return std::nullopt;
    }
    return internal::DecodeMessage(root);
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
}

PeerSocket::PeerSocket(boost::asio::io_context& context,
                       std::string host,
                       const Endpoint& local,
                       std::function<void(PeerMessage&&)> on_message)
    : host_(std::move(host)), socket_(context), on_message_(std::move(on_message)) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(local.address, error);
  if (!error) {
    socket_.open(boost::asio::ip::udp::v4(), error);
  }
  if (!error) {
    socket_.bind({address, static_cast<std::uint16_t>(local.port)}, error);
  }
  if (!error) {
    socket_.non_blocking(true, error);
  }
  if (error) {
    failure_ = error.message();
    return;
  }
  AwaitReadable();
}

void PeerSocket::AwaitReadable() {
  socket_.async_wait(boost::asio::ip::udp::socket::wait_read,
                     [this](const boost::system::error_code& wait_error) {
                       if (wait_error) {
                         return;
                       }
                       for (int reads = 0; reads < internal::kMaxDatagramsPerWakeup; ++reads) {
                         boost::system::error_code error;
                         boost::asio::ip::udp::endpoint from;
                         const std::size_t count =
                             socket_.receive_from(boost::asio::buffer(buffer_), from, 0, error);
                         if (error) {
                           break;
                         }
                         ++received_datagrams_;
                         auto message = DecodePeerMessage({buffer_.data(), count});
                         // A record of another writer may name this host's address.
                         if (message && message->host != host_) {
                           if (!message->is_forwarded) {
                             recent_senders_[message->host] = from;
                             peers_.emplace(message->host, from);
                           }
                           on_message_(std::move(*message));
                         }
                       }
                       AwaitReadable();
                     });
}

void PeerSocket::SetPeers(const std::map<std::string, Endpoint>& peers) {
  peers_.clear();
  for (const auto& [host, endpoint] : peers) {
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(endpoint.address, error);
    if (!error) {  // The address was validated when the host's record was parsed.
      peers_.emplace(
          host, boost::asio::ip::udp::endpoint(address, static_cast<std::uint16_t>(endpoint.port)));
    }
  }
  peers_.insert(recent_senders_.begin(), recent_senders_.end());
  recent_senders_.clear();
}

void PeerSocket::Broadcast(std::string_view datagram,
                           const std::function<bool(const std::string&)>& is_recipient) {
  for (const auto& [name, endpoint] : peers_) {
    if (is_recipient(name)) {
      SendTo(datagram, endpoint);
    }
  }
}

void PeerSocket::Send(std::string_view datagram, const std::string& host) {
  const auto peer = peers_.find(host);
  if (peer != peers_.end()) {
    SendTo(datagram, peer->second);
  }
}

void PeerSocket::SendTo(std::string_view datagram, const boost::asio::ip::udp::endpoint& endpoint) {
  boost::system::error_code error;
  // Errors are ignored: a lost datagram is made up for by the next one.
  socket_.send_to(boost::asio::buffer(datagram.data(), datagram.size()), endpoint, 0, error);
}

}  // namespace snipeturn::loop
