#include "snipeturn/runtime/runtime.h"

#include <fmt/format.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <random>
#include <thread>
#include <utility>
#include <variant>

#include "snipeturn/base/log_catalogue.h"
#include "snipeturn/runtime/attempt_runner.h"
#include "snipeturn/runtime/caller_channel.h"
#include "snipeturn/runtime/clock.h"
#include "snipeturn/runtime/event_queue.h"
#include "snipeturn/runtime/log_sink.h"
#include "snipeturn/runtime/metrics.h"
#include "snipeturn/runtime/peer_sender.h"
#include "snipeturn/runtime/request_reader.h"
#include "snipeturn/runtime/stall_watch.h"
#include "snipeturn/runtime/throttle.h"
#include "snipeturn/runtime/worker_pool.h"
#include "snipeturn/transport/http_client.h"
#include "snipeturn/transport/http_server.h"
#include "snipeturn/transport/json_rpc_adapter.h"
#include "snipeturn/transport/log_client.h"
#include "snipeturn/transport/peer_client.h"
#include "snipeturn/transport/peer_codec.h"
#include "snipeturn/transport/problem.h"

namespace snipeturn {
namespace internal {
namespace {

constexpr std::chrono::milliseconds kPeerProbeTimeout{300};
// The longest deadline that a caller may set is one hour; one minute is a reserve.
constexpr std::chrono::milliseconds kMaxResponseWait = std::chrono::minutes{61};
// An operator may wait for an offset for up to 60 s; 10 s are a reserve.
constexpr std::chrono::milliseconds kMaxOperatorResponseWait{70000};
constexpr std::chrono::milliseconds kExitPollInterval{10};
// The reducer's steps take milliseconds.
constexpr std::chrono::milliseconds kMaxReducerStep{1000};
// The watched exchanges end after 4 s at most: the two exchanges of the host list have 2 s each.
constexpr std::chrono::milliseconds kMaxWatchedExchange{5000};

std::uint64_t RandomNumber() {
  std::random_device device;
  const std::uint64_t high = device();
  return (high << 32U) | device();
}

Incarnation RandomIncarnation() {
  Incarnation incarnation = 0;
  while (incarnation == 0) {
    incarnation = RandomNumber();
  }
  return incarnation;
}

std::vector<std::string> LogStreams(const Options& options) {
  std::vector<std::string> streams{kSettingsStream, kMembersStream};
  for (int shard = 0; shard < options.tuning.claim_streams; ++shard) {
    streams.push_back(kClaimsStreamPrefix + std::to_string(shard));
  }
  return streams;
}

ServerResponse MakeRefusal(const RequestRefusal& refusal) {
  return MakeRequestProblem(refusal.status, refusal.reason, refusal.detail);
}

}  // namespace
}  // namespace internal

class Runtime::Implementation {
 public:
  Implementation(Options options, ReducerPort port, const RuntimeBounds& bounds)
      : options_(std::move(options)),
        bounds_(bounds),
        port_(std::move(port)),
        self_{options_.host, internal::RandomIncarnation()},
        log_sink_(options_.host),
        rpc_({kPeerMethods.begin(), kPeerMethods.end()},
             [this](const std::string& method, const std::string& params) {
               return HandlePeerMessage(method, params);
             }),
        attempts_(bounds.max_streams, bounds.max_calls, events_),
        peers_(
            bounds.max_peer_threads,
            bounds.max_queued_per_peer,
            [this](const SendPeer& send, bool is_suspect) { return Deliver(send, is_suspect); },
            [this](const SendPeer& send, const char* reason) { CountLoss(send, reason); }),
        load_pollers_(bounds.max_load_threads, events_),
        appends_("appends", bounds.max_appends, bounds.max_queued_appends),
        probes_("probes", bounds.max_probes, bounds.max_queued_appends) {}

  ~Implementation() {
    is_exiting_ = true;
    stall_watch_.reset();
    log_pollers_.reset();
    host_poller_.reset();
    StopLoop();
    CloseChannels();
    server_.Stop();
  }

