#pragma once

#include <cstdint>
#include <string_view>

namespace rattanloft {

// Index of a shard within its service: hashed shards first, then hot keys.
using ShardNumber = uint32_t;

// Number of shards that the keys of each service are hashed to. At 560 nodes
// and 6 services a node owns about 44 shards, so that one shard holds 2.3 % of
// the keys of its node.
constexpr ShardNumber kHashedShards = 4096;

// Maximum number of hot keys of a service. Each has a shard of its own,
// numbered above the hashed shards.
constexpr ShardNumber kMaxHotKeys = 256;

// Returns the shard that a key hashes to. A hot key has another shard, so the
// caller must look up hot keys first.
ShardNumber
HashedShard(std::string_view aKey);

} // namespace rattanloft
