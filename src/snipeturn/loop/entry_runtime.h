#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "snipeturn/base/host.h"
#include "snipeturn/entry/load_broadcast.h"
#include "snipeturn/entry/reducer.h"
#include "snipeturn/loop/caller_connection.h"
#include "snipeturn/loop/descriptor_budget.h"
#include "snipeturn/loop/event_splitter.h"
#include "snipeturn/loop/http_client.h"
#include "snipeturn/loop/log_writer.h"
#include "snipeturn/loop/memory_account.h"
#include "snipeturn/loop/peer_socket.h"
#include "snipeturn/loop/refusal_log.h"
#include "snipeturn/loop/wire_codec.h"
#include "snipeturn/runtime/metrics.h"

namespace snipeturn::loop {

struct RuntimeOptions {
  entry::Options entry;
  /// Listens for callers' requests.
  Endpoint front;
  /// Listens for the load balancer's readiness checks.
  Endpoint ready;
  /// Listens for reads of the metrics, which are served at any path.
  std::optional<Endpoint> metrics;
  /// Receives datagrams of the other hosts.
  Endpoint peer;
  /// Memory that the process may use, in bytes; unless stated, that of the smallest host.
  std::size_t memory{64ULL << 20U};
  /// Descriptors that the process may use; zero means what the system allows.
  std::size_t max_descriptors{0};
};

/// The entry daemon: passes the event loop's input to the reducer as events and executes the
/// effects that the reducer returns. Runs in one thread.
class EntryRuntime {
 public:
  EntryRuntime(boost::asio::io_context& context,
               RuntimeOptions options,
               const WireCodec& wire,
               LogWriter& log);
  EntryRuntime(const EntryRuntime&) = delete;
  EntryRuntime& operator=(const EntryRuntime&) = delete;
  ~EntryRuntime();

  /// @brief Opens the listeners and the peer socket.
  /// @return The error message on failure, nothing on success.
  [[nodiscard]] std::optional<std::string> Start();

  /// @brief Applies an event to the state and executes its effects; an event that arrives meanwhile
  ///     is queued.
  void Apply(entry::Event event);

  /// @brief Replaces the endpoints of the other hosts.
  void SetPeers(const std::map<std::string, Endpoint>& peers);

  /// @brief Sets the callbacks for an immediate read.
  /// @param list Called when the upstream list has to be read at once.
  /// @param configuration Called when the configuration has to be read at once.
  void SetReadCallbacks(std::function<void()> list, std::function<void()> configuration) {
    request_list_read_ = std::move(list);
    request_configuration_read_ = std::move(configuration);
  }

  /// @brief Sets the callback that reads the newest records of all topics anew.
  void SetSnapshotCallback(std::function<void()> snapshots) {
    request_snapshots_ = std::move(snapshots);
  }

  /// @brief Sets the callback that keeps a crash report in the store.
  void SetSaveCallback(std::function<void(const entry::CrashReport&)> save) {
    save_crash_report_ = std::move(save);
  }

  /// @brief Sets the callbacks for the statuses of roll-outs in the store.
  /// @param read Called when the status of a service has to be read.
  /// @param write Called when a status has to be written.
  void SetRolloutCallbacks(std::function<void(const std::string& service)> read,
                           std::function<void(const entry::WriteRolloutStatus&)> write) {
    read_rollout_status_ = std::move(read);
    write_rollout_status_ = std::move(write);
  }

  void Log(const EmitLog& entry);

  [[nodiscard]] HttpClient& client() noexcept { return client_; }
  [[nodiscard]] const entry::State& state() const noexcept { return state_; }
  [[nodiscard]] bool is_stopped() const noexcept { return is_stopped_; }
  /// @return The port of the peer socket, 0 before `Start()`.
  [[nodiscard]] std::uint16_t peer_port() const;

 private:
  using Acceptor = boost::asio::ip::tcp::acceptor;

  /// A caller's request that has no complete response yet.
  struct OpenRequest {
    ConnectionKey connection{0};
    HttpHead head;
    std::string body;
    bool is_stream_started{false};
    /// Id of the last stream event that was accepted for the caller.
    std::uint64_t last_event_id{0};
    /// Attempt whose response isn't read on because the caller reads slowly.
    std::optional<entry::AttemptKey> paused_attempt;
  };

