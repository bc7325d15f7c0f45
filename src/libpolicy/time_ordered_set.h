#pragma once

#include <absl/container/btree_set.h>

#include <cstdint>
#include <tuple>

#include "libbase/units.h"

namespace mulberry {

/// Set of items ordered by time, then by id. Does not own the items. The order does not depend on
/// addresses, so runs with the same seed are identical. Not thread safe.
template <class T>
class TimeOrderedSet {
 public:
  /// Adds an item. Precondition: (at, id) is not in the set.
  void Add(TimePoint at, std::uint64_t id, T* item) { set_.insert({at, id, item}); }
  /// Removes an item; does nothing when it is not in the set.
  void Remove(TimePoint at, std::uint64_t id) { set_.erase({at, id, nullptr}); }

  bool empty() const { return set_.empty(); }
  std::size_t size() const { return set_.size(); }

  /// Returns the time of the first item, TimePoint::max() when empty.
  TimePoint FirstTime() const { return empty() ? TimePoint::max() : set_.begin()->at; }
  /// Returns the first item. Precondition: not empty.
  T* First() const { return set_.begin()->item; }
  /// Returns the last item. Precondition: not empty.
  T* Last() const { return set_.rbegin()->item; }

  /// Returns the first item at or after `at`, null when there is none.
  T* FirstAtOrAfter(TimePoint at) const {
    const auto it = set_.lower_bound({at, 0, nullptr});
    return it == set_.end() ? nullptr : it->item;
  }
  /// Returns the time of the first item after `at`, TimePoint::max() when there is none.
  TimePoint FirstTimeAfter(TimePoint at) const {
    const auto it = set_.upper_bound({at, UINT64_MAX, nullptr});
    return it == set_.end() ? TimePoint::max() : it->at;
  }

  /// Returns the first item for which `predicate(T*)` is true, null when there is none. The
  /// predicate must not change the set.
  template <class Predicate>
  T* FindFirst(Predicate predicate) const {
    for (const Entry& entry : set_) {
      if (predicate(entry.item)) return entry.item;
    }
    return nullptr;
  }

 private:
  struct Entry {
    TimePoint at;
    std::uint64_t id;
    T* item;
    bool operator<(const Entry& other) const {
      return std::tie(at, id) < std::tie(other.at, other.id);
    }
  };
  absl::btree_set<Entry> set_;
};

}  // namespace mulberry
