#pragma once

#include <cstdint>
#include <string_view>

namespace rattanloft {

using ShardNumber = uint32_t;

// Hashed shards of each service. At 560 nodes and 6 services a node owns about
// 44, so a shard is 2.3 % of a node's keys.
constexpr ShardNumber kHashedShards = 4096;

// Shards above the hashed ones hold one key each.
constexpr ShardNumber kMaxHotKeys = 256;

// The shard that a key hashes to. Hot keys are looked up before this.
ShardNumber
HashedShard(std::string_view aKey);

} // namespace rattanloft
