// A value that many threads read without locking, published by
// read-copy-update. Readers get a shared pointer, so a request keeps the
// version that admitted it for as long as it runs.
#pragma once

#include <urcu/urcu-bp.h>

#include <memory>
#include <mutex>
#include <utility>

namespace balsam {

template <typename T>
class RcuCell {
 public:
  explicit RcuCell(std::shared_ptr<const T> initial)
      : current_(new Handle(std::move(initial))) {}
  ~RcuCell() { delete current_; }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  // Returns the current version; wait-free.
  std::shared_ptr<const T> Read() const {
    urcu_bp_read_lock();
    Handle copy = *rcu_dereference(current_);
    urcu_bp_read_unlock();
    return copy;
  }

  // Publishes a new version. Blocks until no reader accesses the previous
  // handle any more, and frees it.
  void Publish(std::shared_ptr<const T> value) {
    const std::lock_guard lock(writer_mutex_);
    Handle* replacement = new Handle(std::move(value));
    Handle* previous = current_;
    rcu_assign_pointer(current_, replacement);
    urcu_bp_synchronize_rcu();
    delete previous;
  }

 private:
  using Handle = std::shared_ptr<const T>;

  // Never null. Written only under `writer_mutex_`.
  Handle* current_;
  std::mutex writer_mutex_;
};

}  // namespace balsam
