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
#include "snipeturn/entry/effect.h"
#include "snipeturn/entry/event.h"

namespace snipeturn::loop {

/// @brief Writes a load table for other hosts, as JSON.
/// @param load This host's work by upstream, and what others must know of it.
/// @return The datagram.
[[nodiscard]] std::string EncodeLoad(const entry::PeerLoadReceived& load);

/// @brief Writes news about an upstream for other hosts, as JSON.
[[nodiscard]] std::string EncodeNotice(std::string_view host, const entry::PeerNotice& notice);

/// @brief Reads a datagram of another host.
/// @param text The datagram.
/// @return The event, or nothing when the datagram can't be read.
[[nodiscard]] std::optional<entry::Event> DecodePeerMessage(std::string_view text);

/// Sends messages to the other hosts and receives theirs, over UDP: a lost load table is followed
/// by the next one, and what a lost notice tells is read from the store a moment later.
class PeerSocket {
 public:
  /// @brief Opens the socket.
  /// @param context The event loop.
  /// @param own Address and port to bind.
  /// @param on_message Takes a peer's message.
  PeerSocket(boost::asio::io_context& context,
             const Endpoint& own,
             std::function<void(entry::Event&&)> on_message);

  /// @return Why the socket could not be opened, or nothing.
  [[nodiscard]] const std::optional<std::string>& failure() const noexcept { return failure_; }

  void SetPeers(std::map<std::string, Endpoint> peers) { peers_ = std::move(peers); }
  [[nodiscard]] std::size_t peer_count() const noexcept { return peers_.size(); }

  void Broadcast(std::string_view datagram);

 private:
  void AwaitReadable();

  /// Largest datagram: a table of some hundred upstreams.
  static constexpr std::size_t kMaxDatagram = 16384;

  boost::asio::ip::udp::socket socket_;
  std::function<void(entry::Event&&)> on_message_;
  std::map<std::string, Endpoint> peers_;
  std::optional<std::string> failure_;
  std::array<char, kMaxDatagram> buffer_{};
};

}  // namespace snipeturn::loop
