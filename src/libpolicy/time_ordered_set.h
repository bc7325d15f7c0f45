#pragma once

#include <absl/container/btree_set.h>

#include <cstdint>
#include <tuple>

#include "libbase/units.h"

namespace mulberry {

/// Items ordered by a point of time, ties by number. The items belong to the caller. The order does
/// not depend on addresses, so a run with the same seed repeats itself. Not thread safe.
template <class T>
class TimeOrderedSet {
 public:
  /// Adds an item. Precondition: (at, number) is not in the set.
  void Add(TimePoint at, std::uint64_t number, T* item) { set_.insert({at, number, item}); }
  /// Removes an item; does nothing when it is not in the set.
  void Remove(TimePoint at, std::uint64_t number) { set_.erase({at, number, nullptr}); }

  bool empty() const { return set_.empty(); }
  std::size_t size() const { return set_.size(); }

  /// Time of the first item, TimePoint::max() when empty.
  TimePoint FirstTime() const { return empty() ? TimePoint::max() : set_.begin()->at; }
  /// First item. Precondition: not empty.
  T* First() const { return set_.begin()->item; }
  /// Last item. Precondition: not empty.
  T* Last() const { return set_.rbegin()->item; }

  /// First item at or after `at`, null when there is none.
  T* FirstFrom(TimePoint at) const {
    const auto it = set_.lower_bound({at, 0, nullptr});
    return it == set_.end() ? nullptr : it->item;
  }
  /// Time of the first item after `at`, TimePoint::max() when there is none.
  TimePoint FirstTimeAfter(TimePoint at) const {
    const auto it = set_.upper_bound({at, UINT64_MAX, nullptr});
    return it == set_.end() ? TimePoint::max() : it->at;
  }

  /// Calls `visit(T*)` in order until it returns true; the set must not change meanwhile.
  template <class Visit>
  T* FindFirst(Visit visit) const {
    for (const Entry& entry : set_) {
      if (visit(entry.item)) return entry.item;
    }
    return nullptr;
  }

 private:
  struct Entry {
    TimePoint at;
    std::uint64_t number;
    T* item;
    bool operator<(const Entry& other) const {
      return std::tie(at, number) < std::tie(other.at, other.number);
    }
  };
  absl::btree_set<Entry> set_;
};

}  // namespace mulberry
