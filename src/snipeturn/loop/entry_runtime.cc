#include "snipeturn/loop/entry_runtime.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

#include "snipeturn/base/timers.h"
#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/cells.h"
#include "snipeturn/entry/learned_capacity.h"
#include "snipeturn/entry/load.h"
#include "snipeturn/loop/boot_clock.h"

namespace snipeturn::loop {
namespace internal {
namespace {

/// Period of timeout checks, log flushes and load broadcasts.
constexpr std::chrono::milliseconds kHousekeepingInterval{100};
/// Delay of the periodic work at which it is logged.
constexpr std::chrono::milliseconds kMaxLoopDelay{300};
/// Time from the decision to exit during which requests on open connections are refused, so that a
/// caller that has just sent one gets a response.
constexpr std::chrono::milliseconds kExitDelay{150};
/// Period of checks whether the process can exit.
constexpr std::chrono::milliseconds kExitCheckInterval{10};

/// Part (1/n) of the process's memory that responses may take together. The process itself, its
/// tables and the growth of one buffer need the rest.
constexpr std::size_t kResponseMemoryDivisor = 5;
/// Part (m/n) of it that requests may take together: they are kept until they are answered.
constexpr std::size_t kRequestMemoryFactor = 2;
constexpr std::size_t kRequestMemoryDivisor = 5;
/// Part (1/n) of it that bytes of requests that weren't begun may take together.
constexpr std::size_t kInputMemoryDivisor = 5;

/// Part (1/n) of it that the bodies of the requests at one upstream may take: half of that of all
/// requests, so that a slow upstream leaves memory for the others.
constexpr std::size_t kUpstreamMemoryDivisor = 5;
/// Share of the memory for what tells which prompt parts crash upstreams: 2 MB of 64 hold all parts
/// of a hundred lost prompts of the longest heads.
constexpr std::size_t kCrashEvidenceMemoryDivisor = 32;

/// Header fields of the response to a request that got no memory: others end meanwhile.
constexpr std::string_view kMemoryRetryFields = "Retry-After: 1\r\n";

/// Returns the number of descriptors that the process may use.
std::size_t DescriptorLimit(std::size_t stated) {
  rlimit limit{};
  const std::size_t allowed = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : stated;
  return stated == 0 ? allowed : std::min(stated, allowed);
}

WallTime ReadWallTime() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

}  // namespace
}  // namespace internal

EntryRuntime::EntryRuntime(boost::asio::io_context& context,
                           RuntimeOptions options,
                           const WireCodec& wire,
                           LogWriter& log)
    : context_(context),
      options_(std::move(options)),
      codec_(wire),
      log_(log),
      client_(context),
      front_acceptor_(context),
      readiness_acceptor_(context),
      metrics_acceptor_(context),
      timer_(context),
      housekeeping_timer_(context),
      response_memory_(std::make_shared<MemoryAccount>(
          MemoryAccount{options_.memory / internal::kResponseMemoryDivisor, 0})),
      request_memory_(std::make_shared<MemoryAccount>(MemoryAccount{
          options_.memory / internal::kRequestMemoryDivisor * internal::kRequestMemoryFactor, 0})),
      input_memory_(std::make_shared<MemoryAccount>(
          MemoryAccount{options_.memory / internal::kInputMemoryDivisor, 0})),
      descriptors_{internal::DescriptorLimit(options_.max_descriptors)} {
  state_.options = options_.entry;
  state_.options.max_upstream_bytes = options_.memory / internal::kUpstreamMemoryDivisor;
  state_.options.max_crash_evidence_bytes = options_.memory / internal::kCrashEvidenceMemoryDivisor;
}

EntryRuntime::~EntryRuntime() = default;

std::optional<std::string> EntryRuntime::Start() {
  if (auto failure = Listen(readiness_acceptor_, options_.ready, Listener::kReady)) {
    return failure;
  }
  if (auto failure = Listen(front_acceptor_, options_.front, Listener::kFront)) {
    return failure;
  }
  if (options_.metrics) {
    // The daemon serves also without metrics.
    if (auto failure = Listen(metrics_acceptor_, *options_.metrics, Listener::kMetrics)) {
      Log({entry::log_events::kReloadFailed, "metrics=" + *failure});
    }
  }
  peer_socket_ = std::make_unique<PeerSocket>(
      context_, options_.entry.host, options_.peer, [this](PeerMessage&& message) {
        std::visit([this](auto& content) { Apply(std::move(content)); }, message.content);
      });
  if (peer_socket_->failure()) {
    return "peers: " + *peer_socket_->failure();
  }
  Log({entry::log_events::kStarted,
       fmt::format("zone={} front={}:{} revoke_ms={} grace_ms={}", options_.entry.zone,
                   options_.front.address, options_.front.port,
                   options_.entry.bounds.revoke.count(), options_.entry.bounds.grace.count())});
  DoHousekeeping();
  return std::nullopt;
}

std::uint16_t EntryRuntime::peer_port() const {
  return peer_socket_ ? peer_socket_->port() : 0;
}

void EntryRuntime::HandleRequest(ConnectionKey key, HttpHead&& head, std::string&& body) {
  LimitResponseMemory();
  if (FindConnection(key) == nullptr) {
    return;  // It had the most unread bytes.
  }
  if (response_memory_->used > response_memory_->limit + response_memory_->overdraft()) {
    RefuseEarly(key, 503, "no_memory", head.target, internal::kMemoryRetryFields);
    return;
  }
  DecodedRequest decoded = codec_.decode_request(head);
  if (!decoded.head) {
    RefuseEarly(key, 400, decoded.reason, head.target, "");
    return;
  }
  decoded.head->body_bytes = body.size();
  const entry::RequestKey request = next_request_++;
  OpenRequest open_request;
  open_request.connection = key;
  open_request.head = std::move(head);
  open_request.body = std::move(body);
  open_requests_.emplace(request, std::move(open_request));
  request_by_connection_[key] = request;
  Apply(entry::RequestArrived{request, std::move(*decoded.head)});
}

void EntryRuntime::Apply(entry::Event event) {
  pending_events_.push_back(std::move(event));
  if (is_applying_) {
    return;
  }
  is_applying_ = true;
  while (!pending_events_.empty()) {
    const entry::Event next = std::move(pending_events_.front());
    pending_events_.pop_front();
    entry::Effects effects = entry::Reduce(state_, next, BootTime());
    for (entry::Effect& effect : effects) {
      ExecuteEffect(effect);
    }
  }
  is_applying_ = false;
  if (broadcast_.changes != state_.load_changes || broadcast_.last_update != state_.last_update) {
    BroadcastLoad(BootTime());
  }
  ArmTimer();
}

void EntryRuntime::ArmTimer() {
  const auto due = NextDue(state_.timers);
  if (due == timer_due_) {
    return;
  }
  timer_due_ = due;
  if (!due) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(std::max(std::chrono::microseconds{0}, *due - BootTime()));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      timer_due_.reset();
      Apply(entry::Tick{});
    }
  });
}

