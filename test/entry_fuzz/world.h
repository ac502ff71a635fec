#pragma once

#include <boost/random/mersenne_twister.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "entry_fuzz/constants.h"
#include "snipeturn/entry/effect.h"
#include "snipeturn/entry/event.h"
#include "snipeturn/entry/state.h"
#include "snipeturn/loop/response_match.h"

namespace snipeturn::entry {

/// In-memory simulation of several entry reducers with a store, upstreams, callers and a lossy
/// network. Oracles check the platform's rules. All randomness comes from one seed.
class World {
 public:
  explicit World(std::uint64_t seed);

  /// @brief Advances the simulated time.
  void Run(std::chrono::milliseconds duration);

  // Callers.
  void Request(int host, RouteKind kind);
  /// Requests a resumable stream for a caller that already has its first `position` events.
  void RequestResumable(int host, std::uint64_t position);
  /// Requests a stream of a length that the caller also states as its maximum.
  void RequestStream(int host, std::uint64_t length);
  void DisconnectCaller();

  // Hosts.
  void Kill(int host);
  void Start(int host);
  void Pause(int host);
  void Continue(int host);
  void Stop(int host);
  void SetPartition(int host, bool from_store, bool from_peers);
  /// Sets the extra delay of messages between hosts.
  void SetPeerDelay(std::chrono::milliseconds delay) { peer_delay_ = delay; }
  void Heal();

  // The store.
  void SetStore(bool is_up, bool expires_entries);
  /// Brings the store back from a copy that lacks the last records of both topics. The operator and
  /// the upstreams write again after a while.
  void ReturnStore(std::size_t lost_configurations, std::size_t lost_entries);
  void CompactTopics();
  void SetWriteDelay(std::chrono::milliseconds delay) { write_delay_ = delay; }

  // Operators and upstreams.
  void Configure();
  void Revoke();
  void Evacuate(int zone, bool is_evacuated);
  void AddUpstream(bool is_engine);
  void MarkLeaving(int number, bool engines_only = false);
  void Crash(int number);
  /// Crashes an upstream and gives its address to one of another service.
  void ReassignAddress(int number);
  /// Crashes an upstream and restarts it under the same id.
  void Restart(int number);
  void SetFault(int number, int fault);
  /// Sets the fault of all engines.
  void SetEngineFaults(int fault);
  /// Makes engines send replies to copy calls a second time, before the next on the connection.
  void SetRepeatedReplies(bool is_repeating) { repeats_replies_ = is_repeating; }
  /// Changes the speed of an upstream.
  void SetSpeed(int number, int speed);
  /// Changes the speed of all upstreams, and of those that are added later.
  void SetAllSpeeds(int speed);
  /// Makes an upstream refuse all requests and ask for a pause; zero ends that.
  void SetPause(int number, std::chrono::milliseconds pause);

  /// @brief Repairs everything and checks that every host serves again.
  void CheckRecovery();

  /// Violated rules; empty if there are none.
  [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }
  [[nodiscard]] int finished() const noexcept { return finished_; }
  [[nodiscard]] int migrations() const noexcept { return migrations_; }
  /// Streams that continued with a new generation.
  [[nodiscard]] int resumed_anew() const noexcept { return resumed_anew_; }

 private:
  using Action = std::function<void()>;

  void RequestOf(int host,
                 RouteKind kind,
                 bool is_resumable,
                 std::uint64_t position,
                 std::optional<std::uint64_t> length = std::nullopt);

  using CallerId = std::uint64_t;

