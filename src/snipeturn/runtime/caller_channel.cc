#include "snipeturn/runtime/caller_channel.h"

#include <algorithm>
#include <cstring>
#include <string_view>
#include <utility>

namespace snipeturn {
namespace internal {
namespace {

constexpr std::string_view kComment = ":\n\n";

}  // namespace
}  // namespace internal

bool CallerChannel::PushToken(const std::string& bytes, const std::string& overflow_end) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (has_ended_) {
    return true;
  }
  has_begun_ = true;
  const bool has_room = buffer_.size() + bytes.size() <= bounds_.max_buffer;
  buffer_ += has_room ? bytes : overflow_end;
  has_ended_ = !has_room;
  changed_.notify_all();
  return has_room;
}

void CallerChannel::EndStream(const std::string& bytes) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!has_ended_) {
    buffer_ += bytes;
    has_begun_ = true;
    has_ended_ = true;
    changed_.notify_all();
  }
}

void CallerChannel::Respond(ServerResponse response) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!has_ended_ && !has_begun_) {
    response_ = std::move(response);
    has_ended_ = true;
    changed_.notify_all();
  }
}

bool CallerChannel::has_begun() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return has_begun_;
}

bool CallerChannel::has_ended() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return has_ended_;
}

std::optional<ServerResponse> CallerChannel::AwaitResponse(std::chrono::milliseconds timeout) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, timeout, [this] { return has_begun_ || has_ended_; });
  return std::exchange(response_, std::nullopt);
}

std::optional<std::size_t> CallerChannel::Read(char* buffer, std::size_t size) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, bounds_.comment_interval,
                    [this] { return has_ended_ || !buffer_.empty(); });
  if (buffer_.empty() && has_ended_) {
    return std::nullopt;
  }
  if (buffer_.empty()) {
    buffer_ = internal::kComment;
  }
  const std::size_t count = std::min(size, buffer_.size());
  std::memcpy(buffer, buffer_.data(), count);
  buffer_.erase(0, count);
  return count;
}

ChannelSource::ChannelSource(std::shared_ptr<CallerChannel> channel, std::function<void()> on_close)
    : channel_(std::move(channel)), on_close_(std::move(on_close)) {}

ChannelSource::~ChannelSource() {
  on_close_();
}

std::optional<std::size_t> ChannelSource::Read(char* buffer, std::size_t size) {
  return channel_->Read(buffer, size);
}

bool ChannelRegistry::Add(RequestId id, std::shared_ptr<CallerChannel> channel) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!is_closed_) {
    channels_[id] = std::move(channel);
  }
  return !is_closed_;
}

std::shared_ptr<CallerChannel> ChannelRegistry::Find(RequestId id) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = channels_.find(id);
  return found == channels_.end() ? nullptr : found->second;
}

void ChannelRegistry::Remove(RequestId id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  channels_.erase(id);
}

void ChannelRegistry::Close(const std::function<ServerResponse()>& make_response) {
  const std::lock_guard<std::mutex> lock(mutex_);
  is_closed_ = true;
  for (const auto& entry : channels_) {
    entry.second->Respond(make_response());
  }
}

}  // namespace snipeturn
