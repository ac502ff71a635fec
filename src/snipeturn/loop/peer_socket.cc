#include "snipeturn/loop/peer_socket.h"

#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <memory>
#include <utility>

namespace snipeturn::loop {
namespace internal {
namespace {

/// Values of an upstream's row: id, requests, tokens, unread tokens.
constexpr Json::ArrayIndex kRowLength = 4;

}  // namespace
}  // namespace internal

std::string EncodeLoad(std::string_view host, const entry::LoadTable& load) {
  Json::Value root;
  root["host"] = std::string(host);
  root["load"] = Json::Value(Json::arrayValue);
  for (const auto& [upstream, work] : load) {
    Json::Value row(Json::arrayValue);
    row.append(upstream);
    row.append(work.requests);
    row.append(Json::UInt64{work.tokens});
    row.append(Json::UInt64{work.unread_tokens});
    root["load"].append(std::move(row));
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, root);
}

std::optional<entry::PeerLoadReceived> DecodeLoad(std::string_view text) {
  Json::Value root;
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  if (!reader->parse(text.data(), text.data() + text.size(), &root, nullptr) || !root.isObject() ||
      !root["host"].isString() || !root["load"].isArray()) {
    return std::nullopt;
  }
  entry::PeerLoadReceived received;
  received.host = root["host"].asString();
  for (const Json::Value& row : root["load"]) {
    if (!row.isArray() || row.size() != internal::kRowLength || !row[0].isString() ||
        !row[1].isInt() || !row[2].isUInt64() || !row[3].isUInt64()) {
      return std::nullopt;
    }
    received.load[row[0].asString()] = {row[1].asInt(), row[2].asUInt64(), row[3].asUInt64()};
  }
  return received;
}

PeerSocket::PeerSocket(boost::asio::io_context& context,
                       const Endpoint& own,
                       std::function<void(entry::PeerLoadReceived&&)> on_load)
    : socket_(context), on_load_(std::move(on_load)) {
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
                         if (auto load = DecodeLoad({buffer_.data(), count})) {
                           on_load_(std::move(*load));
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