  struct ScheduledAction {
    TimePoint at;
    std::uint64_t order;
    Action action;
    bool operator<(const ScheduledAction& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  /// A record of a topic of the store.
  struct Record {
    std::string key;
    /// Empty for a record that removes the key.
    std::optional<UpstreamEntry> upstream;
    std::optional<DesiredState> desired;
    bool is_set{false};
  };

  struct Topic {
    std::vector<Record> records;
    /// Index of the first record that hasn't been compacted away.
    std::size_t first{0};
  };

  /// Read position of one process in a topic.
  struct Follower {
    std::optional<std::size_t> next;
    /// Era of the store in which `next` is a position.
    StoreEra era{0};
    TimePoint began{};
    bool is_reading{false};
    /// Number of the newest scheduled read; it replaces those scheduled before it.
    std::uint64_t read_number{0};
  };

  struct IncomingResponse {
    CallerId caller{0};
    std::string generation;
    std::uint64_t arrived{0};
    bool is_cancelled{false};
    TimePoint sent_at{};
  };

  struct Host {
    std::string name;
    std::string zone;
    std::optional<State> state;
    /// Number of the host's current process.
    int incarnation{0};
    bool is_paused{false};
    TimePoint paused_at{};
    std::optional<TimePoint> stopping_since;
    bool is_partitioned_from_store{false};
    bool is_partitioned_from_peers{false};
    /// Last time at which the host or the store was degraded.
    TimePoint degraded_until{};
    std::vector<Action> deferred;
    Follower configuration;
    Follower list;
    /// Highest era that a response of the store stated.
    StoreEra era{0};
    /// When the process first had in force that an upstream leaves, or that a zone is evacuated, by
    /// name and time of the fact.
    std::map<std::pair<UpstreamId, std::int64_t>, TimePoint> known_leaving;
    std::map<std::pair<std::string, TimePoint>, TimePoint> known_evacuations;
    std::int64_t highest_version{0};
    TimePoint broadcast_at{};
    std::uint64_t broadcast_changes{0};
    std::uint64_t broadcast_last_update{0};
    std::set<std::string> evacuated;
    std::map<AttemptKey, IncomingResponse> incoming;
    std::map<RequestKey, CallerId> callers;
  };

  struct Caller {
    RouteKind kind{RouteKind::kNonIdempotent};
    int host{0};
    int incarnation{0};
    RequestKey request{0};
    std::string key;
    TimePoint sent_at{};
    /// When its host's process read it, and the upstreams to which it was sent, with the time.
    TimePoint arrived_at{};
    std::map<UpstreamId, TimePoint> upstreams;
    std::uint64_t length{0};
    std::uint64_t events{0};
    /// Events that it had from an earlier response.
    std::uint64_t first_position{0};
    std::string generation;
    int runs{0};
    bool is_resumable{false};
    bool is_refused{false};
    bool is_done{false};
    bool is_served{false};
    /// Its stream was broken off by its host.
    bool is_cut{false};
  };

  /// A request that runs at an upstream.
  struct Job {
    CallerId caller{0};
    std::string generation;
    int host{0};
    int incarnation{0};
    AttemptKey attempt{0};
    std::uint64_t events{0};
    /// Events sent to the host.
    std::uint64_t sent{0};
    TimePoint started_at{};
    std::uint64_t events_at_start{0};
    /// Its stream has no length and ends with its connection, also when it is stopped for a copy.
    bool ends_with_connection{false};
  };

  struct Copy {
    CallerId caller{0};
    std::string generation;
    std::uint64_t events{0};
    bool is_final{false};
  };

  /// A time for which an upstream wants at most two requests from a process.
  struct StatedPause {
    TimePoint from{};
    TimePoint until{};
    int requests{0};
  };

  /// An idle connection of a process to an engine, as its HTTP client keeps them.
  struct CallConnection {
    loop::ConnectionHistory history;
    /// Reply that the engine will send again before the next one.
    std::optional<CopyEnded> late_reply;
  };

  /// A process of a host: number and incarnation.
  using ProcessId = std::pair<int, int>;

  struct FakeUpstream {
    UpstreamEntry entry;
    bool is_engine{false};
    bool is_alive{true};
    int fault{0};
    /// Last time at which it had a fault or was gone.
    TimePoint disturbed_at{};
    world::Speed speed{world::kSpeeds[0]};
    TimePoint speed_changed_at{};
    /// When each process first had a whole response at the present speed, of two events at least
    /// if it was a stream: one event shows nothing of the time between events.
    std::map<ProcessId, TimePoint> speed_known_at;
    std::optional<TimePoint> left_at;
    backpressure::Signals signals;
    std::map<ProcessId, TimePoint> told_leaving_at;
    std::map<ProcessId, std::vector<StatedPause>> pauses;
    std::map<std::uint64_t, Job> jobs;
    std::map<ProcessId, std::vector<CallConnection>> call_connections;
  };

  /// Ends a host's process a little after it has decided to exit; until then it takes requests.
  void ScheduleExit(int host);
  void ScheduleAfter(std::chrono::microseconds delay, Action action);
  /// Runs an action on a host if its process is still the same one; if the process is paused, when
  /// it continues.
  void RunOnProcess(int host, int incarnation, Action action);
  [[nodiscard]] std::uint64_t Random(std::uint64_t below);
  [[nodiscard]] std::chrono::microseconds Delay();
  void ReportViolation(const std::string& text);
  void ApplyEvent(int host, const Event& event);
  void ExecuteEffect(int host, const Effect& effect);
  void Tick(int host, int incarnation);
  void BroadcastLoad(int host);
  void BroadcastLoadPeriodically(int host, int incarnation);
  void SendToPeer(int from, int to, const Event& event);
  [[nodiscard]] bool IsDegraded(const Host& host) const;
  void RecordDegradedHosts();
  [[nodiscard]] Host* FindHost(const std::string& name);

  void Write(Topic& topic, Record record);
  /// Writes again what the store has lost.
  void RewriteLostRecords();
  void ScheduleRewriting(std::chrono::milliseconds delay);
  /// Records what a process has in force, and checks that its version doesn't go back.
  void RecordKnowledge(Host& host);
  /// Checks that a host which is in touch has the newest version in force.
  void CheckVersion(const Host& host);
  void ScheduleRead(int host, bool is_list, std::chrono::microseconds delay);
  void Read(int host, bool is_list);
  void ReadAfterInterval(int host, int incarnation, bool is_list, std::uint64_t read_number);
  void CompleteRead(int host, bool is_list, TimePoint until);
  void ApplyRecord(int host, bool is_list, const Record& record, std::size_t offset);
  void ApplySnapshot(int host, bool is_list);

  void StartAttempt(int host, const Send& send);
  void DeliverRequest(int host, int incarnation, const Send& send);
  void EndAttempt(int host,
                  int incarnation,
                  AttemptKey attempt,
                  AttemptResult result,
                  int status = 0,
                  bool ends_with_connection = false);
  void StartJob(FakeUpstream& upstream,
                int host,
                int incarnation,
                const Send& send,
                CallerId caller);
  /// Sends what an upstream says about itself with a response to a request.
  void SendSignals(const FakeUpstream& upstream, int host, int incarnation, AttemptKey attempt);
  /// Checks a request against what its host has heard from the upstream.
  void CheckSignalsKept(FakeUpstream& upstream, int host, int incarnation, const Caller& caller);
  void CheckRequestAllowed(const FakeUpstream& upstream, int host, const Caller& caller);
  void ProduceEvent(const UpstreamId& id, std::int64_t start_time_ms, std::uint64_t job);
  void RespondToJob(const UpstreamId& id, std::int64_t start_time_ms, std::uint64_t job);
  void CopyGeneration(int host, int incarnation, const StartCopy& copy);
  /// Takes the connection on which the process's HTTP client makes a call, or a new one.
  [[nodiscard]] CallConnection AcquireConnection(FakeUpstream& upstream,
                                                 int host,
                                                 int incarnation,
                                                 bool needs_new_connection);
  void CloseAttempt(int host, AttemptKey attempt);
  void CheckSingleRun(CallerId caller);
  void ChangeSpeed(FakeUpstream& upstream, int speed);
  /// Notes that a process is about to have the whole response of a job.
  void RecordKnownSpeed(FakeUpstream& upstream, const Job& job);
  /// Checks that a host closes no connection on which a sound engine runs the stream of a caller
  /// that waits for it.
  void CheckMayBeClosed(const FakeUpstream& upstream, const Job& job);
  /// Checks a request that a stopping host ends without the response of an upstream.
  void CheckEndedByStop(const Host& host, CallerId caller, std::string_view how);
  void CompleteCaller(int host, RequestKey request, std::string_view how, int status);
  void RelayToCaller(int host, const RelayEvents& relay);
  void DisconnectCallersOf(int host);
  void TerminateUpstream(FakeUpstream& upstream);
  /// Removes the entry of an upstream that is gone when the entry's TTL ends.
  void ExpireEntry(const UpstreamId& id, std::int64_t start_time_ms);
  [[nodiscard]] FakeUpstream* UpstreamAt(const Endpoint& endpoint);
  [[nodiscard]] std::vector<FakeUpstream*> LiveUpstreams(bool engines_only = false);
  void PublishEntry(const FakeUpstream& upstream);

  boost::random::mt19937_64 random_;
  TimePoint now_;
  std::uint64_t next_order_{0};
  std::priority_queue<ScheduledAction> scheduled_;
  std::vector<Host> hosts_;
  std::map<UpstreamId, FakeUpstream> upstreams_;
  std::map<CallerId, Caller> callers_;
  std::map<std::string, Copy> copies_;
  Topic configuration_;
  Topic list_;
  bool repeats_replies_{false};
  bool is_store_up_{true};
  std::chrono::milliseconds write_delay_{0};
  std::chrono::milliseconds peer_delay_{0};
  std::int64_t version_{0};
  /// The newest configuration, and when the store acknowledged it last.
  std::optional<DesiredState> desired_;
  TimePoint configured_at_{};
  StoreEra era_{1};
  /// The store has lost records that aren't written again yet.
  bool has_lost_records_{false};
  std::set<std::string> keys_{"key-1", "key-2"};
  std::map<std::string, TimePoint> revoked_at_;
  std::map<std::string, TimePoint> evacuated_at_;
  world::Speed speed_of_new_upstreams_{world::kSpeeds[0]};
  int next_upstream_{0};
  int next_port_{1000};
  std::int64_t next_start_time_ms_{1000};
  std::uint64_t next_job_{0};
  std::uint64_t next_caller_{0};
  RequestKey next_request_{0};
  int finished_{0};
  int migrations_{0};
  int resumed_anew_{0};
  std::vector<std::string> violations_;
};

}  // namespace snipeturn::entry
