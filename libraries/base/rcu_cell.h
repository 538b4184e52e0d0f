// A single published value that many threads read without locking, by
// read-copy-update. Readers take a shared handle, so a request keeps the
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
      : slot_(new Handle(std::move(initial))) {}
  ~RcuCell() { delete slot_; }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  // Returns the current version; wait-free for any number of readers.
  std::shared_ptr<const T> Read() const {
    urcu_bp_read_lock();
    Handle copy = *rcu_dereference(slot_);
    urcu_bp_read_unlock();
    return copy;
  }

  // Publishes a new version, and waits until no reader can see the old
  // handle's storage before it is freed.
  void Publish(std::shared_ptr<const T> next) {
    const std::lock_guard lock(writers_);
    Handle* fresh = new Handle(std::move(next));
    Handle* old = slot_;
    rcu_assign_pointer(slot_, fresh);
    urcu_bp_synchronize_rcu();
    delete old;
  }

 private:
  using Handle = std::shared_ptr<const T>;

  // Never null. Written only under `writers_`.
  Handle* slot_;
  std::mutex writers_;
};

}  // namespace balsam