  bool Start(std::string& last_reason) {
    events_.Post(Started{self_.incarnation, internal::RandomNumber()});
    ServerBounds bounds;
    bounds.max_connections = bounds_.max_connections;
    if (!server_.Start(
            options_.listen, options_.tls, bounds,
            [this](const ServerRequest& request) { return HandleRequest(request); }, last_reason)) {
      return false;
    }
    loop_ = std::thread([this] { RunReducerLoop(); });
    log_sink_.Write(EmitLog{log_events::kListening,
                            fmt::format("address={} port={} tls={}", options_.listen.address,
                                        options_.listen.port, options_.tls.has_value())});
    log_pollers_ = std::make_unique<LogPollers>(
        options_.log, internal::LogStreams(options_), events_,
        [this](const std::string& stream, bool is_reachable, const std::string& reason) {
          ReportLogState(stream, is_reachable, reason);
        });
    host_poller_ = std::make_unique<HostListPoller>(
        options_.log, [this] { return DescribeSelf(); }, events_);
    stall_watch_ = std::make_unique<StallWatch>(
        WatchedParts(), [this](const EmitLog& line) { log_sink_.Write(line); });
    return true;
  }

  void RequestShutdown() { events_.Post(ShutdownRequested{}); }

  void AwaitExit() {
    {
      std::unique_lock<std::mutex> lock(exit_mutex_);
      exit_changed_.wait(lock, [this] { return has_exited_; });
    }
    // From here on, new requests are refused; events of requests accepted earlier are still
    // reduced.
    is_exiting_ = true;
    const TimePoint end = ReadMonotonic() + bounds_.exit_wait;
    while (server_.open_requests() > 0 && ReadMonotonic() < end) {
      std::this_thread::sleep_for(internal::kExitPollInterval);
    }
    CloseChannels();
    server_.Stop();
    StopLoop();
  }

 private:
  // Called on the reducer's thread.

  void RunReducerLoop() {
    while (!is_loop_stopped_) {
      const std::optional<Event> event = events_.Pop(port_.next_due());
      if (is_loop_stopped_) {
        break;
      }
      const Effects effects = port_.reduce(event ? *event : Event{Tick{}}, ReadNow());
      is_draining_ = port_.is_draining();
      if (const auto targets = port_.changed_targets()) {
        load_pollers_.SetTargets(*targets);
      }
      for (const Effect& effect : effects) {
        std::visit([this](const auto& content) { Execute(content); }, effect);
      }
    }
  }

  void StopLoop() {
    is_loop_stopped_ = true;
    events_.Close();
    if (loop_.joinable()) {
      loop_.join();
    }
  }

  void Execute(const StartAttempt& effect) { attempts_.Start(effect); }
  void Execute(const AbandonAttempt& effect) { attempts_.Abandon(effect); }
  void Execute(const CancelGeneration& effect) { attempts_.Cancel(effect); }

  void Execute(const SendToken& effect) {
    const auto channel = channels_.Find(effect.request);
    if (!channel || !channel->is_stream()) {
      return;
    }
    Problem overflow;
    overflow.status = 503;
    overflow.reason = "caller_too_slow";
    overflow.outcome = Outcome::kRan;
    overflow.detail = "the caller did not read its stream; it may resume with Last-Event-ID";
    overflow.delivered = effect.index;
    if (!channel->PushToken(EncodeTokenEvent(CompletionId(effect.request), effect),
                            EncodeErrorEvent(overflow))) {
      metrics_.Add(AddToCounter{kRefusals, overflow.reason});
      log_sink_.Write(
          EmitLog{log_events::kCallerTooSlow, fmt::format("request={}", effect.request)});
      events_.Post(CallerDisconnected{effect.request});
    }
  }

  void Execute(const FinishResponse& effect) {
    const auto channel = channels_.Find(effect.request);
    if (!channel) {
      return;
    }
    if (channel->is_stream()) {
      channel->EndStream(EncodeDoneEvent());
      return;
    }
    ServerResponse response;
    response.status = effect.status;
    response.content_type = effect.content_type;
    response.body = effect.body;
    channel->Respond(std::move(response));
  }

