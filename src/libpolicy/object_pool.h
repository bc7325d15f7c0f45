#pragma once

#include <deque>
#include <vector>

namespace mulberry {

/// Pool of reusable objects with stable addresses. A steady load causes no allocations. Not thread
/// safe.
template <class T>
class ObjectPool {
 public:
  /// Returns a released object, in the state in which it was released, or a new one.
  T* Acquire() {
    if (free_.empty()) return &objects_.emplace_back();
    T* object = free_.back();
    free_.pop_back();
    return object;
  }
  /// Returns an object to the pool. Precondition: it came from Acquire of this pool.
  void Release(T* object) { free_.push_back(object); }

 private:
  std::deque<T> objects_;
  std::vector<T*> free_;
};

}  // namespace mulberry
