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

/// Largest head of an answer, and most bytes of a chunk's head or of trailers: heads are some KB.
constexpr std::size_t kMaxHeaderBytes = 32768;
/// Answers before the own one, interim ones and those to other requests, that one exchange skips: a
/// server in trouble sends one or two.
constexpr int kMostSkipped = 8;
/// Largest body of an answer that is skipped; answers of services are some KB.
constexpr std::uint64_t kMaxSkippedBytes = 1ULL << 20U;
/// Idle time of a connection whose other end names none.
constexpr std::chrono::seconds kDefaultIdle{10};
/// Share of the named idle time that is used, so that no request meets the other end's close.
constexpr double kIdleShare = 0.7;

/// Reads "timeout=N" of a Keep-Alive field.
std::optional<std::chrono::seconds> KeepAliveTime(const HttpHead& head) {
  const std::string* field = FindField(head, "Keep-Alive");
  if (field == nullptr) {
    return std::nullopt;
  }
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = field->find(kName);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const char* begin = field->data() + at + kName.size();
  const auto result = std::from_chars(begin, field->data() + field->size(), seconds);
  if (result.ec != std::errc{} || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

std::string Endless(std::string_view what) {
  return fmt::format("{}: {}", kEndlessAnswer, what);
}

}  // namespace
}  // namespace internal

struct HttpClient::Link {
  std::string pool;
  std::shared_ptr<Connection> connection;
  std::string input;
  std::optional<HttpParser> parser;
  ExchangePointer exchange;
  /// The answer under way belongs to another request.
  bool skips_answer{false};
  /// Answers that this exchange has skipped, and bytes of the one that it skips now.
  int skipped{0};
  std::uint64_t skipped_bytes{0};
  /// Bytes came that belong to no answer, so the connection ends after this exchange.
  bool is_tainted{false};
  TimePoint idle_since{};
  std::chrono::milliseconds idle_limit{internal::kDefaultIdle};
};

struct HttpClient::Exchange {
  ExchangeKey key{0};
  HttpCall call;
  ExchangeHandlers handlers;
  LinkPointer link;
  std::shared_ptr<Connection::Socket> connecting;
  std::unique_ptr<boost::asio::steady_timer> timer;
  std::uint64_t written_before{0};
  bool is_over{false};
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
    if (!exchange->is_over) {
      Begin(exchange);
    }
  });
  return exchange->key;
}

void HttpClient::Begin(const ExchangePointer& exchange) {
  if (exchange->call.timeout.count() > 0) {
    exchange->timer = std::make_unique<boost::asio::steady_timer>(context_);
    exchange->timer->expires_after(exchange->call.timeout);
    exchange->timer->async_wait([this, exchange](const boost::system::error_code& error) {
      if (!error && !exchange->is_over) {
        const bool is_sent = exchange->link != nullptr;
        Finish(exchange, is_sent ? ExchangeResult::kBroken : ExchangeResult::kUnsent, "timeout");
      }
    });
  }
  if (LinkPointer link = TakeIdle(exchange->call)) {
    Attach(exchange, link);
    return;
  }
  Connect(exchange);
}

HttpClient::LinkPointer HttpClient::TakeIdle(const HttpCall& call) {
  const auto found = idle_.find(call.pool);
  if (found == idle_.end()) {
    return nullptr;
  }
  const auto now = BootTime();
  std::vector<LinkPointer>& links = found->second;
  while (!links.empty()) {
    LinkPointer link = links.back();
    const auto idle = now - link->idle_since;
    if (link->connection->is_open() && idle < link->idle_limit) {
      if (idle > call.max_idle) {
        return nullptr;  // All others have been idle for longer.
      }
      links.pop_back();
      return link;
    }
    links.pop_back();
    link->connection->Close();
  }
  return nullptr;
}

