#include "libbase/hash.h"

#include <xxhash.h>

namespace mulberry {

std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

}  // namespace mulberry
