#include "rattanloft/base/Hash.h"
#include "rattanloft/base/Shard.h"

#include <catch2/catch.hpp>

namespace rattanloft {

// Guards against an update of the hash library that changes hash values: it
// would move every key to another shard and invalidate the checksums on disk.
TEST_CASE("Hash values and the shards of keys never change")
{
  REQUIRE(Hash64("") == 0x2d06800538d394c2ULL);
  REQUIRE(HashedShard("stand-17") == Hash64("stand-17") % kHashedShards);
}

} // namespace rattanloft