  void Execute(const SendProblem& effect) {
    const auto channel = channels_.Find(effect.request);
    if (!channel) {
      return;
    }
    if (channel->has_begun()) {
      channel->EndStream(EncodeErrorEvent(effect.problem));
    } else {
      channel->Respond(MakeProblemResponse(effect.problem));
    }
  }

  void Execute(const AppendLog& effect) {
    if (!appends_.Submit([this, effect] {
          const AppendResponse response = AppendRecord(options_.log, effect.stream, effect.value);
          if (response.result == AppendResult::kAppended) {
            events_.Post(LogAppended{effect.id, response.offset});
          } else {
            events_.Post(LogAppendFailed{effect.id, response.result == AppendResult::kRefused});
          }
        })) {
      events_.Post(LogAppendFailed{effect.id, true});
    }
  }

  void Execute(const SendPeer& effect) { peers_.Send(effect); }

  void Execute(const ProbeHost& effect) {
    if (!probes_.Submit(
            [this, effect] { events_.Post(RunProbe(effect, options_.tls.has_value())); })) {
      events_.Post(ProbeEnded{effect.host, std::nullopt});
    }
  }

  void Execute(const RespondToOperator& effect) {
    if (const auto channel = channels_.Find(effect.id)) {
      channel->Respond(MakeJsonResponse(effect.status, effect.body));
    }
  }

  void Execute(const EmitLog& effect) { log_sink_.Write(effect); }
  void Execute(const AddToCounter& effect) { metrics_.Add(effect); }
  void Execute(const RecordSample& effect) { metrics_.Add(effect); }

  void Execute(const Exit& /*effect*/) {
    const std::lock_guard<std::mutex> lock(exit_mutex_);
    has_exited_ = true;
    exit_changed_.notify_all();
  }

  // Called on the connections' threads.

  ServerResponse HandleRequest(const ServerRequest& request) {
    if (request.path == "/healthz" && request.method == "GET") {
      return HandleHealth();
    }
    if (request.path == "/metrics" && request.method == "GET") {
      ServerResponse response;
      response.content_type = "text/plain; version=0.0.4";
      response.body = metrics_.Render(ReadGauges());
      return response;
    }
    if (request.path == "/rpc" && request.method == "POST") {
      ServerResponse response;
      response.content_type = "application/json";
      response.body = rpc_.Handle(request.body);
      return response;
    }
    return HandleReducerRequest(request);
  }

  /// Handles requests that the reducer serves, each of which becomes an event.
  ServerResponse HandleReducerRequest(const ServerRequest& request) {
    RequestRefusal refusal{404, "unknown_endpoint", "no such endpoint"};
    if (is_exiting_) {
      refusal = {503, "shutting_down", "this host is stopping"};
    } else if (request.path == "/v1/completions" && request.method != "POST") {
      refusal = {405, "method_not_allowed", "only POST is allowed"};
    } else if (request.path == "/v1/completions") {
      if (auto caller = ReadCompletion(request, refusal)) {
        return HandleCaller(std::move(*caller));
      }
    } else if (request.path.rfind("/services/", 0) == 0) {
      if (auto caller = ReadCall(request, refusal)) {
        return HandleCaller(std::move(*caller));
      }
    } else if (request.path.rfind("/operator/", 0) == 0) {
      if (!IsOperator(request, options_)) {
        refusal = {401, "unknown_key", "an operator's bearer key is required"};
      } else if (auto command = ReadOperatorCommand(request, refusal)) {
        return HandleCommand(std::move(*command));
      }
    }
    metrics_.Add(AddToCounter{kRefusals, refusal.reason});
    return internal::MakeRefusal(refusal);
  }

  ServerResponse HandleHealth() {
    Json::Value body;
    body["host"] = self_.name;
    body["incarnation"] = Json::UInt64{self_.incarnation};
    body["draining"] = is_draining_.load();
    return MakeJsonResponse(is_draining_ ? 503 : 200, body);
  }

