#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "snipeturn/base/host.h"
#include "snipeturn/entry/event.h"

namespace snipeturn::loop {

/// @brief Writes a load table for other hosts, as JSON.
/// @param load This host's work by upstream, and what others must know of it.
/// @return The datagram.
[[nodiscard]] std::string EncodeLoad(const entry::PeerLoadReceived& load);

/// @brief Reads a load table.
/// @param text The datagram.
/// @return The event, or nothing when the datagram can't be read.
[[nodiscard]] std::optional<entry::PeerLoadReceived> DecodeLoad(std::string_view text);

/// Sends this host's load table to the other hosts and receives theirs, over UDP: a lost table is
/// followed by the next one.
class PeerSocket {
 public:
  /// @brief Opens the socket.
  /// @param context The event loop.
  /// @param own Address and port to bind.
  /// @param on_load Takes a peer's table.
  PeerSocket(boost::asio::io_context& context,
             const Endpoint& own,
             std::function<void(entry::PeerLoadReceived&&)> on_load);

  /// @return Why the socket could not be opened, or nothing.
  [[nodiscard]] const std::optional<std::string>& failure() const noexcept { return failure_; }

  /// @brief Takes the hosts that the store names; those that were heard since stay known.
  void SetPeers(std::map<std::string, Endpoint> peers);

  [[nodiscard]] std::size_t peer_count() const noexcept { return peers_.size(); }

  /// @brief Sends a datagram to the other hosts.
  /// @param datagram The bytes.
  /// @param is_wanted Chooses hosts by name.
  void Broadcast(std::string_view datagram,
                 const std::function<bool(const std::string& host)>& is_wanted);

 private:
  void AwaitReadable();

  /// Largest datagram: a table of some hundred upstreams.
  static constexpr std::size_t kMaxDatagram = 16384;

  boost::asio::ip::udp::socket socket_;
  std::function<void(entry::PeerLoadReceived&&)> on_load_;
  std::map<std::string, Endpoint> peers_;
  /// Hosts that sent a message since the store named its hosts.
  std::map<std::string, Endpoint> heard_;
  std::optional<std::string> failure_;
  std::array<char, kMaxDatagram> buffer_{};
};

}  // namespace snipeturn::loop
