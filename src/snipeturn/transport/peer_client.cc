#include "snipeturn/transport/peer_client.h"

#include "snipeturn/transport/http_client.h"
#include "snipeturn/transport/json_rpc_adapter.h"
#include "snipeturn/transport/json_text.h"
#include "snipeturn/transport/peer_codec.h"

namespace snipeturn {
namespace internal {
namespace {

constexpr std::chrono::milliseconds kPeerTimeout{1000};
constexpr std::size_t kMaxPeerAnswer = std::size_t{64} << 10U;

}  // namespace
}  // namespace internal

PeerDelivery DeliverPeerMessage(const HostId& self,
                                const SendPeer& send,
                                std::string_view key,
                                bool tls,
                                std::string& last_reason) {
  bool is_answered = false;
  const RpcPost post = [&](const std::string& body, std::string& answer) {
    HttpRequest request;
    request.method = "POST";
    request.endpoint = send.endpoint;
    request.target = "/rpc";
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = body;
    request.timeout = internal::kPeerTimeout;
    request.max_answer = internal::kMaxPeerAnswer;
    request.tls = tls;
    const HttpResponse received = Exchange(request);
    is_answered = received.result == HttpResult::kAnswered;
    answer = received.body;
    return is_answered;
  };
  if (CallJsonRpc(post, std::string(PeerMethod(send.message)),
                  SealPeerMessage(self, send.to, send.message, key), last_reason)) {
    return PeerDelivery::kAccepted;
  }
  return is_answered ? PeerDelivery::kRefused : PeerDelivery::kUnreachable;
}

ProbeEnded RunProbe(const ProbeHost& probe, bool tls) {
  HttpRequest request;
  request.endpoint = probe.endpoint;
  request.target = "/healthz";
  request.timeout = internal::kPeerTimeout;
  request.max_answer = internal::kMaxPeerAnswer;
  request.tls = tls;
  const HttpResponse answer = Exchange(request);
  ProbeEnded ended;
  ended.host = probe.host;
  std::string reason;
  // A draining host answers 503 and lives.
  const auto health =
      answer.result == HttpResult::kAnswered ? ParseJson(answer.body, reason) : std::nullopt;
  if (health && health->isObject() && (*health)["host"].isString() &&
      (*health)["host"].asString() == probe.host && (*health)["incarnation"].isUInt64()) {
    ended.incarnation = (*health)["incarnation"].asUInt64();
  }
  return ended;
}

}  // namespace snipeturn