  ServerResponse HandleCaller(CallerRequest caller) {
    const RequestId id = next_id_++;
    const ChannelBounds bounds{bounds_.max_caller_buffer};
    const bool is_stream = caller.kind == CallerRequest::Kind::kCompletion && caller.stream;
    const auto channel = std::make_shared<CallerChannel>(bounds, is_stream);
    caller.id = id;
    if (!channels_.Add(id, channel)) {
      return MakeTimeoutResponse();
    }
    events_.Post(std::move(caller));
    auto response = channel->AwaitResponse(internal::kMaxResponseWait);
    if (!response && channel->has_begun()) {
      return MakeStreamResponse(id, channel);
    }
    channels_.Remove(id);
    if (!response) {
      events_.Post(CallerDisconnected{id});
      return MakeTimeoutResponse();
    }
    return std::move(*response);
  }

  ServerResponse MakeStreamResponse(RequestId id, const std::shared_ptr<CallerChannel>& channel) {
    ServerResponse response;
    response.content_type = "text/event-stream";
    response.headers.emplace_back("Cache-Control", "no-cache");
    response.source = std::make_unique<ChannelSource>(channel, [this, id, channel] {
      channels_.Remove(id);
      if (!channel->has_ended()) {
        events_.Post(CallerDisconnected{id});
      }
    });
    return response;
  }

  ServerResponse HandleCommand(OperatorCommand command) {
    const OperatorRequestId id = next_id_++;
    const auto channel = std::make_shared<CallerChannel>(ChannelBounds{}, false);
    if (!channels_.Add(id, channel)) {
      return MakeTimeoutResponse();
    }
    events_.Post(OperatorRequest{id, std::move(command)});
    auto response = channel->AwaitResponse(internal::kMaxOperatorResponseWait);
    channels_.Remove(id);
    return response ? std::move(*response) : MakeTimeoutResponse();
  }

  static ServerResponse MakeTimeoutResponse() {
    Problem problem;
    problem.status = 504;
    problem.reason = "no_answer";
    problem.outcome = Outcome::kUnknown;
    problem.detail = "the request was not answered in time";
    return MakeProblemResponse(problem);
  }

  /// Responds with a timeout to all connections that still wait when the process stops.
  void CloseChannels() {
    channels_.Close([] { return MakeTimeoutResponse(); });
  }

  /// Handles a peer's RPC; returns the reason for refusing it, or an empty string on success.
  std::string HandlePeerMessage(const std::string& method, const std::string& params) {
    SealError reason = SealError::kNone;
    std::string detail;
    auto opened = OpenPeerMessage(method, params, self_.name, options_.peer_key, reason, detail);
    if (!opened) {
      metrics_.Add(AddToCounter{kPeerMessagesRefused, std::string(ToString(reason))});
      if (refused_message_throttle_.Allow()) {
        log_sink_.Write(EmitLog{log_events::kPeerMessageRefused,
                                fmt::format("method={} reason={}", method, ToString(reason))});
      }
      return fmt::format("{}: {}", ToString(reason), detail);
    }
    metrics_.Add(AddToCounter{kPeerMessages, method});
    events_.Post(PeerMessageReceived{opened->from, std::move(opened->message)});
    return {};
  }

  // Called on the threads of the pools and pollers.

  PeerDelivery Deliver(const SendPeer& send, bool is_suspect) {
    const bool tls = options_.tls.has_value();
    if (is_suspect && !CanConnect(send.endpoint, internal::kPeerProbeTimeout)) {
      return PeerDelivery::kUnreachable;
    }
    std::string reason;
    const PeerDelivery delivery = DeliverPeerMessage(self_, send, options_.peer_key, tls, reason);
    if (delivery != PeerDelivery::kAccepted && lost_message_throttle_.Allow()) {
      log_sink_.Write(EmitLog{log_events::kPeerMessageLost,
                              fmt::format("peer={} method={} reason=\"{}\"", send.to,
                                          PeerMethod(send.message), reason)});
    }
    return delivery;
  }

  void CountLoss(const SendPeer& /*send*/, const char* reason) {
    metrics_.Add(AddToCounter{kPeerMessagesLost, reason});
  }

  void ReportLogState(const std::string& stream, bool is_reachable, const std::string& reason) {
    log_sink_.Write(EmitLog{is_reachable ? log_events::kLogReachable : log_events::kLogUnreachable,
                            fmt::format("stream={} reason=\"{}\"", stream, reason)});
  }