void EntryRuntime::Log(const EmitLog& entry) {
  log_.Write(entry, internal::ReadWallTime());
}

void EntryRuntime::ExecuteEffect(entry::Effect& effect) {
  std::visit(
      [this](auto& item) {
        using Item = std::decay_t<decltype(item)>;
        if constexpr (std::is_same_v<Item, entry::Send>) {
          StartAttempt(item);
        } else if constexpr (std::is_same_v<Item, entry::CancelAttempt>) {
          CancelAttempt(item.attempt);
        } else if constexpr (std::is_same_v<Item, entry::Relay>) {
          RelayResponse(item);
        } else if constexpr (std::is_same_v<Item, entry::RelayEvents>) {
          RelayStreamEvents(item);
        } else if constexpr (std::is_same_v<Item, entry::FinishStream>) {
          FinishStream(item);
        } else if constexpr (std::is_same_v<Item, entry::BreakStream>) {
          AbortResponse(item.request);
        } else if constexpr (std::is_same_v<Item, entry::Refuse>) {
          RefuseRequest(item);
        } else if constexpr (std::is_same_v<Item, entry::StartCopy>) {
          StartCopy(item);
        } else if constexpr (std::is_same_v<Item, entry::DropCopy>) {
          DropCopy(item);
        } else if constexpr (std::is_same_v<Item, entry::ReadReport>) {
          ReadReport(item);
        } else if constexpr (std::is_same_v<Item, entry::ReadList>) {
          if (request_list_read_) {
            request_list_read_();
          }
        } else if constexpr (std::is_same_v<Item, entry::ReadConfiguration>) {
          if (request_configuration_read_) {
            request_configuration_read_();
          }
        } else if constexpr (std::is_same_v<Item, entry::ReadSnapshots>) {
          if (request_snapshots_) {
            request_snapshots_();
          }
        } else if constexpr (std::is_same_v<Item, entry::ForwardLoad>) {
          ForwardLoad(std::move(item.load));
        } else if constexpr (std::is_same_v<Item, entry::ForwardCellLoad>) {
          ForwardCellLoad(std::move(item.sum));
        } else if constexpr (std::is_same_v<Item, entry::RequestConfirmation>) {
          peer_socket_->Send(EncodeConfirmationRequest(options_.entry.host, item), item.host);
        } else if constexpr (std::is_same_v<Item, entry::SendConfirmation>) {
          peer_socket_->Send(EncodeConfirmationReply(options_.entry.host, item), item.host);
        } else if constexpr (std::is_same_v<Item, entry::SendCrashReport>) {
          SendCrashReport(item);
        } else if constexpr (std::is_same_v<Item, entry::SaveCrashReport>) {
          if (save_crash_report_) {
            save_crash_report_(item.report);
          }
        } else if constexpr (std::is_same_v<Item, entry::ReadRolloutStatus>) {
          if (read_rollout_status_) {
            read_rollout_status_(item.service);
          }
        } else if constexpr (std::is_same_v<Item, entry::WriteRolloutStatus>) {
          if (write_rollout_status_) {
            write_rollout_status_(item);
          }
        } else if constexpr (std::is_same_v<Item, entry::ForgetUpstream>) {
          ForgetUpstream(item.id);
        } else if constexpr (std::is_same_v<Item, EmitLog>) {
          if (last_refusal_ && item.event.number == entry::log_events::kRefused.number) {
            const Refusal refusal = *std::exchange(last_refusal_, std::nullopt);
            LogRejection(refusal.client, refusal.status, refusal.reason, std::move(item));
          } else {
            Log(item);
          }
        } else if constexpr (std::is_same_v<Item, AddToCounter> ||
                             std::is_same_v<Item, RecordSample>) {
          metrics_.Add(item);
        } else if constexpr (std::is_same_v<Item, entry::Exit>) {
          Stop(item.deadline);
        }
      },
      effect);
}

