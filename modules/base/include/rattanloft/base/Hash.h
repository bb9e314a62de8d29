#pragma once

#include <cstdint>
#include <string_view>

namespace rattanloft {

// XXH3 with 64 bits. Stable over versions and machines: shards and checksums
// on disk depend on it.
uint64_t
Hash64(std::string_view aBytes, uint64_t aSeed = 0);

} // namespace rattanloft
