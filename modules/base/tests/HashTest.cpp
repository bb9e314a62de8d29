#include "rattanloft/base/Hash.h"
#include "rattanloft/base/Shard.h"

#include <catch2/catch.hpp>

namespace rattanloft {

// Guards against a library update that would move every key to another shard
// and invalidate checksums on disk.
TEST_CASE("Hash values are stable")
{
  REQUIRE(Hash64("") == 0x2d06800538d394c2ULL);
  REQUIRE(HashedShard("stand-17") == Hash64("stand-17") % kHashedShards);
}

} // namespace rattanloft
