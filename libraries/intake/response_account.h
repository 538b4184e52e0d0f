// Bounds the memory of responses that are held back until they are complete,
// over all requests of a process: servers in trouble may send without end to
// many requests at once. Small responses are never affected.
#pragma once

#include <cstddef>
#include <utility>

namespace balsam::intake {

class ResponseAccount {
 public:
  // A response may hold this much at any time, in bytes.
  static constexpr std::size_t kSmallBytes = 16 << 10;

  explicit ResponseAccount(std::size_t limit) : limit_(limit) {}

  // Sets how much responses may hold together, in bytes, besides small ones.
  void SetLimit(std::size_t limit) { limit_ = limit; }
  std::size_t bytes() const { return bytes_; }

  // An eighth of the machine's memory: a quarter is for requests, and the rest
  // for the process, what is being sent, and the allocator.
  static constexpr std::size_t LimitForMachine(std::size_t memory_bytes) {
    return memory_bytes / 8;
  }

 private:
  friend class ResponseHolding;

  std::size_t limit_;
  // Sum of all holdings.
  std::size_t bytes_ = 0;
};

// What one response holds. Leaves the account, which must outlive it, when it
// is destroyed.
class ResponseHolding {
 public:
  // Holds nothing, and cannot be resized.
  ResponseHolding() = default;
  explicit ResponseHolding(ResponseAccount& account) : account_(&account) {}
  ~ResponseHolding() { Resize(0); }
  ResponseHolding(ResponseHolding&& other) noexcept
      : account_(std::exchange(other.account_, nullptr)),
        bytes_(std::exchange(other.bytes_, 0)) {}
  ResponseHolding& operator=(ResponseHolding&& other) noexcept {
    std::swap(account_, other.account_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }

  // Sets how much the response holds. Returns false if that is more than there
  // is memory for, so that the response must be given up or passed on.
  bool Resize(std::size_t bytes) {
    if (account_ == nullptr) return bytes == 0;
    account_->bytes_ += bytes;
    account_->bytes_ -= std::exchange(bytes_, bytes);
    return bytes <= ResponseAccount::kSmallBytes ||
           account_->bytes_ <= account_->limit_;
  }

 private:
  ResponseAccount* account_ = nullptr;
  std::size_t bytes_ = 0;
};

}  // namespace balsam::intake