  /// A send of a request to an upstream, and the part of the response that has arrived.
  struct ActiveAttempt {
    entry::RequestKey request{0};
    entry::UpstreamId upstream;
    TimePoint sent_at{};
    HttpClient::ExchangeKey exchange{0};
    bool is_stream{false};
    /// Responses without an id that were skipped.
    int skipped_without_id{0};
    HttpHead head;
    ResponseMetadata metadata;
    std::string body;
    bool is_event_stream{false};
    EventSplitter splitter;
    /// Complete events that are not yet relayed.
    std::string events;
    /// Comments, and other blocks without data, since the last event; they precede the next one.
    std::string comments;
    bool has_missing_event{false};
    bool has_events{false};
    /// What the response takes of the memory of all responses.
    MemoryShare memory;
  };

  enum class Listener : std::uint8_t { kFront, kReady, kMetrics };
  static constexpr std::size_t kListeners = 3;

  /// A refusal of the reducer, whose log line is the next effect.
  struct Refusal {
    std::string client;
    int status{0};
    std::string reason;
  };

  std::optional<std::string> Listen(Acceptor& acceptor, const Endpoint& endpoint, Listener kind);
  void Accept(Acceptor& acceptor, Listener kind);
  void AddConnection(Connection::Socket socket, Listener kind);
  [[nodiscard]] ConnectionLimits LimitsOf(Listener kind) const;

  void HandleRequest(ConnectionKey key, HttpHead&& head, std::string&& body);
  void HandleReadinessCheck(ConnectionKey key, const HttpHead& head);
  void HandleMetricsRequest(ConnectionKey key);

  void ExecuteEffect(entry::Effect& effect);
  void StartAttempt(const entry::Send& send);
  bool HandleResponseHead(entry::AttemptKey key, const HttpHead& head);
  /// Tells whether the head of a stream, which its caller would get, lacks the upstream's receipt.
  [[nodiscard]] bool LacksReceipt(const ActiveAttempt& attempt) const;
  /// Tells whether a response without an id may be that of an earlier call, come again, so that the
  /// response to the attempt is still to come.
  [[nodiscard]] bool IsLateCallResponse(const ActiveAttempt& attempt,
                                        const ResponseMetadata& metadata) const;
  /// Handles what an upstream says about itself in a response that isn't the final one of a
  /// request.
  void HandleSignals(const entry::UpstreamId& upstream, TimePoint sent_at, const HttpHead& head);
  void HandleResponseBody(entry::AttemptKey key, std::string&& bytes);
  void HandleStreamEvents(entry::AttemptKey key, ActiveAttempt& attempt);
  /// Closes callers that don't read, then breaks off the largest responses, while all together take
  /// more memory than they may.
  void LimitResponseMemory();
  /// Breaks off the largest response that is being received; returns false if all are small.
  bool BreakOffLargestResponse();
  /// Closes the caller with the most unread bytes; returns false if there is none.
  /// @param min_bytes Callers with fewer unread bytes are kept.
  /// @param min_silence Callers that have read something within this time are kept.
  bool CloseMostUnread(std::size_t min_bytes, std::chrono::milliseconds min_silence);
  /// Drops the largest requests that weren't begun while all together take more than they may.
  void LimitInputMemory();
  void CloseCaller(ConnectionKey key, std::string_view reason);
  /// Counts and logs that a caller is closed.
  void RecordClose(ConnectionKey key, std::string_view reason);
  /// Closes the callers' connections that were idle longest until a number of connections is left
  /// at most; returns whether that was reached.
  bool LimitConnections(std::size_t connections);
  bool CloseOldestIdle();
  [[nodiscard]] std::size_t CountConnections() const;
  /// Accepts again after a pause, as the system has no descriptor left.
  void AcceptAfterFailure(Acceptor& acceptor, Listener kind);
  void LogRejection(const std::string& client, int status, std::string_view reason, EmitLog line);
  /// Refuses a request before the reducer sees it.
  void RefuseEarly(ConnectionKey key,
                   int status,
                   std::string_view reason,
                   std::string_view target,
                   std::string_view fields);
  void HandleAttemptEnd(entry::AttemptKey key, ExchangeResult result, const std::string& reason);
  void CancelAttempt(entry::AttemptKey key);
  void RelayResponse(const entry::Relay& relay);
  void RelayStreamEvents(const entry::RelayEvents& relay);
  void FinishStream(const entry::FinishStream& finish);
  void RefuseRequest(const entry::Refuse& refuse);
  void AbortResponse(entry::RequestKey key);
  void StartCopy(const entry::StartCopy& copy);
  void DropCopy(const entry::DropCopy& drop);
  void ReadReport(const entry::ReadReport& call);
  void ForgetUpstream(const entry::UpstreamId& upstream);
  /// Makes a call of this host's own to an upstream, not on behalf of a caller's request.
  /// @param match What ties the response to the call; it carries no id.
  void CallUpstream(const entry::UpstreamId& upstream,
                    const Endpoint& endpoint,
                    std::string bytes,
                    std::chrono::milliseconds timeout,
                    ResponseMatch match,
                    bool needs_new_connection,
                    std::function<void(ExchangeResult, int, const std::string&)> done);
  /// Stops listening, then refuses what arrives until all responses are sent or the deadline
  /// passes, and ends the loop.
  void Stop(TimePoint deadline);
  void AwaitExit(TimePoint earliest, TimePoint deadline);
  [[nodiscard]] bool AreCallersIdle() const;
  void ReadPendingRequests();
  void CloseCallers();
  void LogExit();
  /// Accepts the connections that the system has already established.
  void AcceptPending(Acceptor& acceptor, Listener kind);

