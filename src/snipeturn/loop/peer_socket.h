#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "snipeturn/base/host.h"
#include "snipeturn/entry/effect.h"
#include "snipeturn/entry/event.h"

namespace snipeturn::loop {

/// Largest datagram: a table of some hundred upstreams with as many updates.
inline constexpr std::size_t kMaxDatagramBytes = 32768;

/// @brief Encodes a load table for other hosts as JSON.
/// @param load A host's load by upstream, with its updates and ages for the peers.
/// @return The datagram.
[[nodiscard]] std::string EncodeLoad(const entry::PeerLoadReceived& load);

/// @brief Encodes the load sum of a cell.
/// @param host Name of this host.
[[nodiscard]] std::string EncodeCellLoad(std::string_view host, const entry::CellLoadReceived& sum);

/// @brief Encodes a request for confirmation to a reader of the configuration.
/// @param host Name of this host.
[[nodiscard]] std::string EncodeConfirmationRequest(std::string_view host,
                                                    const entry::RequestConfirmation& request);

/// @brief Encodes the reply to a request for confirmation.
/// @param host Name of this host.
[[nodiscard]] std::string EncodeConfirmationReply(std::string_view host,
                                                  const entry::SendConfirmation& reply);

/// @brief Encodes a crash report for other hosts.
/// @param host Name of this host.
[[nodiscard]] std::string EncodeCrashMessage(std::string_view host,
                                             const entry::CrashReport& report);

/// A message from another host.
struct PeerMessage {
  /// The host that wrote the message.
  std::string host;
  std::variant<entry::PeerLoadReceived,
               entry::CellLoadReceived,
               entry::ConfirmationRequested,
               entry::ConfirmationReceived,
               entry::CrashReportReceived>
      content;
  /// The message was forwarded by a host other than the one that wrote it.
  bool is_forwarded{false};
};

/// @brief Decodes a datagram from another host.
/// @return The message, or nothing when the datagram is malformed.
[[nodiscard]] std::optional<PeerMessage> DecodePeerMessage(std::string_view text);

/// Exchanges load tables and confirmations of the configuration with the other hosts over UDP. A
/// lost datagram isn't sent again; the next one makes up for it.
class PeerSocket {
 public:
  /// @brief Opens the socket; see `failure`.
  /// @param context The event loop.
  /// @param host Name of this host, whose own messages are ignored.
  /// @param local Address and port to bind; port 0 takes any that is free.
  /// @param on_message Receives the peers' messages.
  PeerSocket(boost::asio::io_context& context,
             std::string host,
             const Endpoint& local,
             std::function<void(PeerMessage&&)> on_message);

  /// @return The error message when the socket can't be opened, else nothing.
  [[nodiscard]] const std::optional<std::string>& failure() const noexcept { return failure_; }
  /// @return The bound port, 0 if the socket can't be opened.
  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] std::uint64_t received_datagrams() const noexcept { return received_datagrams_; }

  /// @brief Replaces the peers by the hosts that the store lists; hosts that sent a message since
  /// the
  ///     last call stay.
  void SetPeers(const std::map<std::string, Endpoint>& peers);

  [[nodiscard]] std::size_t peer_count() const noexcept { return peers_.size(); }

  /// @brief Sends a datagram to the other hosts.
  /// @param datagram The bytes.
  /// @param is_recipient Selects hosts by name.
  void Broadcast(std::string_view datagram,
                 const std::function<bool(const std::string& host)>& is_recipient);

  /// @brief Sends a datagram to one host, if its address is known.
  void Send(std::string_view datagram, const std::string& host);

 private:
  void AwaitReadable();
  void SendTo(std::string_view datagram, const boost::asio::ip::udp::endpoint& endpoint);

  std::string host_;
  boost::asio::ip::udp::socket socket_;
  std::function<void(PeerMessage&&)> on_message_;
  std::map<std::string, boost::asio::ip::udp::endpoint> peers_;
  /// Hosts that sent a message since the last call of `SetPeers`.
  std::map<std::string, boost::asio::ip::udp::endpoint> recent_senders_;
  std::optional<std::string> failure_;
  std::uint64_t received_datagrams_{0};
  std::array<char, kMaxDatagramBytes> buffer_{};
};

}  // namespace snipeturn::loop
