#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "snipeturn/base/host.h"
#include "snipeturn/reducer/effect.h"
#include "snipeturn/reducer/platform.h"

namespace snipeturn {

/// Result of a message's delivery.
enum class PeerDelivery : std::uint8_t { kAccepted, kRefused, kUnreachable };

/// @brief Sends a message to a peer and waits for its reply, for one second at most.
/// @param self The sender.
/// @param send The message and the peer to send it to.
/// @param key HMAC key shared by all hosts.
/// @param tls Whether peers use TLS. Their certificates are not checked, because messages are
/// authenticated by an HMAC.
/// @param last_reason Receives the reason when the message is not accepted.
/// @return The result. A peer reported as unreachable may still have received the message.
[[nodiscard]] PeerDelivery DeliverPeerMessage(const HostId& self,
                                              const SendPeer& send,
                                              std::string_view key,
                                              bool tls,
                                              std::string& last_reason);

/// @brief Probes a host's health endpoint directly.
/// @param probe The host.
/// @param tls Whether hosts use TLS.
/// @return The probe's result, without an incarnation when there was no valid response or another
/// host responded.
[[nodiscard]] ProbeEnded RunProbe(const ProbeHost& probe, bool tls);

}  // namespace snipeturn