void HttpClient::Connect(const ExchangePointer& exchange) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(exchange->call.endpoint.address, error);
  if (error) {
    Finish(exchange, ExchangeResult::kUnsent, "bad address");
    return;
  }
  auto socket = std::make_shared<Connection::Socket>(context_);
  auto timer = std::make_shared<boost::asio::steady_timer>(context_);
  exchange->connecting = socket;
  timer->expires_after(exchange->call.connect_timeout);
  timer->async_wait([this, exchange, socket](const boost::system::error_code& timer_error) {
    if (!timer_error && !exchange->is_over && exchange->connecting == socket) {
      Finish(exchange, ExchangeResult::kUnsent, "connect timeout");
    }
  });
  const boost::asio::ip::tcp::endpoint endpoint(
      address, static_cast<std::uint16_t>(exchange->call.endpoint.port));
  socket->async_connect(
      endpoint, [this, exchange, socket, timer](const boost::system::error_code& connect_error) {
        timer->cancel();
        if (exchange->is_over) {
          return;
        }
        exchange->connecting.reset();
        if (connect_error) {
          Finish(exchange, ExchangeResult::kUnsent, connect_error.message());
          return;
        }
        ++opened_;
        auto link = std::make_shared<Link>();
        link->pool = exchange->call.pool;
        link->connection = std::make_shared<Connection>(std::move(*socket));
        Connection::Handlers handlers;
        handlers.on_bytes = [this, weak = std::weak_ptr<Link>(link)](std::string_view bytes) {
          if (const LinkPointer held = weak.lock()) {
            TakeBytes(held, bytes);
          }
        };
        handlers.on_end = [this, weak = std::weak_ptr<Link>(link)](ConnectionEnd end,
                                                                   const std::string& reason) {
          if (const LinkPointer held = weak.lock()) {
            TakeEnd(held, end, reason);
          }
        };
        link->connection->Start(std::move(handlers));
        Attach(exchange, link);
      });
}

void HttpClient::Attach(const ExchangePointer& exchange, const LinkPointer& link) {
  exchange->link = link;
  link->exchange = exchange;
  link->parser.emplace(HttpParser::Kind::kAnswer, internal::kMaxHeaderBytes,
                       exchange->call.max_body_bytes);
  link->skips_answer = false;
  link->skipped = 0;
  link->skipped_bytes = 0;
  exchange->written_before = link->connection->written_bytes();
  link->connection->Write(exchange->call.bytes);
  exchange->call.bytes.clear();
  exchange->call.bytes.shrink_to_fit();
}

void HttpClient::TakeBytes(const LinkPointer& link, std::string_view bytes) {
  if (!link->exchange) {
    // Bytes on an idle connection belong to no request.
    link->connection->Close();
    return;
  }
  link->input.append(bytes.data(), bytes.size());
  while (link->exchange && !link->input.empty()) {
    HttpParser& parser = *link->parser;
    const bool had_head = parser.is_head_done();
    const ParseStatus status = parser.Feed(link->input);
    const ExchangePointer exchange = link->exchange;
    if (status == ParseStatus::kHeaderTooLarge || status == ParseStatus::kBodyTooLarge) {
      Finish(exchange, ExchangeResult::kBroken, internal::Endless("head or body too large"));
      return;
    }
    if (status == ParseStatus::kMalformed) {
      Finish(exchange, ExchangeResult::kBroken, "answer can't be read");
      return;
    }
    // What the parser leaves is part of a head, of a chunk's head or of trailers.
    if (status == ParseStatus::kNeedMore && link->input.size() > internal::kMaxHeaderBytes) {
      Finish(exchange, ExchangeResult::kBroken,
             internal::Endless("chunk's head or trailers too large"));
      return;
    }
    constexpr int kFirstFinalStatus = 200;
    const bool is_final = parser.is_head_done() && parser.head().status >= kFirstFinalStatus;
    if (!had_head && is_final && exchange->handlers.on_head) {
      link->skips_answer = !exchange->handlers.on_head(parser.head());
      link->is_tainted = link->is_tainted || link->skips_answer;
      if (exchange->is_over) {
        return;
      }
    }
    std::string body = parser.TakeBody();
    if (!is_final || link->skips_answer) {
      link->skipped_bytes += body.size();
      link->skipped += status == ParseStatus::kDone ? 1 : 0;
      if (link->skipped > internal::kMostSkipped ||
          link->skipped_bytes > internal::kMaxSkippedBytes) {
        Finish(exchange, ExchangeResult::kBroken, internal::Endless("answers to no request"));
        return;
      }
    }
    if (is_final && !link->skips_answer && !body.empty() && exchange->handlers.on_body) {
      exchange->handlers.on_body(std::move(body));
      if (exchange->is_over) {
        return;
      }
    }
    if (status != ParseStatus::kDone) {
      return;
    }
    if (!is_final || link->skips_answer) {
      // An interim answer, or one to another request: the own one is still to come.
      link->parser.emplace(HttpParser::Kind::kAnswer, internal::kMaxHeaderBytes,
                           exchange->call.max_body_bytes);
      link->skips_answer = false;
      continue;
    }
    Complete(link);
    return;
  }
}

