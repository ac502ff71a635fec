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
#include "snipeturn/loop/capacity_codec.h"
#include "snipeturn/loop/crash_report_codec.h"
#include "snipeturn/loop/list_update_codec.h"
#include "snipeturn/loop/rollout_codec.h"
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

constexpr char kEraKey[] = "era";
constexpr char kVersionKey[] = "version";

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
/// Roll-outs that run or have just ended.
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

/// Encodes what a load table or a cell's sum holds of the statements and speeds of upstreams.
template <typename Table>
void EncodeUpstreamReports(Json::Value& root, const Table& table) {
  if (!table.limits.empty()) {
    root["limits"] = EncodeLimits(table.limits);
  }
  if (!table.leaving.empty()) {
    root["leaving"] = EncodeLeavings(table.leaving);
  }
  EncodeCapacity(root, table.capacity);
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
  auto updates = DecodeListUpdates(root);
  auto load = DecodeLoadTable(root["load"]);
  auto limits = DecodeLimits(root["limits"]);
  auto leaving = DecodeLeavings(root["leaving"]);
  if (!updates || !load || !limits || !leaving) {
    return std::nullopt;
  }
  received.rollouts = DecodeRollouts(root);
  received.recent_updates = std::move(*updates);
  received.capacity = DecodeCapacity(root);
  received.leaving = std::move(*leaving);
  received.load = std::move(*load);
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
  sum.rollouts = DecodeRollouts(root);
  sum.capacity = DecodeCapacity(root);
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

/// Writes a message with as many rows of evidence as it has room for. Without roll-outs it has no
/// further key.
std::string WriteWithRollouts(const Json::Value& root,
                              const std::vector<entry::ReportedRollout>& rollouts) {
  std::size_t max_rows = rollout::kMaxEvidenceRows;
  while (!rollouts.empty()) {
    Json::Value message = root;
    EncodeRollouts(rollouts, max_rows, message);
    std::string text = WriteCompactJson(message);
    if (text.size() <= kMaxDatagramBytes) {
      return text;
    }
    if (max_rows == 0) {
      break;
    }
    max_rows /= 2;
  }
  return WriteCompactJson(root);
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
  EncodeListUpdates(load.recent_updates, root);
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
  internal::EncodeUpstreamReports(root, load);
  std::string text = internal::WriteWithRollouts(root, load.rollouts);
  // Updates grow by their versions. A receiver reads the list if updates are left out.
  const bool has_versions = HasVersions(load.recent_updates);
  std::vector<entry::PeerUpdate> updates = load.recent_updates;
  while (has_versions && text.size() > kMaxDatagramBytes && !updates.empty()) {
    updates.erase(updates.begin(),
                  updates.begin() + static_cast<std::ptrdiff_t>((updates.size() + 1) / 2));
    EncodeListUpdates(updates, root);
    text = internal::WriteWithRollouts(root, load.rollouts);
  }
  return text;
}

std::string EncodeCellLoad(std::string_view host, const entry::CellLoadReceived& sum) {
  Json::Value root;
  root["host"] = std::string(host);
  root["cell"] = sum.cell;
  root["zone"] = sum.zone;
  root["hosts"] = sum.hosts;
  root["forwarded"] = sum.is_forwarded;
  root[internal::kSumKey] = internal::EncodeLoadTable(sum.load);
  internal::EncodeUpstreamReports(root, sum);
  for (const auto& [upstream, outcome] : sum.outcomes) {
    Json::Value row(Json::arrayValue);
    row.append(upstream);
    row.append(outcome.count.failures);
    row.append(outcome.count.responses);
    row.append(outcome.hosts);
    root["outcomes"].append(std::move(row));
  }
  return internal::WriteWithRollouts(root, sum.rollouts);
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

std::uint16_t PeerSocket::port() const {
  // A socket that isn't open has the default endpoint.
  boost::system::error_code ignored;
  return socket_.local_endpoint(ignored).port();
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
