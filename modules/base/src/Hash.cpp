#include "rattanloft/base/Hash.h"

#include <xxhash.h>

namespace rattanloft {

uint64_t
Hash64(std::string_view aBytes, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

} // namespace rattanloft