std::shared_ptr<CallerConnection> EntryRuntime::FindConnection(ConnectionKey key) const {
  const auto found = connections_.find(key);
  return found == connections_.end() ? nullptr : found->second;
}

void EntryRuntime::CloseRequest(entry::RequestKey key) {
  const auto found = open_requests_.find(key);
  if (found != open_requests_.end()) {
    request_by_connection_.erase(found->second.connection);
    open_requests_.erase(found);
  }
}

void EntryRuntime::SetPeers(const std::map<std::string, Endpoint>& peers) {
  peer_socket_->SetPeers(peers);
}

void EntryRuntime::BroadcastLoad(TimePoint now) {
  const entry::Audience audience =
      entry::SelectAudience(broadcast_, state_, peer_socket_->peer_count(), now);
  if (audience == entry::Audience::kNobody) {
    return;
  }
  const std::string datagram = EncodeLoad(entry::MakeLoadBroadcast(state_, now));
  const bool has_forwarders = audience == entry::Audience::kAll && entry::HasCells(state_);
  SendToAudience(datagram, has_forwarders ? entry::Audience::kOwnCell : audience);
  if (has_forwarders) {
    for (const std::string& host : entry::SelectForwarders(broadcast_, state_)) {
      peer_socket_->Send(datagram, host);
    }
  }
}

void EntryRuntime::SendToAudience(std::string_view datagram, entry::Audience audience) {
  peer_socket_->Broadcast(datagram, [this, audience](const std::string& host) {
    return entry::IsInAudience(state_, audience, host);
  });
}

void EntryRuntime::ForwardLoad(entry::PeerLoadReceived load) {
  load.is_forwarded = true;
  SendToAudience(EncodeLoad(load), entry::Audience::kOwnCell);
}

void EntryRuntime::SendCellLoad(TimePoint now) {
  const std::vector<std::string> targets = entry::SelectCellTargets(broadcast_, state_, now);
  if (targets.empty()) {
    return;
  }
  const std::string datagram =
      EncodeCellLoad(options_.entry.host, entry::MakeCellLoad(state_, now));
  for (const std::string& host : targets) {
    peer_socket_->Send(datagram, host);
  }
}

