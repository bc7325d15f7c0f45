#pragma once

#include <cstddef>

namespace mulberry::gateway {

/// Counts what this program allocates with operator new. Not thread safe.
class AllocationCounter {
 public:
  /// Counts from now on.
  AllocationCounter();

  /// Bytes allocated since the start of this counter and not freed; the most there have been.
  std::size_t held() const;
  std::size_t peak() const;

 private:
  std::size_t before_;
};

}  // namespace mulberry::gateway
