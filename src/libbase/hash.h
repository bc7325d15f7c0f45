#pragma once

#include <cstdint>
#include <string_view>

namespace mulberry {

/// Returns a 64-bit hash (XXH64) that is the same on every machine and in every version.
/// Thread safety: any thread.
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace mulberry