void EntryRuntime::ForwardCellLoad(entry::CellLoadReceived sum) {
  sum.is_forwarded = true;
  SendToAudience(EncodeCellLoad(options_.entry.host, sum), entry::Audience::kOwnCell);
}

void EntryRuntime::SendCrashReport(const entry::SendCrashReport& sent) {
  const std::string datagram = EncodeCrashMessage(options_.entry.host, sent.report);
  if (sent.host.empty()) {
    SendToAudience(datagram, entry::Audience::kAll);
  } else {
    peer_socket_->Send(datagram, sent.host);
  }
}

void EntryRuntime::LogLoopDelay(TimePoint now) {
  const std::uint64_t datagrams = peer_socket_->received_datagrams();
  if (housekeeping_due_ && now - *housekeeping_due_ > internal::kMaxLoopDelay) {
    Log({entry::log_events::kLoopDelayed,
         fmt::format("late_ms={} datagrams={}", ToMilliseconds(now - *housekeeping_due_).count(),
                     datagrams - housekeeping_datagrams_)});
  }
  housekeeping_datagrams_ = datagrams;
}

void EntryRuntime::DoHousekeeping() {
  const TimePoint now = BootTime();
  LogLoopDelay(now);
  BroadcastLoad(now);
  SendCellLoad(now);
  CheckConnectionTimeouts(now);
  LimitInputMemory();
  LimitResponseMemory();
  client_.CheckConnections();
  log_.Flush();
  housekeeping_due_ = BootTime() + internal::kHousekeepingInterval;
  housekeeping_timer_.expires_after(internal::kHousekeepingInterval);
  housekeeping_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && !is_stopped_) {
      DoHousekeeping();
    }
  });
}

void EntryRuntime::Stop(TimePoint deadline) {
  if (is_stopped_) {
    return;
  }
  is_stopped_ = true;
  boost::system::error_code ignored;
  AcceptPending(front_acceptor_, Listener::kFront);
  front_acceptor_.close(ignored);
  readiness_acceptor_.close(ignored);
  AwaitExit(BootTime() + internal::kExitDelay, deadline);
}

void EntryRuntime::LogExit() {
  int unfinished = 0;
  std::size_t unwritten = 0;
  for (const auto& [key, connection] : connections_) {
    unfinished += connection->is_idle() ? 0 : 1;
    unwritten += connection->unwritten_bytes();
  }
  Log({entry::log_events::kExited, fmt::format("connections={} unfinished={} unwritten_bytes={}",
                                               connections_.size(), unfinished, unwritten)});
  log_.Flush();
}

bool EntryRuntime::AreCallersIdle() const {
  return std::all_of(connections_.begin(), connections_.end(),
                     [](const auto& entry) { return entry.second->is_idle(); });
}

void EntryRuntime::ReadPendingRequests() {
  // A request can end its connection, which removes it from the table.
  const std::map<ConnectionKey, std::shared_ptr<CallerConnection>> connections = connections_;
  for (const auto& [key, connection] : connections) {
    connection->ReadPending();
  }
}

void EntryRuntime::CloseCallers() {
  const std::map<ConnectionKey, std::shared_ptr<CallerConnection>> connections = connections_;
  for (const auto& [key, connection] : connections) {
    connection->Abort();
  }
}

void EntryRuntime::AwaitExit(TimePoint earliest, TimePoint deadline) {
  const TimePoint now = BootTime();
  LogLoopDelay(now);
  CheckConnectionTimeouts(now);
  log_.Flush();
  const auto may_exit = [&] { return now >= deadline || (now >= earliest && AreCallersIdle()); };
  if (may_exit()) {
    // Requests may have come since the loop last waited for them.
    ReadPendingRequests();
  }
  if (may_exit()) {
    LogExit();
    // The rest of the process takes longer to end.
    CloseCallers();
    context_.stop();
    return;
  }
  housekeeping_due_ = now + internal::kExitCheckInterval;
  housekeeping_timer_.expires_after(internal::kExitCheckInterval);
  housekeeping_timer_.async_wait(
      [this, earliest, deadline](const boost::system::error_code& /*error*/) {
        AwaitExit(earliest, deadline);
      });
}

}  // namespace snipeturn::loop
