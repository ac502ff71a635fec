#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "snipeturn/base/host.h"
#include "snipeturn/base/time.h"
#include "snipeturn/reducer/effect.h"
#include "snipeturn/runtime/worker_pool.h"
#include "snipeturn/transport/peer_client.h"

namespace snipeturn {

/// Sends one message; `is_suspect` is true when the previous delivery to this peer failed.
using PeerTransport = std::function<PeerDelivery(const SendPeer& send, bool is_suspect)>;

/// Called for each message that was not delivered, with the reason: "queue_full", "held_off" (the
/// peer is in backoff), "unreachable" or "refused". Runs with the sender's lock held, so it must
/// not call Send().
using PeerLossHandler = std::function<void(const SendPeer& send, const char* reason)>;

/// Sends messages to peers: in order, with one delivery at a time per peer. After a failed
/// delivery, nothing is sent to the peer during an exponential backoff of at most 2 s, so that
/// unreachable peers occupy few threads. Messages to a peer in backoff are dropped, because timers
/// send all of them again.
class PeerSender {
 public:
  /// @brief Creates a sender without threads.
  /// @param max_threads Maximum number of concurrent deliveries.
  /// @param max_queue Maximum number of messages queued per peer; beyond it, the oldest message is
  /// dropped.
  /// @param transport Sends one message and waits for the reply.
  /// @param on_loss Called for each message that is not delivered.
  PeerSender(std::size_t max_threads,
             std::size_t max_queue,
             PeerTransport transport,
             PeerLossHandler on_loss);

  void Send(SendPeer send);

  [[nodiscard]] const WorkerPool& pool() const noexcept { return pool_; }

 private:
  struct Peer {
    std::deque<SendPeer> queue;
    bool is_active{false};
    int failures{0};
    TimePoint backoff_until{};
  };

  void SendQueued(const HostName& host);
  void Finish(const SendPeer& send, PeerDelivery delivery);
  void DropQueue(Peer& peer, const char* reason);

  std::size_t max_queue_;
  PeerTransport transport_;
  PeerLossHandler on_loss_;
  std::mutex mutex_;
  std::map<HostName, Peer> peers_;
  // Declared last, so that its threads end before the members they use are destroyed.
  WorkerPool pool_;
};

}  // namespace snipeturn
