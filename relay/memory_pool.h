// A part of the process's memory, and what is reserved of it.
#pragma once

#include <cstddef>
#include <limits>
#include <memory>
#include <utility>

namespace turntally::relay {

// Counts the bytes that one use holds against its limit. Used on the event loop's thread only.
class MemoryPool {
 public:
  static constexpr size_t kUnlimited = std::numeric_limits<size_t>::max();

  explicit MemoryPool(size_t limit = kUnlimited) : limit_(limit) {}

  size_t used() const { return used_; }
  size_t limit() const { return limit_; }
  void set_limit(size_t limit) { limit_ = limit; }  // what is reserved stays, also above the limit
  bool has_room(size_t bytes) const { return used_ <= limit_ && bytes <= limit_ - used_; }

 private:
  friend class MemoryReservation;

  size_t limit_;
  size_t used_ = 0;
};

// Bytes reserved in a pool, given back at the end of its life.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  explicit MemoryReservation(std::shared_ptr<MemoryPool> pool) : pool_(std::move(pool)) {}
  MemoryReservation(MemoryReservation&& other) noexcept
      : pool_(std::move(other.pool_)), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryReservation& operator=(MemoryReservation&& other) noexcept {
    std::swap(pool_, other.pool_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }
  ~MemoryReservation() { release(); }

  size_t bytes() const { return bytes_; }

  // Reserves more bytes. Returns false, and reserves nothing, if the pool has no room for them.
  bool try_add(size_t bytes) {
    if (!pool_->has_room(bytes)) return false;
    add(bytes);
    return true;
  }
  // Reserves more bytes, above the limit if need be: for what the process must keep.
  void add(size_t bytes) {
    pool_->used_ += bytes;
    bytes_ += bytes;
  }
  void release() {
    if (pool_) pool_->used_ -= std::exchange(bytes_, 0);
  }

 private:
  std::shared_ptr<MemoryPool> pool_;
  size_t bytes_ = 0;
};

}  // namespace turntally::relay
