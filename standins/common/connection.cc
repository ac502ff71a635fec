#include "standins/common/connection.h"

#include <poll.h>
#include <sys/socket.h>

#include <thread>

namespace snipeturn::standin {

Connection::Connection(int socket) noexcept : socket_{socket} {}

void Connection::Cut() noexcept {
  const std::lock_guard lock{mutex_};
  if (!closed_) {
    shutdown(socket_, SHUT_RDWR);
    closed_ = true;
  }
}

void Connection::Silence() noexcept {
  silent_ = true;
}

void Connection::Stall(std::chrono::milliseconds time) noexcept {
  stalled_until_ = (Clock::now() + time).time_since_epoch().count();
}

void Connection::MarkClosed() noexcept {
  const std::lock_guard lock{mutex_};
  closed_ = true;
}

bool Connection::WaitUntilWritable() const {
  constexpr std::chrono::milliseconds kCheckInterval{5};
  while (silent_ || Clock::now().time_since_epoch().count() < stalled_until_) {
    if (!is_open()) {
      return false;
    }
    std::this_thread::sleep_for(kCheckInterval);
  }
  return is_open();
}

bool Connection::is_open() const noexcept {
  const std::lock_guard lock{mutex_};
  if (closed_) {
    return false;
  }
  pollfd state{socket_, POLLRDHUP, 0};
  return poll(&state, 1, 0) == 0;
}

}  // namespace snipeturn::standin
