// The part of EntryRuntime that accepts connections, and bounds what their peers make it hold.

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <string_view>
#include <utility>

#include "snipeturn/entry/catalogue.h"
#include "snipeturn/entry/cells.h"
#include "snipeturn/entry/learned_capacity.h"
#include "snipeturn/entry/rollouts.h"
#include "snipeturn/entry/upstream_signals.h"
#include "snipeturn/loop/boot_clock.h"
#include "snipeturn/loop/entry_runtime.h"

namespace snipeturn::loop {
namespace internal {
namespace {

/// Length of the queue of connections that wait to be accepted.
constexpr int kBacklog = 1024;
/// Receive buffer of a caller's connection. The kernel would let it grow to some MB for a caller
/// that sends fast, which count as memory of the host.
constexpr int kReceiveBufferBytes = 131072;
/// Longest text of a line about a refused request, whose id and path the client chooses.
constexpr std::size_t kMaxRefusalFields = 1024;
/// Largest body of a readiness check or a read of the metrics, which need none.
constexpr std::size_t kMaxProbeBodyBytes = 4096;
/// Pause after a failure to accept, which the system reports again at once otherwise.
constexpr std::chrono::milliseconds kAcceptPause{50};

/// Gauges of one kind of statement of upstreams.
struct StatementGauges {
  backpressure::SignalKind kind;
  std::string_view value;
  std::string_view seen;
  std::string_view kept_back;
};

constexpr std::array<StatementGauges, 3> kStatementGauges{{
    {backpressure::SignalKind::kLimit, "snipeturn_upstream_limit_per_second",
     "snipeturn_upstream_limits_seen", "snipeturn_upstream_limit_kept_back"},
    {backpressure::SignalKind::kPause, "snipeturn_upstream_pause_seconds",
     "snipeturn_upstream_pauses_seen", "snipeturn_upstream_pause_kept_back"},
    {backpressure::SignalKind::kLeaving, "snipeturn_upstream_leaving_seconds",
     "snipeturn_upstream_leavings_seen", "snipeturn_upstream_leaving_kept_back"},
}};

/// Makes gauges of what is learned of the upstreams' speeds.
std::vector<Gauge> MakeCapacityGauges(const entry::State& state, TimePoint now) {
  const std::vector<entry::UpstreamCapacity> learned = entry::LearnedCapacities(state, now);
  std::vector<Gauge> gauges;
  const auto add = [&](const char* name, auto value_of) {
    for (const entry::UpstreamCapacity& item : learned) {
      gauges.push_back({name, "upstream", item.upstream, static_cast<double>(value_of(item))});
    }
  };
  add("snipeturn_upstream_speed", [](const auto& item) { return item.speed; });
  add("snipeturn_upstream_speed_evidence", [](const auto& item) { return item.evidence; });
  add("snipeturn_upstream_statement_trust", [](const auto& item) { return item.trust; });
  add("snipeturn_upstream_learned_limit", [](const auto& item) { return item.limit.value_or(-1); });
  add("snipeturn_upstream_load_kept_back", [](const auto& item) { return item.kept_back; });
  return gauges;
}

/// Makes gauges of the statements of upstreams that are in force.
std::vector<Gauge> MakeStatementGauges(const entry::State& state, TimePoint now) {
  std::vector<Gauge> gauges;
  for (const StatementGauges& names : kStatementGauges) {
    const std::vector<entry::StatementInForce> statements =
        entry::StatementsInForce(state, names.kind, now);
    const auto add = [&](std::string_view name, auto value_of) {
      for (const entry::StatementInForce& statement : statements) {
        gauges.push_back({std::string(name), "upstream", statement.upstream,
                          static_cast<double>(value_of(statement))});
      }
    };
    add(names.value, [](const auto& statement) { return statement.value; });
    add(names.seen, [](const auto& statement) { return statement.count.seen; });
    add(names.kept_back, [](const auto& statement) { return statement.count.kept_back; });
  }
  return gauges;
}

}  // namespace
}  // namespace internal

std::optional<std::string> EntryRuntime::Listen(Acceptor& acceptor,
                                                const Endpoint& endpoint,
                                                Listener kind) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(endpoint.address, error);
  const boost::asio::ip::tcp::endpoint local(address, static_cast<std::uint16_t>(endpoint.port));
  if (!error) {
    acceptor.open(local.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(Acceptor::reuse_address(true), error);
    boost::system::error_code ignored;
    acceptor.set_option(
        boost::asio::socket_base::receive_buffer_size(internal::kReceiveBufferBytes), ignored);
    acceptor.bind(local, error);
  }
  if (!error) {
    acceptor.listen(internal::kBacklog, error);
  }
  if (error) {
    return fmt::format("{}:{}: {}", endpoint.address, endpoint.port, error.message());
  }
  Accept(acceptor, kind);
  return std::nullopt;
}

void EntryRuntime::Accept(Acceptor& acceptor, Listener kind) {
  acceptor.async_accept(
      [this, &acceptor, kind](const boost::system::error_code& error, Connection::Socket socket) {
        // The connection may have been accepted just before the listener was closed.
        if (!error) {
          AddConnection(std::move(socket), kind);
        }
        if (!acceptor.is_open()) {
          return;
        }
        if (error && error != boost::asio::error::connection_aborted) {
          AcceptAfterFailure(acceptor, kind);
        } else {
          Accept(acceptor, kind);
        }
      });
}

void EntryRuntime::AcceptAfterFailure(Acceptor& acceptor, Listener kind) {
  metrics_.Add(AddToCounter{entry::kClosedCallers, "accept_failed", 1});
  CloseOldestIdle();
  auto timer = std::make_shared<boost::asio::steady_timer>(context_);
  timer->expires_after(internal::kAcceptPause);
  timer->async_wait([this, timer, &acceptor, kind](const boost::system::error_code& error) {
    if (!error && acceptor.is_open()) {
      Accept(acceptor, kind);
    }
  });
}

std::size_t EntryRuntime::CountConnections() const {
  return connections_.size() + client_.CountConnections();
}

void EntryRuntime::CloseCaller(ConnectionKey key, std::string_view reason) {
  RecordClose(key, reason);
  FindConnection(key)->Disconnect();
}

void EntryRuntime::RecordClose(ConnectionKey key, std::string_view reason) {
  const auto connection = FindConnection(key);
  metrics_.Add(AddToCounter{entry::kClosedCallers, std::string(reason), 1});
  if (const auto suppressed =
          AdmitRefusalLine(refusal_log_, connection->peer_address(), reason, BootTime())) {
    Log({entry::log_events::kCallerClosed,
         fmt::format("client={} reason={} unread_bytes={} connections={} suppressed={}",
                     connection->peer_address(), reason, connection->unread_bytes(),
                     connections_.size(), *suppressed)});
  }
}

bool EntryRuntime::CloseMostUnread(std::size_t min_bytes, std::chrono::milliseconds min_silence) {
  const TimePoint now = BootTime();
  const CallerConnection* most = nullptr;
  ConnectionKey key = 0;
  for (const auto& [each, connection] : connections_) {
    const auto since = connection->UnreadSince();
    if (since && now - *since >= min_silence && connection->unread_bytes() > min_bytes &&
        (most == nullptr || connection->unread_bytes() > most->unread_bytes())) {
      most = connection.get();
      key = each;
    }
  }
  if (most != nullptr) {
    CloseCaller(key, "unread_responses");
  }
  return most != nullptr;
}

void EntryRuntime::LimitInputMemory() {
  while (input_memory_->is_exceeded()) {
    const auto largest = std::max_element(
        connections_.begin(), connections_.end(), [](const auto& left, const auto& right) {
          return left.second->waiting_input_bytes() < right.second->waiting_input_bytes();
        });
    if (largest == connections_.end() || largest->second->waiting_input_bytes() == 0) {
      return;
    }
    metrics_.Add(AddToCounter{entry::kClosedCallers, "unread_requests", 1});
    const std::shared_ptr<CallerConnection> connection = largest->second;
    connection->DropInput();
  }
}

bool EntryRuntime::CloseOldestIdle() {
  // Connections without a request of which nothing is left to send come first, then those whose
  // request is incomplete or whose responses aren't read.
  const auto& keys = keys_by_listener_[static_cast<std::size_t>(Listener::kFront)];
  std::optional<std::pair<bool, TimePoint>> oldest;
  ConnectionKey victim = 0;
  for (const ConnectionKey key : keys) {
    const CallerConnection& connection = *connections_.at(key);
    if (connection.has_open_request()) {
      continue;
    }
    const std::pair rank{!connection.is_idle(), connection.phase_started_at()};
    if (!oldest || rank < *oldest) {
      oldest = rank;
      victim = key;
    }
  }
  if (oldest) {
    CloseCaller(victim, "descriptors");
  }
  return oldest.has_value();
}

bool EntryRuntime::LimitConnections(std::size_t connections) {
  while (CountConnections() > connections) {
    if (!CloseOldestIdle()) {
      return false;
    }
  }
  return true;
}

ConnectionLimits EntryRuntime::LimitsOf(Listener kind) const {
  ConnectionLimits own;
  if (state_.desired) {
    const entry::CallerLimits& limits = state_.desired->caller_limits;
    own = {limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout,
           limits.idle_timeout};
  }
  if (kind != Listener::kFront) {
    own.max_body_bytes = std::min(own.max_body_bytes, internal::kMaxProbeBodyBytes);
  }
  return own;
}

void EntryRuntime::AddConnection(Connection::Socket socket, Listener kind) {
  auto& keys = keys_by_listener_[static_cast<std::size_t>(kind)];
  if (kind == Listener::kFront) {
    const std::size_t others = descriptors_.for_callers() - 1;
    if (!LimitConnections(others) && CountConnections() > others) {
      metrics_.Add(AddToCounter{entry::kClosedCallers, "not_accepted", 1});
      return;  // Nothing was read, so the caller may repeat its request elsewhere.
    }
  } else if (keys.size() >= DescriptorBudget::kProbes) {
    CloseCaller(*keys.begin(), "probes");
  }
  const ConnectionKey key = next_connection_++;
  // A probe has no body to speak of, and must not wait for memory that callers take.
  auto connection = std::make_shared<CallerConnection>(
      key, std::move(socket),
      CallerAccounts{response_memory_, kind == Listener::kFront ? request_memory_ : nullptr,
                     input_memory_});
  connections_[key] = connection;
  keys.insert(key);
  CallerConnection::Handlers handlers;
  switch (kind) {
    case Listener::kFront:
      handlers.on_request = [this](ConnectionKey from, HttpHead&& head, std::string&& body) {
        HandleRequest(from, std::move(head), std::move(body));
      };
      break;
    case Listener::kReady:
      handlers.on_request = [this](ConnectionKey from, HttpHead&& head, std::string&& /*body*/) {
        HandleReadinessCheck(from, head);
      };
      break;
    case Listener::kMetrics:
      handlers.on_request = [this](ConnectionKey from, HttpHead&& /*head*/,
                                   std::string&& /*body*/) { HandleMetricsRequest(from); };
      break;
  }
  handlers.on_caller_disconnected = [this](ConnectionKey from) {
    const auto found = request_by_connection_.find(from);
    if (found != request_by_connection_.end()) {
      const entry::RequestKey request = found->second;
      CloseRequest(request);
      Apply(entry::CallerDisconnected{request});
    }
  };
  handlers.on_rejected = [this](ConnectionKey from, int status, std::string_view reason) {
    const auto rejected = FindConnection(from);
    metrics_.Add(AddToCounter{kRefusals, std::string(reason), 1});
    LogRejection(
        rejected ? rejected->peer_address() : "-", status, reason,
        {entry::log_events::kRefused, fmt::format("id=- status={} reason={}", status, reason)});
  };
  handlers.on_unread_timeout = [this](ConnectionKey from) { RecordClose(from, "unread_timeout"); };
  handlers.on_input_exceeded = [this] { LimitInputMemory(); };
  handlers.on_closed = [this, kind](ConnectionKey from) {
    keys_by_listener_[static_cast<std::size_t>(kind)].erase(from);
    connections_.erase(from);
  };
  handlers.on_flushed = [this](ConnectionKey from) {
    const auto found = request_by_connection_.find(from);
    if (found == request_by_connection_.end()) {
      return;
    }
    OpenRequest& open_request = open_requests_.at(found->second);
    if (open_request.paused_attempt) {
      const auto attempt = active_attempts_.find(*open_request.paused_attempt);
      open_request.paused_attempt.reset();
      if (attempt != active_attempts_.end()) {
        client_.SetReading(attempt->second.exchange, true);
      }
    }
  };
  connection->Start(std::move(handlers), LimitsOf(kind), BootTime());
}

void EntryRuntime::LogRejection(const std::string& client,
                                int status,
                                std::string_view reason,
                                EmitLog line) {
  if (!IsClientFault(status)) {
    Log(line);
    return;
  }
  const auto suppressed = AdmitRefusalLine(refusal_log_, client, reason, BootTime());
  if (!suppressed) {
    metrics_.Add(AddToCounter{entry::kSuppressedLines, std::string(reason), 1});
    return;
  }
  if (line.fields.size() > internal::kMaxRefusalFields) {
    line.fields.resize(internal::kMaxRefusalFields);
  }
  if (*suppressed > 0) {
    line.fields += fmt::format(" client={} suppressed={}", client, *suppressed);
  }
  Log(line);
}

void EntryRuntime::RefuseEarly(ConnectionKey key,
                               int status,
                               std::string_view reason,
                               std::string_view target,
                               std::string_view fields) {
  const auto connection = FindConnection(key);
  metrics_.Add(AddToCounter{kRefusals, std::string(reason), 1});
  LogRejection(connection->peer_address(), status, reason,
               {entry::log_events::kRefused,
                fmt::format("id=- status={} reason={} path={}", status, reason, target)});
  connection->SendResponse(
      FormatResponse(status, "application/problem+json",
                     fmt::format(R"({{"reason":"{}","outcome":"not_run"}})", reason), fields, true),
      true);
}

void EntryRuntime::HandleReadinessCheck(ConnectionKey key, const HttpHead& head) {
  const auto connection = FindConnection(key);
  if (!codec_.is_readiness_check(head)) {
    connection->SendResponse(FormatResponse(404, "text/plain", "", "", false), false);
    return;
  }
  const bool is_ready = entry::IsReady(state_, BootTime());
  connection->SendResponse(FormatResponse(is_ready ? 200 : 503, "text/plain", "", "", false),
                           false);
}

void EntryRuntime::HandleMetricsRequest(ConnectionKey key) {
  std::vector<Gauge> gauges = internal::MakeStatementGauges(state_, BootTime());
  const std::vector<Gauge> learned = internal::MakeCapacityGauges(state_, BootTime());
  gauges.insert(gauges.end(), learned.begin(), learned.end());
  const std::vector<Gauge> own{
      {"snipeturn_open_requests", "", "", static_cast<double>(state_.requests.size())},
      {"snipeturn_placements", "", "", static_cast<double>(state_.placements)},
      {"snipeturn_upstreams", "", "", static_cast<double>(state_.upstreams.size())},
      {"snipeturn_opened_connections", "", "", static_cast<double>(client_.opened_connections())},
      {"snipeturn_dropped_log_lines", "", "", static_cast<double>(log_.dropped_lines())},
      {"snipeturn_quarantined_prompts", "", "",
       static_cast<double>(state_.quarantine.suspects.size())},
      {"snipeturn_crash_log_entries", "", "",
       static_cast<double>(state_.quarantine.log.entries.size())},
      {"snipeturn_hosts", "", "", static_cast<double>(state_.hosts)},
      {"snipeturn_cell_hosts", "", "", static_cast<double>(entry::CellHosts(state_))},
      {"snipeturn_response_memory_bytes", "", "", static_cast<double>(response_memory_->used)},
      {"snipeturn_request_memory_bytes", "", "", static_cast<double>(request_memory_->used)},
      {"snipeturn_input_memory_bytes", "", "", static_cast<double>(input_memory_->used)},
      {"snipeturn_caller_connections", "", "", static_cast<double>(connections_.size())},
      {"snipeturn_connections", "", "", static_cast<double>(CountConnections())},
      {"snipeturn_max_connections", "", "", static_cast<double>(descriptors_.for_callers())},
      {"snipeturn_cells_heard", "", "",
       static_cast<double>(entry::CountLiveCells(state_, BootTime()))}};
  gauges.insert(gauges.end(), own.begin(), own.end());
  for (entry::RolloutGauge& gauge : entry::RolloutGauges(state_, BootTime())) {
    gauges.push_back({std::string(gauge.name), "service", std::move(gauge.service), gauge.value});
  }
  FindConnection(key)->SendResponse(
      FormatResponse(200, "text/plain; version=0.0.4", metrics_.Render(gauges), "", false), false);
}

void EntryRuntime::CheckConnectionTimeouts(TimePoint now) {
  // A timeout can remove the connection from the tables.
  const std::array<std::set<ConnectionKey>, kListeners> keys_by_listener = keys_by_listener_;
  for (std::size_t kind = 0; kind < kListeners; ++kind) {
    const ConnectionLimits limits = LimitsOf(static_cast<Listener>(kind));
    for (const ConnectionKey key : keys_by_listener[kind]) {
      if (const auto connection = FindConnection(key)) {
        connection->SetLimits(limits);
        connection->CheckTimeouts(now);
      }
    }
  }
}

void EntryRuntime::AcceptPending(Acceptor& acceptor, Listener kind) {
  boost::system::error_code error;
  acceptor.non_blocking(true, error);
  while (!error) {
    Connection::Socket socket(context_);
    acceptor.accept(socket, error);
    if (!error) {
      AddConnection(std::move(socket), kind);
    }
  }
  if (error != boost::asio::error::would_block) {
    Log({entry::log_events::kStopped, "waiting_connections=" + error.message()});
  }
}

}  // namespace snipeturn::loop
