#pragma once

#include <cstdint>
#include <string_view>

namespace rattanloft {

// Returns the 64-bit XXH3 hash. It must stay the same on all machines and in
// all releases, because the shards of keys and the checksums on disk depend on
// it.
uint64_t
Hash64(std::string_view aBytes, uint64_t aSeed = 0);

} // namespace rattanloft
