#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "snipeturn/reducer/caller.h"
#include "snipeturn/transport/http_server.h"

namespace snipeturn {

/// Limits of the channel to one caller.
struct ChannelBounds {
  /// Maximum number of bytes buffered for a slow caller.
  std::size_t max_buffer{std::size_t{1} << 20U};
  /// Time without data after which an SSE comment is sent, so that a closed connection is
  /// detected.
  std::chrono::milliseconds comment_interval{1000};
};

/// Passes a response from the reducer's thread to the thread of the caller's connection.
/// Thread-safe.
class CallerChannel {
 public:
  /// @brief Creates a channel.
  /// @param bounds Buffer size and comment interval.
  /// @param is_stream Whether the caller requested a streamed response.
  CallerChannel(const ChannelBounds& bounds, bool is_stream)
      : bounds_(bounds), is_stream_(is_stream) {}

  // Called by the reducer's thread.

  /// @brief Appends a token event to the stream.
  /// @param bytes The encoded event.
  /// @param overflow_end Bytes appended in its place, to end the stream, when the buffer is full.
  /// @return False when this token did not fit, which ends the stream.
  [[nodiscard]] bool PushToken(const std::string& bytes, const std::string& overflow_end);

  /// Appends the final bytes of a stream and ends it; the stream may hold no token.
  void EndStream(const std::string& bytes);

  /// Sets a complete, non-streamed response. Ignored once the stream has begun or ended.
  void Respond(ServerResponse response);

  [[nodiscard]] bool is_stream() const noexcept { return is_stream_; }

  /// @return True once the stream has data, after which the HTTP status can't change.
  [[nodiscard]] bool has_begun() const;

  /// @return True once the reducer has completed the response.
  [[nodiscard]] bool has_ended() const;

  // Called by the connection's thread.

  /// @brief Waits for a complete response or for the start of a stream.
  /// @param timeout Maximum time to wait.
  /// @return The complete response, or nothing when the response is a stream or the wait timed
  /// out; has_begun() distinguishes the two.
  [[nodiscard]] std::optional<ServerResponse> AwaitResponse(std::chrono::milliseconds timeout);

  /// @brief Waits for data of the stream; returns an SSE comment after the comment interval.
  /// @param buffer Receives the data.
  /// @param size Size of the buffer in bytes.
  /// @return The number of bytes written, or nothing at the end of the stream.
  [[nodiscard]] std::optional<std::size_t> Read(char* buffer, std::size_t size);

 private:
  ChannelBounds bounds_;
  bool is_stream_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<ServerResponse> response_;
  std::string buffer_;
  bool has_begun_{false};
  bool has_ended_{false};
};

/// Response body that reads from a channel and reports when the connection no longer needs it.
class ChannelSource : public BodySource {
 public:
  /// @brief Creates a source.
  /// @param channel The channel to read.
  /// @param on_close Called by the destructor, after the whole body was sent or the connection
  /// was closed.
  ChannelSource(std::shared_ptr<CallerChannel> channel, std::function<void()> on_close);
  ~ChannelSource() override;

  std::optional<std::size_t> Read(char* buffer, std::size_t size) override;

 private:
  std::shared_ptr<CallerChannel> channel_;
  std::function<void()> on_close_;
};

/// Open channels by request ID. Thread-safe.
class ChannelRegistry {
 public:
  /// @brief Adds a channel.
  /// @return False when the registry is closed.
  [[nodiscard]] bool Add(RequestId id, std::shared_ptr<CallerChannel> channel);
  [[nodiscard]] std::shared_ptr<CallerChannel> Find(RequestId id) const;
  void Remove(RequestId id);

  /// Completes all open channels with a response from `make_response` and rejects new channels;
  /// used at shutdown.
  void Close(const std::function<ServerResponse()>& make_response);

 private:
  mutable std::mutex mutex_;
  std::map<RequestId, std::shared_ptr<CallerChannel>> channels_;
  bool is_closed_{false};
};

}  // namespace snipeturn
