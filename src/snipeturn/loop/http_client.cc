#include "snipeturn/loop/http_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "snipeturn/loop/boot_clock.h"

namespace snipeturn::loop {
namespace internal {
namespace {

/// Largest head of a response, and largest chunk header or trailer section; heads have some KB.
constexpr std::size_t kMaxHeaderBytes = 32768;
/// Most responses that one exchange skips before its own: interim ones and those to other requests.
/// A faulty server sends one or two.
constexpr int kMaxSkippedResponses = 8;
/// Most body bytes of skipped responses; responses of services have some KB.
constexpr std::uint64_t kMaxSkippedBytes = 1ULL << 20U;
/// Idle timeout of a connection whose server advertises none.
constexpr std::chrono::seconds kDefaultIdleTime{10};
/// Fraction of the advertised idle timeout for which a connection is reused, so that no request is
/// sent while the server closes it.
constexpr double kIdleTimeoutFraction = 0.7;

/// Parses "timeout=N" of the Keep-Alive field.
std::optional<std::chrono::seconds> ParseKeepAliveTimeout(const HttpHead& head) {
  const std::string* field = FindField(head, "Keep-Alive");
  if (field == nullptr) {
    return std::nullopt;
  }
  constexpr std::string_view kName = "timeout=";
  const std::size_t position = field->find(kName);
  if (position == std::string::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const char* begin = field->data() + position + kName.size();
  const auto result = std::from_chars(begin, field->data() + field->size(), seconds);
  if (result.ec != std::errc{} || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

/// What a status code says about the response that bears it.
enum class StatusKind : std::uint8_t { kInterim, kFinal, kInvalid };

/// Classifies a status code by RFC 9110. No request of this client asks for another protocol, so
/// 101 answers none.
constexpr StatusKind Classify(int status) noexcept {
  constexpr int kFirstInterim = 100;
  constexpr int kSwitchingProtocols = 101;
  constexpr int kFirstFinal = 200;
  constexpr int kAfterLast = 600;
  if (status < kFirstInterim || status >= kAfterLast || status == kSwitchingProtocols) {
    return StatusKind::kInvalid;
  }
  return status < kFirstFinal ? StatusKind::kInterim : StatusKind::kFinal;
}

/// Classifies a failed attempt to connect. Errors of this host, as a lack of descriptors, say
/// nothing about the server.
ExchangeResult ClassifyConnectError(const boost::system::error_code& error) noexcept {
  if (error == boost::asio::error::connection_refused) {
    return ExchangeResult::kConnectionRefused;
  }
  const bool is_unanswered = error == boost::asio::error::timed_out ||
                             error == boost::asio::error::host_unreachable ||
                             error == boost::asio::error::network_unreachable;
  return is_unanswered ? ExchangeResult::kUnreachable : ExchangeResult::kUnsent;
}

std::string UnboundedResponse(std::string_view what) {
  return fmt::format("{}: {}", kUnboundedResponse, what);
}

}  // namespace
}  // namespace internal

/// A connection with the state of the response that is read from it.
struct HttpClient::Channel {
  std::string pool;
  std::shared_ptr<Connection> connection;
  std::string input;
  std::optional<HttpParser> parser;
  ExchangePointer exchange;
  /// The response being read belongs to another request.
  bool skips_response{false};
  /// Responses that the current exchange has skipped, and their body bytes.
  int skipped_responses{0};
  std::uint64_t skipped_bytes{0};
  /// Further responses may arrive late, so the connection is closed after this exchange.
  bool must_not_reuse{false};
  ConnectionHistory history;
  TimePoint idle_since{};
  std::chrono::milliseconds max_idle_time{internal::kDefaultIdleTime};
};

struct HttpClient::Exchange {
  ExchangeKey key{0};
  HttpCall call;
  ExchangeHandlers handlers;
  ChannelPointer channel;
  std::shared_ptr<Connection::Socket> connecting_socket;
  std::unique_ptr<boost::asio::steady_timer> timer;
  std::uint64_t written_bytes_before{0};
  bool is_finished{false};
};

HttpClient::HttpClient(boost::asio::io_context& context) : context_(context) {}

HttpClient::~HttpClient() = default;

HttpClient::ExchangeKey HttpClient::Start(HttpCall call, ExchangeHandlers handlers) {
  auto exchange = std::make_shared<Exchange>();
  exchange->key = next_key_++;
  exchange->call = std::move(call);
  exchange->handlers = std::move(handlers);
  exchanges_[exchange->key] = exchange;
  boost::asio::post(context_, [this, exchange] {
    if (!exchange->is_finished) {
      BeginExchange(exchange);
    }
  });
  return exchange->key;
}

void HttpClient::BeginExchange(const ExchangePointer& exchange) {
  if (exchange->call.timeout.count() > 0) {
    exchange->timer = std::make_unique<boost::asio::steady_timer>(context_);
    exchange->timer->expires_after(exchange->call.timeout);
    exchange->timer->async_wait([this, exchange](const boost::system::error_code& error) {
      if (!error && !exchange->is_finished) {
        const bool is_sent = exchange->channel != nullptr;
        FinishExchange(exchange, is_sent ? ExchangeResult::kBroken : ExchangeResult::kUnsent,
                       "timeout");
      }
    });
  }
  if (!exchange->call.needs_new_connection) {
    if (ChannelPointer channel = AcquireIdleChannel(exchange->call)) {
      SendRequest(exchange, channel);
      return;
    }
  }
  Connect(exchange);
}

HttpClient::ChannelPointer HttpClient::AcquireIdleChannel(const HttpCall& call) {
  const auto found = idle_channels_.find(call.pool);
  if (found == idle_channels_.end()) {
    return nullptr;
  }
  const auto now = BootTime();
  std::vector<ChannelPointer>& channels = found->second;
  // The connections that were used last come first.
  for (std::size_t place = channels.size(); place-- > 0;) {
    ChannelPointer channel = channels[place];
    const auto idle = now - channel->idle_since;
    const bool is_expired = !channel->connection->is_open() || idle >= channel->max_idle_time;
    if (!is_expired && idle > call.max_idle) {
      return nullptr;  // The others have been idle for longer.
    }
    if (!is_expired && !MayCarry(channel->history, call.match)) {
      continue;
    }
    channels.erase(channels.begin() + static_cast<std::ptrdiff_t>(place));
    if (!is_expired) {
      return channel;
    }
    channel->connection->Close();
  }
  return nullptr;
}

void HttpClient::Connect(const ExchangePointer& exchange) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(exchange->call.endpoint.address, error);
  if (error) {
    FinishExchange(exchange, ExchangeResult::kUnsent, "invalid address");
    return;
  }
  auto socket = std::make_shared<Connection::Socket>(context_);
  auto timer = std::make_shared<boost::asio::steady_timer>(context_);
  exchange->connecting_socket = socket;
  timer->expires_after(exchange->call.connect_timeout);
  timer->async_wait([this, exchange, socket](const boost::system::error_code& timer_error) {
    if (!timer_error && !exchange->is_finished && exchange->connecting_socket == socket) {
      FinishExchange(exchange, ExchangeResult::kUnreachable, "connect timeout");
    }
  });
  const boost::asio::ip::tcp::endpoint endpoint(
      address, static_cast<std::uint16_t>(exchange->call.endpoint.port));
  socket->async_connect(
      endpoint, [this, exchange, socket, timer](const boost::system::error_code& connect_error) {
        timer->cancel();
        if (exchange->is_finished) {
          return;
        }
        exchange->connecting_socket.reset();
        if (connect_error) {
          FinishExchange(exchange, internal::ClassifyConnectError(connect_error),
                         connect_error.message());
          return;
        }
        ++opened_connections_;
        auto channel = std::make_shared<Channel>();
        channel->pool = exchange->call.pool;
        channel->connection = std::make_shared<Connection>(std::move(*socket));
        Connection::Handlers handlers;
        handlers.on_bytes = [this, weak = std::weak_ptr<Channel>(channel)](std::string_view bytes) {
          if (const ChannelPointer locked = weak.lock()) {
            HandleBytes(locked, bytes);
          }
        };
        handlers.on_end = [this, weak = std::weak_ptr<Channel>(channel)](
                              ConnectionEnd end, const std::string& reason) {
          if (const ChannelPointer locked = weak.lock()) {
            HandleConnectionEnd(locked, end, reason);
          }
        };
        handlers.on_flushed = [weak = std::weak_ptr<Channel>(channel)] {
          const ChannelPointer locked = weak.lock();
          if (locked && locked->exchange && locked->exchange->handlers.on_sent) {
            locked->exchange->handlers.on_sent();
          }
        };
        channel->connection->Start(std::move(handlers));
        SendRequest(exchange, channel);
      });
}

void HttpClient::SendRequest(const ExchangePointer& exchange, const ChannelPointer& channel) {
  exchange->channel = channel;
  channel->exchange = exchange;
  RecordCall(channel->history, exchange->call.match);
  channel->parser.emplace(HttpParser::Kind::kResponse, internal::kMaxHeaderBytes,
                          exchange->call.max_body_bytes);
  channel->skips_response = false;
  channel->skipped_responses = 0;
  channel->skipped_bytes = 0;
  exchange->written_bytes_before = channel->connection->written_bytes();
  channel->connection->WriteOwned(std::exchange(exchange->call.bytes, std::string()));
}

void HttpClient::HandleBytes(const ChannelPointer& channel, std::string_view bytes) {
  if (!channel->exchange) {
    // Bytes on an idle connection are a response to no request.
    channel->connection->Close();
    return;
  }
  channel->input.append(bytes.data(), bytes.size());
  while (channel->exchange && !channel->input.empty()) {
    HttpParser& parser = *channel->parser;
    const bool had_head = parser.is_head_done();
    const ParseStatus status = parser.Feed(channel->input);
    const ExchangePointer exchange = channel->exchange;
    if (status == ParseStatus::kHeaderTooLarge || status == ParseStatus::kBodyTooLarge) {
      FinishExchange(exchange, ExchangeResult::kBroken,
                     internal::UnboundedResponse("head or body too large"));
      return;
    }
    if (status == ParseStatus::kMalformed) {
      FinishExchange(exchange, ExchangeResult::kBroken, "malformed response");
      return;
    }
    // The parser leaves incomplete heads, chunk headers and trailers in the buffer.
    if (status == ParseStatus::kNeedMore && channel->input.size() > internal::kMaxHeaderBytes) {
      FinishExchange(exchange, ExchangeResult::kBroken,
                     internal::UnboundedResponse("chunk header or trailers too large"));
      return;
    }
    const internal::StatusKind kind = internal::Classify(parser.head().status);
    if (parser.is_head_done() && kind == internal::StatusKind::kInvalid) {
      FinishExchange(exchange, ExchangeResult::kBroken,
                     fmt::format("invalid status {:03}", parser.head().status));
      return;
    }
    const bool is_final = parser.is_head_done() && kind == internal::StatusKind::kFinal;
    if (!had_head && parser.is_head_done() && !is_final && exchange->handlers.on_interim) {
      exchange->handlers.on_interim(parser.head());
      if (exchange->is_finished) {
        return;
      }
    }
    if (!had_head && is_final && exchange->handlers.on_head) {
      channel->skips_response = !exchange->handlers.on_head(parser.head());
      channel->must_not_reuse = channel->must_not_reuse || channel->skips_response;
      if (exchange->is_finished) {
        return;
      }
    }
    std::string body = parser.TakeBody();
    if (!is_final || channel->skips_response) {
      channel->skipped_bytes += body.size();
      channel->skipped_responses += status == ParseStatus::kDone ? 1 : 0;
      if (channel->skipped_responses > internal::kMaxSkippedResponses ||
          channel->skipped_bytes > internal::kMaxSkippedBytes) {
        FinishExchange(exchange, ExchangeResult::kBroken,
                       internal::UnboundedResponse("too many responses to other requests"));
        return;
      }
    }
    if (is_final && !channel->skips_response && !body.empty() && exchange->handlers.on_body) {
      exchange->handlers.on_body(std::move(body));
      if (exchange->is_finished) {
        return;
      }
    }
    if (status != ParseStatus::kDone) {
      return;
    }
    if (!is_final || channel->skips_response) {
      // After an interim response, or one to another request, the awaited one is still to come.
      channel->parser.emplace(HttpParser::Kind::kResponse, internal::kMaxHeaderBytes,
                              exchange->call.max_body_bytes);
      channel->skips_response = false;
      continue;
    }
    CompleteExchange(channel);
    return;
  }
}

void HttpClient::CompleteExchange(const ChannelPointer& channel) {
  const ExchangePointer exchange = channel->exchange;
  const HttpHead& head = channel->parser->head();
  // The response arrived before the request was sent whole: the server may take the rest of it for
  // the next request.
  const bool is_request_unfinished = channel->connection->unwritten_bytes() > 0;
  const bool is_reusable = head.keep_alive && head.has_body_length && channel->input.empty() &&
                           !channel->must_not_reuse && !is_request_unfinished &&
                           channel->connection->is_open();
  if (is_reusable) {
    channel->max_idle_time = internal::kDefaultIdleTime;
    if (const auto advertised = internal::ParseKeepAliveTimeout(head)) {
      channel->max_idle_time = std::chrono::milliseconds(static_cast<std::int64_t>(
          static_cast<double>(std::chrono::milliseconds(*advertised).count()) *
          internal::kIdleTimeoutFraction));
    }
    channel->idle_since = BootTime();
    channel->exchange.reset();
    exchange->channel.reset();
    idle_channels_[channel->pool].push_back(channel);
  }
  FinishExchange(exchange, ExchangeResult::kComplete, "");
}

void HttpClient::HandleConnectionEnd(const ChannelPointer& channel,
                                     ConnectionEnd end,
                                     const std::string& reason) {
  const ExchangePointer exchange = channel->exchange;
  if (!exchange) {
    const auto found = idle_channels_.find(channel->pool);
    if (found != idle_channels_.end()) {
      auto& channels = found->second;
      channels.erase(std::remove(channels.begin(), channels.end(), channel), channels.end());
    }
    return;
  }
  HttpParser& parser = *channel->parser;
  if (end == ConnectionEnd::kClosed && parser.is_head_done() && !channel->skips_response &&
      parser.FeedEnd() == ParseStatus::kDone) {
    FinishExchange(exchange, ExchangeResult::kComplete, "");
    return;
  }
  if (channel->connection->written_bytes() == exchange->written_bytes_before) {
    FinishExchange(exchange, ExchangeResult::kUnsent, reason);
    return;
  }
  FinishExchange(
      exchange, ExchangeResult::kBroken,
      end == ConnectionEnd::kTimedOut ? reason : fmt::format("{}: {}", kDisconnected, reason));
}

void HttpClient::FinishExchange(const ExchangePointer& exchange,
                                ExchangeResult result,
                                const std::string& reason) {
  if (exchange->is_finished) {
    return;
  }
  const auto on_end = std::move(exchange->handlers.on_end);
  if (result == ExchangeResult::kComplete && exchange->channel) {
    exchange->channel->exchange.reset();
    exchange->channel->connection->Close();
    exchange->channel.reset();
  }
  Cancel(exchange->key);
  if (on_end) {
    on_end(result, reason);
  }
}

void HttpClient::Cancel(ExchangeKey key) {
  const auto found = exchanges_.find(key);
  if (found == exchanges_.end()) {
    return;
  }
  const ExchangePointer exchange = found->second;
  exchanges_.erase(found);
  exchange->is_finished = true;
  if (exchange->timer) {
    exchange->timer->cancel();
  }
  if (exchange->connecting_socket) {
    boost::system::error_code ignored;
    exchange->connecting_socket->close(ignored);
    exchange->connecting_socket.reset();
  }
  if (exchange->channel) {
    exchange->channel->exchange.reset();
    // A request that a cut holds up must not arrive after its exchange has ended.
    exchange->channel->connection->Reset();
    exchange->channel.reset();
  }
}

bool HttpClient::IsFirstOnConnection(ExchangeKey key) const {
  const auto found = exchanges_.find(key);
  return found != exchanges_.end() && found->second->channel &&
         found->second->channel->history.calls == 1;
}

int HttpClient::CountEarlierCallsWithoutId(ExchangeKey key) const {
  const auto found = exchanges_.find(key);
  if (found == exchanges_.end() || !found->second->channel) {
    return 0;
  }
  const Exchange& exchange = *found->second;
  return exchange.channel->history.calls_without_id - (IsWithoutId(exchange.call.match) ? 1 : 0);
}

void HttpClient::PreventReuse(ExchangeKey key) {
  const auto found = exchanges_.find(key);
  if (found != exchanges_.end() && found->second->channel) {
    found->second->channel->must_not_reuse = true;
  }
}

void HttpClient::SetReading(ExchangeKey key, bool is_reading) {
  const auto found = exchanges_.find(key);
  if (found != exchanges_.end() && found->second->channel) {
    found->second->channel->connection->SetReading(is_reading);
  }
}

void HttpClient::CloseIdleConnections(const std::string& pool) {
  const auto found = idle_channels_.find(pool);
  if (found == idle_channels_.end()) {
    return;
  }
  for (const ChannelPointer& channel : found->second) {
    channel->connection->Close();
  }
  idle_channels_.erase(found);
}

std::size_t HttpClient::CountConnections() const {
  std::size_t connections = exchanges_.size();
  for (const auto& [pool, channels] : idle_channels_) {
    connections += channels.size();
  }
  return connections;
}

void HttpClient::CheckConnections() {
  const auto now = BootTime();
  for (const auto& [key, exchange] : exchanges_) {
    if (exchange->channel) {
      exchange->channel->connection->CheckAcknowledgements(now);
    }
  }
  for (auto pool = idle_channels_.begin(); pool != idle_channels_.end();) {
    auto& channels = pool->second;
    channels.erase(std::remove_if(channels.begin(), channels.end(),
                                  [now](const ChannelPointer& channel) {
                                    if (channel->connection->is_open() &&
                                        now - channel->idle_since < channel->max_idle_time) {
                                      return false;
                                    }
                                    channel->connection->Close();
                                    return true;
                                  }),
                   channels.end());
    pool = channels.empty() ? idle_channels_.erase(pool) : std::next(pool);
  }
}

}  // namespace snipeturn::loop
