#include "snipeturn/runtime/peer_sender.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "snipeturn/runtime/clock.h"

namespace snipeturn {
namespace internal {
namespace {

constexpr std::chrono::milliseconds kFirstBackoff{250};
// Below half the fence time (3 s), so that a peer that becomes reachable again receives a message
// from this host within that time.
constexpr std::chrono::milliseconds kMaxBackoff{2000};
constexpr int kMaxDoublings = 3;
constexpr std::size_t kMaxActivePeers = 4096;

}  // namespace
}  // namespace internal

PeerSender::PeerSender(std::size_t max_threads,
                       std::size_t max_queue,
                       PeerTransport transport,
                       PeerLossHandler on_loss)
    : max_queue_(max_queue),
      transport_(std::move(transport)),
      on_loss_(std::move(on_loss)),
      pool_("peer_messages", max_threads, internal::kMaxActivePeers) {}

void PeerSender::Send(SendPeer send) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Peer& peer = peers_[send.to];
  if (ReadMonotonic() < peer.backoff_until) {
    on_loss_(send, "held_off");
    return;
  }
  if (peer.queue.size() >= max_queue_) {
    on_loss_(peer.queue.front(), "queue_full");
    peer.queue.pop_front();
  }
  const HostName host = send.to;
  peer.queue.push_back(std::move(send));
  if (!peer.is_active) {
    peer.is_active = pool_.Submit([this, host] { SendQueued(host); });
    if (!peer.is_active) {
      DropQueue(peer, "queue_full");
    }
  }
}

void PeerSender::SendQueued(const HostName& host) {
  std::unique_lock<std::mutex> lock(mutex_);
  Peer& peer = peers_[host];
  while (!peer.queue.empty()) {
    const SendPeer send = std::move(peer.queue.front());
    peer.queue.pop_front();
    const bool is_suspect = peer.failures > 0;
    lock.unlock();
    const PeerDelivery delivery = transport_(send, is_suspect);
    lock.lock();
    Finish(send, delivery);
  }
  peer.is_active = false;
}

void PeerSender::Finish(const SendPeer& send, PeerDelivery delivery) {
  Peer& peer = peers_[send.to];
  if (delivery != PeerDelivery::kUnreachable) {
    peer.failures = 0;
    if (delivery == PeerDelivery::kRefused) {
      on_loss_(send, "refused");
    }
    return;
  }
  const auto backoff =
      internal::kFirstBackoff * (1 << std::min(peer.failures, internal::kMaxDoublings));
  peer.backoff_until = ReadMonotonic() + std::min(backoff, internal::kMaxBackoff);
  ++peer.failures;
  on_loss_(send, "unreachable");
  DropQueue(peer, "held_off");
}

void PeerSender::DropQueue(Peer& peer, const char* reason) {
  for (const SendPeer& send : peer.queue) {
    on_loss_(send, reason);
  }
  peer.queue.clear();
}

}  // namespace snipeturn
