#pragma once

#include <json/value.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "snipeturn/base/host.h"
#include "snipeturn/reducer/peer_message.h"

namespace snipeturn {

/// JSON-RPC methods, in the order of PeerMessage's alternatives.
inline constexpr std::array<std::string_view, std::variant_size_v<PeerMessage>> kPeerMethods{
    "heartbeat",  "suspect",  "slots_wanted",    "slots_released", "borrow",      "lent",
    "loan_check", "returned", "settings_wanted", "settings_copy",  "claim_query", "claim_answer"};

/// @brief Returns the JSON-RPC method of a message.
/// @param message The message.
/// @return Its JSON-RPC method.
[[nodiscard]] std::string_view PeerMethod(const PeerMessage& message) noexcept;

/// @brief Encodes a message as JSON.
/// @param message The message; its ages are clamped to ten years.
/// @return An object with all members of the message.
[[nodiscard]] Json::Value EncodePeerMessage(const PeerMessage& message);

/// @brief Decodes a message. Every member must be present with its type; unknown members are an
/// error.
/// @param method The JSON-RPC method.
/// @param value The object.
/// @param last_reason Receives the reason when decoding fails.
/// @return The message, or nothing.
[[nodiscard]] std::optional<PeerMessage> DecodePeerMessage(std::string_view method,
                                                           const Json::Value& value,
                                                           std::string& last_reason);

/// Why a sealed (authenticated) message was refused.
enum class SealError : std::uint8_t {
  kNone,
  /// The envelope or the message is malformed.
  kMalformed,
  /// The HMAC does not match the signed text.
  kForged,
  /// The message was sent to another host or for another method.
  kMisdirected,
};

/// @brief Returns the name of an error as used in counters, logs and replies.
[[nodiscard]] std::string_view ToString(SealError reason) noexcept;

/// A message whose sender has been authenticated.
struct OpenedMessage {
  HostId from;
  PeerMessage message;
};

/// @brief Creates the parameters of a JSON-RPC call: the signed text and its HMAC.
/// @param from The sender.
/// @param to The receiver. Another host that took over its address refuses the message.
/// @param message The message.
/// @param key HMAC key shared by all hosts.
/// @return JSON text {"signed", "code"}. The HMAC in "code" covers the bytes of "signed", so that
/// it does not depend on how JSON is serialized.
[[nodiscard]] std::string SealPeerMessage(const HostId& from,
                                          const HostName& to,
                                          const PeerMessage& message,
                                          std::string_view key);

/// @brief Authenticates and decodes the parameters of a JSON-RPC call.
/// @param method The method called.
/// @param params JSON text {"signed", "code"}.
/// @param self The receiver.
/// @param key HMAC key shared by all hosts.
/// @param last_reason Receives the reason when the message is refused.
/// @param detail Receives a description of the problem when the message is refused.
/// @return The message with its sender, or nothing.
[[nodiscard]] std::optional<OpenedMessage> OpenPeerMessage(std::string_view method,
                                                           std::string_view params,
                                                           const HostName& self,
                                                           std::string_view key,
                                                           SealError& last_reason,
                                                           std::string& detail);

}  // namespace snipeturn