void HttpClient::Complete(const LinkPointer& link) {
  const ExchangePointer exchange = link->exchange;
  const HttpHead& head = link->parser->head();
  // An answer before the whole request was read: what the other end reads next is unclear.
  const bool is_early = link->connection->unwritten_bytes() > 0;
  const bool is_reusable = head.keep_alive && head.has_body_length && link->input.empty() &&
                           !link->is_tainted && !is_early && link->connection->is_open();
  if (is_reusable) {
    link->idle_limit = internal::kDefaultIdle;
    if (const auto named = internal::KeepAliveTime(head)) {
      link->idle_limit = std::chrono::milliseconds(static_cast<std::int64_t>(
          static_cast<double>(std::chrono::milliseconds(*named).count()) * internal::kIdleShare));
    }
    link->idle_since = BootTime();
    link->exchange.reset();
    exchange->link.reset();
    idle_[link->pool].push_back(link);
  }
  Finish(exchange, ExchangeResult::kComplete, "");
}

void HttpClient::TakeEnd(const LinkPointer& link, ConnectionEnd end, const std::string& reason) {
  const ExchangePointer exchange = link->exchange;
  if (!exchange) {
    const auto found = idle_.find(link->pool);
    if (found != idle_.end()) {
      auto& links = found->second;
      links.erase(std::remove(links.begin(), links.end(), link), links.end());
    }
    return;
  }
  HttpParser& parser = *link->parser;
  if (end == ConnectionEnd::kClosed && parser.is_head_done() && !link->skips_answer &&
      parser.FeedEnd() == ParseStatus::kDone) {
    Finish(exchange, ExchangeResult::kComplete, "");
    return;
  }
  const bool is_unsent = link->connection->written_bytes() == exchange->written_before;
  Finish(exchange, is_unsent ? ExchangeResult::kUnsent : ExchangeResult::kBroken, reason);
}

void HttpClient::Finish(const ExchangePointer& exchange,
                        ExchangeResult result,
                        const std::string& reason) {
  if (exchange->is_over) {
    return;
  }
  const auto on_end = std::move(exchange->handlers.on_end);
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
  exchange->is_over = true;
  if (exchange->timer) {
    exchange->timer->cancel();
  }
  if (exchange->connecting) {
    boost::system::error_code ignored;
    exchange->connecting->close(ignored);
    exchange->connecting.reset();
  }
  if (exchange->link) {
    exchange->link->exchange.reset();
    exchange->link->connection->Close();
    exchange->link.reset();
  }
}

void HttpClient::SetReading(ExchangeKey key, bool is_reading) {
  const auto found = exchanges_.find(key);
  if (found != exchanges_.end() && found->second->link) {
    found->second->link->connection->SetReading(is_reading);
  }
}

void HttpClient::ForgetPool(const std::string& pool) {
  const auto found = idle_.find(pool);
  if (found == idle_.end()) {
    return;
  }
  for (const LinkPointer& link : found->second) {
    link->connection->Close();
  }
  idle_.erase(found);
}

void HttpClient::CloseIdle() {
  const auto now = BootTime();
  for (auto pool = idle_.begin(); pool != idle_.end();) {
    auto& links = pool->second;
    links.erase(std::remove_if(links.begin(), links.end(),
                               [now](const LinkPointer& link) {
                                 if (link->connection->is_open() &&
                                     now - link->idle_since < link->idle_limit) {
                                   return false;
                                 }
                                 link->connection->Close();
                                 return true;
                               }),
                links.end());
    pool = links.empty() ? idle_.erase(pool) : std::next(pool);
  }
}

}  // namespace snipeturn::loop