  /// The parts whose work has an upper limit of time. Streams, calls and messages to peers are left
  /// out: they may last as long as their callers wait, or as long as messages come.
  std::vector<WatchedPart> WatchedParts() {
    std::vector<WatchedPart> parts{
        {"reducer", internal::kMaxReducerStep, [this] { return events_.waiting_since(); }},
        {"log_reads", internal::kMaxWatchedExchange, [this] { return log_pollers_->busy_since(); }},
        {"host_list", internal::kMaxWatchedExchange,
         [this] { return host_poller_->busy_since(); }}};
    for (const WorkerPool* pool :
         {&attempts_.cancels(), &load_pollers_.pool(), static_cast<const WorkerPool*>(&appends_),
          static_cast<const WorkerPool*>(&probes_), &log_sink_.pool()}) {
      parts.push_back(
          {pool->name(), internal::kMaxWatchedExchange, [pool] { return pool->busy_since(); }});
    }
    return parts;
  }

  ListedHost DescribeSelf() {
    return ListedHost{self_, options_.listen, options_.zone, is_draining_};
  }

  std::vector<Gauge> ReadGauges() {
    std::vector<Gauge> running;
    std::vector<Gauge> queued;
    std::vector<Gauge> refused;
    const std::array<const WorkerPool*, 8> pools{&attempts_.streams(),
                                                 &attempts_.calls(),
                                                 &attempts_.cancels(),
                                                 &peers_.pool(),
                                                 &load_pollers_.pool(),
                                                 &appends_,
                                                 &probes_,
                                                 &log_sink_.pool()};
    for (const WorkerPool* pool : pools) {
      const PoolUsage usage = pool->usage();
      running.push_back({"snipeturn_pool_running", "pool", pool->name(), double(usage.running)});
      queued.push_back({"snipeturn_pool_queued", "pool", pool->name(), double(usage.queued)});
      refused.push_back({"snipeturn_pool_refused", "pool", pool->name(), double(usage.refused)});
    }
    running.insert(running.end(), queued.begin(), queued.end());
    running.insert(running.end(), refused.begin(), refused.end());
    running.push_back(
        {"snipeturn_open_requests", "host", self_.name, double(server_.open_requests())});
    return running;
  }

  static std::string CompletionId(RequestId id) { return fmt::format("cmpl-{}", id); }

  const Options options_;
  const RuntimeBounds bounds_;
  ReducerPort port_;
  const HostId self_;
  EventQueue events_;
  MetricsRegistry metrics_;
  LogSink log_sink_;
  Throttle refused_message_throttle_;
  Throttle lost_message_throttle_;
  ChannelRegistry channels_;
  std::atomic<RequestId> next_id_{1};
  std::atomic<bool> is_draining_{false};
  std::atomic<bool> is_exiting_{false};
  std::atomic<bool> is_loop_stopped_{false};
  std::mutex exit_mutex_;
  std::condition_variable exit_changed_;
  bool has_exited_{false};
  JsonRpcServer rpc_;
  // The threads of the members below use those above, so the members below are destroyed first.
  AttemptRunner attempts_;
  PeerSender peers_;
  LoadPollers load_pollers_;
  WorkerPool appends_;
  WorkerPool probes_;
  HttpServer server_;
  std::unique_ptr<LogPollers> log_pollers_;
  std::unique_ptr<HostListPoller> host_poller_;
  std::unique_ptr<StallWatch> stall_watch_;
  std::thread loop_;
};

Runtime::Runtime(Options options, ReducerPort port, const RuntimeBounds& bounds)
    : implementation_(
          std::make_unique<Implementation>(std::move(options), std::move(port), bounds)) {}

Runtime::~Runtime() = default;

bool Runtime::Start(std::string& last_reason) {
  return implementation_->Start(last_reason);
}

void Runtime::RequestShutdown() {
  implementation_->RequestShutdown();
}

void Runtime::AwaitExit() {
  implementation_->AwaitExit();
}

}  // namespace snipeturn
