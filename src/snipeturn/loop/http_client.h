#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "snipeturn/base/host.h"
#include "snipeturn/loop/connection.h"
#include "snipeturn/loop/http_parser.h"
#include "snipeturn/loop/response_match.h"

namespace snipeturn::loop {

enum class ExchangeResult : std::uint8_t {
  /// A complete response has been received.
  kComplete,
  /// No byte of the request left this host.
  kUnsent,
  /// As `kUnsent`, since the server's host refused the connection.
  kConnectionRefused,
  /// As `kUnsent`, since the attempt to connect got no response.
  kUnreachable,
  /// At least a part was sent, and no complete response was received.
  kBroken,
};

/// @brief Tells whether no byte of an exchange's request left this host.
[[nodiscard]] constexpr bool IsUnsent(ExchangeResult result) noexcept {
  return result == ExchangeResult::kUnsent || result == ExchangeResult::kConnectionRefused ||
         result == ExchangeResult::kUnreachable;
}

/// Prefix of the reason with which an exchange ends whose response exceeds a size limit.
inline constexpr std::string_view kUnboundedResponse = "unbounded response";

/// Prefix of the reason with which an exchange ends whose server closed or reset the connection
/// before the end of its response.
inline constexpr std::string_view kDisconnected = "disconnected";

/// A request to another process.
struct HttpCall {
  /// Calls of the same pool share connections; each instance of an upstream has its own pool.
  std::string pool;
  Endpoint endpoint;
  /// The encoded request.
  std::string bytes;
  std::chrono::milliseconds connect_timeout{300};
  /// Limit on the total duration of the call; zero means none.
  std::chrono::milliseconds timeout{0};
  /// Connections that were idle for longer aren't reused.
  std::chrono::milliseconds max_idle{60000};
  /// The call must not use a connection that is already open.
  bool needs_new_connection{false};
  /// What identifies the response; selects the connections that the call may use.
  ResponseMatch match{ResponseMatch::kConnection};
  /// Largest body of the response.
  std::uint64_t max_body_bytes{64ULL << 20U};
};

/// Callbacks of an exchange; only `on_end` is required.
struct ExchangeHandlers {
  /// Returns false for a response to another request, which is skipped.
  std::function<bool(const HttpHead&)> on_head;
  /// Called for the head of each interim response.
  std::function<void(const HttpHead&)> on_interim;
  std::function<void(std::string&& bytes)> on_body;
  /// All bytes of the request were written, and their memory was given back.
  std::function<void()> on_sent;
  std::function<void(ExchangeResult, const std::string& reason)> on_end;
};

/// HTTP/1.1 client with pools of persistent connections, one request at a time on each.
class HttpClient {
 public:
  using ExchangeKey = std::uint64_t;

  explicit HttpClient(boost::asio::io_context& context);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /// @brief Starts an exchange. Handlers are called from the event loop, never from within this
  ///     call.
  /// @return Key of the exchange for Cancel and SetReading.
  ExchangeKey Start(HttpCall call, ExchangeHandlers handlers);

  /// @brief Ends an exchange and resets its connection, so that what hasn't arrived never does; its
  ///     handlers aren't called afterwards.
  void Cancel(ExchangeKey key);

  /// @brief Tells whether an exchange is the first one on its connection, so that a response on it
  ///     can't belong to another request.
  [[nodiscard]] bool IsFirstOnConnection(ExchangeKey key) const;

  /// @return Earlier calls on the connection of an exchange whose responses carry no id, and may
  ///     come again before the response to this one.
  [[nodiscard]] int CountEarlierCallsWithoutId(ExchangeKey key) const;

  /// @brief Closes the connection of an exchange when that ends, as its response could come again
  ///     and not be recognised.
  void PreventReuse(ExchangeKey key);

  /// @brief Pauses or resumes reading the response, for back pressure.
  void SetReading(ExchangeKey key, bool is_reading);

  /// @brief Closes the idle connections of a pool.
  void CloseIdleConnections(const std::string& pool);

  /// @brief Closes connections whose idle time has reached their server's timeout, and keeps a
  ///     server that reads slowly from being taken for unreachable. To be called several times a
  ///     second.
  void CheckConnections();

  /// @return Connections that are open or being opened.
  [[nodiscard]] std::size_t CountConnections() const;

  /// @return Connections opened so far.
  [[nodiscard]] std::uint64_t opened_connections() const noexcept { return opened_connections_; }

 private:
  struct Channel;
  struct Exchange;
  using ChannelPointer = std::shared_ptr<Channel>;
  using ExchangePointer = std::shared_ptr<Exchange>;

  void BeginExchange(const ExchangePointer& exchange);
  void Connect(const ExchangePointer& exchange);
  void SendRequest(const ExchangePointer& exchange, const ChannelPointer& channel);
  void HandleBytes(const ChannelPointer& channel, std::string_view bytes);
  void HandleConnectionEnd(const ChannelPointer& channel,
                           ConnectionEnd end,
                           const std::string& reason);
  void CompleteExchange(const ChannelPointer& channel);
  void FinishExchange(const ExchangePointer& exchange,
                      ExchangeResult result,
                      const std::string& reason);
  ChannelPointer AcquireIdleChannel(const HttpCall& call);

  boost::asio::io_context& context_;
  std::map<ExchangeKey, ExchangePointer> exchanges_;
  std::map<std::string, std::vector<ChannelPointer>> idle_channels_;
  ExchangeKey next_key_{1};
  std::uint64_t opened_connections_{0};
};

}  // namespace snipeturn::loop
