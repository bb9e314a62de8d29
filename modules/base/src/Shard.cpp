#include "rattanloft/base/Shard.h"

#include "rattanloft/base/Hash.h"

namespace rattanloft {

ShardNumber
HashedShard(std::string_view aKey)
{
  return static_cast<ShardNumber>(Hash64(aKey) % kHashedShards);
}

} // namespace rattanloft
