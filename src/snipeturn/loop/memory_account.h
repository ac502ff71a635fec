#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace snipeturn::loop {

/// Bytes that the buffers of one kind hold together.
struct MemoryAccount {
  std::size_t limit{0};
  std::size_t used{0};

  /// @brief Tells whether a buffer may take more. One that is alone always may.
  /// @param bytes Bytes beyond those that are used.
  [[nodiscard]] constexpr bool HasRoomFor(std::size_t bytes) const noexcept {
    return used == 0 || used + bytes <= limit;
  }
  [[nodiscard]] constexpr bool is_exceeded() const noexcept { return used > limit; }
  /// @return Bytes beyond the limit that small buffers may use while large ones wait.
  [[nodiscard]] constexpr std::size_t overdraft() const noexcept {
    return limit / kOverdraftDivisor;
  }

  static constexpr std::size_t kOverdraftDivisor = 4;
};

/// What one buffer takes of an account, until the share ends. Without an account it counts nothing.
class MemoryShare {
 public:
  MemoryShare() noexcept = default;
  explicit MemoryShare(std::shared_ptr<MemoryAccount> account) noexcept
      : account_(std::move(account)) {}
  MemoryShare(const MemoryShare&) = delete;
  MemoryShare& operator=(const MemoryShare&) = delete;
  MemoryShare(MemoryShare&& other) noexcept
      : account_(std::move(other.account_)), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryShare& operator=(MemoryShare&& other) noexcept {
    if (this != &other) {
      Set(0);
      account_ = std::move(other.account_);
      bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
  }
  ~MemoryShare() { Set(0); }

  /// @brief Sets the size of the buffer.
  void Set(std::size_t bytes) noexcept {
    if (account_) {
      account_->used = account_->used - bytes_ + bytes;
      bytes_ = bytes;
    }
  }

  /// @brief Sets the size of the buffer if all together have room for it.
  /// @param bytes The size.
  /// @param overdraft Bytes beyond the limit that this buffer may use.
  /// @return False if nothing was set: there is no room, and the buffer isn't alone.
  [[nodiscard]] bool TrySet(std::size_t bytes, std::size_t overdraft = 0) noexcept {
    if (account_ && bytes > bytes_ && account_->used > bytes_ &&
        account_->used - bytes_ + bytes > account_->limit + overdraft) {
      return false;
    }
    Set(bytes);
    return true;
  }

  [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }
  /// @return Bytes beyond the limit of the account that a small buffer may use.
  [[nodiscard]] std::size_t overdraft() const noexcept {
    return account_ ? account_->overdraft() : 0;
  }
  [[nodiscard]] const MemoryAccount* account() const noexcept { return account_.get(); }

 private:
  std::shared_ptr<MemoryAccount> account_;
  std::size_t bytes_{0};
};

}  // namespace snipeturn::loop