  [[nodiscard]] std::shared_ptr<CallerConnection> FindConnection(ConnectionKey key) const;
  void CloseRequest(entry::RequestKey key);
  void ArmTimer();
  void DoHousekeeping();
  void LogLoopDelay(TimePoint now);
  void CheckConnectionTimeouts(TimePoint now);
  void SendCellLoad(TimePoint now);
  void SendToAudience(std::string_view datagram, entry::Audience audience);
  void ForwardLoad(entry::PeerLoadReceived load);
  void ForwardCellLoad(entry::CellLoadReceived sum);
  void BroadcastLoad(TimePoint now);
  void SendCrashReport(const entry::SendCrashReport& sent);

  boost::asio::io_context& context_;
  RuntimeOptions options_;
  const WireCodec& codec_;
  LogWriter& log_;
  entry::State state_;
  MetricsRegistry metrics_;
  HttpClient client_;
  Acceptor front_acceptor_;
  Acceptor readiness_acceptor_;
  Acceptor metrics_acceptor_;
  std::unique_ptr<PeerSocket> peer_socket_;
  boost::asio::steady_timer timer_;
  std::optional<TimePoint> timer_due_;
  boost::asio::steady_timer housekeeping_timer_;
  std::optional<TimePoint> housekeeping_due_;
  /// Datagrams of other hosts up to the last housekeeping.
  std::uint64_t housekeeping_datagrams_{0};
  /// Responses that are being received, and bytes of responses that wait for their callers.
  std::shared_ptr<MemoryAccount> response_memory_;
  /// Bodies of requests, from their first byte to the end of the response.
  std::shared_ptr<MemoryAccount> request_memory_;
  /// Bytes of requests that weren't begun.
  std::shared_ptr<MemoryAccount> input_memory_;
  DescriptorBudget descriptors_;
  std::map<ConnectionKey, std::shared_ptr<CallerConnection>> connections_;
  /// Keys of the connections by listener, the oldest first.
  std::array<std::set<ConnectionKey>, kListeners> keys_by_listener_;
  RefusalLog refusal_log_;
  std::optional<Refusal> last_refusal_;
  std::map<ConnectionKey, entry::RequestKey> request_by_connection_;
  std::map<entry::RequestKey, OpenRequest> open_requests_;
  std::map<entry::AttemptKey, ActiveAttempt> active_attempts_;
  std::deque<entry::Event> pending_events_;
  bool is_applying_{false};
  bool is_stopped_{false};
  ConnectionKey next_connection_{1};
  entry::RequestKey next_request_{1};
  std::function<void()> request_list_read_;
  std::function<void()> request_configuration_read_;
  std::function<void()> request_snapshots_;
  std::function<void(const entry::CrashReport&)> save_crash_report_;
  std::function<void(const std::string&)> read_rollout_status_;
  std::function<void(const entry::WriteRolloutStatus&)> write_rollout_status_;
  entry::BroadcastState broadcast_;
};

}  // namespace snipeturn::loop
