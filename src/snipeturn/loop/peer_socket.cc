#include "snipeturn/loop/peer_socket.h"

#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <memory>
#include <utility>
#include <variant>

namespace snipeturn::loop {
namespace internal {
namespace {

/// Values of an upstream's row: id, requests, tokens, unread tokens.
constexpr Json::ArrayIndex kRowLength = 4;

std::string Write(const Json::Value& root) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, root);
}

std::optional<entry::Event> DecodeLoad(const Json::Value& root) {
  entry::PeerLoadReceived received;
  received.host = root["host"].asString();
  received.zone = root["zone"].asString();
  received.is_stopping = root["stopping"].asBool();
  for (const Json::Value& row : root["load"]) {
    if (!row.isArray() || row.size() != kRowLength || !row[0].isString()) {
      return std::nullopt;
    }
    received.load[row[0].asString()] = {row[1].asInt(), row[2].asUInt64(), row[3].asUInt64()};
  }
  return received;
}

std::optional<entry::Event> DecodeListed(const Json::Value& value) {
  entry::UpstreamListed listed;
  listed.source = entry::KnowledgeSource::kPeer;
  listed.offset = value["offset"].asUInt64();
  entry::UpstreamEntry& entry = listed.entry;
  entry.id = value["id"].asString();
  entry.service = value["service"].asString();
  entry.endpoint = {value["address"].asString(), value["port"].asInt()};
  entry.zone = value["zone"].asString();
  entry.slots = value["slots"].asInt();
  entry.leaving = value["leaving"].asBool();
  entry.cold_left = std::chrono::milliseconds(value["cold_ms"].asInt64());
  entry.born = value["born"].asInt64();
  entry.sequence = value["sequence"].asInt64();
  if (entry.id.empty() || entry.service.empty()) {
    return std::nullopt;
  }
  return listed;
}

}  // namespace
}  // namespace internal

std::string EncodeLoad(const entry::PeerLoadReceived& load) {
  Json::Value root;
  root["host"] = load.host;
  root["zone"] = load.zone;
  root["stopping"] = load.is_stopping;
  root["load"] = Json::Value(Json::arrayValue);
  for (const auto& [upstream, work] : load.load) {
    Json::Value row(Json::arrayValue);
    row.append(upstream);
    row.append(work.requests);
    row.append(Json::UInt64{work.tokens});
    row.append(Json::UInt64{work.unread_tokens});
    root["load"].append(std::move(row));
  }
  return internal::Write(root);
}

std::string EncodeNotice(std::string_view host, const entry::PeerNotice& notice) {
  Json::Value root;
  root["host"] = std::string(host);
  if (const auto* listed = std::get_if<entry::UpstreamListed>(&notice)) {
    const entry::UpstreamEntry& entry = listed->entry;
    Json::Value& value = root["listed"];
    value["offset"] = Json::UInt64{listed->offset};
    value["id"] = entry.id;
    value["service"] = entry.service;
    value["address"] = entry.endpoint.address;
    value["port"] = entry.endpoint.port;
    value["zone"] = entry.zone;
    value["slots"] = entry.slots;
    value["leaving"] = entry.leaving;
    value["cold_ms"] = Json::Int64{entry.cold_left.count()};
    value["born"] = Json::Int64{entry.born};
    value["sequence"] = Json::Int64{entry.sequence};
  } else if (const auto* unlisted = std::get_if<entry::UpstreamUnlisted>(&notice)) {
    root["unlisted"]["offset"] = Json::UInt64{unlisted->offset};
    root["unlisted"]["id"] = unlisted->id;
  }
  return internal::Write(root);
}

std::optional<entry::Event> DecodePeerMessage(std::string_view text) {
  Json::Value root;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  if (!reader->parse(text.data(), text.data() + text.size(), &root, nullptr) || !root.isObject() ||
      !root["host"].isString()) {
    return std::nullopt;
  }
  // The accessors of Json::Value throw on a value of another type.
  try {
    if (root.isMember("load")) {
      return internal::DecodeLoad(root);
    }
    if (root.isMember("listed")) {
      return internal::DecodeListed(root["listed"]);
    }
    if (root.isMember("unlisted")) {
      return entry::UpstreamUnlisted{root["unlisted"]["id"].asString(),
                                     root["unlisted"]["offset"].asUInt64(),
                                     entry::KnowledgeSource::kPeer};
    }
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
  return std::nullopt;
}

PeerSocket::PeerSocket(boost::asio::io_context& context,
                       const Endpoint& own,
                       std::function<void(entry::Event&&)> on_message)
    : socket_(context), on_message_(std::move(on_message)) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(own.address, error);
  if (!error) {
    socket_.open(boost::asio::ip::udp::v4(), error);
  }
  if (!error) {
    socket_.bind({address, static_cast<std::uint16_t>(own.port)}, error);
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
                       while (true) {
                         boost::system::error_code error;
                         boost::asio::ip::udp::endpoint from;
                         const std::size_t count =
                             socket_.receive_from(boost::asio::buffer(buffer_), from, 0, error);
                         if (error) {
                           break;
                         }
                         if (auto message = DecodePeerMessage({buffer_.data(), count})) {
                           on_message_(std::move(*message));
                         }
                       }
                       AwaitReadable();
                     });
}

void PeerSocket::Broadcast(std::string_view datagram) {
  for (const auto& [name, endpoint] : peers_) {
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(endpoint.address, error);
    if (error) {
      continue;  // Checked when the peer's record was read.
    }
    // A datagram that can't be sent is followed by the next one.
    socket_.send_to(boost::asio::buffer(datagram.data(), datagram.size()),
                    {address, static_cast<std::uint16_t>(endpoint.port)}, 0, error);
  }
}

}  // namespace snipeturn::loop
